//! Hashes that processes exchange, store on disk or must agree on are the same as in earlier releases.
//!
//! The recorded values are from the build of commit 25f41f5; a difference makes the releases incompatible.

use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, IncarnationId, key_hash, splitmix64};
use fernknot_registry::incarnation_hash;
use fernknot_schema::json_digest;
use std::net::{Ipv4Addr, SocketAddrV4};

const INCARNATION_HASH: u64 = 0xe696_ecc2_2078_79c3;
const KEY_HASH: u64 = 0x11ec_c33b_f6dd_cb2e;
const SPLITMIX64_OF_ONE: u64 = 0x910a_2dec_8902_5cc1;
const OWNERS: [IncarnationId; 3] = [IncarnationId(0x3003), IncarnationId(0x3003), IncarnationId(0x3001)];
const CONFIGURATION_DIGEST: u64 = 0xdfba_87ae_db49_5658;
const DIGEST_OF_INVALID_JSON: u64 = 0xfcba_4211_f6ce_df6c;

/// Returns the owner of a key among five gateways.
fn owner_of(key: &str) -> IncarnationId {
    let live = (0x3001..=0x3005).map(|incarnation| GatewayRecord {
        incarnation: IncarnationId(incarnation),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7120),
        zone: "zone-1".into(),
    });
    let assignment =
        Assignment { fencing_token: FencingToken::new(1, 1), gateways: live.collect(), presumed_alive: 5 };
    assignment.owner(None, key).expect("one of the gateways").incarnation
}

/// Controllers identify live nodes to each other by this hash.
#[test]
fn given_a_node_id_when_hashed_then_the_hash_is_the_recorded_one() {
    assert_eq!(incarnation_hash("node-1"), INCARNATION_HASH);
}

/// Gateways derive the owner of a key from these hashes and must agree on it.
#[test]
fn given_a_key_when_its_owner_is_determined_then_it_is_the_recorded_one() {
    assert_eq!(key_hash("service-1"), KEY_HASH);
    assert_eq!(splitmix64(1), SPLITMIX64_OF_ONE);
    assert_eq!(["service-1", "service-2", "service-3"].map(owner_of), OWNERS);
}

/// A controller recognises an accepted configuration by this hash.
#[test]
fn given_a_configuration_when_its_digest_is_computed_then_it_is_the_recorded_one() {
    let equivalent_texts = [
        r#"{"epoch":1,"routes":[null,true,"a",-2,0.5]}"#,
        r#"{ "routes": [null, true, "a", -2, 5e-1], "epoch": 1 }"#,
    ];
    assert_eq!(equivalent_texts.map(|text| json_digest(text.as_bytes())), [CONFIGURATION_DIGEST; 2]);
    assert_eq!(json_digest(b"no JSON"), DIGEST_OF_INVALID_JSON);
}
