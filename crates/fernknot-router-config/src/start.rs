//! What a router on sockets is told when it starts: the environment, and the file it names.

use crate::facts::{Facts, SocketFacts};
use crate::limits::Limits;
use fernknot::interface::{Nanos, SiteFacts};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Bounds,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<Box<RawValue>>,
    fleet: Option<FleetGiven>,
    settings: Facts,
}

/// Membership among the routers; off where the key is left out.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetGiven {
    /// Milliseconds.
    period: Option<f64>,
    datagrams: Option<f64>,
}

#[derive(Deserialize)]
struct Bounds {
    memory_mb: f64,
    sockets: usize,
}

/// How routers reach each other, where they may.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    pub listen: SocketAddr,
    /// In the order of their numbers, this router among them.
    pub peers: Vec<SocketAddr>,
    pub all_peers: SocketAddr,
}

/// How routers keep track of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// One other router is probed in each.
    pub probe_period: Nanos,
    /// The most datagrams that a router sends for it in a second.
    pub max_datagrams_per_s: f64,
    /// Prints of the routers' addresses and of this one's name, the same at every router.
    pub router_fingerprints: Vec<u32>,
    pub name_fingerprint: u32,
}

#[derive(Debug)]
pub struct RouterConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Failed hand-offs and connections are logged too.
    pub verbose: bool,
    /// The list as it was last known, in discovery's form.
    pub last_known_list: Option<Box<RawValue>>,
    pub peer_addresses: Option<PeerAddresses>,
    pub membership: Option<MembershipSettings>,
    pub site: SiteFacts,
    pub sockets: SocketFacts,
    pub limits: Limits,
}

/// Which goes first where the environment and the file both say something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    Environment,
    /// For a file that is read again: the environment still says what it said at the start.
    File,
}

impl RouterConfig {
    /// Messages name the key at fault.
    pub fn read(
        first: Precedence,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, String> {
        let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG: not set")?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| format!("ROUTER_CONFIG: {path}: {error}"))?;
        RouterConfig::parse(&text, first, variable)
    }

    pub fn parse(
        text: &str,
        first: Precedence,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            fault(&path, &error.into_inner().to_string())
        })?;
        let given = |name: &str, key: &str, value: Option<String>| {
            let (environment, file) = (variable(name), value);
            let given = if first == Precedence::File { file.or(environment) } else { environment.or(file) };
            given.ok_or(format!("{key}: missing, and {name} is not set"))
        };
        let name = given("ROUTER_NAME", "name", file.name)?;
        let listen = given("ROUTER_LISTEN", "listen", file.listen)?;
        let discovery = given("ROUTER_DISCOVERY", "discovery", file.discovery)?;
        let verbose = match variable("ROUTER_LOG").as_deref() {
            None | Some("info") => false,
            Some("debug") => true,
            Some(other) => return Err(format!("ROUTER_LOG: {other:?} is neither info nor debug")),
        };
        let settings = |message: String| format!("settings.{message}");
        let mut site = file.settings.site().map_err(settings)?;
        // On sockets a multiget is one request with one answer: there is no second step.
        site.use_cases.iter_mut().for_each(|use_case| use_case.second_step = false);
        let sockets = file.settings.sockets().map_err(settings)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: {:?} is not 16 hex digits", file.seed))?;
        let told = match (site.peers && site.routers > 1, file.peer_listen, file.peers_all) {
            (false, _, _) => None,
            (true, Some(own), Some(all)) => Some(PeerAddresses {
                listen: address("peer_listen", &own)?,
                peers: file
                    .peers
                    .iter()
                    .enumerate()
                    .map(|(index, peer)| address(&format!("peers[{index}]"), peer))
                    .collect::<Result<_, _>>()?,
                all_peers: address("peers_all", &all)?,
            }),
            (true, None, _) => return Err("peer_listen: missing, though settings.allowed.peers".to_string()),
            (true, _, None) => return Err("peers_all: missing, though settings.allowed.peers".to_string()),
        };
        let fleet =
            file.fleet.map(|given| fleet(&given, &name, told.as_ref(), sockets.position)).transpose()?;
        Ok(RouterConfig {
            name,
            listen: address("listen", &listen)?,
            discovery: address("discovery", &discovery)?,
            seed,
            verbose,
            last_known_list: file.known,
            peer_addresses: told,
            membership: fleet,
            limits: Limits::new(file.limits.sockets, file.limits.memory_mb, &sockets)?,
            site,
            sockets,
        })
    }
}

/// The key at fault, where a missing one is known only by its place and name, and what is wrong.
fn fault(path: &str, message: &str) -> String {
    let missing = message.strip_prefix("missing field `").and_then(|rest| rest.split_once('`'));
    match (path, missing) {
        (".", Some((key, _))) => format!("{key}: missing"),
        (path, Some((key, _))) => format!("{path}.{key}: missing"),
        (".", None) => format!("the configuration: {message}"),
        (path, None) => format!("{path}: {message}"),
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is no address with a port"))
}

/// FNV-1a: a short name that is the same at every router.
pub fn fingerprint(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

fn fleet(
    given: &FleetGiven,
    name: &str,
    told: Option<&PeerAddresses>,
    position: usize,
) -> Result<MembershipSettings, String> {
    let told = told.ok_or("fleet: needs settings.allowed.peers, and more than one of settings.balancers")?;
    let (period, datagrams_per_s) = (given.period.unwrap_or(400.0), given.datagrams.unwrap_or(16.0));
    if !(20.0..=60_000.0).contains(&period) {
        return Err(format!("fleet.period: {period} is not between 20 and 60000 milliseconds"));
    }
    // Fewer would not let it answer those that probe it.
    let least = 4.0 * 1000.0 / period;
    if !(datagrams_per_s >= least && datagrams_per_s <= 10_000.0) {
        return Err(format!("fleet.datagrams: {datagrams_per_s} is not between {least} and 10000 a second"));
    }
    if position >= told.peers.len() {
        return Err(format!("settings.position: {position} is none of the {} of peers", told.peers.len()));
    }
    let routers: Vec<u32> = told.peers.iter().map(|peer| fingerprint(&peer.to_string())).collect();
    for (index, id) in routers.iter().enumerate() {
        if let Some(first) = routers[..index].iter().position(|other| other == id) {
            return Err(format!(
                "peers[{index}]: has the address, or the address's print, of peers[{first}]"
            ));
        }
    }
    Ok(MembershipSettings {
        probe_period: Nanos::from_millis(period),
        max_datagrams_per_s: datagrams_per_s,
        router_fingerprints: routers,
        name_fingerprint: fingerprint(name),
    })
}
