//! Membership on sockets: its messages in the peers' datagrams, its changes in the log and counters.

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

/// The members, their addresses and the counters of this.
pub struct Membership {
    members: Fleet,
    addresses: BTreeMap<RouterId, SocketAddr>,
    /// Among how many routers limits are shared, as the engine knows it.
    sharers: usize,
    has_majority: bool,
    /// That another router has this one's name has been logged.
    has_logged_duplicate: bool,
    /// The counters of membership.
    pub counters: Counters,
}

/// The id and address of each router of a list.
fn addresses_by_id(
    settings: &MembershipSettings,
    addresses: &PeerAddresses,
) -> BTreeMap<RouterId, SocketAddr> {
    let ids = settings.router_fingerprints.iter().copied().map(RouterId);
    ids.zip(addresses.peers.iter().copied()).collect()
}

impl Membership {
    /// Begins membership for the router at a position of the list.
    pub fn new(
        seed: u64,
        settings: &MembershipSettings,
        peers: &PeerAddresses,
        position: usize,
        datagram_bytes: usize,
        now: Nanos,
    ) -> Membership {
        let addresses = addresses_by_id(settings, peers);
        let fleet_settings = FleetFacts {
            period: settings.probe_period,
            datagrams_per_s: settings.max_datagrams_per_s,
            datagram: datagram_bytes,
            variant: Variant::Fleet,
        };
        // The position was checked against the list.
        let own = RouterId(settings.router_fingerprints.get(position).copied().unwrap_or_default());
        let others = addresses.keys().copied();
        let members =
            Fleet::new(seed, fleet_settings, own, settings.name_fingerprint, now.0 / 1_000_000, others, now);
        Membership {
            members,
            sharers: addresses.len(),
            addresses,
            has_majority: false,
            has_logged_duplicate: false,
            counters: Counters::default(),
        }
    }

    /// Takes another list of routers.
    pub fn change_routers(&mut self, now: Nanos, settings: &MembershipSettings, peers: &PeerAddresses) {
        self.addresses = addresses_by_id(settings, peers);
        self.members.list(now, self.addresses.keys().copied());
    }

    /// A turn begins; see [`Fleet::woke`].
    pub fn woke(&mut self, now: Nanos) {
        self.members.woke(now);
    }

    /// When membership has something to do without a datagram.
    pub fn due(&self) -> Nanos {
        self.members.due()
    }

    /// This router stops, and the others are to know.
    pub fn leave(&mut self, now: Nanos) {
        self.members.leave(now);
    }

    /// Takes a datagram.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        let id = self.addresses.iter().find(|(_, address)| **address == from).map(|(id, _)| *id);
        let count = match self.members.heard(now, id, bytes) {
            Ok(()) => &mut self.counters.fleet_datagrams_taken,
            Err(Refused::Stranger) => &mut self.counters.fleet_strangers,
            Err(Refused::Version) => &mut self.counters.fleet_other_versions,
            Err(Refused::Broken) => &mut self.counters.fleet_broken,
        };
        *count += 1;
    }

    /// The next datagram to send, until there is none. What else happened goes to the log.
    pub fn next_datagram(&mut self, now: Nanos, log: &Logger) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some(step) = self.members.next(now) {
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
                    if !std::mem::replace(&mut self.has_logged_duplicate, true) {
                        let other = self.name(other);
                        warn!(log, "fleet: another router has this one's name"; "at" => other, "yields" => yields);
                    }
                }
            }
        }
        None
    }

    /// Among how many routers limits are shared, if that has changed; a change of majority goes to the log.
    pub fn changed_sharers(&mut self, now: Nanos, log: &Logger) -> Option<usize> {
        let has_majority = self.members.has_majority(now);
        if has_majority != self.has_majority {
            self.has_majority = has_majority;
            let (alive, all) = self.members.count();
            info!(log, "fleet: majority"; "held" => has_majority, "alive" => alive, "of" => all);
        }
        let sharers = self.members.sharers(now);
        (std::mem::replace(&mut self.sharers, sharers) != sharers).then_some(sharers)
    }

    fn name(&self, id: RouterId) -> String {
        self.addresses.get(&id).map_or_else(|| format!("{:08x}", id.0), SocketAddr::to_string)
    }

    /// The view of this router as text: a line on itself, and one for each other.
    pub fn text(&self, now: Nanos) -> String {
        let (own, incarnation) = self.members.own();
        let (alive, all) = self.members.count();
        let state = match (self.members.has_yielded(), self.members.has_left()) {
            (true, _) => "yielded",
            (_, true) => "left",
            _ => "own",
        };
        let mut text = format!(
            "{} {state} incarnation={} alive={alive} of={all} majority={} young={} alone={} lateness={} sharers={}\n",
            self.name(own),
            incarnation.0,
            self.members.has_majority(now),
            self.members.is_young(now),
            self.members.is_alone(now),
            self.members.lateness(),
            self.sharers,
        );
        for line in self.members.lines(now) {
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
