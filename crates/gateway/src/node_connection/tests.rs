use super::*;
use quickcheck::quickcheck;

fn process(incarnation: u64, started_at: Option<Ms>) -> ProcessIdentity {
    ProcessIdentity { node: 4, incarnation, started_at }
}

fn established(now: Ms) -> NodeConnection {
    let mut connection = NodeConnection::default();
    assert_eq!(connection.send_action(), SendAction::Connect);
    connection.on_connect_started();
    assert_eq!(connection.send_action(), SendAction::Wait);
    assert_eq!(connection.on_greeting(now, process(1, None), process(1, None)), GreetingCheck::Expected);
    connection
}

#[test]
fn unresponsive_connection_is_replaced_once_idle() {
    let mut connection = established(10.0);
    connection.on_sent();
    connection.on_sent();
    connection.on_attempt_ended(Some(20.0));
    assert_eq!(connection.send_action(), SendAction::Send, "another attempt is in flight");
    connection.on_attempt_ended(Some(21.0));
    assert_eq!(connection.send_action(), SendAction::Reconnect);
}

#[test]
fn one_lost_answer_does_not_make_a_connection_unresponsive() {
    let mut connection = established(10.0);
    connection.on_sent();
    connection.on_sent();
    connection.on_message(30.0);
    connection.on_attempt_ended(None);
    connection.on_attempt_ended(Some(20.0));
    assert_eq!(connection.send_action(), SendAction::Send);
}

#[test]
fn only_the_listed_or_a_later_process_is_accepted() {
    let greet = |listed, greeting| NodeConnection::default().on_greeting(50.0, listed, greeting);
    let (old, new) = (process(1, Some(5.0)), process(2, Some(40.0)));
    assert_eq!(greet(old, old), GreetingCheck::Expected);
    assert_eq!(greet(old, new), GreetingCheck::Restarted { started_at: Some(40.0) });
    assert_eq!(greet(process(1, None), new), GreetingCheck::Restarted { started_at: Some(40.0) });
    assert_eq!(greet(new, old), GreetingCheck::Mismatch);
    assert_eq!(greet(new, process(1, None)), GreetingCheck::Mismatch);
    assert_eq!(greet(old, ProcessIdentity { node: 5, ..old }), GreetingCheck::Mismatch);
}

quickcheck! {
    /// Compares the connection with a simple model: it is replaced only where nothing is in flight and its
    /// last message is older than an attempt that received no answer.
    fn connection_is_replaced_only_when_idle_and_unresponsive(steps: Vec<(u8, u8)>) -> bool {
        let (mut connection, mut now) = (established(0.0), 0.0);
        let (mut in_flight, mut last_message, mut unanswered): (Vec<Ms>, Ms, Option<Ms>) = (Vec::new(), 0.0, None);
        for (step, time) in steps {
            now += f64::from(time);
            match step % 4 {
                0 => {
                    connection.on_sent();
                    in_flight.push(now);
                }
                1 if !in_flight.is_empty() => {
                    connection.on_message(now);
                    connection.on_attempt_ended(None);
                    (last_message, unanswered) = (now, None);
                    in_flight.remove(0);
                }
                2 if !in_flight.is_empty() => {
                    let sent = in_flight.remove(0);
                    connection.on_attempt_ended(Some(sent));
                    if sent >= last_message {
                        unanswered = Some(sent);
                    }
                }
                3 => {
                    connection.on_message(now);
                    (last_message, unanswered) = (now, None);
                }
                _ => {}
            }
            let replaced = in_flight.is_empty() && unanswered.is_some();
            if (connection.send_action() == SendAction::Reconnect) != replaced {
                return false;
            }
        }
        true
    }
}
