//! Which route a request takes, by its host and path.

use std::collections::HashMap;

use crate::routing_config::RoutingConfig;

/// Hosts up to this length are looked up without an allocation.
const MAX_STACK_HOST_BYTES: usize = 256;

/// The routes of one configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes_by_host: HashMap<Vec<u8>, HostRoutes>,
}

/// The routes of one host. A look-up costs one probe for each length of a prefix that occurs, however many prefixes
/// there are and however long the path is.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Longest first, each once.
    prefix_lengths: Vec<usize>,
    route_by_prefix: HashMap<Vec<u8>, usize>,
}

impl HostRoutes {
    fn find(&self, path: &[u8]) -> Option<usize> {
        let prefixes = self.prefix_lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| self.route_by_prefix.get(prefix)).next().copied()
    }
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(config: &RoutingConfig) -> RouteTable {
        let mut table = RouteTable::default();
        for (index, route) in config.routes.iter().enumerate() {
            let host = host_without_port(&route.authority).to_ascii_lowercase().into_bytes();
            let routes = table.routes_by_host.entry(host).or_default();
            let prefix = route.path_prefix.as_bytes();
            routes.prefix_lengths.push(prefix.len());
            routes.route_by_prefix.entry(prefix.to_vec()).or_insert(index);
        }
        for routes in table.routes_by_host.values_mut() {
            routes.prefix_lengths.sort_unstable_by(|one, other| other.cmp(one));
            routes.prefix_lengths.dedup();
        }
        table
    }

    /// The index in [`RoutingConfig::routes`] of the route with the longest prefix that begins the path, among those of
    /// the host. The host may carry a port and the path a query; neither counts.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.routes_of_host(host)?.find(path.as_bytes())
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes_of_host(host).is_some()
    }

    fn routes_of_host(&self, host: &str) -> Option<&HostRoutes> {
        let host = host_without_port(host).as_bytes();
        let mut buffer = [0u8; MAX_STACK_HOST_BYTES];
        match buffer.get_mut(..host.len()) {
            Some(lowercase) => {
                lowercase.copy_from_slice(host);
                lowercase.make_ascii_lowercase();
                self.routes_by_host.get(&*lowercase)
            }
            None => self.routes_by_host.get(&host.to_ascii_lowercase()),
        }
    }
}

/// A host without its port. An IPv6 host keeps its brackets.
pub(crate) fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => {
            // A colon inside brackets belongs to the address.
            if bare.starts_with('[') && !bare.ends_with(']') { host } else { bare }
        }
        _ => host,
    }
}
