use fernknot_merge::{MergedAnswer, RECORD_BYTES, ShardAnswer, merge_answers};
use proptest::prelude::*;
use test_case::test_case;

fn body(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|value| [*value; RECORD_BYTES]).collect()
}

#[test]
fn given_parts_out_of_order_then_the_greatest_come_first_and_equals_all_count() {
    let (one, other) = (body(&[3, 9, 1]), body(&[9, 4]));
    let parts = [ShardAnswer { seal: "a", body: &one }, ShardAnswer { seal: "b", body: &other }];
    let wanted = MergedAnswer { seals: "a, b".into(), missing_shards: 0, body: body(&[9, 9, 4]) };
    assert_eq!(merge_answers(&parts, 2, 3, 1.0), Some(wanted));
}

#[test]
fn given_a_remainder_shorter_than_a_record_then_it_is_none() {
    let mut cut = body(&[5]);
    cut.extend([255; RECORD_BYTES - 1]);
    let got = merge_answers(&[ShardAnswer { seal: "a", body: &cut }], 1, 10, 1.0).map(|got| got.body);
    assert_eq!(got, Some(body(&[5])));
}

#[test_case(3, 4, 0.75, true; "just the quorum")]
#[test_case(2, 4, 0.75, false; "under the quorum")]
#[test_case(0, 4, 0.0, false; "a success names one part at least")]
#[test_case(7, 10, 0.7, true; "a share that binary cannot hold")]
#[test_case(5, 4, 0.5, false; "more parts than shards")]
fn given_some_parts_then_only_enough_of_them_make_an_answer(
    parts: usize,
    shards: usize,
    quorum: f64,
    is: bool,
) {
    let seals: Vec<String> = (0..parts).map(|part| part.to_string()).collect();
    let parts: Vec<ShardAnswer> = seals.iter().map(|seal| ShardAnswer { seal, body: b"" }).collect();
    assert_eq!(merge_answers(&parts, shards, 5, quorum).is_some(), is);
}

#[test]
fn given_one_seal_twice_then_there_is_no_answer() {
    let parts = [ShardAnswer { seal: "a", body: b"" }, ShardAnswer { seal: "a", body: b"" }];
    assert_eq!(merge_answers(&parts, 2, 5, 0.5), None);
}

proptest! {
    #[test]
    fn what_is_merged_is_the_head_of_all_records_in_falling_order(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..400), 1..6),
        top in 0usize..40,
    ) {
        let seals: Vec<String> = (0..bodies.len()).map(|part| part.to_string()).collect();
        let parts: Vec<ShardAnswer> =
            bodies.iter().zip(&seals).map(|(body, seal)| ShardAnswer { seal, body }).collect();
        let mut all: Vec<&[u8]> = bodies.iter().flat_map(|body| body.chunks_exact(RECORD_BYTES)).collect();
        all.sort_by(|one, other| other.cmp(one));
        all.truncate(top);
        prop_assert_eq!(merge_answers(&parts, parts.len(), top, 1.0).unwrap().body, all.concat());
    }
}
