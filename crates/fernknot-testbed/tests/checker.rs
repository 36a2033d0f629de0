//! The checker against histories made by hand: each breaks one rule.

use fernknot_testbed::checker::{Expectations, Rule, check};
use fernknot_testbed::execution_log::{Execution, ExecutionLog};
use fernknot_testbed::requests::{Attempt, AttemptOutcome, ClientResponse, Request, RequestKind};
use test_case::test_case;

fn execution(service: &str, seal: &str, records: &[u8]) -> Execution {
    let body = records.iter().flat_map(|first| [[*first; 8], [0; 8]].concat()).collect();
    Execution { service: service.into(), target: "/t".into(), seal: Some(seal.into()), body }
}

fn records(firsts: &[u8]) -> Vec<u8> {
    execution("", "", firsts).body
}

fn response(status: u16, seals: &[&str], missing: usize, body: Vec<u8>) -> AttemptOutcome {
    let seals = seals.iter().map(ToString::to_string).collect();
    AttemptOutcome::Response(ClientResponse { status, seals, missing, body })
}

fn gathered(seals: &[&str], missing: usize, firsts: &[u8]) -> AttemptOutcome {
    response(200, seals, missing, records(firsts))
}

fn disconnected() -> AttemptOutcome {
    AttemptOutcome::Disconnected("reset".into())
}

/// Two shards, the greatest two records; shard a holds 1, 4 and 6, shard b holds 5 and 6.
fn both() -> Vec<Execution> {
    vec![execution("a", "sa", &[1, 4, 6]), execution("b", "sb", &[5, 6])]
}

#[test_case(RequestKind::Gather, gathered(&["sa", "sb"], 0, &[6, 6]), both() => Vec::<Rule>::new(); "the greatest of both parts")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 1, &[6, 5]), both() => Vec::<Rule>::new(); "one part is left out and says so")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sb"], 0, &[6, 5]), both() => vec![Rule::Mixed]; "an equal record is dropped")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 0, &[6, 5]), both() => vec![Rule::Mixed]; "a missing part is not reported")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sx"], 0, &[6, 6]), both() => vec![Rule::Mixed]; "a seal of no response")]
#[test_case(RequestKind::Gather, gathered(&["sa", "sa"], 0, &[6, 6]), both() => vec![Rule::Mixed]; "one part twice")]
#[test_case(RequestKind::Gather, gathered(&["sb"], 1, &[6, 5]), vec![execution("b", "sb", &[5, 6]), execution("c", "sc", &[])] => vec![Rule::Route]; "a service of no version")]
#[test_case(RequestKind::Gather, disconnected(), both() => vec![Rule::Lost]; "it ran and no response came")]
#[test_case(RequestKind::Gather, disconnected(), vec![] => Vec::<Rule>::new(); "it never ran")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[1])), vec![execution("one", "s1", &[1])] => Vec::<Rule>::new(); "an order runs once")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[2])), vec![execution("one", "s1", &[1])] => vec![Rule::Mixed]; "another body")]
#[test_case(RequestKind::Mutating, response(200, &["s1"], 0, records(&[1])), vec![execution("one", "s1", &[1]), execution("one", "s2", &[1])] => vec![Rule::Twice]; "an order runs twice")]
#[test_case(RequestKind::Mutating, response(503, &[], 0, vec![]), vec![execution("one", "s1", &[1])] => vec![Rule::Refused]; "a promise that was untrue")]
fn given_what_nodes_ran_when_a_client_saw_this_then_these_rules_are_broken(
    kind: RequestKind,
    outcome: AttemptOutcome,
    runs: Vec<Execution>,
) -> Vec<Rule> {
    let attempt = Attempt { id: "t1".into(), was_sent: true, outcome };
    let request = Request { kind, target: "/t".into(), attempts: vec![attempt], duration_ms: 1.0 };
    let mut log = ExecutionLog::default();
    log.executions.insert("t1".into(), runs);
    let sets = vec![vec!["a".to_string(), "b".into()]];
    let expectations = Expectations { shard_sets: sets, top_k: 2, quorum: 0.5, single_service: "one".into() };
    check(&[request], &log, &expectations).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn given_a_run_that_no_client_sent_then_it_is_unasked() {
    let mut log = ExecutionLog::default();
    log.executions.insert("t2".into(), both());
    let expectations =
        Expectations { shard_sets: vec![], top_k: 2, quorum: 0.5, single_service: "one".into() };
    let violation = check(&[], &log, &expectations);
    assert_eq!(violation.iter().map(|violation| violation.rule).collect::<Vec<_>>(), [Rule::Unasked]);
}
