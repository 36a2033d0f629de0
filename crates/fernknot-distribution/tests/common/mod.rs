//! Fixture: gateways and controllers of a few zones in memory, with a clock that advances in steps of 10 ms.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use fernknot::interface::Nanos;
use fernknot_distribution::{
    Action, ControllerEndpoint, Relays, RelaysLimits, SourceHeartbeat, SourceKind, Topic,
};
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const APPLY_DEADLINE: Nanos = Nanos(3_000_000_000);
/// Duration of the controllers' leases.
pub const LEASE_DURATION: Nanos = Nanos(800_000_000);
pub const ZONES: [&str; 3] = ["north", "south", "east"];
const STEP_MS: u64 = 10;

pub fn millis(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

pub fn gateway_addr(incarnation: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (incarnation >> 8) as u8, incarnation as u8), 7120)
}

pub fn controller_addr(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 8729)
}

pub fn zone(incarnation: u64) -> &'static str {
    ZONES[incarnation as usize % 3]
}

pub fn assignment(number: u32, incarnations: impl IntoIterator<Item = u64>) -> Assignment {
    let gateway = |incarnation| GatewayRecord {
        incarnation: IncarnationId(incarnation),
        addr: gateway_addr(incarnation),
        zone: zone(incarnation).to_string(),
    };
    let live: Vec<GatewayRecord> = incarnations.into_iter().map(gateway).collect();
    Assignment {
        fencing_token: FencingToken::new(1, number),
        presumed_alive: live.len() as u32,
        gateways: live,
    }
    .sorted()
}

pub fn topics() -> Vec<Topic> {
    let services = (0..12).map(|number| Topic::service(&format!("service-{number}")));
    [Topic::Configuration].into_iter().chain(services).collect()
}

pub struct SimulatedController {
    pub zone: &'static str,
    pub has_lease: bool,
    pub hung: bool,
    /// Whether it has crashed: it accepts no connections, and its earlier ones are lost.
    pub crashed: bool,
}

pub struct SimulatedGateway {
    pub relays: Relays,
    /// Newest received version of each topic.
    pub received: BTreeMap<Topic, u64>,
    pub hung: bool,
    pub crashed: bool,
    pub subscriptions: BTreeMap<(SourceKind, SocketAddrV4), BTreeSet<Topic>>,
}

/// Simulated system in which a topic's state is a version number, and messages arrive in the step in which they are
/// sent.
pub struct Cluster {
    pub ms: u64,
    pub gateways: BTreeMap<u64, SimulatedGateway>,
    pub controllers: BTreeMap<SocketAddrV4, SimulatedController>,
    pub versions: BTreeMap<Topic, u64>,
    /// Number of messages about the last change that went from one zone to another.
    pub zone_crossings: usize,
    pub subscribe_actions: usize,
}

impl Cluster {
    pub fn new(incarnations: impl IntoIterator<Item = u64>) -> Cluster {
        let controller = |zone| SimulatedController { zone, has_lease: true, hung: false, crashed: false };
        let mut cluster = Cluster {
            ms: 0,
            gateways: BTreeMap::new(),
            controllers: (0..3)
                .map(|number| (controller_addr(number), controller(ZONES[number as usize])))
                .collect(),
            versions: topics().into_iter().map(|topic| (topic, 1)).collect(),
            zone_crossings: 0,
            subscribe_actions: 0,
        };
        let incarnations: Vec<u64> = incarnations.into_iter().collect();
        for incarnation in &incarnations {
            cluster.start(*incarnation);
        }
        cluster.apply_assignment(&assignment(1, incarnations));
        cluster.run(2_000);
        cluster
    }

    pub fn start(&mut self, incarnation: u64) {
        let mut relays = Relays::new(
            IncarnationId(incarnation),
            zone(incarnation),
            APPLY_DEADLINE,
            LEASE_DURATION,
            RelaysLimits::default(),
            incarnation,
        );
        let names: Vec<String> = (0..12).map(|number| format!("service-{number}")).collect();
        relays.set_services(names.iter().map(String::as_str));
        let known = self
            .controllers
            .iter()
            .map(|(addr, controller)| ControllerEndpoint { addr: *addr, zone: controller.zone.to_string() });
        relays.set_controllers(&known.collect::<Vec<_>>());
        let (received, subscriptions) = (BTreeMap::new(), BTreeMap::new());
        self.gateways.insert(
            incarnation,
            SimulatedGateway { relays, received, hung: false, crashed: false, subscriptions },
        );
    }

    pub fn apply_assignment(&mut self, assignment: &Assignment) {
        let now = millis(self.ms);
        self.gateways
            .values_mut()
            .filter(|gateway| !gateway.hung)
            .for_each(|gateway| gateway.relays.apply_assignment(now, assignment));
    }

    /// Returns the relay of a topic in a zone.
    pub fn relay(&self, zone_name: &str, topic: &Topic) -> u64 {
        let mut gateways_of_zone = self
            .gateways
            .iter()
            .filter(|(incarnation, gateway)| zone(**incarnation) == zone_name && !gateway.hung);
        gateways_of_zone.next().unwrap().1.relays.relay_for(topic).unwrap().incarnation.0
    }

    pub fn change(&mut self, topic: &Topic) {
        *self.versions.get_mut(topic).unwrap() += 1;
        self.zone_crossings = 0;
        let version = self.versions[topic];
        let controllers = self
            .controllers
            .iter()
            .filter(|(_, controller)| controller.has_lease && !controller.hung && !controller.crashed);
        let controllers: Vec<(SocketAddrV4, &str)> =
            controllers.map(|(addr, controller)| (*addr, controller.zone)).collect();
        for (addr, from) in controllers {
            for incarnation in self.subscribers(SourceKind::Controller, addr, topic) {
                self.zone_crossings += (zone(incarnation) != from) as usize;
                self.deliver(incarnation, topic, version);
            }
        }
    }

    /// Runs until all live gateways have received all updates. Returns the elapsed milliseconds, or `None` after ten
    /// seconds.
    pub fn milliseconds_to_reach_all(&mut self) -> Option<u64> {
        let start = self.ms;
        while !self.all_are_up_to_date() {
            if self.ms - start > 10_000 {
                return None;
            }
            self.run(STEP_MS);
        }
        Some(self.ms - start)
    }

    pub fn run(&mut self, ms: u64) {
        let steps_per_heartbeat = Relays::heartbeat_interval(APPLY_DEADLINE).0 / 1_000_000 / STEP_MS;
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.ms += STEP_MS;
            let now = millis(self.ms);
            if (self.ms / STEP_MS).is_multiple_of(steps_per_heartbeat) {
                self.send_heartbeats(now);
            }
            for incarnation in self.gateways.keys().copied().collect::<Vec<_>>() {
                while let Some(action) = self.poll_action(now, incarnation) {
                    self.execute(now, incarnation, action);
                }
            }
        }
    }

    fn all_are_up_to_date(&self) -> bool {
        let mut live = self.gateways.values().filter(|gateway| !gateway.crashed && !gateway.hung);
        live.all(|gateway| gateway.received == self.versions)
    }

    fn poll_action(&mut self, now: Nanos, incarnation: u64) -> Option<Action> {
        let gateway = self.gateways.get_mut(&incarnation)?;
        if gateway.crashed || gateway.hung { None } else { gateway.relays.poll_action(now) }
    }

    fn send_heartbeats(&mut self, now: Nanos) {
        for (addr, controller) in &self.controllers {
            if controller.hung || controller.crashed {
                continue;
            }
            let heartbeat = SourceHeartbeat {
                has_lease: controller.has_lease,
                fencing_token: FencingToken::new(1, 1),
                ..SourceHeartbeat::default()
            };
            for gateway in self.gateways.values_mut() {
                if gateway.subscriptions.contains_key(&(SourceKind::Controller, *addr)) && !gateway.hung {
                    gateway.relays.record_heartbeat(now, *addr, SourceKind::Controller, heartbeat);
                }
            }
        }
    }

    fn subscribers(&self, kind: SourceKind, addr: SocketAddrV4, topic: &Topic) -> Vec<u64> {
        let is_subscribed = |gateway: &SimulatedGateway| {
            gateway.subscriptions.get(&(kind, addr)).is_some_and(|topics| topics.contains(topic))
        };
        self.gateways
            .iter()
            .filter(|(_, gateway)| is_subscribed(gateway))
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Delivers an update to a gateway, which forwards it to its subscribers.
    fn deliver(&mut self, incarnation: u64, topic: &Topic, version: u64) {
        let Some(gateway) = self.gateways.get_mut(&incarnation) else { return };
        if gateway.crashed
            || gateway.hung
            || gateway.received.get(topic).is_some_and(|known| *known >= version)
        {
            return;
        }
        gateway.received.insert(topic.clone(), version);
        let to: Vec<SocketAddrV4> = gateway.relays.subscribers_of(topic).collect();
        let recipients: Vec<u64> = self
            .gateways
            .keys()
            .copied()
            .filter(|incarnation| to.contains(&gateway_addr(*incarnation)))
            .collect();
        recipients.into_iter().for_each(|other| self.deliver(other, topic, version));
    }

    fn execute(&mut self, now: Nanos, incarnation: u64, action: Action) {
        match action {
            Action::Subscribe { addr, kind, topics } => {
                self.subscribe_actions += 1;
                match self.connect(incarnation, addr, kind, &topics) {
                    Some(received) => self.complete_subscription(incarnation, addr, kind, &topics, received),
                    None => self.lose_source(now, incarnation, addr, kind),
                }
            }
            Action::Unsubscribe { addr, kind } => {
                self.gateways.get_mut(&incarnation).unwrap().subscriptions.remove(&(kind, addr));
                if let Some(relay) = self.gateway_at(addr) {
                    relay.relays.subscribe(gateway_addr(incarnation), []);
                }
            }
            Action::ForwardHeartbeat { to, heartbeat } => {
                for gateway in self.gateways.values_mut().filter(|gateway| !gateway.hung) {
                    if to.contains(&gateway_addr(gateway.incarnation())) {
                        let from = gateway_addr(incarnation);
                        gateway.relays.record_heartbeat(now, from, SourceKind::Relay, heartbeat);
                    }
                }
            }
        }
    }

    /// Returns the versions that a source sends to a new subscriber; `None` if the source has crashed.
    fn connect(
        &mut self,
        incarnation: u64,
        addr: SocketAddrV4,
        kind: SourceKind,
        topics: &[Topic],
    ) -> Option<BTreeMap<Topic, u64>> {
        match kind {
            SourceKind::Controller => {
                let controller = self.controllers.get(&addr).filter(|controller| !controller.crashed)?;
                let responds = !controller.hung && controller.has_lease;
                Some(if responds { self.versions.clone() } else { BTreeMap::new() })
            }
            SourceKind::Relay => {
                let relay = self.gateway_at(addr).filter(|relay| !relay.crashed)?;
                relay.relays.subscribe(gateway_addr(incarnation), topics.iter().cloned());
                Some(if relay.hung { BTreeMap::new() } else { relay.received.clone() })
            }
        }
    }

    fn complete_subscription(
        &mut self,
        incarnation: u64,
        addr: SocketAddrV4,
        kind: SourceKind,
        topics: &[Topic],
        received: BTreeMap<Topic, u64>,
    ) {
        let subscriptions = &mut self.gateways.get_mut(&incarnation).unwrap().subscriptions;
        subscriptions.insert((kind, addr), topics.iter().cloned().collect());
        for topic in topics {
            if let Some(version) = received.get(topic) {
                self.deliver(incarnation, topic, *version);
            }
        }
    }

    fn gateway_at(&mut self, addr: SocketAddrV4) -> Option<&mut SimulatedGateway> {
        self.gateways.values_mut().find(|gateway| gateway_addr(gateway.incarnation()) == addr)
    }

    fn lose_source(&mut self, now: Nanos, incarnation: u64, addr: SocketAddrV4, kind: SourceKind) {
        let gateway = self.gateways.get_mut(&incarnation).unwrap();
        gateway.subscriptions.remove(&(kind, addr));
        gateway.relays.source_lost(now, addr, kind);
    }

    /// Loses all connections to an address at once.
    pub fn reset(&mut self, addr: SocketAddrV4) {
        let now = millis(self.ms);
        for incarnation in self.gateways.keys().copied().collect::<Vec<_>>() {
            for kind in [SourceKind::Controller, SourceKind::Relay] {
                if self.gateways[&incarnation].subscriptions.contains_key(&(kind, addr)) {
                    self.lose_source(now, incarnation, addr, kind);
                }
            }
        }
    }
}

impl SimulatedGateway {
    fn incarnation(&self) -> u64 {
        self.relays.incarnation().0
    }
}
