//! Which configurations are rejected, and what is made of those that are accepted.

use fernknot::interface::{Effect, Nanos, ZoneId};
use fernknot_router_config::{Precedence, RouterConfig, UnansweredBlock};
use serde_json::{Value, json};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/config.json");

/// The example with one value changed; `null` removes its key.
fn changed(path: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(object), Value::Null) => drop(object.remove(key)),
        (Value::Object(object), value) => drop(object.insert(key.to_string(), value)),
        _ => panic!("{path} names nothing"),
    }
    config.to_string()
}

#[test_case("/seed", json!("xyz"), "seed: "; "no seed")]
#[test_case("/seed", Value::Null, "seed: missing"; "seed missing")]
#[test_case("/listen", Value::Null, "listen: "; "listen missing")]
#[test_case("/listen", json!("nowhere"), "listen: "; "no address")]
#[test_case("/discovery", json!("localhost"), "discovery: "; "no port")]
#[test_case("/limits/sockets", json!(10), "limits.sockets: "; "too few sockets")]
#[test_case("/limits/sockets", json!("many"), "limits.sockets: "; "no number")]
#[test_case("/limits/memory_mb", json!(1), "limits.memory_mb: "; "too little memory")]
#[test_case("/settings/rules/coldFrom", Value::Null, "settings.rules.coldFrom: missing"; "rule missing")]
#[test_case("/settings/rules/drainGrace", Value::Null, "settings.rules.drainGrace: "; "grace missing")]
#[test_case("/settings/allowed/connIdle", json!(0), "settings.allowed.connIdle: "; "no idle time")]
#[test_case("/settings/allowed/maxStreams", json!(0), "settings.allowed.maxStreams: "; "no streams")]
#[test_case("/settings/familyInfo/slabs", Value::Null, "settings.familyInfo.slabs: "; "shards missing")]
#[test_case("/settings/classes/0/effect", json!("odd"), "settings.classes[0].effect: "; "strange effect")]
#[test_case("/settings/classes/1/name", json!("page"), "settings.classes[1].name: "; "a name twice")]
#[test_case("/settings/position", Value::Null, "settings.position: "; "position missing")]
#[test_case("/settings/locality", json!(3), "settings.locality: 3 "; "a zone that is not named")]
#[test_case("/settings/locality", json!("a"), "settings.locality: "; "a zone by name")]
#[test_case("/settings/zones", json!([1]), "settings.zones[0]: "; "a zone without a name")]
#[test_case("/settings/worthBy", json!("weight"), "settings.worthBy: "; "unknown value unit")]
#[test_case("/settings/clientHabits", json!({"marksRetry": 1}), "settings.clientHabits.marksRetry: "; "no yes or no")]
#[test_case("/settings/rules/extraShare", json!(0.1), "settings.rules.countedOver: "; "budget without its window")]
#[test_case("/settings/classes/0/phases", json!({"leastFirst": 0}), "settings.classes[0].phases.leastFirst: 0 "; "no share")]
#[test_case("/settings/classes/0/phases", json!({"leastFirst": 0.7, "mostFirst": 0.6}), "settings.classes[0].phases.mostFirst: 0.6 "; "bounds crossed")]
#[test_case("/settings/classes/1/phases", json!({"leastMatches": 1.5}), "settings.classes[1].phases.leastMatches: 1.5 "; "over one")]
#[test_case("/settings/classes/0/phases", json!({"silent": "wait"}), "settings.classes[0].phases.silent: "; "strange silence")]
#[test_case("/settings/classes/0/phases", json!({"lestFirst": 0.1}), "settings.classes[0].phases.lestFirst: unknown"; "a key misspelt")]
fn an_error_names_its_key(path: &str, value: Value, message: &str) {
    let text = match path {
        "/settings/classes/0/effect" | "/settings/classes/1/name" => {
            let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
            *config.pointer_mut(path).unwrap() = value;
            config.to_string()
        }
        _ => changed(path, value),
    };
    let error = RouterConfig::parse(&text, Precedence::Environment, |_| None).unwrap_err().to_string();
    assert!(error.starts_with(message) && !error.contains('\n'), "{error}");
}

#[test]
fn a_use_case_has_phases_where_it_says_so() {
    let text = changed("/settings/classes/1/phases", json!({"leastFirst": 0.3, "silent": "leave"}));
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
        "the use case's own least share and goal"
    );
    assert!(phases.rejects_late_second_phase && phases.prunes_unmatched && !phases.may_name_other_blocks);
}

#[test]
fn zones_and_value_by_work_are_off_unless_they_are_set() {
    let site = |text: &str| RouterConfig::parse(text, Precedence::Environment, |_| None).unwrap().site;
    let old = site(EXAMPLE);
    assert_eq!((old.by_work, old.marks_repeats, old.zone), (false, true, None));
    let mut config: Value = serde_json::from_str(EXAMPLE).unwrap();
    config["settings"]["worthBy"] = json!("work");
    config["settings"]["clientHabits"] = json!({"marksRetry": false});
    config["settings"]["zones"] = json!(["a", "b"]);
    config["settings"]["locality"] = json!(1);
    let new = site(&config.to_string());
    assert_eq!((new.by_work, new.marks_repeats, new.zone), (true, false, Some(ZoneId(1))));
}

#[test]
fn peers_need_addresses_where_they_are_allowed() {
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
fn the_environment_goes_before_the_file_and_unknown_keys_are_passed_over() {
    let variable = |name: &str| (name == "ROUTER_LISTEN").then(|| "127.0.0.1:9".to_string());
    let novel = changed("/settings/novel", json!([1]));
    let again = RouterConfig::parse(&novel, Precedence::File, variable).unwrap();
    assert_ne!(again.listen.port(), 9, "read again, the file goes first");
    let start = RouterConfig::parse(&novel, Precedence::Environment, variable).unwrap();
    assert_eq!((start.listen.port(), start.discovery.port(), start.name.as_str()), (9, 8500, "n0"));
    let loud = |name: &str| (name == "ROUTER_LOG").then(|| "loud".to_string());
    assert!(
        RouterConfig::parse(EXAMPLE, Precedence::Environment, loud)
            .unwrap_err()
            .to_string()
            .starts_with("ROUTER_LOG: ")
    );
    assert_eq!(start.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(start.site.use_cases[2].effect, Effect::Deduplicated(Nanos(3_000_000_000)));
    assert!(start.sockets.use_cases[2].1 && !start.sockets.use_cases[0].1);
}

#[test_case(1024, 192.0; "as on scored days")]
#[test_case(40, 8.0; "the least")]
#[test_case(65536, 64.0; "many sockets, little memory")]
fn limits_stay_within_the_sockets_and_memory_that_are_given(sockets: usize, memory_mb: f64) {
    let text = changed("/limits", json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}));
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

/// The example as one of three routers that may talk, with membership as given.
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
fn membership_is_off_unless_asked_for_and_has_defaults() {
    let parse = |text: &str| RouterConfig::parse(text, Precedence::Environment, |_| None).unwrap().membership;
    assert_eq!(parse(EXAMPLE), None);
    let membership = parse(&with_membership(json!({}), |_| {})).unwrap();
    assert_eq!(
        (membership.probe_period, membership.max_datagrams_per_s, membership.router_fingerprints.len()),
        (Nanos::from_millis(400.0), 16.0, 3)
    );
}

#[test_case(json!({"period": 1}), |_| {}, "fleet.period: 1 "; "too quick")]
#[test_case(json!({"datagrams": 2}), |_| {}, "fleet.datagrams: 2 "; "too few to answer")]
#[test_case(json!({"perod": 200}), |_| {}, "fleet.perod: unknown"; "a key misspelt")]
#[test_case(json!({}), |config| config["settings"]["allowed"]["peers"] = json!(false), "fleet: needs settings.allowed.peers"; "routers that may not talk")]
#[test_case(json!({}), |config| config["settings"]["position"] = json!(3), "settings.position: 3 "; "not among the peers")]
#[test_case(json!({}), |config| config["peers"][2] = json!("127.0.0.1:7946"), "peers[2]: "; "one address twice")]
fn an_error_in_membership_names_its_key(membership: Value, change: fn(&mut Value), message: &str) {
    let error = RouterConfig::parse(&with_membership(membership, change), Precedence::Environment, |_| None)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with(message), "{error}");
}
