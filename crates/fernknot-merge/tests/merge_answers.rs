//! Merging of shards' answers: the greatest records, the quorum, and invalid sets of answers.

use fernknot_merge::{MergedAnswer, RECORD_BYTES, ShardAnswer, merge_answers};
use proptest::prelude::*;
use test_case::test_case;

fn body(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|value| [*value; RECORD_BYTES]).collect()
}

#[test]
fn given_unsorted_answers_then_the_greatest_records_come_first_and_equal_ones_are_all_kept() {
    let (one, other) = (body(&[3, 9, 1]), body(&[9, 4]));
    let answers = [ShardAnswer { seal: "a", body: &one }, ShardAnswer { seal: "b", body: &other }];
    let expected = MergedAnswer { seals: "a, b".into(), missing_shards: 0, body: body(&[9, 9, 4]) };
    assert_eq!(merge_answers(&answers, 2, 3, 1.0), Some(expected));
}

#[test]
fn given_an_incomplete_record_at_the_end_then_it_is_ignored() {
    let mut bytes = body(&[5]);
    bytes.extend([255; RECORD_BYTES - 1]);
    let merged =
        merge_answers(&[ShardAnswer { seal: "a", body: &bytes }], 1, 10, 1.0).map(|merged| merged.body);
    assert_eq!(merged, Some(body(&[5])));
}

#[test_case(3, 4, 0.75, true; "exactly the quorum")]
#[test_case(2, 4, 0.75, false; "below the quorum")]
#[test_case(0, 4, 0.0, false; "no answer, even with a quorum of zero")]
#[test_case(7, 10, 0.7, true; "a fraction without an exact binary value")]
#[test_case(5, 4, 0.5, false; "more answers than shards")]
fn given_some_answers_then_only_a_quorum_of_them_makes_a_merged_answer(
    answers: usize,
    shards: usize,
    quorum: f64,
    is_success: bool,
) {
    let seals: Vec<String> = (0..answers).map(|number| number.to_string()).collect();
    let answers: Vec<ShardAnswer> = seals.iter().map(|seal| ShardAnswer { seal, body: b"" }).collect();
    assert_eq!(merge_answers(&answers, shards, 5, quorum).is_some(), is_success);
}

#[test]
fn given_two_answers_with_the_same_seal_then_there_is_no_merged_answer() {
    let answers = [ShardAnswer { seal: "a", body: b"" }, ShardAnswer { seal: "a", body: b"" }];
    assert_eq!(merge_answers(&answers, 2, 5, 0.5), None);
}

proptest! {
    #[test]
    fn the_merged_body_is_the_top_k_of_all_records_in_descending_order(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..400), 1..6),
        top_k in 0usize..40,
    ) {
        let seals: Vec<String> = (0..bodies.len()).map(|number| number.to_string()).collect();
        let answers: Vec<ShardAnswer> =
            bodies.iter().zip(&seals).map(|(body, seal)| ShardAnswer { seal, body }).collect();
        let mut all: Vec<&[u8]> = bodies.iter().flat_map(|body| body.chunks_exact(RECORD_BYTES)).collect();
        all.sort_by(|one, other| other.cmp(one));
        all.truncate(top_k);
        prop_assert_eq!(merge_answers(&answers, answers.len(), top_k, 1.0).unwrap().body, all.concat());
    }
}
