//! Seeded defects between clients and hosts.

use crate::audit::Rule;
use crate::seeded_defect::SeededDefect;

/// Lowest request number whose answer a defect may affect; one answer is affected.
const FIRST_AFFECTED_ANSWER: u64 = 200;

/// Seeded defects between clients and hosts.
pub(crate) struct ClientDefects {
    /// Lowest request number whose answer may be lost; one answer is lost.
    lose_answer_from: Option<u64>,
    /// Lowest request number whose answer may be duplicated; one answer is duplicated.
    repeat_answer_from: Option<u64>,
    /// Set if some ordered requests are delayed, so that later requests overtake them.
    pub reorder: bool,
}

impl ClientDefects {
    pub(crate) fn new(defect: Option<SeededDefect>) -> ClientDefects {
        let is_defect = |other: SeededDefect| defect == Some(other);
        ClientDefects {
            lose_answer_from: is_defect(SeededDefect::Rule(Rule::FinalAnswer))
                .then_some(FIRST_AFFECTED_ANSWER),
            repeat_answer_from: is_defect(SeededDefect::DuplicateAnswer).then_some(FIRST_AFFECTED_ANSWER),
            reorder: is_defect(SeededDefect::Rule(Rule::Ordering)),
        }
    }

    /// Returns whether the answer to a request is lost.
    pub(crate) fn loses_answer(&mut self, number: u64) -> bool {
        self.lose_answer_from.take_if(|from| number >= *from).is_some()
    }

    /// Returns whether the answer to a request is duplicated.
    pub(crate) fn repeats_answer(&mut self, number: u64) -> bool {
        self.repeat_answer_from.take_if(|from| number >= *from).is_some()
    }
}
