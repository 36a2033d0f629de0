//! Addresses of the peers, and settings of the membership protocol that detects which of them are alive. A router's
//! position is its index among all routers.

use crate::error::{ConfigError, ConfigFault};
use crate::fingerprint::fingerprint;
use fernknot::interface::Nanos;
use serde::Deserialize;
use std::net::SocketAddr;

const DEFAULT_PROBE_PERIOD_MS: f64 = 400.0;
const MIN_PROBE_PERIOD_MS: f64 = 20.0;
const MAX_PROBE_PERIOD_MS: f64 = 60_000.0;
const DEFAULT_DATAGRAMS_PER_S: f64 = 16.0;
const MAX_DATAGRAMS_PER_S: f64 = 10_000.0;
/// Minimum number of datagrams that a router may send per probe period. With fewer, it could not answer the probes of
/// the others.
const MIN_DATAGRAMS_PER_PERIOD: f64 = 4.0;

/// Addresses by which routers reach each other.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of all routers including this one, in the order of their positions.
    pub peers: Vec<SocketAddr>,
    /// Address whose datagrams reach all routers.
    pub all_peers: SocketAddr,
}

/// Settings of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Period in which the router probes one other router, asking whether it is alive.
    pub probe_period: Nanos,
    /// Maximum rate of the membership datagrams that a router sends, per second.
    pub max_datagrams_per_s: f64,
    /// Fingerprints of all routers' addresses, in the order of their positions.
    pub router_fingerprints: Vec<u32>,
    /// Fingerprint of this router's name.
    pub name_fingerprint: u32,
}

/// The `fleet` object of the configuration file; without it the membership protocol is off.
#[derive(Deserialize)]
// The parser's error messages contain the struct's name.
#[serde(deny_unknown_fields)]
pub(crate) struct FleetGiven {
    /// Probe period, in milliseconds.
    period: Option<f64>,
    /// Maximum number of membership datagrams sent per second.
    datagrams: Option<f64>,
}

impl FleetGiven {
    /// Validates the object and fills in the defaults, for the router of this name and position.
    pub(crate) fn validate(
        &self,
        name: &str,
        addresses: Option<&PeerAddresses>,
        position: usize,
    ) -> Result<MembershipSettings, ConfigError> {
        let addresses = addresses.ok_or_else(|| ConfigError::new("fleet", ConfigFault::NeedsPeers))?;
        let period_ms = self.period.unwrap_or(DEFAULT_PROBE_PERIOD_MS);
        let max_datagrams_per_s = self.datagrams.unwrap_or(DEFAULT_DATAGRAMS_PER_S);
        check_period(period_ms)?;
        check_datagrams(max_datagrams_per_s, period_ms)?;
        let peers = addresses.peers.len();
        if position >= peers {
            let fault = ConfigFault::UnknownPeerPosition { position, peers };
            return Err(ConfigError::new("settings.position", fault));
        }
        Ok(MembershipSettings {
            probe_period: Nanos::from_millis(period_ms),
            max_datagrams_per_s,
            router_fingerprints: distinct_fingerprints(&addresses.peers)?,
            name_fingerprint: fingerprint(name),
        })
    }
}

fn check_period(period_ms: f64) -> Result<(), ConfigError> {
    if (MIN_PROBE_PERIOD_MS..=MAX_PROBE_PERIOD_MS).contains(&period_ms) {
        return Ok(());
    }
    let bounds = format!("{MIN_PROBE_PERIOD_MS} and {MAX_PROBE_PERIOD_MS} milliseconds");
    Err(ConfigError::new("fleet.period", ConfigFault::OutOfRange { value: period_ms, bounds }))
}

fn check_datagrams(datagrams_per_s: f64, period_ms: f64) -> Result<(), ConfigError> {
    let min = MIN_DATAGRAMS_PER_PERIOD * 1000.0 / period_ms;
    if datagrams_per_s >= min && datagrams_per_s <= MAX_DATAGRAMS_PER_S {
        return Ok(());
    }
    let bounds = format!("{min} and {MAX_DATAGRAMS_PER_S} a second");
    Err(ConfigError::new("fleet.datagrams", ConfigFault::OutOfRange { value: datagrams_per_s, bounds }))
}

/// Returns the fingerprints of the peers' addresses, which must all differ.
fn distinct_fingerprints(peers: &[SocketAddr]) -> Result<Vec<u32>, ConfigError> {
    let fingerprints: Vec<u32> = peers.iter().map(|peer| fingerprint(&peer.to_string())).collect();
    for (index, own) in fingerprints.iter().enumerate() {
        if let Some(first) = fingerprints[..index].iter().position(|other| other == own) {
            return Err(ConfigError::new(format!("peers[{index}]"), ConfigFault::DuplicatePeer(first)));
        }
    }
    Ok(fingerprints)
}
