//! The checker detects each kind of violation in constructed requests and executions.

use fernknot_testbed::checker::{Expectations, Rule, check};
use fernknot_testbed::execution_log::{Execution, ExecutionLog};
use fernknot_testbed::requests::{Attempt, AttemptOutcome, ClientResponse, Request, RequestKind};
use test_case::test_case;

fn execution(service: &str, seal: &str, records: &[u8]) -> Execution {
    let body = records.iter().flat_map(|first_byte| [[*first_byte; 8], [0; 8]].concat()).collect();
    Execution {
        service: service.into(),
        target: "/t".into(),
        seal: Some(seal.into()),
        body,
        since_drain: None,
    }
}

fn records(first_bytes: &[u8]) -> Vec<u8> {
    execution("", "", first_bytes).body
}

fn response(status: u16, seals: &[&str], missing_parts: usize, body: Vec<u8>) -> AttemptOutcome {
    let seals = seals.iter().map(ToString::to_string).collect();
    AttemptOutcome::Response(ClientResponse { status, seals, missing_parts, body })
}

fn gathered(seals: &[&str], missing_parts: usize, first_bytes: &[u8]) -> AttemptOutcome {
    response(200, seals, missing_parts, records(first_bytes))
}

fn disconnected() -> AttemptOutcome {
    AttemptOutcome::Disconnected("reset".into())
}

/// Returns executions by shard a, with the records 1, 4 and 6, and shard b, with 5 and 6. The number of a record stands
/// for its first bytes, by which records are ordered.
fn executions_of_both_shards() -> Vec<Execution> {
    vec![execution("a", "sa", &[1, 4, 6]), execution("b", "sb", &[5, 6])]
}

#[test_case(RequestKind::Gather, gathered(&["sa", "sb"], 0, &[6, 6]), executions_of_both_shards() => Vec::<Rule>::new(); "greatest records of both parts")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 1, &[6, 5]), executions_of_both_shards() => Vec::<Rule>::new(); "reported missing part")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sb"], 0, &[6, 5]), executions_of_both_shards() => vec![Rule::WrongResponse]; "dropped equal record")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 0, &[6, 5]), executions_of_both_shards() => vec![Rule::WrongResponse]; "unreported missing part")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sx"], 0, &[6, 6]), executions_of_both_shards() => vec![Rule::WrongResponse]; "unknown seal")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sa"], 0, &[6, 6]), executions_of_both_shards() => vec![Rule::WrongResponse]; "duplicate part")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 1, &[6, 5]), vec![execution("b", "sb", &[5, 6]), execution("c", "sc", &[])] => vec![Rule::WrongService]; "service outside the route")]
#[test_case(RequestKind::Gather, disconnected(), executions_of_both_shards() => vec![Rule::LostResponse]; "executed without a response")]
#[test_case(RequestKind::Gather, disconnected(), vec![] => Vec::<Rule>::new(); "neither executed nor answered")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[1])), vec![execution("one", "s1", &[1])] => Vec::<Rule>::new(); "order executed once")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[2])), vec![execution("one", "s1", &[1])] => vec![Rule::WrongResponse]; "wrong body")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[1])), vec![execution("one", "s1", &[1]), execution("one", "s2", &[1])] => vec![Rule::DuplicateExecution]; "order executed twice")]
#[test_case(RequestKind::Mutating, response(503, &[], 0, vec![]), vec![execution("one", "s1", &[1])] => vec![Rule::RejectedButExecuted]; "order executed although rejected")]
fn given_executions_when_a_client_sees_an_outcome_then_the_checker_reports_the_violated_rules(
    kind: RequestKind,
    outcome: AttemptOutcome,
    executions: Vec<Execution>,
) -> Vec<Rule> {
    let attempt = Attempt { id: "t1".into(), was_sent: true, outcome, timing: None, may_be_cut_off: false };
    let request = Request { kind, target: "/t".into(), attempts: vec![attempt], duration_ms: 1.0 };
    let mut log = ExecutionLog::default();
    log.executions.insert("t1".into(), executions);
    let shard_sets = vec![vec!["a".to_string(), "b".into()]];
    let expectations = Expectations { shard_sets, top_k: 2, quorum: 0.5, single_service: "one".into() };
    check(&[request], &log, &expectations).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn given_an_execution_without_a_request_when_checked_then_it_is_reported_as_unrequested() {
    let mut log = ExecutionLog::default();
    log.executions.insert("t2".into(), executions_of_both_shards());
    let expectations =
        Expectations { shard_sets: vec![], top_k: 2, quorum: 0.5, single_service: "one".into() };
    let violations = check(&[], &log, &expectations);
    assert_eq!(
        violations.iter().map(|violation| violation.rule).collect::<Vec<_>>(),
        [Rule::UnrequestedExecution]
    );
}
