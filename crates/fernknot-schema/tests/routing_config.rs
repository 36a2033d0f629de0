//! Parsing of routing configurations: valid ones are accepted, invalid ones are rejected with all their errors.

mod common;

use common::{changed, config_json, parse_config, paths, without};
use fernknot_schema::{RouteTarget, RoutingConfig, SystemConfig, TrafficClass};
use proptest::prelude::*;
use serde_json::json;
use test_case::test_case;

#[test]
fn given_a_valid_configuration_when_parsed_then_every_setting_has_its_value() {
    let config = parse_config(&config_json()).unwrap();
    assert_eq!(config.epoch, 7);
    assert_eq!(config.limits.body_bytes, 262144);
    assert_eq!(config.services[2].max_connections, 100);
    let [fanout, plain, weighted] = &config.routes[..] else { panic!("three routes") };
    let shards = vec!["a".to_string(), "b".to_string()];
    assert_eq!(fanout.target, RouteTarget::Fanout { shards, top_k: 200, quorum: 0.6 });
    assert_eq!(
        (plain.traffic_class, plain.deadline_ms, plain.max_attempts),
        (TrafficClass::Mutating, 5000, 2)
    );
    assert_eq!(weighted.target, RouteTarget::WeightedServices(vec![("a".into(), 1.0), ("c".into(), 2.5)]));
    assert_eq!(config, bitcode::decode::<RoutingConfig>(&bitcode::encode(&config)).unwrap());
}

#[test_case("/routes/1/backend", json!("nobody"); "a route names an unknown service")]
#[test_case("/routes/0/fanout/1", json!("nobody"); "a fanout names an unknown service")]
#[test_case("/routes/2/shares/0/backend", json!("nobody"); "a weighted service is unknown")]
#[test_case("/routes/2/path_prefix", json!("/gozi722/"); "two routes with one host and prefix")]
#[test_case("/routes/0/authority", json!(3); "a host that is a number")]
#[test_case("/routes/2/shares", json!([{"backend": "a", "weight": 0}]); "weights that add up to 0")]
#[test_case("/routes/2/shares", json!([]); "an empty list of weighted services")]
#[test_case("/routes/2/shares/0/weight", json!(-1); "a weight below 0")]
#[test_case("/routes/1/deadline_ms", json!(0); "a deadline of 0")]
#[test_case("/routes/1/deadline_ms", json!("soon"); "a deadline that is a string")]
#[test_case("/routes/1/deadline_ms", json!(-4); "a deadline below 0")]
#[test_case("/routes/1/path_prefix", json!("/gozi722"); "a prefix without its last slash")]
#[test_case("/routes/1/traffic_class", json!("perhaps"); "an unknown class")]
#[test_case("/routes/0/quorum", json!(1.5); "a quorum above 1")]
#[test_case("/routes/0/fanout", json!(["a", "a"]); "a fanout that names a service twice")]
#[test_case("/routes/0/fanout", json!([]); "an empty fanout")]
#[test_case("/routes/1/backend", json!(null); "a route without a service")]
#[test_case("/backends/1/name", json!("a"); "two services with one name")]
#[test_case("/epoch", json!(null); "no epoch")]
#[test_case("/routes", json!({}); "routes that are not a list")]
fn given_an_invalid_configuration_when_parsed_then_it_is_rejected(pointer: &str, value: serde_json::Value) {
    let errors = parse_config(&changed(config_json(), pointer, value)).unwrap_err();
    assert!(!errors.is_empty());
}

#[test_case(json!({"epoch": 1, "routes": [], "backends": []}); "required keys only")]
#[test_case(changed(config_json(), "/routes/1/deadline_ms", json!(600.0)); "an integer written as a float")]
#[test_case(changed(config_json(), "/routes/1/traffic_class", json!(null)); "no traffic class")]
#[test_case(changed(config_json(), "/routes/1", json!({"authority": "x", "path_prefix": "/", "backend": "a"}));
    "a route with required keys only")]
#[test_case(changed(config_json(), "/backends/0", json!({"name": "a", "address": "10.0.0.1:80", "x": [1]}));
    "unknown keys")]
#[test_case(changed(config_json(), "/routes/2/authority", json!("daka4.example")); "two routes with one prefix and different hosts")]
#[test_case(without(config_json(), "/limits"); "no limits")]
fn given_an_allowed_variation_when_parsed_then_it_is_accepted(json: serde_json::Value) {
    let parsed = parse_config(&json);
    assert!(parsed.is_ok(), "{parsed:?}");
}

#[test_case(r#"{"epoch": 7, "routes": [], "backends": [],}"#; "a trailing comma")]
#[test_case(r#"{"epoch": 7, "routes": [], /* no */ "backends": []}"#; "a comment")]
#[test_case(r#"{"epoch": 7, "routes": [], "backends": []"#; "truncated")]
#[test_case(""; "empty text")]
#[test_case("[]"; "a list")]
fn given_text_that_is_not_a_strict_json_object_when_parsed_then_it_is_rejected(text: &str) {
    assert!(SystemConfig::validate(text.as_bytes()).is_err());
}

#[test]
fn given_several_errors_when_parsed_then_all_are_returned_with_their_paths() {
    let json = changed(config_json(), "/routes/0/quorum", json!(2));
    let json = changed(json, "/routes/1/deadline_ms", json!(0));
    assert_eq!(paths(parse_config(&json).unwrap_err()), ["routes[0].quorum", "routes[1].deadline_ms"]);
}

#[test]
fn given_a_configuration_when_its_epoch_is_checked_then_it_must_be_above_the_current_one() {
    let config = parse_config(&config_json()).unwrap();
    assert!(config.check_epoch_above(6).is_ok());
    assert!(config.check_epoch_above(7).is_err());
}

proptest! {
    #[test]
    fn given_a_changed_byte_or_truncation_when_parsed_then_nothing_panics(index in 0usize..2000, byte: u8, truncate: bool) {
        let mut bytes = config_json().to_string().into_bytes();
        let index = index % bytes.len();
        if truncate { bytes.truncate(index) } else { bytes[index] = byte }
        let _ = SystemConfig::validate(&bytes);
        fernknot_schema::json_digest(&bytes);
    }
}
