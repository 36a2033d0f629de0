//! Digests are equal exactly for equal JSON values.

use fernknot_schema::json_digest;
use test_case::test_case;

#[test]
fn given_one_value_spelt_twice_when_digested_then_the_digests_are_equal() {
    let one = br#"{"epoch": 7, "routes": [{"a": 1.0, "b": "x"}]}"#;
    let other = br#"{"routes":[{"b":"\u0078","a":1}],"epoch":7}"#;
    assert_eq!(json_digest(one), json_digest(other));
    assert_eq!(json_digest(one), 298_804_585_013_390_113, "the same in every build and on every machine");
}

#[test_case(br#"{"a": [1, 2]}"#, br#"{"a": [2, 1]}"#; "an order that counts")]
#[test_case(br#"{"a": 1}"#, br#"{"a": "1"}"#; "a number and its name")]
#[test_case(br#"{"a": 1}"#, br#"{"a": 1.5}"#; "a fraction")]
#[test_case(br#"["ab", "c"]"#, br#"["a", "bc"]"#; "where a string ends")]
#[test_case(br#"{"a": 1"#, br#"{"a": 2"#; "no JSON")]
fn given_two_values_when_digested_then_the_digests_differ(one: &[u8], other: &[u8]) {
    assert_ne!(json_digest(one), json_digest(other));
}
