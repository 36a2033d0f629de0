//! Tenants and their keys in the operator's configuration. Keys are secrets, so no output may contain one.

mod common;

use common::config_json;
use fernknot_schema::{AccessControl, DigestKey, SystemConfig, ValidationError};
use proptest::prelude::*;
use serde_json::{Value, json};
use test_case::test_case;

const KEYS: [&str; 3] = ["qiqrh4jcda9rgy35ieis", "puxsr7i427eya6u6sz9f", "zzxsr7i427eya6u6sz00"];
/// Largest body of a configuration that operators send.
const LARGEST_BODY_BYTES: usize = 256 * 1024;

fn digest_key() -> DigestKey {
    DigestKey::new([9; DigestKey::BYTES])
}

fn with_tenants(tenants: Value) -> Value {
    let mut json = config_json();
    json["tenants"] = tenants;
    json
}

fn valid_tenants() -> Value {
    json!([{"name": "acme", "api_keys": [KEYS[0], KEYS[1]], "rank": 1}, {"name": "zeta", "api_keys": [KEYS[2]]}])
}

fn parse(json: &Value) -> Result<SystemConfig, Vec<ValidationError>> {
    SystemConfig::parse(json.to_string().as_bytes(), &digest_key())
}

fn access(json: &Value) -> AccessControl {
    parse(json).unwrap().access.expect("the configuration has tenants")
}

/// Fails if an output contains a key or a recognizable part of one.
fn assert_has_no_key(output: &str) {
    for key in KEYS {
        assert!(!output.contains(&key[..8]), "{key} in {output}");
    }
}

#[test]
fn given_tenants_then_their_keys_are_known_by_their_digests_only() {
    let mut json = with_tenants(valid_tenants());
    json["routes"][1]["public"] = json!(true);
    let access = access(&json);
    assert_eq!(access.public_routes, [false, true, false]);
    let [acme, zeta] = &access.tenants[..] else { panic!("two tenants") };
    assert_eq!((acme.name.as_str(), acme.rank, zeta.rank), ("acme", Some(1), None));
    assert_eq!(acme.keys, [KEYS[0], KEYS[1]].map(|key| digest_key().digest(key.as_bytes())));
    assert_ne!(acme.keys[0], DigestKey::new([8; DigestKey::BYTES]).digest(KEYS[0].as_bytes()));
    assert_has_no_key(&format!("{access:?}"));
}

#[test]
fn given_no_tenants_then_no_request_needs_a_key() {
    assert_eq!(parse(&config_json()).unwrap().access, None);
}

#[test_case(json!([]), 0; "no tenant")]
#[test_case(json!([{"name": "acme", "api_keys": []}]), 1; "a tenant without keys")]
#[test_case(json!([{"name": "acme"}]), 1; "a tenant with no list of keys")]
#[test_case(json!([{"name": "acme", "api_keys": ["k", "k"]}]), 1; "a tenant with one key twice")]
#[test_case(json!([{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["K"]}]), 2; "keys that differ in case")]
#[test_case(json!([{"name": "M\u{fc}ller & Co", "api_keys": ["k"], "quota": 3}]), 1; "an unknown setting and a name beyond ASCII")]
fn given_an_allowed_list_of_tenants_then_it_is_accepted(tenants: Value, count: usize) {
    assert_eq!(access(&with_tenants(tenants)).tenants.len(), count);
}

#[test]
fn given_two_tenants_with_one_key_then_the_error_names_both_and_no_key() {
    let tenants = json!([{"name": "acme", "api_keys": [KEYS[0], KEYS[1]]}, {"name": "beta", "api_keys": []},
                         {"name": "zeta", "api_keys": [KEYS[2], KEYS[1]]}]);
    let errors = parse(&with_tenants(tenants)).unwrap_err();
    let text: String = errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors[0].path, "tenants[2].api_keys");
    assert!(text.contains("\"acme\"") && text.contains("\"zeta\"") && !text.contains("beta"), "{text}");
    assert_has_no_key(&format!("{text} {errors:?}"));
}

#[test_case(json!("qiqrh4jcda9rgy35ieis"); "a key in place of the list")]
#[test_case(json!(["qiqrh4jcda9rgy35ieis"]); "a key in place of a tenant")]
#[test_case(json!({"qiqrh4jcda9rgy35ieis": "acme"}); "an object")]
#[test_case(json!([["qiqrh4jcda9rgy35ieis"]]); "a list in place of a tenant")]
#[test_case(json!([["acme", ["qiqrh4jcda9rgy35ieis"]]]); "a list of settings in place of a tenant")]
#[test_case(json!([{"name": "acme", "api_keys": "qiqrh4jcda9rgy35ieis"}]); "a key in place of the keys")]
#[test_case(json!([{"name": "acme", "api_keys": {"qiqrh4jcda9rgy35ieis": 1}}]); "an object in place of the keys")]
#[test_case(json!([{"name": "acme", "api_keys": [["qiqrh4jcda9rgy35ieis"]]}]); "a list in place of a key")]
#[test_case(json!([{"name": "acme", "api_keys": [{"key": "qiqrh4jcda9rgy35ieis"}]}]); "an object in place of a key")]
#[test_case(json!([{"name": "acme", "api_keys": ["qiqrh4jcda9rgy35ieis", 7]}]); "a number in place of a key")]
#[test_case(json!([{"name": "acme", "api_keys": ["qiqrh4jcda9rgy35ieis", true]}]); "a boolean in place of a key")]
#[test_case(json!([{"name": "acme", "api_keys": ["qiqrh4jcda9rgy35ieis", null]}]); "null in place of a key")]
#[test_case(json!([{"name": ["qiqrh4jcda9rgy35ieis"], "api_keys": []}]); "a key in place of the name")]
#[test_case(json!([{"name": "acme", "rank": "qiqrh4jcda9rgy35ieis"}]); "a key in place of the rank")]
#[test_case(json!([{"api_keys": ["qiqrh4jcda9rgy35ieis"]}]); "a tenant without a name")]
#[test_case(json!([{"name": "a\r\nX: y", "api_keys": ["qiqrh4jcda9rgy35ieis"]}]); "a name with a line end")]
#[test_case(json!([{"name": "a\u{0}", "api_keys": ["qiqrh4jcda9rgy35ieis"]}]); "a name with a control character")]
fn given_tenants_of_a_wrong_shape_then_the_error_names_the_place_and_no_key(tenants: Value) {
    let errors = parse(&with_tenants(tenants)).unwrap_err();
    assert!(errors.iter().all(|error| error.path.starts_with("tenants")), "{errors:?}");
    let text: String = errors.iter().map(ToString::to_string).collect();
    assert_has_no_key(&format!("{text} {errors:?}"));
}

#[test]
fn given_a_number_as_a_key_then_the_error_does_not_contain_it() {
    for number in [json!(123_456_789_u64), json!(-123_456_789), json!(123_456.789)] {
        let tenants = json!([{"name": "acme", "api_keys": [number]}]);
        let errors = parse(&with_tenants(tenants)).unwrap_err();
        assert!(!format!("{errors:?}").contains("123"), "{errors:?}");
    }
}

#[test]
fn given_a_body_of_the_largest_size_then_it_is_parsed_and_a_truncated_one_prints_no_key() {
    let keys: Vec<String> = (0..11_000).map(|index| format!("{}{index:05}", &KEYS[0][..8])).collect();
    let json = with_tenants(json!([{"name": "acme", "api_keys": keys}]));
    let text = json.to_string();
    assert!(text.len() <= LARGEST_BODY_BYTES, "{}", text.len());
    assert_eq!(access(&json).tenants[0].keys.len(), keys.len());
    let errors = SystemConfig::parse(&text.as_bytes()[..text.len() - 40], &digest_key()).unwrap_err();
    assert_has_no_key(&format!("{errors:?}"));
}

proptest! {
    #[test]
    fn given_a_changed_byte_or_truncation_then_no_output_contains_a_key(index in 0usize..4000, byte: u8, truncate: bool) {
        let mut bytes = with_tenants(valid_tenants()).to_string().into_bytes();
        let index = index % bytes.len();
        if truncate { bytes.truncate(index) } else { bytes[index] = byte }
        assert_has_no_key(&format!("{:?}", SystemConfig::parse(&bytes, &digest_key())));
    }
}
