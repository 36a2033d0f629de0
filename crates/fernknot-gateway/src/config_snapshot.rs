//! One revision of the routing configuration, with the engine's identifiers for its routes.

use fernknot::interface::UseCaseId;
use fernknot_schema::{Route, RouteTable, RouteTarget, RoutingConfig};

/// A revision that is in force, or that a request in flight was read under.
pub struct ConfigSnapshot {
    /// The position among all configurations that were ever in force.
    pub revision: u64,
    /// The configuration.
    pub config: RoutingConfig,
    table: RouteTable,
    /// The engine's use case of each route.
    use_cases: Vec<UseCaseId>,
}

impl ConfigSnapshot {
    /// A snapshot; `use_cases` has one entry for each route of the configuration.
    pub(crate) fn new(revision: u64, config: RoutingConfig, use_cases: Vec<UseCaseId>) -> ConfigSnapshot {
        let table = RouteTable::new(&config);
        ConfigSnapshot { revision, config, table, use_cases }
    }

    /// The index of the route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.table.find(host, path)
    }

    /// A route by its index.
    pub fn route(&self, index: usize) -> &Route {
        &self.config.routes[index]
    }

    /// The engine's use case of a route, by the route's index.
    pub fn use_case(&self, index: usize) -> UseCaseId {
        self.use_cases[index]
    }

    /// The services that the routes name, some of them more than once.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.config.routes.iter().flat_map(|route| match &route.target {
            RouteTarget::Service(service) => vec![service.as_str()],
            RouteTarget::WeightedServices(services) => {
                services.iter().map(|(service, _)| service.as_str()).collect()
            }
            RouteTarget::Fanout { shards, .. } => shards.iter().map(String::as_str).collect(),
        })
    }
}
