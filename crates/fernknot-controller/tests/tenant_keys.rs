//! Keys of tenants at controllers: subscribers receive their digests, and only the operator who reads the
//! configuration gets them back.

mod common;

use common::{Cluster, config_json, ms};
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic, Subscription};
use test_case::test_case;

const KEYS: [&str; 2] = ["qiqrh4jcda9rgy35ieis", "zzxsr7i427eya6u6sz00"];

/// Returns a configuration with this JSON as its list of tenants.
fn with_tenants(epoch: u64, tenants: &str) -> String {
    let mut config = config_json(epoch, "one");
    config.truncate(config.len() - 1);
    config + r#","tenants":"# + tenants + "}"
}

fn valid(epoch: u64) -> String {
    with_tenants(
        epoch,
        r#"[{"name":"acme","api_keys":["qiqrh4jcda9rgy35ieis"]},{"name":"zeta","api_keys":["zzxsr7i427eya6u6sz00"]}]"#,
    )
}

fn assert_has_no_key(output: &str) {
    for key in KEYS {
        assert!(!output.contains(&key[..6]), "{key} in {output}");
    }
}

#[test]
fn given_a_version_with_tenants_then_subscribers_get_digests_that_the_keys_have_and_the_operator_gets_the_body()
 {
    let mut cluster = Cluster::of_three();
    let early = cluster.subscribe(1, Subscription::All, 0);
    assert_eq!(cluster.replace_config(2, 0, &valid(7)), 200);
    cluster.run(ms(50));
    let late = cluster.subscribe(3, Subscription::All, 0);
    for subscriber in [early, late] {
        let updates = &cluster.received[&subscriber];
        assert!(!updates.iter().any(|update| matches!(update, ControllerToGateway::Config { .. })));
        let access = updates.iter().find_map(|update| match update {
            ControllerToGateway::ConfigWithAccessControl { access, .. } => Some(access),
            _ => None,
        });
        let access = access.expect("the configuration is sent");
        assert_eq!(access.tenants[0].keys, [access.digest_key.digest(KEYS[0].as_bytes())]);
        assert_eq!(access.tenants[1].keys, [access.digest_key.digest(KEYS[1].as_bytes())]);
        assert_has_no_key(&format!("{updates:?}"));
    }
    assert_eq!(cluster.read_config(3), (200, valid(7)));
}

#[test_case(r#"[{"name":"acme","api_keys":["qiqrh4jcda9rgy35ieis"]},{"name":"zeta","api_keys":["qiqrh4jcda9rgy35ieis"]}]"#; "two tenants with one key")]
#[test_case(r#"["qiqrh4jcda9rgy35ieis"]"#; "a key in place of a tenant")]
#[test_case(r#"{"qiqrh4jcda9rgy35ieis":"acme"}"#; "an object in place of the list")]
#[test_case(r#"[{"name":"acme","api_keys":"qiqrh4jcda9rgy35ieis"}]"#; "a key in place of the keys")]
#[test_case(r#"[{"name":"acme","rank":"qiqrh4jcda9rgy35ieis"}]"#; "a key in place of the rank")]
#[test_case(r#"[{"name":"acme","api_keys":["qiqrh4jcda9rgy35ieis"]}"#; "a truncated list")]
fn given_invalid_tenants_then_the_version_is_rejected_and_no_reply_log_line_or_report_has_a_key(
    tenants: &str,
) {
    let mut cluster = Cluster::of_three();
    assert_eq!(cluster.replace_config(1, 0, &valid(7)), 200);
    for controller in 1..=3 {
        assert_eq!(cluster.replace_config(controller, 7, &with_tenants(9, tenants)), 400);
    }
    // The version that is in force stays, and a race for the next one is lost.
    assert_eq!(cluster.replace_config(1, 5, &valid(8)), 412);
    assert_eq!(cluster.replace_config(2, 7, &valid(10)), 200);
    (1..=3).for_each(|controller| cluster.kill(controller));
    (1..=3).for_each(|controller| cluster.start(controller, false));
    cluster.run(ms(3000));
    assert_eq!(cluster.read_config(2), (200, valid(10)));
    let topics = [
        InspectionTopic::Nodes,
        InspectionTopic::Views,
        InspectionTopic::Relays,
        InspectionTopic::Ownership,
        InspectionTopic::Counters,
    ];
    for topic in topics {
        let report = cluster.send_as_operator(1, GatewayToController::Inspect(topic));
        assert_has_no_key(&format!("{report:?}"));
    }
    assert!(
        cluster.log_lines.iter().any(|line| line.contains("version 10 is active")),
        "{:?}",
        cluster.log_lines
    );
    cluster.log_lines.iter().for_each(|line| assert_has_no_key(line));
    let replies = cluster.replies.values().filter(|(_, body)| *body != valid(10));
    replies.for_each(|(_, body)| assert_has_no_key(body));
}
