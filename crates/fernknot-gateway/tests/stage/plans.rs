//! Versions of the configuration, and the services that they name.

use super::checker::{Kind, QUORUM, TOP};
use super::{Due, Stage};
use fernknot_schema::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass};

pub const HOST: &str = "h.example";
/// One service of one node, two of two, and the shards of two cuts of an index.
pub const SERVICES: [&str; 8] = ["lone", "pair", "other", "s0", "s1", "s2", "t0", "t1"];

pub fn prefix(kind: Kind) -> &'static str {
    match kind {
        Kind::Mutating => "/m/",
        Kind::Idempotent => "/i/",
        Kind::Flips => "/x/",
        Kind::Shared => "/s/",
        Kind::Gathered => "/g/",
    }
}

/// Whether this version lets requests of a kind be repeated; where it has no route for them they don't go out.
pub fn is_once(plan: &RoutingConfig, kind: Kind) -> bool {
    let route = plan.routes.iter().find(|route| route.path_prefix == prefix(kind));
    route.is_none_or(|route| route.traffic_class == TrafficClass::Mutating)
}

impl Stage {
    pub fn begin_plans(&mut self) {
        self.add_plan(1, "lone", Some(TrafficClass::Mutating), false);
    }

    fn add_plan(&mut self, epoch: u64, to: &str, flips: Option<TrafficClass>, cut: bool) {
        let tries = 1 + self.chance.under(3) as u32;
        let route = |kind: Kind, traffic_class, to| Route {
            name: prefix(kind).into(),
            authority: HOST.into(),
            path_prefix: prefix(kind).into(),
            traffic_class,
            deadline_ms: 900,
            target_ms: 150,
            rank: 0,
            target: to,
            max_attempts: tries,
        };
        let backend = |name: &str| RouteTarget::Service(name.to_string());
        let shards: Vec<String> =
            if cut { vec!["t0".into(), "t1".into()] } else { vec!["s0".into(), "s1".into(), "s2".into()] };
        self.checker.sets.push(shards.iter().cloned().collect());
        let shares = RouteTarget::WeightedServices(vec![("pair".into(), 2.0), ("other".into(), 1.0)]);
        let mut routes = vec![
            route(Kind::Mutating, TrafficClass::Mutating, backend(to)),
            route(Kind::Idempotent, TrafficClass::Idempotent, backend("pair")),
            route(Kind::Shared, TrafficClass::Mutating, shares),
            route(
                Kind::Gathered,
                TrafficClass::Idempotent,
                RouteTarget::Fanout { shards, top_k: TOP, quorum: QUORUM },
            ),
        ];
        routes.extend(flips.map(|class| route(Kind::Flips, class, backend("lone"))));
        let kinds = [Kind::Mutating, Kind::Idempotent, Kind::Shared, Kind::Gathered, Kind::Flips];
        for kind in kinds {
            let named = routes.iter().filter(|route| route.path_prefix == prefix(kind));
            for route in named {
                let services: Vec<String> = match &route.target {
                    RouteTarget::Service(name) => vec![name.clone()],
                    RouteTarget::WeightedServices(shares) => {
                        shares.iter().map(|(name, _)| name.clone()).collect()
                    }
                    RouteTarget::Fanout { shards, .. } => shards.clone(),
                };
                self.checker.ways.entry(kind).or_default().extend(services);
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
        self.plans.push(RoutingConfig { epoch, routes, services, limits });
    }

    /// The operator's next version.
    pub fn change(&mut self) {
        let epoch = self.plans.len() as u64 + 1;
        let to = ["lone", "pair", "other"][self.chance.under(3)];
        let flips =
            [None, Some(TrafficClass::Mutating), Some(TrafficClass::Idempotent)][self.chance.under(3)];
        let cut = self.chance.odds(300);
        self.add_plan(epoch, to, flips, cut);
        self.checker.seen.add("changes");
        let wait = self.chance.millis(0.0, 40.0);
        self.at(self.now + wait, Due::Pulse { again: false });
    }
}
