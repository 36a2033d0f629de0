//! Configurations of the simulation, and the services that they name.

use super::checker::{QUORUM, RequestKind, TOP_K};
use super::{Scheduled, Simulation};
use fernknot_schema::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass};

pub const HOST: &str = "h.example";
/// Services of single routes, and the shards of two index layouts (`s` and `t`).
pub const SERVICES: [&str; 8] = ["lone", "pair", "other", "s0", "s1", "s2", "t0", "t1"];

pub fn prefix(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Mutating => "/m/",
        RequestKind::Idempotent => "/i/",
        RequestKind::Reclassified => "/x/",
        RequestKind::Weighted => "/s/",
        RequestKind::Fanout => "/g/",
    }
}

/// Whether a configuration forbids to repeat requests of a kind. Requests without a route are not sent to nodes.
pub fn is_non_idempotent(config: &RoutingConfig, kind: RequestKind) -> bool {
    let route = config.routes.iter().find(|route| route.path_prefix == prefix(kind));
    route.is_none_or(|route| route.traffic_class == TrafficClass::Mutating)
}

impl Simulation {
    pub fn add_first_config(&mut self) {
        self.add_config(1, "lone", Some(TrafficClass::Mutating), false);
    }

    fn add_config(
        &mut self,
        epoch: u64,
        service: &str,
        flipping_class: Option<TrafficClass>,
        other_layout: bool,
    ) {
        let max_attempts = 1 + self.rng.below(3) as u32;
        let route = |kind: RequestKind, traffic_class, service| Route {
            name: prefix(kind).into(),
            authority: HOST.into(),
            path_prefix: prefix(kind).into(),
            traffic_class,
            deadline_ms: 900,
            target_ms: 150,
            rank: 0,
            target: service,
            max_attempts,
        };
        let service_target = |name: &str| RouteTarget::Service(name.to_string());
        let shards: Vec<String> = if other_layout {
            vec!["t0".into(), "t1".into()]
        } else {
            vec!["s0".into(), "s1".into(), "s2".into()]
        };
        self.checker.shard_sets.push(shards.iter().cloned().collect());
        let weighted = RouteTarget::WeightedServices(vec![("pair".into(), 2.0), ("other".into(), 1.0)]);
        let mut routes = vec![
            route(RequestKind::Mutating, TrafficClass::Mutating, service_target(service)),
            route(RequestKind::Idempotent, TrafficClass::Idempotent, service_target("pair")),
            route(RequestKind::Weighted, TrafficClass::Mutating, weighted),
            route(
                RequestKind::Fanout,
                TrafficClass::Idempotent,
                RouteTarget::Fanout { shards, top_k: TOP_K, quorum: QUORUM },
            ),
        ];
        routes.extend(
            flipping_class.map(|class| route(RequestKind::Reclassified, class, service_target("lone"))),
        );
        let kinds = [
            RequestKind::Mutating,
            RequestKind::Idempotent,
            RequestKind::Weighted,
            RequestKind::Fanout,
            RequestKind::Reclassified,
        ];
        for kind in kinds {
            let matching = routes.iter().filter(|route| route.path_prefix == prefix(kind));
            for route in matching {
                let services: Vec<String> = match &route.target {
                    RouteTarget::Service(name) => vec![name.clone()],
                    RouteTarget::WeightedServices(weighted) => {
                        weighted.iter().map(|(name, _)| name.clone()).collect()
                    }
                    RouteTarget::Fanout { shards, .. } => shards.clone(),
                };
                self.checker.allowed_services.entry(kind).or_default().extend(services);
            }
        }
        let service = |name: &&str| Service {
            name: name.to_string(),
            probe_path: "/health".into(),
            max_connections: 60,
            protocol: "h1".into(),
            tls: false,
        };
        let limits = ClientLimits { header_ms: 300, idle_ms: 1500, ..ClientLimits::default() };
        let services = SERVICES.iter().map(service).collect();
        self.configs.push(RoutingConfig { epoch, routes, services, limits });
    }

    /// Adds the operator's next configuration, and schedules its distribution.
    pub fn change_config(&mut self) {
        let epoch = self.configs.len() as u64 + 1;
        let service = ["lone", "pair", "other"][self.rng.below(3)];
        let flipping_class =
            [None, Some(TrafficClass::Mutating), Some(TrafficClass::Idempotent)][self.rng.below(3)];
        let other_layout = self.rng.chance_per_mille(300);
        self.add_config(epoch, service, flipping_class, other_layout);
        self.checker.coverage.add("configuration changes");
        let wait = self.rng.duration_ms(0.0, 40.0);
        self.schedule(self.now + wait, Scheduled::Heartbeat { repeat: false });
    }
}
