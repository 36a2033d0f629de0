//! The checker against histories made by hand: each breaks one promise, and the sound one none.

use fernknot_fault_tests::checker::{History, Occurred, Verdict, check};
use fernknot_fault_tests::clients::{Got, Request};
use std::time::Duration;
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(id: &str, use_case: &'static str, got: Got) -> Request {
    Request { id: id.to_string(), use_case, router: 1, sent: at(100), ended: at(150), got, answers: 1 }
}

const WHOLE: Got = Got::Answer { status: 200, whole: true };

/// Three routers, one request that ran once and was answered.
fn sound() -> History {
    History {
        routers: 3,
        period: at(100),
        requests: vec![request("a", "buy", WHOLE)],
        calls: vec![vec!["a.0".to_string()], vec!["a.1".to_string()]],
        verdicts: Vec::new(),
        occurred: Vec::new(),
    }
}

fn verdict(ms: u64, from: &str, to: &str) -> Verdict {
    Verdict { at: at(ms), by: 0, of: 1, from: from.into(), to: to.into(), line: format!("at {ms}: {to}") }
}

fn cut(from: &[usize], to: &[usize]) -> Occurred {
    Occurred::Cut { from: from.to_vec(), to: to.to_vec() }
}

#[test_case(|_| {}, None; "sound")]
#[test_case(|history| history.requests[0].got = Got::Nothing, Some("one-answer"); "never answered")]
#[test_case(|history| history.requests[0].ended = at(9000), Some("one-answer"); "answered too late")]
#[test_case(|history| history.requests[0].answers = 2, Some("honest-answers"); "answered twice")]
#[test_case(|history| history.calls[1].clear(), Some("honest-answers"); "whole without a part")]
#[test_case(|history| history.calls[0].push("a.0".to_string()), Some("no-effect-twice"); "a single-use part that ran twice")]
#[test_case(|history| { history.requests[0].use_case = "page"; history.calls[0].push("a.0".to_string()) }, None; "a replayable part that ran twice")]
#[test_case(|history| history.verdicts.push(verdict(5000, "doubted", "lost")), Some("no-false-lost"); "a living router lost")]
#[test_case(|history| { history.occurred.push((at(50), Occurred::Down { router: 1 })); history.verdicts.push(verdict(5000, "doubted", "lost")); history.requests[0].got = Got::Nothing }, None; "a dead router lost, with what it had")]
#[test_case(|history| { history.occurred.push((at(2000), cut(&[1], &[0]))); history.verdicts.push(verdict(5000, "doubted", "lost")) }, Some("no-false-lost"); "one way cut, and heard by the third")]
#[test_case(|history| { history.occurred.push((at(2000), cut(&[1], &[0, 2]))); history.verdicts.push(verdict(5000, "doubted", "lost")) }, None; "heard by nobody")]
#[test_case(|history| { history.occurred.push((at(2000), cut(&[1], &[0, 2]))); history.verdicts = [(3000, "doubted", "lost"), (3500, "lost", "alive"), (4000, "doubted", "lost"), (4500, "lost", "alive")].map(|(ms, from, to)| verdict(ms, from, to)).into() }, Some("no-flapping"); "back and forth for one fault")]
fn each_break_is_found_and_nothing_else(change: fn(&mut History), promise: Option<&str>) {
    let mut history = sound();
    change(&mut history);
    let broken: Vec<&str> = check(&history).iter().map(|one| one.promise).collect();
    assert_eq!(broken, promise.into_iter().collect::<Vec<_>>());
}
