//! Which route of a plan a request takes, by its host and path.

use std::collections::HashMap;

use crate::plan::RoutingConfig;

/// The routes of one plan, laid out for finding.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Vec<u8>, HostRoutes>,
}

/// The prefixes of one host. A look-up costs one probe for each length that occurs, however many
/// prefixes there are and however long the path is.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Longest first, each once.
    prefix_lengths: Vec<usize>,
    route_by_prefix: HashMap<Vec<u8>, usize>,
}

impl RouteTable {
    pub fn new(plan: &RoutingConfig) -> RouteTable {
        let mut table = RouteTable::default();
        for (at, route) in plan.routes.iter().enumerate() {
            let host = host_without_port(&route.authority).to_ascii_lowercase().into_bytes();
            let prefixes = table.hosts.entry(host).or_default();
            let prefix = route.path_prefix.as_bytes();
            prefixes.prefix_lengths.push(prefix.len());
            prefixes.route_by_prefix.entry(prefix.to_vec()).or_insert(at);
        }
        for prefixes in table.hosts.values_mut() {
            prefixes.prefix_lengths.sort_unstable_by(|a, b| b.cmp(a));
            prefixes.prefix_lengths.dedup();
        }
        table
    }

    /// The index in `plan.routes` of the route with the longest prefix that begins the path, among
    /// those of the host. The host may carry a port and the path a query; neither counts.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = host_without_port(host).as_bytes();
        // Hosts are short; lowering one should not cost an allocation for each request.
        let mut lowered = [0u8; 256];
        let prefixes = match lowered.get_mut(..host.len()) {
            Some(lowered) => {
                lowered.copy_from_slice(host);
                lowered.make_ascii_lowercase();
                self.hosts.get(&*lowered)?
            }
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let path = path.as_bytes();
        let path = &path[..path.iter().position(|byte| *byte == b'?').unwrap_or(path.len())];
        prefixes
            .prefix_lengths
            .iter()
            .filter_map(|length| path.get(..*length))
            .find_map(|start| prefixes.route_by_prefix.get(start).copied())
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(&host_without_port(host).to_ascii_lowercase().into_bytes())
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
