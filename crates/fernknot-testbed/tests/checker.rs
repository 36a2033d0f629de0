//! The checker against histories made by hand: each breaks one rule.

use fernknot_testbed::checker::{Attempt, AttemptOutcome, Expectations, Kind, Request, check};
use fernknot_testbed::nodes::{Execution, ExecutionLog};
use test_case::test_case;

fn ran(service: &str, seal: &str, records: &[u8]) -> Execution {
    let body = records.iter().flat_map(|first| [[*first; 8], [0; 8]].concat()).collect();
    Execution { service: service.into(), target: "/t".into(), seal: Some(seal.into()), body }
}

fn records(firsts: &[u8]) -> Vec<u8> {
    ran("", "", firsts).body
}

fn answer(status: u16, seals: &[&str], missing: usize, body: Vec<u8>) -> AttemptOutcome {
    AttemptOutcome::Response { status, seals: seals.iter().map(ToString::to_string).collect(), missing, body }
}

fn gathered(seals: &[&str], missing: usize, firsts: &[u8]) -> AttemptOutcome {
    answer(200, seals, missing, records(firsts))
}

fn cut() -> AttemptOutcome {
    AttemptOutcome::Disconnected("reset".into())
}

/// Two shards, the greatest two records; shard a holds 1, 4 and 6, shard b holds 5 and 6.
fn both() -> Vec<Execution> {
    vec![ran("a", "sa", &[1, 4, 6]), ran("b", "sb", &[5, 6])]
}

#[test_case(Kind::Gather, gathered(&["sa", "sb"], 0, &[6, 6]), both() => Vec::<&str>::new(); "the greatest of both parts")]
#[test_case(Kind::Gather, gathered(&["sb"], 1, &[6, 5]), both() => Vec::<&str>::new(); "one part is left out and says so")]
#[test_case(Kind::Gather, gathered(&["sa", "sb"], 0, &[6, 5]), both() => vec!["MIXED"]; "an equal record is dropped")]
#[test_case(Kind::Gather, gathered(&["sb"], 0, &[6, 5]), both() => vec!["MIXED"]; "a missing part is not told")]
#[test_case(Kind::Gather, gathered(&["sa", "sx"], 0, &[6, 6]), both() => vec!["MIXED"]; "a seal of no answer")]
#[test_case(Kind::Gather, gathered(&["sa", "sa"], 0, &[6, 6]), both() => vec!["MIXED"]; "one part twice")]
#[test_case(Kind::Gather, gathered(&["sb"], 1, &[6, 5]), vec![ran("b", "sb", &[5, 6]), ran("c", "sc", &[])] => vec!["ROUTE"]; "a service of no version")]
#[test_case(Kind::Gather, cut(), both() => vec!["LOST"]; "it ran and no answer came")]
#[test_case(Kind::Gather, cut(), vec![] => Vec::<&str>::new(); "it never ran")]
#[test_case(Kind::Order, answer(200, &["s1"], 0, records(&[1])), vec![ran("one", "s1", &[1])] => Vec::<&str>::new(); "an order is taken once")]
#[test_case(Kind::Order, answer(200, &["s1"], 0, records(&[2])), vec![ran("one", "s1", &[1])] => vec!["MIXED"]; "another body")]
#[test_case(Kind::Order, answer(200, &["s1"], 0, records(&[1])), vec![ran("one", "s1", &[1]), ran("one", "s2", &[1])] => vec!["TWICE"]; "an order runs twice")]
#[test_case(Kind::Order, answer(503, &[], 0, vec![]), vec![ran("one", "s1", &[1])] => vec!["REFUSED"]; "a promise that was untrue")]
fn given_what_nodes_ran_when_a_client_saw_this_then_these_rules_are_broken(
    kind: Kind,
    seen: AttemptOutcome,
    runs: Vec<Execution>,
) -> Vec<&'static str> {
    let tried = Attempt { id: "t1".into(), was_sent: true, outcome: seen };
    let request = Request { kind, target: "/t".into(), attempts: vec![tried], duration_ms: 1.0 };
    let mut ledger = ExecutionLog::default();
    ledger.executions.insert("t1".into(), runs);
    let sets = vec![vec!["a".to_string(), "b".into()]];
    let allowed = Expectations { shard_sets: sets, top_k: 2, quorum: 0.5, single_service: "one".into() };
    check(&[request], &ledger, &allowed).into_iter().map(|found| found.rule).collect()
}

#[test]
fn given_a_run_that_no_client_sent_then_it_is_unasked() {
    let mut ledger = ExecutionLog::default();
    ledger.executions.insert("t2".into(), both());
    let allowed = Expectations { shard_sets: vec![], top_k: 2, quorum: 0.5, single_service: "one".into() };
    let found = check(&[], &ledger, &allowed);
    assert_eq!(found.iter().map(|found| found.rule).collect::<Vec<_>>(), ["UNASKED"]);
}
