use super::*;
use quickcheck::quickcheck;

fn process(life: u64, started: Option<Ms>) -> Process {
    Process { node: 4, life, started }
}

fn open(now: Ms) -> Contact {
    let mut contact = Contact::default();
    assert_eq!(contact.dial(), Dial::Open);
    contact.opened();
    assert_eq!(contact.dial(), Dial::Wait);
    assert_eq!(contact.greeted(now, process(1, None), process(1, None)), Greeted::Expected);
    contact
}

#[test]
fn a_connection_that_met_silence_is_replaced_once_nothing_is_out() {
    let mut contact = open(10.0);
    contact.sent();
    contact.sent();
    contact.done(Some(20.0));
    assert_eq!(contact.dial(), Dial::Use, "another hand-off is out");
    contact.done(Some(21.0));
    assert_eq!(contact.dial(), Dial::Afresh);
}

#[test]
fn a_lost_answer_on_a_connection_that_speaks_changes_nothing() {
    let mut contact = open(10.0);
    contact.sent();
    contact.sent();
    contact.heard(30.0);
    contact.done(None);
    contact.done(Some(20.0));
    assert_eq!(contact.dial(), Dial::Use);
}

#[test]
fn only_the_listed_process_or_a_later_one_is_spoken_to() {
    let greet = |listed, met| Contact::default().greeted(50.0, listed, met);
    let (old, new) = (process(1, Some(5.0)), process(2, Some(40.0)));
    assert_eq!(greet(old, old), Greeted::Expected);
    assert_eq!(greet(old, new), Greeted::Restarted { started: Some(40.0) });
    assert_eq!(greet(process(1, None), new), Greeted::Restarted { started: Some(40.0) });
    assert_eq!(greet(new, old), Greeted::Wrong);
    assert_eq!(greet(new, process(1, None)), Greeted::Wrong);
    assert_eq!(greet(old, Process { node: 5, ..old }), Greeted::Wrong);
}

quickcheck! {
    /// A plain model: a connection is given up only where nothing is out on it and the last word on it is
    /// older than an attempt that met silence.
    fn a_fresh_connection_never_hurts_a_hand_off(steps: Vec<(u8, u8)>) -> bool {
        let (mut contact, mut now) = (open(0.0), 0.0);
        let (mut out, mut heard, mut missed): (Vec<Ms>, Ms, Option<Ms>) = (Vec::new(), 0.0, None);
        for (step, time) in steps {
            now += f64::from(time);
            match step % 4 {
                0 => {
                    contact.sent();
                    out.push(now);
                }
                1 if !out.is_empty() => {
                    contact.heard(now);
                    contact.done(None);
                    (heard, missed) = (now, None);
                    out.remove(0);
                }
                2 if !out.is_empty() => {
                    let sent = out.remove(0);
                    contact.done(Some(sent));
                    if sent >= heard {
                        missed = Some(sent);
                    }
                }
                3 => {
                    contact.heard(now);
                    (heard, missed) = (now, None);
                }
                _ => {}
            }
            let fresh = out.is_empty() && missed.is_some();
            if (contact.dial() == Dial::Afresh) != fresh {
                return false;
            }
        }
        true
    }

    fn waits_grow_stay_bounded_and_start_anew(seed: u64, fails: u8) -> bool {
        let mut back = Return::new(seed);
        let waits: Vec<Ms> = (0..fails).map(|_| back.failed(0.0)).collect();
        back.succeeded();
        waits.iter().all(|w| *w <= 1.5 * LAST_WAIT) && back.failed(0.0) <= 1.5 * FIRST_WAIT
    }
}
