//! What a process is told at its start and whenever its settings file changes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use crate::walk::{ObjectReader, ValidationError, parse_object};

/// The settings file, read and checked. Unknown keys are passed over.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    pub node_name: String,
    pub role: String,
    pub machine_class: String,
    /// Who may call this process from outside: `edge`, `control_plane`, both or none.
    pub serves: Vec<String>,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// Zone to region.
    pub zones: BTreeMap<String, String>,
    pub bind_addrs: BindAddrs,
    /// First and last port that are free for what our own processes say to one another.
    pub port_range: (u16, u16),
    /// Control addresses of some controllers as they stood when the file was written.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time, with its disks empty.
    pub bootstrap: bool,
    /// This machine counts towards the fault budget.
    pub counts_in_fault_budget: bool,
    pub limits: ResourceLimits,
    pub data_dir: Option<PathBuf>,
    pub discovery: String,
    pub entry: String,
    /// About how often a node sends its beat.
    pub heartbeat_interval_ms: f64,
    /// Names of the parts of the rules that are in force.
    pub invariants: Vec<String>,
    pub fault_budget: FaultBudget,
    pub bounds: InvariantBounds,
}

/// Where the process listens, by what it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddrs {
    pub front_addr: Option<SocketAddrV4>,
    pub ready_addr: Option<SocketAddrV4>,
    pub control_addr: Option<SocketAddrV4>,
}

/// What the machine gives the process. A limit that was not given has the default.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Share of a core.
    pub cpu_share: f64,
    /// How many times as fast that core is.
    pub core_speed: f64,
    pub memory_mb: f64,
    pub fd_limit: u64,
    pub link_mbps: f64,
    /// 0 where there is no disk.
    pub disk_mb: f64,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            cpu_share: 0.2,
            core_speed: 1.0,
            memory_mb: 256.0,
            fd_limit: 1024,
            link_mbps: 1000.0,
            disk_mb: 0.0,
        }
    }
}

/// What may be lost at one time while every rule is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultBudget {
    pub machine_losses: u64,
    pub zones: u64,
    pub region_losses: u64,
}

/// Figures of the rules in force. A bound that was not given has the default.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantBounds {
    pub seed_lag_s: f64,
    pub reuse_after_s: f64,
    pub contact_ms: f64,
    pub ack_deadline_ms: f64,
    pub catch_up_s: f64,
    pub drain_cutoff_ms: f64,
    pub grace_s: f64,
    pub loss_slack_ms: f64,
    pub apply_ms: f64,
    pub revert_slack_ms: f64,
    pub stretch_ms: f64,
    /// Extra arrivals per request.
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    /// Extra arrivals that are free in each window.
    pub retry_slack: f64,
    pub recover_s: f64,
}

impl Default for InvariantBounds {
    fn default() -> InvariantBounds {
        InvariantBounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 4000.0,
            ack_deadline_ms: 5000.0,
            catch_up_s: 4.0,
            drain_cutoff_ms: 3000.0,
            grace_s: 6.0,
            loss_slack_ms: 200.0,
            apply_ms: 3000.0,
            revert_slack_ms: 250.0,
            stretch_ms: 12000.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            recover_s: 12.0,
        }
    }
}

impl ProcessSettings {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Every fault of the file at once, so that one look is enough to mend it.
    pub fn parse(bytes: &[u8]) -> Result<ProcessSettings, Vec<ValidationError>> {
        let value = parse_object(bytes)?;
        let top = ObjectReader::root(&value);
        let mut faults = Vec::new();
        let f = &mut faults;

        for key in ["node_name", "ip", "zone", "bind_addrs", "port_range"] {
            top.require(f, key);
        }
        let bind = top.nested(f, "bind_addrs");
        let address = "an IPv4 address with a port";
        let bind_addrs = BindAddrs {
            front_addr: bind.parsed(f, "front_addr", address),
            ready_addr: bind.parsed(f, "ready_addr", address),
            control_addr: bind.parsed(f, "control_addr", address),
        };
        let serves: Vec<String> = top.list(f, "serves", "a string");
        // What a process serves it needs an address for; without one it would stand there deaf.
        for (what, key) in [("edge", "front_addr"), ("edge", "ready_addr"), ("control_plane", "control_addr")]
        {
            if serves.iter().any(|serves| serves == what) {
                bind.require(f, key);
            }
        }

        let limits = parse_resource_limits(&top.nested(f, "limits"), f);
        let bounds = parse_invariant_bounds(&top.nested(f, "bounds"), f);
        let budget = top.nested(f, "fault_budget");
        let fault_budget = FaultBudget {
            machine_losses: budget.rounded_up(f, "machine_losses").unwrap_or(0),
            zones: budget.rounded_up(f, "zones").unwrap_or(0),
            region_losses: budget.rounded_up(f, "region_losses").unwrap_or(0),
        };

        let zone = top.string(f, "zone").unwrap_or_default();
        let mut zones = BTreeMap::new();
        let inner = top.nested(f, "zones");
        for (zone, region) in inner.entries() {
            match region.as_str() {
                Some(region) => drop(zones.insert(zone.clone(), region.to_string())),
                None => inner.report(f, zone, "is not a string"),
            }
        }
        // Without a region of its own the process takes that of its zone.
        let region = top.string(f, "region").or_else(|| zones.get(&zone).cloned()).unwrap_or_default();

        let facts = ProcessSettings {
            node_name: top.string(f, "node_name").unwrap_or_default(),
            role: top.string(f, "role").unwrap_or_default(),
            machine_class: top.string(f, "machine_class").unwrap_or_default(),
            serves,
            ip: top.parsed(f, "ip", "an IPv4 address").unwrap_or(Ipv4Addr::UNSPECIFIED),
            zone,
            region,
            zones,
            bind_addrs,
            port_range: parse_port_range(&top, f),
            seeds: top.list(f, "seeds", address),
            bootstrap: top.boolean(f, "bootstrap").unwrap_or(false),
            counts_in_fault_budget: top.boolean(f, "counted").unwrap_or(false),
            limits,
            data_dir: top.string(f, "data_dir").map(PathBuf::from),
            discovery: top.string(f, "discovery").unwrap_or_else(|| "registry".into()),
            entry: top.string(f, "entry").unwrap_or_else(|| "vip".into()),
            heartbeat_interval_ms: parse_positive(&top, f, "beat_ms", 1000.0),
            invariants: top.list(f, "invariants", "a string"),
            fault_budget,
            bounds,
        };
        if faults.is_empty() { Ok(facts) } else { Err(faults) }
    }

    /// This process is called by clients.
    pub fn serves_edge(&self) -> bool {
        self.serves.iter().any(|serves| serves == "edge")
    }

    /// This process is called by nodes and the operator.
    pub fn serves_control(&self) -> bool {
        self.serves.iter().any(|serves| serves == "control_plane")
    }
}

/// A number that others are divided by or paced with: 0 is a fault.
fn parse_positive(walk: &ObjectReader<'_>, f: &mut Vec<ValidationError>, key: &str, absent: f64) -> f64 {
    let number = walk.number(f, key).unwrap_or(absent);
    if number == 0.0 {
        walk.report(f, key, "is 0");
    }
    number
}

fn parse_resource_limits(walk: &ObjectReader<'_>, f: &mut Vec<ValidationError>) -> ResourceLimits {
    let absent = ResourceLimits::default();
    ResourceLimits {
        cpu_share: parse_positive(walk, f, "cpu_share", absent.cpu_share),
        core_speed: parse_positive(walk, f, "cores", absent.core_speed),
        memory_mb: parse_positive(walk, f, "memory_mb", absent.memory_mb),
        fd_limit: walk.rounded_up(f, "fd_limit").unwrap_or(absent.fd_limit),
        link_mbps: parse_positive(walk, f, "link_mbps", absent.link_mbps),
        disk_mb: walk.number(f, "disk_mb").unwrap_or(absent.disk_mb),
    }
}

fn parse_invariant_bounds(walk: &ObjectReader<'_>, f: &mut Vec<ValidationError>) -> InvariantBounds {
    let absent = InvariantBounds::default();
    let mut read = |key, absent| walk.number(f, key).unwrap_or(absent);
    InvariantBounds {
        seed_lag_s: read("seed_lag_s", absent.seed_lag_s),
        reuse_after_s: read("reuse_after_s", absent.reuse_after_s),
        contact_ms: read("contact_ms", absent.contact_ms),
        ack_deadline_ms: read("ack_deadline_ms", absent.ack_deadline_ms),
        catch_up_s: read("catch_up_s", absent.catch_up_s),
        drain_cutoff_ms: read("drain_cutoff_ms", absent.drain_cutoff_ms),
        grace_s: read("grace_s", absent.grace_s),
        loss_slack_ms: read("loss_slack_ms", absent.loss_slack_ms),
        apply_ms: read("apply_ms", absent.apply_ms),
        revert_slack_ms: read("revert_slack_ms", absent.revert_slack_ms),
        stretch_ms: read("stretch_ms", absent.stretch_ms),
        retry_ratio: read("retry_ratio", absent.retry_ratio),
        retry_window_s: read("retry_window_s", absent.retry_window_s),
        retry_slack: read("retry_slack", absent.retry_slack),
        recover_s: read("recover_s", absent.recover_s),
    }
}

fn parse_port_range(top: &ObjectReader<'_>, f: &mut Vec<ValidationError>) -> (u16, u16) {
    let Some(value) = top.get("port_range") else { return (0, 0) };
    let ports: Option<Vec<u16>> = value.as_array().and_then(|ports| {
        ports.iter().map(|port| port.as_u64().and_then(|port| u16::try_from(port).ok())).collect()
    });
    match ports.as_deref() {
        Some(&[first, last]) if 0 < first && first <= last => (first, last),
        _ => {
            top.report(f, "port_range", "is not two ports, the first not above the second");
            (0, 0)
        }
    }
}
