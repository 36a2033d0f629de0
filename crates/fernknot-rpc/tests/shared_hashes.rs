//! Hashes that processes tell each other, keep on disk or must agree on are those of earlier releases.
//!
//! The numbers are from the build of commit 25f41f5; a difference parts processes of both releases.

use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, IncarnationId, key_hash, splitmix64};
use fernknot_registry::incarnation_hash;
use fernknot_schema::json_digest;
use std::net::{Ipv4Addr, SocketAddrV4};

const LIFE_HASH: u64 = 0xe696_ecc2_2078_79c3;
const KEY_HASH: u64 = 0x11ec_c33b_f6dd_cb2e;
const SCATTERED: u64 = 0x910a_2dec_8902_5cc1;
const OWNERS: [IncarnationId; 3] = [IncarnationId(0x3003), IncarnationId(0x3003), IncarnationId(0x3001)];
const DIGEST: u64 = 0xdfba_87ae_db49_5658;
const DIGEST_OF_OTHER_BYTES: u64 = 0xfcba_4211_f6ce_df6c;

/// The owner of a key among five gateways.
fn owner_of(key: &str) -> IncarnationId {
    let live = (0x3001..=0x3005).map(|life| GatewayRecord {
        incarnation: IncarnationId(life),
        addr: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7120),
        zone: "zone-1".into(),
    });
    let cut =
        Assignment { fencing_token: FencingToken::new(1, 1), gateways: live.collect(), presumed_alive: 5 };
    cut.owner(None, key).expect("one of the gateways").incarnation
}

/// By this hash controllers tell each other which nodes are alive.
#[test]
fn given_the_id_of_a_node_when_hashed_then_it_is_as_recorded() {
    assert_eq!(incarnation_hash("node-1"), LIFE_HASH);
}

/// By these all gateways find the same owner of a key.
#[test]
fn given_a_key_when_its_owner_is_sought_then_it_is_as_recorded() {
    assert_eq!(key_hash("service-1"), KEY_HASH);
    assert_eq!(splitmix64(1), SCATTERED);
    assert_eq!(["service-1", "service-2", "service-3"].map(owner_of), OWNERS);
}

/// By this hash a controller knows a configuration again that was accepted.
#[test]
fn given_a_configuration_when_its_digest_is_taken_then_it_is_as_recorded() {
    let spellings = [
        r#"{"epoch":1,"routes":[null,true,"a",-2,0.5]}"#,
        r#"{ "routes": [null, true, "a", -2, 5e-1], "epoch": 1 }"#,
    ];
    assert_eq!(spellings.map(|text| json_digest(text.as_bytes())), [DIGEST; 2]);
    assert_eq!(json_digest(b"no JSON"), DIGEST_OF_OTHER_BYTES);
}
