//! Queries in one phase, and use cases that are added and removed while the engine runs.

mod common;

use common::*;
use fernknot::interface::*;
use fernknot_engine::{Phase, Verdict};

#[test]
fn given_a_host_that_keeps_values_when_a_query_completes_then_the_answer_names_the_attempts_that_count() {
    let mut host = Host::new(site(), two_phase_settings(), 3);
    let query = host.submit(ONE_PHASE, &[0, 1, 2]);
    host.answer(query, Phase::Plain, 2, "");
    host.fail(query, Phase::Plain, 0, Outcome::Rejected);
    host.answer(query, Phase::Plain, 0, "");
    host.advance(LATENCY_TARGET_MS);
    let Some(Verdict::Completed { is_complete: false, values, answered_by, .. }) =
        host.final_answer(query).map(|answer| &answer.verdict)
    else {
        panic!("two of three parts are enough");
    };
    assert_eq!(*values, [(ShardId(0), String::new()), (ShardId(2), String::new())]);
    assert_eq!(
        *answered_by,
        [(0, AttemptNumber(1)), (2, AttemptNumber(0))],
        "the second attempt at the first part"
    );
}

#[test]
fn given_a_running_engine_when_a_use_case_is_added_then_its_own_limits_apply() {
    let budget =
        RetryBudgetSettings { free_retries: 0.0, retry_ratio: 0.0, window: ms(10_000.0), per_shard: true };
    let mut host = Host::new(SiteSettings { retry_budget: Some(budget), ..site() }, two_phase_settings(), 3);
    let settings = UseCaseSettings {
        complete_share: 1.0,
        quorum: 1.0,
        max_attempts: Some(2),
        ..site().use_cases.remove(ONE_PHASE)
    };
    host.engine.set_use_case(ms(host.now_ms), UseCaseId(3), &settings);
    let count_attempts = |host: &mut Host| {
        let query = host.submit_one_phase(3, &[0]);
        for _ in 0..3 {
            if !host.in_flight(query, Phase::Plain).is_empty() {
                host.fail(query, Phase::Plain, 0, Outcome::Rejected);
            }
        }
        host.sent_attempts(query, Phase::Plain).len()
    };
    assert_eq!(count_attempts(&mut host), 1, "no free retries");
    host.engine.set_free_retries(5.0);
    assert_eq!(count_attempts(&mut host), 2, "limit of the use case");
    host.engine.remove_use_case(UseCaseId(3));
    let settings = UseCaseSettings { max_attempts: Some(1), ..settings };
    host.engine.set_use_case(ms(host.now_ms), UseCaseId(3), &settings);
    assert_eq!(count_attempts(&mut host), 1, "limit of the new use case with the same id");
}
