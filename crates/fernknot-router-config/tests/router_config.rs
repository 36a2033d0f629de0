//! Validation and defaults of the router's configuration.

use fernknot::interface::{Effect, Nanos, ZoneId};
use fernknot_router_config::{Precedence, RouterConfig, UnansweredBlock};
use serde_json::{Value, json};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/config.json");

/// Returns the example configuration with one value changed; `null` removes the key.
fn with_value(path: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(object), Value::Null) => drop(object.remove(key)),
        (Value::Object(object), value) => drop(object.insert(key.to_string(), value)),
        _ => panic!("{path} does not exist"),
    }
    config.to_string()
}

#[test_case("/seed", json!("xyz"), "seed: "; "seed not in hexadecimal")]
#[test_case("/seed", Value::Null, "seed: missing"; "seed missing")]
#[test_case("/listen", Value::Null, "listen: "; "listen missing")]
#[test_case("/listen", json!("nowhere"), "listen: "; "address without an IP address")]
#[test_case("/discovery", json!("localhost"), "discovery: "; "address without a port")]
#[test_case("/limits/sockets", json!(10), "limits.sockets: "; "too few sockets")]
#[test_case("/limits/sockets", json!("many"), "limits.sockets: "; "sockets not a number")]
#[test_case("/limits/memory_mb", json!(1), "limits.memory_mb: "; "too little memory")]
#[test_case("/settings/rules/coldFrom", Value::Null, "settings.rules.coldFrom: missing"; "slow start rule missing")]
#[test_case("/settings/rules/drainGrace", Value::Null, "settings.rules.drainGrace: "; "drain grace missing")]
#[test_case("/settings/allowed/connIdle", json!(0), "settings.allowed.connIdle: "; "idle time of zero")]
#[test_case("/settings/allowed/maxStreams", json!(0), "settings.allowed.maxStreams: "; "no streams allowed")]
#[test_case("/settings/familyInfo/slabs", Value::Null, "settings.familyInfo.slabs: "; "shards missing")]
#[test_case("/settings/classes/0/effect", json!("odd"), "settings.classes[0].effect: "; "unknown effect")]
#[test_case("/settings/classes/1/name", json!("page"), "settings.classes[1].name: "; "duplicate use case name")]
#[test_case("/settings/position", Value::Null, "settings.position: "; "position missing")]
#[test_case("/settings/locality", json!(3), "settings.locality: 3 "; "zone index out of range")]
#[test_case("/settings/locality", json!("a"), "settings.locality: "; "zone given by name")]
#[test_case("/settings/zones", json!([1]), "settings.zones[0]: "; "zone name not a string")]
#[test_case("/settings/worthBy", json!("weight"), "settings.worthBy: "; "unknown value unit")]
#[test_case("/settings/clientHabits", json!({"marksRetry": 1}), "settings.clientHabits.marksRetry: "; "retry mark not a boolean")]
#[test_case("/settings/rules/extraShare", json!(0.1), "settings.rules.countedOver: "; "retry budget without a window")]
#[test_case("/settings/classes/0/phases", json!({"leastFirst": 0}), "settings.classes[0].phases.leastFirst: 0 "; "minimum share of zero")]
#[test_case("/settings/classes/0/phases", json!({"leastFirst": 0.7, "mostFirst": 0.6}), "settings.classes[0].phases.mostFirst: 0.6 "; "maximum share below the minimum")]
#[test_case("/settings/classes/1/phases", json!({"leastMatches": 1.5}), "settings.classes[1].phases.leastMatches: 1.5 "; "match share above one")]
#[test_case("/settings/classes/0/phases", json!({"silent": "wait"}), "settings.classes[0].phases.silent: "; "unknown handling of unanswered blocks")]
#[test_case("/settings/classes/0/phases", json!({"lestFirst": 0.1}), "settings.classes[0].phases.lestFirst: unknown"; "misspelt key")]
fn a_configuration_error_names_the_invalid_key(path: &str, value: Value, message: &str) {
    let text = match path {
        "/settings/classes/0/effect" | "/settings/classes/1/name" => {
            let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
            *config.pointer_mut(path).unwrap() = value;
            config.to_string()
        }
        _ => with_value(path, value),
    };
    let error = RouterConfig::parse(&text, Precedence::Environment, |_| None).unwrap_err().to_string();
    assert!(error.starts_with(message) && !error.contains('\n'), "{error}");
}

#[test]
fn a_use_case_has_two_phases_only_if_its_settings_enable_them() {
    let text = with_value("/settings/classes/1/phases", json!({"leastFirst": 0.3, "silent": "leave"}));
    let phases = RouterConfig::parse(&text, Precedence::Environment, |_| None).unwrap().sockets.phases;
    assert!(phases[0].is_none() && phases[2].is_none());
    let phases = phases[1].as_ref().unwrap();
    assert_eq!(
        (phases.min_first_phase_share, phases.max_first_phase_share, phases.unanswered_block),
        (0.3, 0.8, UnansweredBlock::Leave)
    );
    assert_eq!(
        (phases.min_match_share, phases.latency_target),
        (0.5, Nanos(1_500_000_000)),
        "the use case's own minimum share and latency target"
    );
    assert!(phases.rejects_late_second_phase && phases.prunes_unmatched && !phases.may_name_other_blocks);
}

#[test]
fn zones_and_value_by_work_are_off_by_default() {
    let site = |text: &str| RouterConfig::parse(text, Precedence::Environment, |_| None).unwrap().site;
    let default = site(EXAMPLE);
    assert_eq!((default.value_by_work, default.clients_mark_retries, default.zone), (false, true, None));
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    config["settings"]["worthBy"] = json!("work");
    config["settings"]["clientHabits"] = json!({"marksRetry": false});
    config["settings"]["zones"] = json!(["a", "b"]);
    config["settings"]["locality"] = json!(1);
    let changed = site(&config.to_string());
    assert_eq!(
        (changed.value_by_work, changed.clients_mark_retries, changed.zone),
        (true, false, Some(ZoneId(1)))
    );
}

#[test]
fn addresses_are_required_where_peers_are_allowed() {
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    config["settings"]["allowed"]["peers"] = json!(true);
    config["settings"]["balancers"] = json!(2);
    let parse = |config: &Value| RouterConfig::parse(&config.to_string(), Precedence::Environment, |_| None);
    assert!(parse(&config).unwrap_err().to_string().starts_with("peer_listen: "));
    config["peer_listen"] = json!("127.0.0.1:1");
    assert!(parse(&config).unwrap_err().to_string().starts_with("peers_all: "));
    config["peers_all"] = json!("127.0.0.1:2");
    config["peers"] = json!(["127.0.0.1:3", "x"]);
    assert!(parse(&config).unwrap_err().to_string().starts_with("peers[1]: "));
}

#[test]
fn the_environment_takes_precedence_at_the_start_and_unknown_keys_are_ignored() {
    let variable = |name: &str| (name == "ROUTER_LISTEN").then(|| "127.0.0.1:9".to_string());
    let with_unknown_key = with_value("/settings/novel", json!([1]));
    let reloaded = RouterConfig::parse(&with_unknown_key, Precedence::File, variable).unwrap();
    assert_ne!(reloaded.listen.port(), 9, "in a reload the file takes precedence");
    let start = RouterConfig::parse(&with_unknown_key, Precedence::Environment, variable).unwrap();
    assert_eq!((start.listen.port(), start.discovery.port(), start.name.as_str()), (9, 8500, "n0"));
    let invalid_log_level = |name: &str| (name == "ROUTER_LOG").then(|| "loud".to_string());
    assert!(
        RouterConfig::parse(EXAMPLE, Precedence::Environment, invalid_log_level)
            .unwrap_err()
            .to_string()
            .starts_with("ROUTER_LOG: ")
    );
    assert_eq!(start.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(start.site.use_cases[2].effect, Effect::Deduplicated(Nanos(3_000_000_000)));
    assert!(start.sockets.use_cases[2].1 && !start.sockets.use_cases[0].1);
}

#[test_case(1024, 192.0; "typical resources")]
#[test_case(40, 8.0; "minimum resources")]
#[test_case(65536, 64.0; "many sockets, little memory")]
fn limits_stay_within_the_configured_sockets_and_memory(sockets: usize, memory_mb: f64) {
    let text = with_value("/limits", json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}));
    let limits = RouterConfig::parse(&text, Precedence::Environment, |_| None).unwrap().limits;
    assert!(limits.max_clients >= 8 && limits.max_node_connections >= 5);
    assert!(limits.max_clients + limits.max_node_connections + 16 <= sockets);
    assert!(limits.read_ahead_bytes > limits.max_head_bytes);
    let buffered = limits.max_clients * (2 * limits.read_ahead_bytes + limits.max_body_bytes);
    assert!(buffered as f64 <= memory_mb * 1024.0 * 1024.0 / 2.0);
    assert!(
        limits.node_idle_timeout < Nanos(15_000_000_000) && limits.min_watch_interval < Nanos(200_000_000)
    );
}

/// Returns the example configuration for one of three routers that may exchange messages, with this `fleet` object,
/// the settings of the membership protocol.
fn with_membership(membership: Value, change: impl Fn(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    config["settings"]["allowed"]["peers"] = json!(true);
    config["settings"]["balancers"] = json!(3);
    config["peer_listen"] = json!("127.0.0.1:7946");
    config["peers_all"] = json!("127.0.0.9:7946");
    config["peers"] = json!(["127.0.0.1:7946", "127.0.0.2:7946", "127.0.0.3:7946"]);
    config["fleet"] = membership;
    change(&mut config);
    config.to_string()
}

#[test]
fn membership_is_off_by_default_and_has_default_settings() {
    let parse = |text: &str| RouterConfig::parse(text, Precedence::Environment, |_| None).unwrap().membership;
    assert_eq!(parse(EXAMPLE), None);
    let membership = parse(&with_membership(json!({}), |_| {})).unwrap();
    assert_eq!(
        (membership.probe_period, membership.max_datagrams_per_s, membership.router_fingerprints.len()),
        (Nanos::from_millis(400.0), 16.0, 3)
    );
}

#[test_case(json!({"period": 1}), |_| {}, "fleet.period: 1 "; "period too short")]
#[test_case(json!({"datagrams": 2}), |_| {}, "fleet.datagrams: 2 "; "too few datagrams to answer probes")]
#[test_case(json!({"perod": 200}), |_| {}, "fleet.perod: unknown"; "misspelt key")]
#[test_case(json!({}), |config| config["settings"]["allowed"]["peers"] = json!(false), "fleet: needs settings.allowed.peers"; "peers not allowed")]
#[test_case(json!({}), |config| config["settings"]["position"] = json!(3), "settings.position: 3 "; "position out of range")]
#[test_case(json!({}), |config| config["peers"][2] = json!("127.0.0.1:7946"), "peers[2]: "; "duplicate address")]
fn a_membership_error_names_the_invalid_key(membership: Value, change: fn(&mut Value), message: &str) {
    let error = RouterConfig::parse(&with_membership(membership, change), Precedence::Environment, |_| None)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with(message), "{error}");
}
