//! Defects that clients seed on the way to and from hosts.

use crate::audit::Rule;
use crate::seeded_defect::SeededDefect;

/// The number of a request from which on a defect affects one answer.
const FIRST_AFFECTED_ANSWER: u64 = 200;

/// Defects that clients seed on the way to and from hosts.
pub(crate) struct ClientDefects {
    /// The request from which on one answer is lost.
    lose_answer_from: Option<u64>,
    /// The request from which on one answer comes twice.
    repeat_answer_from: Option<u64>,
    /// Whether some ordered requests are delayed, so that later ones overtake them.
    pub reorder: bool,
}

impl ClientDefects {
    pub(crate) fn new(defect: Option<SeededDefect>) -> ClientDefects {
        let is = |other: SeededDefect| defect == Some(other);
        ClientDefects {
            lose_answer_from: is(SeededDefect::Rule(Rule::FinalAnswer)).then_some(FIRST_AFFECTED_ANSWER),
            repeat_answer_from: is(SeededDefect::DuplicateAnswer).then_some(FIRST_AFFECTED_ANSWER),
            reorder: is(SeededDefect::Rule(Rule::Ordering)),
        }
    }

    /// Whether the answer to a request is lost.
    pub(crate) fn loses_answer(&mut self, number: u64) -> bool {
        self.lose_answer_from.take_if(|from| number >= *from).is_some()
    }

    /// Whether the answer to a request comes twice.
    pub(crate) fn repeats_answer(&mut self, number: u64) -> bool {
        self.repeat_answer_from.take_if(|from| number >= *from).is_some()
    }
}
