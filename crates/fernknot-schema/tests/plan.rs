mod common;

use common::{changed, places, plan_json, read_plan, without};
use fernknot_schema::{RouteTarget, RoutingConfig, TrafficClass, json_digest};
use proptest::prelude::*;
use serde_json::json;
use test_case::test_case;

#[test]
fn given_a_right_configuration_when_read_then_every_part_is_there() {
    let plan = read_plan(&plan_json()).unwrap();
    assert_eq!(plan.epoch, 7);
    assert_eq!(plan.limits.body_bytes, 262144);
    assert_eq!(plan.services[2].max_connections, 100);
    let [gather, plain, split] = &plan.routes[..] else { panic!("three routes") };
    let shards = vec!["a".to_string(), "b".to_string()];
    assert_eq!(gather.target, RouteTarget::Fanout { shards, top_k: 200, quorum: 0.6 });
    assert_eq!(
        (plain.traffic_class, plain.deadline_ms, plain.max_attempts),
        (TrafficClass::Mutating, 5000, 2)
    );
    assert_eq!(split.target, RouteTarget::WeightedServices(vec![("a".into(), 1.0), ("c".into(), 2.5)]));
    assert_eq!(plan, bitcode::decode::<RoutingConfig>(&bitcode::encode(&plan)).unwrap());
}

#[test_case("/routes/1/backend", json!("nobody"); "a route names an unknown service")]
#[test_case("/routes/0/fanout/1", json!("nobody"); "a fanout names an unknown service")]
#[test_case("/routes/2/shares/0/backend", json!("nobody"); "shares name an unknown service")]
#[test_case("/routes/2/path_prefix", json!("/gozi722/"); "two routes with one host and prefix")]
#[test_case("/routes/0/authority", json!(3); "a host that is a number")]
#[test_case("/routes/2/shares", json!([{"backend": "a", "weight": 0}]); "weights that add up to 0")]
#[test_case("/routes/2/shares", json!([]); "no shares at all")]
#[test_case("/routes/2/shares/0/weight", json!(-1); "a weight below 0")]
#[test_case("/routes/1/deadline_ms", json!(0); "a deadline of 0")]
#[test_case("/routes/1/deadline_ms", json!("soon"); "a deadline in words")]
#[test_case("/routes/1/deadline_ms", json!(-4); "a deadline below 0")]
#[test_case("/routes/1/path_prefix", json!("/gozi722"); "a prefix without its last slash")]
#[test_case("/routes/1/traffic_class", json!("perhaps"); "an unknown class")]
#[test_case("/routes/0/quorum", json!(1.5); "a quorum above 1")]
#[test_case("/routes/0/fanout", json!(["a", "a"]); "a fanout that names a service twice")]
#[test_case("/routes/0/fanout", json!([]); "a fanout of nothing")]
#[test_case("/routes/1/backend", json!(null); "a route to nowhere")]
#[test_case("/backends/1/name", json!("a"); "two services of one name")]
#[test_case("/epoch", json!(null); "no epoch")]
#[test_case("/routes", json!({}); "routes that are no list")]
fn given_an_invalid_configuration_when_read_then_it_is_refused(at: &str, value: serde_json::Value) {
    let faults = read_plan(&changed(plan_json(), at, value)).unwrap_err();
    assert!(!faults.is_empty());
}

#[test_case(json!({"epoch": 1, "routes": [], "backends": []}); "nothing but what must be there")]
#[test_case(changed(plan_json(), "/routes/1/deadline_ms", json!(600.0)); "a number with a point")]
#[test_case(changed(plan_json(), "/routes/1/traffic_class", json!(null)); "no class")]
#[test_case(changed(plan_json(), "/routes/1", json!({"authority": "x", "path_prefix": "/", "backend": "a"}));
    "a bare route")]
#[test_case(changed(plan_json(), "/backends/0", json!({"name": "a", "address": "10.0.0.1:80", "x": [1]}));
    "unknown keys")]
#[test_case(changed(plan_json(), "/routes/2/authority", json!("daka4.example")); "another host's prefix")]
#[test_case(without(plan_json(), "/limits"); "no limits")]
fn given_what_is_not_forbidden_when_read_then_it_passes(json: serde_json::Value) {
    let read = read_plan(&json);
    assert!(read.is_ok(), "{read:?}");
}

#[test_case(r#"{"epoch": 7, "routes": [], "backends": [],}"#; "a trailing comma")]
#[test_case(r#"{"epoch": 7, "routes": [], /* no */ "backends": []}"#; "a comment")]
#[test_case(r#"{"epoch": 7, "routes": [], "backends": []"#; "cut short")]
#[test_case(""; "nothing")]
#[test_case("[]"; "a list")]
fn given_what_is_no_strict_json_when_read_then_it_is_refused(text: &str) {
    assert!(RoutingConfig::parse(text.as_bytes()).is_err());
}

#[test]
fn given_several_faults_when_read_then_all_are_told_with_their_places() {
    let json = changed(plan_json(), "/routes/0/quorum", json!(2));
    let json = changed(json, "/routes/1/deadline_ms", json!(0));
    assert_eq!(places(read_plan(&json).unwrap_err()), ["routes[0].quorum", "routes[1].deadline_ms"]);
}

#[test]
fn given_a_plan_when_checked_then_only_a_higher_epoch_follows() {
    let plan = read_plan(&plan_json()).unwrap();
    assert!(plan.check_epoch_above(6).is_ok());
    assert!(plan.check_epoch_above(7).is_err());
}

#[test]
fn given_one_value_spelt_twice_when_digested_then_the_digests_are_equal() {
    let one = br#"{"epoch": 7, "routes": [{"a": 1.0, "b": "x"}]}"#;
    let other = br#"{"routes":[{"b":"\u0078","a":1}],"epoch":7}"#;
    assert_eq!(json_digest(one), json_digest(other));
    assert_eq!(json_digest(one), 298_804_585_013_390_113, "the same in every life and on every machine");
}

#[test_case(br#"{"a": [1, 2]}"#, br#"{"a": [2, 1]}"#; "an order that counts")]
#[test_case(br#"{"a": 1}"#, br#"{"a": "1"}"#; "a number and its name")]
#[test_case(br#"{"a": 1}"#, br#"{"a": 1.5}"#; "a fraction")]
#[test_case(br#"["ab", "c"]"#, br#"["a", "bc"]"#; "where a string ends")]
#[test_case(br#"{"a": 1"#, br#"{"a": 2"#; "no JSON")]
fn given_two_values_when_digested_then_the_digests_differ(one: &[u8], other: &[u8]) {
    assert_ne!(json_digest(one), json_digest(other));
}

proptest! {
    #[test]
    fn given_any_damage_when_read_then_nothing_panics(at in 0usize..2000, byte: u8, cut: bool) {
        let mut bytes = plan_json().to_string().into_bytes();
        let at = at % bytes.len();
        if cut { bytes.truncate(at) } else { bytes[at] = byte }
        let _ = RoutingConfig::parse(&bytes);
        json_digest(&bytes);
    }
}
