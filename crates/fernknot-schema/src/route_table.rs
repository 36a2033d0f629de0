//! Look-up of the route of a request by its host and path.

use std::collections::HashMap;

use crate::routing_config::RoutingConfig;

/// Length up to which a host is looked up without an allocation, in bytes.
const MAX_STACK_HOST_BYTES: usize = 256;

/// Routes of one configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes_by_host: HashMap<Vec<u8>, HostRoutes>,
}

/// Routes of one host. A look-up searches the hash table at most once for each distinct length of the prefixes,
/// however many prefixes have that length.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Distinct lengths of the prefixes in bytes, longest first.
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
    /// Returns the index of a configuration's routes.
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

    /// Returns the index in [`RoutingConfig::routes`] of the host's route with the longest prefix of the path; `None`
    /// if there is none. Ignores the case and a port of the host, and a query string of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.routes_of_host(host)?.find(path.as_bytes())
    }

    /// Returns whether any route has this host, whose case and port are ignored.
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

/// Returns a host without its port. An IPv6 host keeps its brackets.
pub(crate) fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => {
            // A colon inside brackets belongs to the address.
            if name.starts_with('[') && !name.ends_with(']') { host } else { name }
        }
        _ => host,
    }
}
