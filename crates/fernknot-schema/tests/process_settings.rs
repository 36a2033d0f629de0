//! Parsing of process settings: valid ones are accepted with their defaults, invalid ones are rejected with all errors.

mod common;

use common::{changed, paths, settings_json, without};
use fernknot_schema::{PortRange, ProcessSettings};
use serde_json::{Value, json};
use test_case::test_case;

fn parse(json: &Value) -> Result<ProcessSettings, Vec<String>> {
    ProcessSettings::parse(json.to_string().as_bytes()).map_err(paths)
}

#[test]
fn given_valid_settings_when_parsed_then_every_setting_has_its_value() {
    let settings = parse(&settings_json()).unwrap();
    assert!(settings.serves_edge() && !settings.serves_control());
    assert_eq!(settings.bind_addrs.front_addr, Some("10.1.0.29:8726".parse().unwrap()));
    assert_eq!(settings.port_range, PortRange { first: 7120, last: 7135 });
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!((settings.limits.cpu_share, settings.limits.fd_limit), (0.21, 4100));
    assert_eq!(settings.data_dir, None);
    assert_eq!((settings.bounds.apply_ms, settings.bounds.retry_ratio), (3000.5, 0.2));
    assert_eq!(settings.bounds.grace_s, 6.0, "a missing bound has its default");
    assert_eq!(settings.fault_budget.machine_losses, 1);
}

#[test]
fn given_several_errors_when_parsed_then_all_are_returned() {
    let json = changed(settings_json(), "/limits/cpu_share", json!("much"));
    let json = changed(json, "/bind_addrs/front_addr", json!("here"));
    let json = changed(json, "/seeds/1", json!("10.2.0.43"));
    let json = changed(json, "/port_range", json!([9, 4]));
    let json = changed(json, "/bounds/apply_ms", json!(-1));
    let json = without(json, "/zone");
    let mut paths_found = parse(&json).unwrap_err();
    paths_found.sort();
    let expected = ["bind_addrs.front_addr", "bounds.apply_ms", "limits.cpu_share", "port_range"];
    assert_eq!(paths_found, [&expected[..], &["seeds[1]", "zone"]].concat());
}

#[test]
fn given_a_served_group_without_a_bind_address_when_parsed_then_the_missing_address_is_an_error() {
    let json = changed(settings_json(), "/serves", json!(["edge", "control_plane"]));
    assert_eq!(parse(&json).unwrap_err(), ["bind_addrs.control_addr"]);
}

#[test_case("/bounds"; "no bounds")]
#[test_case("/limits"; "no limits")]
#[test_case("/fault_budget"; "no budget")]
#[test_case("/region"; "no region")]
#[test_case("/seeds"; "no seeds")]
fn given_settings_without_an_optional_key_when_parsed_then_they_are_accepted(key: &str) {
    let settings = parse(&without(settings_json(), key)).unwrap();
    assert_eq!(settings.region, "windhoek", "a missing region is that of the zone");
}
