//! Validation of the operator's configuration.

use std::collections::{HashMap, HashSet};

use crate::raw_config::{RawConfig, RawRoute, RawService, RawTenant, RawWeightedService};
use crate::route_table::host_without_port;
use crate::routing_config::{Route, RouteTarget, RoutingConfig, Service, TrafficClass};
use crate::system_config::SystemConfig;
use crate::tenant::{AccessControl, ApiKeyDigest, DigestKey, Tenant};
use crate::validation_error::ValidationError;

const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_MAX_CONNECTIONS: u32 = 32;
const DEFAULT_TOP_K: usize = 100;
const DEFAULT_QUORUM: f64 = 0.0;
const DEFAULT_MAX_ATTEMPTS: u64 = 1;

/// Checks conditions on several settings at once; `schematic` has checked the single settings.
pub(crate) fn validate(raw: RawConfig, digest_key: &DigestKey) -> Result<SystemConfig, Vec<ValidationError>> {
    let mut errors = Vec::new();
    let services = parse_services(raw.backends.unwrap_or_default(), &mut errors);
    let routes = raw.routes.unwrap_or_default();
    let public_routes: Vec<bool> = routes.iter().map(|route| route.public).collect();
    let routes = parse_routes(routes, &services, &mut errors);
    let tenants = raw.tenants.map(|tenants| parse_tenants(tenants, digest_key, &mut errors));
    if !errors.is_empty() {
        return Err(errors);
    }
    let epoch = raw.epoch.map_or(0, |epoch| epoch.0);
    let routing = RoutingConfig { epoch, routes, services, limits: raw.limits.resolve() };
    let access =
        tenants.map(|tenants| AccessControl { digest_key: digest_key.clone(), tenants, public_routes });
    Ok(SystemConfig { routing, access })
}

fn parse_services(raw: Vec<RawService>, errors: &mut Vec<ValidationError>) -> Vec<Service> {
    let mut names = HashSet::new();
    let mut services = Vec::with_capacity(raw.len());
    for (index, raw) in raw.into_iter().enumerate() {
        let name = raw.name.unwrap_or_default();
        if !names.insert(name.clone()) {
            let reason = format!("has the name of another service, {name:?}");
            errors.push(ValidationError::new(format!("backends[{index}]"), reason));
        }
        let max_connections = raw.max_conns.map(|connections| saturating_u32(connections.0));
        services.push(Service {
            name,
            probe_path: raw.probe_path,
            max_connections: max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            protocol: raw.protocol,
            tls: raw.tls,
        });
    }
    services
}

fn parse_routes(raw: Vec<RawRoute>, services: &[Service], errors: &mut Vec<ValidationError>) -> Vec<Route> {
    let service_names: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let mut hosts_and_prefixes = HashSet::new();
    let mut routes = Vec::with_capacity(raw.len());
    for (index, raw) in raw.into_iter().enumerate() {
        let path = format!("routes[{index}]");
        let route = parse_route(raw, &path, errors);
        for name in route.target.services().filter(|name| !service_names.contains(name)) {
            errors.push(ValidationError::new(&path, format!("names the unknown service {name:?}")));
        }
        let host = host_without_port(&route.authority).to_ascii_lowercase();
        if !hosts_and_prefixes.insert((host, route.path_prefix.clone())) {
            errors.push(ValidationError::new(&path, "has the host and prefix of another route"));
        }
        routes.push(route);
    }
    routes
}

fn parse_route(mut raw: RawRoute, path: &str, errors: &mut Vec<ValidationError>) -> Route {
    let target = parse_target(&mut raw, path, errors);
    // Requests of a fanout may always be executed more than once, whatever the class; other requests without a class
    // may not.
    let traffic_class = match (&target, raw.traffic_class) {
        (RouteTarget::Fanout { .. }, _) => TrafficClass::Idempotent,
        (_, class) => class.unwrap_or_default().into(),
    };
    let deadline_ms = raw.deadline_ms.map_or(DEFAULT_DEADLINE_MS, |ms| ms.0);
    let max_attempts = raw.tries.map_or(DEFAULT_MAX_ATTEMPTS, |attempts| attempts.0);
    Route {
        name: raw.name,
        authority: raw.authority.unwrap_or_default(),
        path_prefix: raw.path_prefix.unwrap_or_default(),
        traffic_class,
        deadline_ms,
        target_ms: raw.target_ms.map_or(deadline_ms, |ms| ms.0),
        rank: saturating_u32(raw.rank.0),
        target,
        max_attempts: saturating_u32(max_attempts).max(1),
    }
}

/// Parses the target of a route. A fanout takes precedence over weighted services, and these over a single service.
fn parse_target(raw: &mut RawRoute, path: &str, errors: &mut Vec<ValidationError>) -> RouteTarget {
    if let Some(shards) = raw.fanout.take() {
        check_shards(&shards, path, errors);
        let top_k = raw.top_k.map_or(DEFAULT_TOP_K, |top_k| saturating_u32(top_k.0) as usize);
        return RouteTarget::Fanout { shards, top_k, quorum: raw.quorum.unwrap_or(DEFAULT_QUORUM) };
    }
    if let Some(shares) = raw.shares.take() {
        return RouteTarget::WeightedServices(parse_weighted_services(shares, path, errors));
    }
    if raw.backend.is_none() {
        errors.push(ValidationError::new(path, "names no service"));
    }
    RouteTarget::Service(raw.backend.take().unwrap_or_default())
}

fn check_shards(shards: &[String], path: &str, errors: &mut Vec<ValidationError>) {
    let mut names = HashSet::new();
    if shards.is_empty() {
        errors.push(ValidationError::new(path, "has a fanout of no service"));
    }
    if !shards.iter().all(|shard| names.insert(shard.as_str())) {
        errors.push(ValidationError::new(path, "has a fanout that names a service twice"));
    }
}

fn parse_weighted_services(
    raw: Vec<RawWeightedService>,
    path: &str,
    errors: &mut Vec<ValidationError>,
) -> Vec<(String, f64)> {
    let weighted: Vec<(String, f64)> = raw
        .into_iter()
        .map(|service| (service.backend.unwrap_or_default(), service.weight.unwrap_or(0.0)))
        .collect();
    let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if sum <= 0.0 || !sum.is_finite() {
        errors.push(ValidationError::new(path, "has weights that add up to 0"));
    }
    weighted
}

fn parse_tenants(
    raw: Vec<RawTenant>,
    digest_key: &DigestKey,
    errors: &mut Vec<ValidationError>,
) -> Vec<Tenant> {
    let mut owners: HashMap<ApiKeyDigest, usize> = HashMap::new();
    let mut list: Vec<Tenant> = Vec::with_capacity(raw.len());
    for (index, raw) in raw.into_iter().enumerate() {
        let name = raw.name.unwrap_or_default();
        // Nodes receive the name in a header field.
        if name.chars().any(char::is_control) {
            let reason = "contains a control character";
            errors.push(ValidationError::new(format!("tenants[{index}].name"), reason));
        }
        let keys: Vec<ApiKeyDigest> =
            raw.api_keys.0.iter().map(|key| digest_key.digest(key.as_bytes())).collect();
        for key in &keys {
            let owner = *owners.entry(*key).or_insert(index);
            if owner != index {
                let reason = format!("{name:?} has a key of another tenant, {:?}", list[owner].name);
                errors.push(ValidationError::new(format!("tenants[{index}].api_keys"), reason));
            }
        }
        let rank = raw.rank.map(|rank| saturating_u32(rank.0));
        list.push(Tenant { name, rank, keys });
    }
    list
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
