//! Connection of the membership protocol, which detects the live routers, to the datagrams between routers, the log and
//! the counters.

use fernknot::interface::Nanos;
use fernknot_membership::{
    Action, MembershipProtocol, MembershipSettings as ProtocolSettings, RejectReason, ReportedStatus,
    RouterId, Variant,
};
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

/// Membership protocol with the routers' addresses and its counters.
pub struct Membership {
    protocol: MembershipProtocol,
    addresses: BTreeMap<RouterId, SocketAddr>,
    /// Number of routers that share the customers' quotas, as last reported to the engine; at first all routers of the
    /// list.
    quota_sharers: usize,
    has_majority: bool,
    /// Whether it has been logged that another router has the same name.
    has_logged_duplicate_name: bool,
    /// Counters of membership.
    pub counters: Counters,
}

/// Returns the addresses of all routers by id.
fn addresses_by_id(
    settings: &MembershipSettings,
    addresses: &PeerAddresses,
) -> BTreeMap<RouterId, SocketAddr> {
    let ids = settings.router_fingerprints.iter().copied().map(RouterId);
    ids.zip(addresses.peers.iter().copied()).collect()
}

impl Membership {
    /// Starts membership for the router at this position in the list.
    pub fn new(
        seed: u64,
        settings: &MembershipSettings,
        peers: &PeerAddresses,
        position: usize,
        datagram_bytes: usize,
        now: Nanos,
    ) -> Membership {
        let addresses = addresses_by_id(settings, peers);
        let protocol_settings = ProtocolSettings {
            probe_period: settings.probe_period,
            datagrams_per_s: settings.max_datagrams_per_s,
            max_datagram_bytes: datagram_bytes,
            variant: Variant::Full,
        };
        // The configuration's validation has checked the position.
        let own = RouterId(settings.router_fingerprints.get(position).copied().unwrap_or_default());
        let others = addresses.keys().copied();
        let protocol = MembershipProtocol::new(
            seed,
            protocol_settings,
            own,
            settings.name_fingerprint,
            now.0 / 1_000_000,
            others,
            now,
        );
        Membership {
            protocol,
            quota_sharers: addresses.len(),
            addresses,
            has_majority: false,
            has_logged_duplicate_name: false,
            counters: Counters::default(),
        }
    }

    /// Replaces the list of routers.
    pub fn change_routers(&mut self, now: Nanos, settings: &MembershipSettings, peers: &PeerAddresses) {
        self.addresses = addresses_by_id(settings, peers);
        self.protocol.set_routers(now, self.addresses.keys().copied());
    }

    /// Tells the protocol that an iteration of the event loop starts; see [`MembershipProtocol::wake`].
    pub fn wake(&mut self, now: Nanos) {
        self.protocol.wake(now);
    }

    /// Returns the next time at which the protocol has to act without having received a datagram.
    pub fn next_wakeup(&self) -> Nanos {
        self.protocol.next_wakeup()
    }

    /// Announces to the other routers that this router stops.
    pub fn leave(&mut self, now: Nanos) {
        self.protocol.leave(now);
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        let id = self.addresses.iter().find(|(_, address)| **address == from).map(|(id, _)| *id);
        let count = match self.protocol.receive(now, id, bytes) {
            Ok(()) => &mut self.counters.fleet_datagrams_taken,
            Err(RejectReason::UnknownSender) => &mut self.counters.fleet_strangers,
            Err(RejectReason::UnsupportedVersion) => &mut self.counters.fleet_other_versions,
            Err(RejectReason::Malformed) => &mut self.counters.fleet_broken,
        };
        *count += 1;
    }

    /// Returns the next datagram to send, or `None`. Other actions of the protocol are logged.
    pub fn next_datagram(&mut self, now: Nanos, log: &Logger) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some(action) = self.protocol.poll_action(now) {
            match action {
                Action::Send { to, bytes } => {
                    if let Some(address) = self.addresses.get(&to) {
                        return Some((*address, bytes));
                    }
                }
                Action::StatusChanged { member, from, to, incarnation, cause } => {
                    self.counters.fleet_held_lost += u64::from(to == ReportedStatus::Failed);
                    self.counters.fleet_returned +=
                        u64::from(from == ReportedStatus::Failed && to == ReportedStatus::Alive);
                    info!(log, "fleet: status of a router changed";
                        "router" => self.name(member), "from" => %from, "to" => %to,
                        "incarnation" => incarnation.0, "by" => self.name(cause.reporter), "path" => %cause.source);
                }
                Action::Refuted { accuser, incarnation } => {
                    self.counters.fleet_refuted += 1;
                    info!(log, "fleet: refuted a report that this router failed";
                        "by" => self.name(accuser), "incarnation" => incarnation.0);
                }
                Action::DuplicateName { other, yields } => {
                    self.counters.fleet_names_twice += 1;
                    if !std::mem::replace(&mut self.has_logged_duplicate_name, true) {
                        let other = self.name(other);
                        warn!(log, "fleet: another router has the same name";
                            "at" => other, "yields" => yields);
                    }
                }
            }
        }
        None
    }

    /// Returns the number of routers that share the quotas if it has changed. Logs a change of the majority.
    pub fn take_quota_sharers_change(&mut self, now: Nanos, log: &Logger) -> Option<usize> {
        let has_majority = self.protocol.has_majority(now);
        if has_majority != self.has_majority {
            self.has_majority = has_majority;
            let count = self.protocol.live_count();
            info!(log, "fleet: majority changed";
                "held" => has_majority, "alive" => count.live, "of" => count.total);
        }
        let quota_sharers = self.protocol.quota_sharers(now);
        (std::mem::replace(&mut self.quota_sharers, quota_sharers) != quota_sharers).then_some(quota_sharers)
    }

    fn name(&self, id: RouterId) -> String {
        self.addresses.get(&id).map_or_else(|| format!("{:08x}", id.0), SocketAddr::to_string)
    }

    /// Returns this router's view of the membership as text: one line for itself, then one for each other router.
    pub fn status_text(&self, now: Nanos) -> String {
        let count = self.protocol.live_count();
        let state = match (self.protocol.has_yielded(), self.protocol.has_left()) {
            (true, _) => "yielded",
            (_, true) => "left",
            _ => "own",
        };
        let mut text = format!(
            "{} {state} incarnation={} alive={} of={} majority={} young={} alone={} lateness={} sharers={}\n",
            self.name(self.protocol.local_id()),
            self.protocol.incarnation().0,
            count.live,
            count.total,
            self.protocol.has_majority(now),
            self.protocol.is_settling(now),
            self.protocol.is_isolated(now),
            self.protocol.health_score(),
            self.quota_sharers,
        );
        for report in self.protocol.member_reports(now) {
            text += &format!(
                "{} {} incarnation={} age_ms={} link={} by={} path={} verdicts={}\n",
                self.name(report.id),
                report.status,
                report.incarnation.0,
                report.age.0 / 1_000_000,
                report.link,
                self.name(report.cause.reporter),
                report.cause.source,
                report.failure_changes,
            );
        }
        text
    }
}
