//! A revision of the routing configuration, with the identifiers (use cases) that the engine, `fernknot-engine`, has
//! for its routes.

use crate::access::AccessTable;
use fernknot::interface::UseCaseId;
use fernknot_schema::{AccessControl, Route, RouteTable, RouteTarget, RoutingConfig};

/// Configuration revision that is in force, or that was when a request in flight was read.
pub struct ConfigSnapshot {
    /// Sequence number of the revision among all configurations that were ever in force.
    pub revision: u64,
    /// Contents of the revision.
    pub config: RoutingConfig,
    table: RouteTable,
    /// Tenants and their keys; `None` if no request needs a key.
    access: Option<AccessTable>,
    /// Use case of each route in the engine.
    use_cases: Vec<UseCaseId>,
}

impl ConfigSnapshot {
    /// Creates a snapshot. `use_cases` has one entry for each route of the configuration.
    pub(crate) fn new(revision: u64, config: RoutingConfig, use_cases: Vec<UseCaseId>) -> ConfigSnapshot {
        let table = RouteTable::new(&config);
        ConfigSnapshot { revision, config, table, access: None, use_cases }
    }

    /// Adds the tenants of the revision, whose keys requests need from then on.
    pub(crate) fn with_access(mut self, access: Option<AccessControl>) -> ConfigSnapshot {
        self.access = access.map(AccessTable::new);
        self
    }

    /// Returns the tenants and their keys; `None` if no request needs a key.
    pub fn access(&self) -> Option<&AccessTable> {
        self.access.as_ref()
    }

    /// Returns the index of the route that matches a request.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.table.find(host, path)
    }

    /// Returns a route by its index.
    pub fn route(&self, index: usize) -> &Route {
        &self.config.routes[index]
    }

    /// Returns the engine's use case of the route with this index.
    pub fn use_case(&self, index: usize) -> UseCaseId {
        self.use_cases[index]
    }

    /// Returns the services that the routes name, with duplicates.
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
