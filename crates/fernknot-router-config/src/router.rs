//! Configuration of a router process, from its environment variables and the file that one of them names. Discovery is
//! the service that lists the data nodes.

use crate::error::{ConfigError, ConfigFault};
use crate::limits::Limits;
use crate::membership::{FleetGiven, MembershipSettings, PeerAddresses};
use crate::settings::RawSettings;
use crate::sockets::SocketSettings;
use fernknot::interface::SiteSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// Complete configuration of a router process.
#[derive(Debug)]
pub struct RouterConfig {
    /// Name of the router in its log.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// Whether failed attempts at parts of queries, and failed connections, are logged too.
    pub verbose: bool,
    /// Last known node list, in the format of discovery's answers; used until discovery has answered. `None` to start
    /// without nodes.
    pub last_known_list: Option<Box<RawValue>>,
    /// Addresses of the peers, the other routers; `None` if routers may not send messages to each other, or there is
    /// only one.
    pub peer_addresses: Option<PeerAddresses>,
    /// Settings of the membership protocol, which detects which routers are alive; `None` if it is off.
    pub membership: Option<MembershipSettings>,
    /// Configuration of the decision module.
    pub site: SiteSettings,
    /// Settings that the decision module does not need, but a router with sockets does.
    pub sockets: SocketSettings,
    /// Limits on the sizes, counts and durations of the router.
    pub limits: Limits,
}

/// Source that takes precedence where both the environment and the file set a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The environment takes precedence, as at the start of the process.
    Environment,
    /// The file takes precedence, as in a reload: the environment cannot have changed since the start.
    File,
}

/// Form of the configuration file, before validation.
#[derive(Deserialize)]
// The parser's error messages contain the struct's name.
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
    settings: RawSettings,
}

/// The `limits` object of the file.
#[derive(Deserialize)]
// The parser's error messages contain the struct's name.
struct Bounds {
    memory_mb: f64,
    sockets: usize,
}

impl RouterConfig {
    /// Reads the file that the environment variable `ROUTER_CONFIG` names; `variable` looks up the environment.
    ///
    /// # Errors
    /// The variable is not set, the file cannot be read, or its content is not valid (see [`RouterConfig::parse`]).
    pub fn read(
        precedence: Precedence,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, ConfigError> {
        let error = |fault| ConfigError::new("ROUTER_CONFIG", fault);
        let path = variable("ROUTER_CONFIG").ok_or_else(|| error(ConfigFault::NotSet))?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(error(ConfigFault::UnreadableFile { path, source })),
        };
        RouterConfig::parse(&text, precedence, variable)
    }

    /// Parses and validates the text of a configuration file; `variable` looks up the environment.
    ///
    /// # Errors
    /// A key is missing or not valid; the first one is reported.
    pub fn parse(
        text: &str,
        precedence: Precedence,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, ConfigError> {
        let file = parse_file(text)?;
        let overridable = |name: &'static str, key: &str, value: &Option<String>| {
            let (environment, file) = (variable(name), value.clone());
            let chosen = match precedence {
                Precedence::Environment => environment.or(file),
                Precedence::File => file.or(environment),
            };
            chosen.ok_or_else(|| ConfigError::new(key, ConfigFault::MissingAndNotSet(name)))
        };
        let name = overridable("ROUTER_NAME", "name", &file.name)?;
        let listen = overridable("ROUTER_LISTEN", "listen", &file.listen)?;
        let discovery = overridable("ROUTER_DISCOVERY", "discovery", &file.discovery)?;
        let verbose = is_verbose(variable("ROUTER_LOG"))?;
        let site = decision_settings(&file.settings)?;
        let sockets = file.settings.socket_settings().map_err(|error| error.below("settings"))?;
        let seed = parse_seed(&file.seed)?;
        let peer_addresses = peer_addresses(&file, &site)?;
        let membership = match &file.fleet {
            Some(raw) => Some(raw.validate(&name, peer_addresses.as_ref(), sockets.position)?),
            None => None,
        };
        Ok(RouterConfig {
            name,
            listen: parse_address("listen", &listen)?,
            discovery: parse_address("discovery", &discovery)?,
            seed,
            verbose,
            last_known_list: file.known,
            peer_addresses,
            membership,
            limits: Limits::new(file.limits.sockets, file.limits.memory_mb, &sockets)?,
            site,
            sockets,
        })
    }
}

fn parse_file(text: &str) -> Result<File, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        malformed(&path, error.into_inner().to_string())
    })
}

/// Converts an error of the parser. For a missing field the parser's path ends at the parent object, and only the
/// message contains the field's name.
fn malformed(path: &str, message: String) -> ConfigError {
    let missing = message.strip_prefix("missing field `").and_then(|rest| rest.split_once('`'));
    match (path, missing) {
        (".", Some((key, _))) => ConfigError::new(key, ConfigFault::Missing),
        (path, Some((key, _))) => ConfigError::new(key, ConfigFault::Missing).below(path),
        (".", None) => ConfigError::new("the configuration", ConfigFault::Malformed(message)),
        (path, None) => ConfigError::new(path, ConfigFault::Malformed(message)),
    }
}

fn is_verbose(level: Option<String>) -> Result<bool, ConfigError> {
    match level.as_deref() {
        None | Some("info") => Ok(false),
        Some("debug") => Ok(true),
        Some(other) => Err(ConfigError::new("ROUTER_LOG", ConfigFault::UnknownLogLevel(other.to_string()))),
    }
}

fn decision_settings(settings: &RawSettings) -> Result<SiteSettings, ConfigError> {
    let mut site = settings.decision_settings().map_err(|error| error.below("settings"))?;
    // On sockets, a multiget has a second phase only if its own request says so (`Arrival::second_phase`).
    site.use_cases.iter_mut().for_each(|use_case| use_case.two_phase = false);
    Ok(site)
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16)
        .map_err(|_| ConfigError::new("seed", ConfigFault::InvalidSeed(text.to_string())))
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::new(key, ConfigFault::InvalidAddress(text.to_string())))
}

/// Returns the routers' addresses, which are required if routers may send messages to each other and there is more
/// than one router; otherwise `None`.
fn peer_addresses(file: &File, site: &SiteSettings) -> Result<Option<PeerAddresses>, ConfigError> {
    if !site.peer_updates || site.routers <= 1 {
        return Ok(None);
    }
    let missing = |key: &str| ConfigError::new(key, ConfigFault::MissingPeerAddress);
    let listen = file.peer_listen.as_deref().ok_or_else(|| missing("peer_listen"))?;
    let all_peers = file.peers_all.as_deref().ok_or_else(|| missing("peers_all"))?;
    let peers = file.peers.iter().enumerate();
    Ok(Some(PeerAddresses {
        listen: parse_address("peer_listen", listen)?,
        peers: peers
            .map(|(index, peer)| parse_address(&format!("peers[{index}]"), peer))
            .collect::<Result<_, _>>()?,
        all_peers: parse_address("peers_all", all_peers)?,
    }))
}
