//! Digests are equal for equal JSON values and differ for different ones.

use fernknot_schema::json_digest;
use test_case::test_case;

#[test]
fn given_one_value_in_two_notations_when_hashed_then_the_digests_are_equal() {
    let one = br#"{"epoch": 7, "routes": [{"a": 1.0, "b": "x"}]}"#;
    let other = br#"{"routes":[{"b":"\u0078","a":1}],"epoch":7}"#;
    assert_eq!(json_digest(one), json_digest(other));
    assert_eq!(
        json_digest(one),
        298_804_585_013_390_113,
        "the digest must be the same in every build and on every machine"
    );
}

#[test_case(br#"{"a": [1, 2]}"#, br#"{"a": [2, 1]}"#; "order of a list")]
#[test_case(br#"{"a": 1}"#, br#"{"a": "1"}"#; "number and string")]
#[test_case(br#"{"a": 1}"#, br#"{"a": 1.5}"#; "fraction")]
#[test_case(br#"["ab", "c"]"#, br#"["a", "bc"]"#; "boundary between strings")]
#[test_case(br#"{"a": 1"#, br#"{"a": 2"#; "invalid JSON")]
fn given_two_values_when_hashed_then_the_digests_differ(one: &[u8], other: &[u8]) {
    assert_ne!(json_digest(one), json_digest(other));
}
