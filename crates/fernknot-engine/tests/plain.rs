//! Plain queries of a host that keeps the values itself.

mod common;

use common::*;
use fernknot::interface::*;
use fernknot_engine::{Phase, Verdict};

#[test]
fn given_a_host_that_keeps_values_when_a_query_is_complete_then_it_learns_whose_answers_count() {
    let mut host = Host::new(site(), phases(), 3);
    let asker = host.ask(PLAIN, &[0, 1, 2]);
    host.answer(asker, Phase::Plain, 2, "");
    host.fail(asker, Phase::Plain, 0, Outcome::Rejected);
    host.answer(asker, Phase::Plain, 0, "");
    host.pass(GOAL);
    let Some(Verdict::Completed { is_complete: false, found, found_by, .. }) =
        host.final_of(asker).map(|given| &given.verdict)
    else {
        panic!("two of three parts are enough");
    };
    assert_eq!(*found, [(ShardId(0), String::new()), (ShardId(2), String::new())]);
    assert_eq!(*found_by, [(0, AttemptNumber(1)), (2, AttemptNumber(0))], "the second try of the first part");
}

#[test]
fn given_an_engine_that_runs_when_a_use_case_comes_then_it_is_served_by_its_own_limits() {
    let budget =
        RetryBudgetSettings { free_retries: 0.0, retry_ratio: 0.0, window: ms(10_000.0), per_shard: true };
    let mut host = Host::new(SiteSettings { retry_budget: Some(budget), ..site() }, phases(), 3);
    let facts = UseCaseSettings {
        complete_share: 1.0,
        quorum: 1.0,
        max_attempts: Some(2),
        ..site().use_cases.remove(PLAIN)
    };
    host.engine.use_case(ms(host.now), UseCaseId(3), &facts);
    let tries = |host: &mut Host| {
        let asker = host.ask_plain(3, &[0]);
        for _ in 0..3 {
            if !host.out(asker, Phase::Plain).is_empty() {
                host.fail(asker, Phase::Plain, 0, Outcome::Rejected);
            }
        }
        host.all(asker, Phase::Plain).len()
    };
    assert_eq!(tries(&mut host), 1, "nothing is free");
    host.engine.set_free_retries(5.0);
    assert_eq!(tries(&mut host), 2, "its own limit");
    host.engine.retire(UseCaseId(3));
    let facts = UseCaseSettings { max_attempts: Some(1), ..facts };
    host.engine.use_case(ms(host.now), UseCaseId(3), &facts);
    assert_eq!(tries(&mut host), 1, "that of the one that came at its id");
}
