//! Membership on sockets: the fleet's words over the peers' datagrams, its changes in log and counters.

use fernknot::interface::Nanos;
use fernknot_membership::{Fleet, FleetFacts, Refused, RouterId, Step, Variant};
use fernknot_router_config::{MembershipSettings, PeerAddresses};
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fernknot_engine::counters!(
    fleet_datagrams_sent,
    fleet_datagrams_taken,
    fleet_datagrams_dropped,
    fleet_strangers,
    fleet_other_versions,
    fleet_broken,
    fleet_held_lost,
    fleet_returned,
    fleet_refuted,
    fleet_names_twice,
);

pub struct Membership {
    fleet: Fleet,
    addresses: BTreeMap<RouterId, SocketAddr>,
    /// Among how many routers limits are shared, as the engine was told last.
    sharers: usize,
    majority: bool,
    twice: bool,
    pub counters: Counters,
}

/// The id and address of each router of a list.
fn listed(start: &MembershipSettings, told: &PeerAddresses) -> BTreeMap<RouterId, SocketAddr> {
    start.router_fingerprints.iter().copied().map(RouterId).zip(told.peers.iter().copied()).collect()
}

impl Membership {
    pub fn new(
        seed: u64,
        start: &MembershipSettings,
        told: &PeerAddresses,
        position: usize,
        datagram: usize,
        now: Nanos,
    ) -> Membership {
        let addresses = listed(start, told);
        let facts = FleetFacts {
            period: start.probe_period,
            datagrams_per_s: start.max_datagrams_per_s,
            datagram,
            variant: Variant::Fleet,
        };
        // The position was checked against the list.
        let own = RouterId(start.router_fingerprints.get(position).copied().unwrap_or_default());
        let others = addresses.keys().copied();
        let fleet = Fleet::new(seed, facts, own, start.name_fingerprint, now.0 / 1_000_000, others, now);
        Membership {
            fleet,
            sharers: addresses.len(),
            addresses,
            majority: false,
            twice: false,
            counters: Counters::default(),
        }
    }

    /// Takes another list of the fleet.
    pub fn list(&mut self, now: Nanos, start: &MembershipSettings, told: &PeerAddresses) {
        self.addresses = listed(start, told);
        self.fleet.list(now, self.addresses.keys().copied());
    }

    pub fn woke(&mut self, now: Nanos) {
        self.fleet.woke(now);
    }

    pub fn due(&self) -> Nanos {
        self.fleet.due()
    }

    pub fn leave(&mut self, now: Nanos) {
        self.fleet.leave(now);
    }

    pub fn heard(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        let id = self.addresses.iter().find(|(_, address)| **address == from).map(|(id, _)| *id);
        let count = match self.fleet.heard(now, id, bytes) {
            Ok(()) => &mut self.counters.fleet_datagrams_taken,
            Err(Refused::Stranger) => &mut self.counters.fleet_strangers,
            Err(Refused::Version) => &mut self.counters.fleet_other_versions,
            Err(Refused::Broken) => &mut self.counters.fleet_broken,
        };
        *count += 1;
    }

    /// The next datagram to send, until there is none. What else happened goes to the log.
    pub fn next(&mut self, now: Nanos, log: &Logger) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some(step) = self.fleet.next(now) {
            match step {
                Step::Send { to, bytes } => {
                    if let Some(address) = self.addresses.get(&to) {
                        return Some((*address, bytes));
                    }
                }
                Step::Changed { of, from, to, incarnation, cause } => {
                    self.counters.fleet_held_lost += u64::from(to == "lost");
                    self.counters.fleet_returned += u64::from(from == "lost" && to == "alive");
                    info!(log, "fleet: a router"; "router" => self.name(of), "from" => from, "to" => to,
                        "incarnation" => incarnation.0, "by" => self.name(cause.by), "path" => ?cause.path);
                }
                Step::Refuted { by, incarnation } => {
                    self.counters.fleet_refuted += 1;
                    info!(log, "fleet: refuted"; "by" => self.name(by), "incarnation" => incarnation.0);
                }
                Step::Twice { other, yields } => {
                    self.counters.fleet_names_twice += 1;
                    if !std::mem::replace(&mut self.twice, true) {
                        let other = self.name(other);
                        warn!(log, "fleet: another router has this one's name"; "at" => other, "yields" => yields);
                    }
                }
            }
        }
        None
    }

    /// Among how many routers limits are shared, if that has changed; the word on the majority goes to the log.
    pub fn newly_shared(&mut self, now: Nanos, log: &Logger) -> Option<usize> {
        let majority = self.fleet.has_majority(now);
        if majority != self.majority {
            self.majority = majority;
            let (lives, all) = self.fleet.count();
            info!(log, "fleet: majority"; "held" => majority, "alive" => lives, "of" => all);
        }
        let sharers = self.fleet.sharers(now);
        (std::mem::replace(&mut self.sharers, sharers) != sharers).then_some(sharers)
    }

    fn name(&self, id: RouterId) -> String {
        self.addresses.get(&id).map_or_else(|| format!("{:08x}", id.0), SocketAddr::to_string)
    }

    /// The view: a line on this router, and one for each other.
    pub fn text(&self, now: Nanos) -> String {
        let (own, incarnation) = self.fleet.own();
        let (lives, all) = self.fleet.count();
        let state = match (self.fleet.has_yielded(), self.fleet.has_left()) {
            (true, _) => "yielded",
            (_, true) => "left",
            _ => "own",
        };
        let mut text = format!(
            "{} {state} incarnation={} alive={lives} of={all} majority={} young={} alone={} lateness={} sharers={}\n",
            self.name(own),
            incarnation.0,
            self.fleet.has_majority(now),
            self.fleet.is_young(now),
            self.fleet.is_alone(now),
            self.fleet.lateness(),
            self.sharers,
        );
        for line in self.fleet.lines(now) {
            text += &format!(
                "{} {} incarnation={} age_ms={} link={:?} by={} path={:?} verdicts={}\n",
                self.name(line.id),
                line.state,
                line.incarnation.0,
                line.age.0 / 1_000_000,
                line.link,
                self.name(line.cause.by),
                line.cause.path,
                line.changes,
            );
        }
        text
    }
}
