//! The configuration in force, and the routing of requests to services by it.

use crate::access::TenantIndex;
use crate::clients::{ClientTimeouts, Rejection};
use crate::config_snapshot::ConfigSnapshot;
use crate::engine_ids::{EngineIds, SnapshotChange};
use crate::error::GatewayError;
use crate::headers;
use crate::requests::PendingRequest;
use crate::settings::GatewaySettings;
use crate::updates::Confirmation;
use fernknot::interface::*;
use fernknot::state::Mwc;
use fernknot_protocol::http::Request;
use fernknot_protocol::multiget::RequestedPart;
use fernknot_router_config::{Limits, SocketSettings};
use fernknot_schema::{ClientLimits, RouteTarget, SystemConfig};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Size of the shortest header field: a name of one character, a colon and a line end.
const MIN_FIELD_BYTES: usize = 4;
/// Interval of the sweeps for unused identifiers, in multiples of `contact_ms`.
const ID_SWEEP_INTERVAL_CONTACTS: f64 = 2.0;
/// Maximum time for a complete request to arrive, in multiples of `header_ms`.
const RECEIVE_TIMEOUT_HEADERS: f64 = 2.0;
/// Time for which a use case is kept after its route has been removed, in multiples of the longest deadline of a route
/// in the new configuration.
const USE_CASE_RETENTION_DEADLINES: f64 = 2.0;
/// Time that is added to the retention of use cases, in milliseconds.
const EXTRA_USE_CASE_RETENTION_MS: f64 = 10_000.0;
/// Time for which the identifier of an unused service is kept, in retry windows: the engine counts the retries that
/// were spent on a service in the last window by its identifier.
const ID_RETENTION_RETRY_WINDOWS: f64 = 2.0;

/// A request with its route and the services that have to answer it.
pub(crate) struct RoutedRequest {
    pub(crate) request: Request,
    pub(crate) config: Rc<ConfigSnapshot>,
    /// Index of the request's route in the configuration.
    pub(crate) route: usize,
    /// Tenant that the request belongs to.
    pub(crate) tenant: Option<TenantIndex>,
    pub(crate) attempt_id: String,
    /// Time that the client waits, bounded by the deadline of the route.
    pub(crate) timeout: Nanos,
    pub(crate) parts: Vec<RequestedPart>,
}

/// Configuration in force, with the identifiers that the engine has for its services and routes, and the limits that
/// depend on it.
pub(crate) struct Routing {
    config: Option<Rc<ConfigSnapshot>>,
    confirmation: Confirmation,
    ids: EngineIds,
    http_limits: Limits,
    rng: Mwc,
    id_sweep_interval: Nanos,
    id_retention: Nanos,
    next_id_sweep_at: Nanos,
}

impl Routing {
    /// Creates routing without a configuration.
    pub(crate) fn new(
        settings: &GatewaySettings,
        max_connections: usize,
        memory_mb: f64,
        rng_seed: u64,
    ) -> Result<Routing, GatewayError> {
        let mut http_limits = Limits::new(max_connections, memory_mb, &unused_socket_settings(settings))?;
        set_client_limits(&mut http_limits, &ClientLimits::default());
        Ok(Routing {
            config: None,
            confirmation: Confirmation::default(),
            ids: EngineIds::default(),
            http_limits,
            rng: Mwc::new(rng_seed),
            id_sweep_interval: settings.contact_timeout.times(ID_SWEEP_INTERVAL_CONTACTS),
            id_retention: settings.retry_window.times(ID_RETENTION_RETRY_WINDOWS),
            next_id_sweep_at: Nanos(0),
        })
    }

    /// Returns the configuration in force; `None` before the first one.
    pub(crate) fn config(&self) -> Option<&Rc<ConfigSnapshot>> {
        self.config.as_ref()
    }

    /// Returns the engine's identifiers.
    pub(crate) fn ids(&mut self) -> &mut EngineIds {
        &mut self.ids
    }

    pub(crate) fn service_count(&self) -> usize {
        self.ids.service_count()
    }

    /// Returns the size limits of HTTP messages.
    pub(crate) fn http_limits(&self) -> &Limits {
        &self.http_limits
    }

    /// Returns the time-outs of clients' connections.
    pub(crate) fn client_timeouts(&self) -> ClientTimeouts {
        let default = ClientLimits::default();
        let limits = self.config.as_ref().map_or(&default, |config| &config.config.limits);
        ClientTimeouts {
            idle: Nanos::from_millis(limits.idle_ms as f64),
            receive: Nanos::from_millis(limits.header_ms as f64).times(RECEIVE_TIMEOUT_HEADERS),
        }
    }

    /// Puts a configuration in force. Returns `None` if its revision is not newer than the one in force, so that a
    /// delayed update cannot restore an older configuration.
    pub(crate) fn apply(
        &mut self,
        now: Nanos,
        revision: u64,
        config: SystemConfig,
    ) -> Option<(Rc<ConfigSnapshot>, UseCaseChange)> {
        if self.config.as_ref().is_some_and(|current| current.revision >= revision) {
            return None;
        }
        let SystemConfig { routing: config, access } = config;
        let longest_deadline_ms = config.routes.iter().map(|route| route.deadline_ms).max().unwrap_or(0);
        let retention_ms =
            longest_deadline_ms as f64 * USE_CASE_RETENTION_DEADLINES + EXTRA_USE_CASE_RETENTION_MS;
        set_client_limits(&mut self.http_limits, &config.limits);
        let change = self.ids.snapshot(now, revision, config, Nanos::from_millis(retention_ms));
        let SnapshotChange { snapshot, use_cases, released } = change;
        let snapshot = Rc::new(snapshot.with_access(access));
        self.config = Some(snapshot.clone());
        Some((snapshot, UseCaseChange { use_cases, released }))
    }

    /// Sets what the sources have confirmed about the configuration.
    pub(crate) fn set_confirmation(&mut self, confirmation: Confirmation) {
        self.confirmation = confirmation;
    }

    /// Finds the route, the tenant and the services of a request.
    pub(crate) fn route(&mut self, now: Nanos, mut request: Request) -> Result<RoutedRequest, Rejection> {
        let config = self.config.clone().ok_or(Rejection::NoConfig)?;
        let host = request.header("host").unwrap_or_default();
        let index = config
            .find(host, request.path())
            .ok_or_else(|| self.confirmed(now, config.revision, Rejection::NoRoute))?;
        let tenant = match config.access() {
            Some(access) => access
                .authenticate(index, &mut request)
                .map_err(|rejection| self.confirmed(now, config.revision, rejection))?,
            None => None,
        };
        let attempt_id = request.header(headers::ATTEMPT_ID);
        let attempt_id = attempt_id.filter(|id| headers::is_valid_attempt_id(id));
        let attempt_id = attempt_id.ok_or(Rejection::InvalidAttemptId)?.to_string();
        let route = config.route(index);
        let requested_timeout_ms =
            request.header(headers::DEADLINE_MS).and_then(|text| text.trim().parse::<u64>().ok());
        let timeout_ms = requested_timeout_ms.unwrap_or(u64::MAX).min(route.deadline_ms);
        let parts = self.parts(&route.target);
        Ok(RoutedRequest {
            request,
            config,
            route: index,
            tenant,
            attempt_id,
            timeout: Nanos(timeout_ms.saturating_mul(1_000_000)),
            parts,
        })
    }

    /// Returns the rejection of a request that a configuration of this revision does not allow. Unless the configuration
    /// is confirmed, a newer one may allow the request, and it is only rejected for now.
    fn confirmed(&self, now: Nanos, revision: u64, rejection: Rejection) -> Rejection {
        if self.confirmation.covers(now, revision) { rejection } else { Rejection::UnconfirmedConfig }
    }

    /// Returns the rejection of a request that could not be read. A size above the limits is rejected for good only if
    /// the configuration that sets them is confirmed.
    pub(crate) fn confirmed_limit(&self, now: Nanos, rejection: Rejection) -> Rejection {
        let Rejection::Malformed(error) = rejection else { return rejection };
        let confirms = |config: &Rc<ConfigSnapshot>| self.confirmation.covers(now, config.revision);
        let is_confirmed = self.config.as_ref().is_some_and(confirms);
        if error.exceeds_limit() && !is_confirmed { Rejection::UnconfirmedLimit } else { rejection }
    }

    /// Returns one part for each service that has to answer, all of the same weight.
    fn parts(&mut self, target: &RouteTarget) -> Vec<RequestedPart> {
        let services: Vec<&str> = match target {
            RouteTarget::Service(service) => vec![service],
            RouteTarget::WeightedServices(services) => vec![self.pick_weighted_service(services)],
            RouteTarget::Fanout { shards, .. } => shards.iter().map(String::as_str).collect(),
        };
        let weight = 1.0 / services.len().max(1) as f64;
        let part = |service| RequestedPart { shard: self.ids.shard(service), weight, effort: None };
        services.into_iter().map(part).collect()
    }

    /// Draws one of the services that share a route, with probabilities proportional to their weights.
    fn pick_weighted_service<'a>(&mut self, services: &'a [(String, f64)]) -> &'a str {
        let total: f64 = services.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let mut remaining = self.rng.fraction() * total;
        let drawn = services.iter().find(|(_, weight)| {
            remaining -= weight.max(0.0);
            remaining < 0.0 && *weight > 0.0
        });
        // Rounding errors may leave no service drawn.
        let last = || services.iter().rfind(|(_, weight)| *weight > 0.0);
        drawn.or_else(last).map_or("", |(name, _)| name)
    }

    /// Releases the identifiers of unused services, once per sweep interval. A service is in use while the
    /// configuration in force or that of a request in flight names it, or while a node of it is listed.
    pub(crate) fn release_unused_ids<'a>(
        &mut self,
        now: Nanos,
        in_flight: impl Iterator<Item = &'a PendingRequest>,
        listed: impl Iterator<Item = &'a str>,
    ) {
        if now < self.next_id_sweep_at {
            return;
        }
        self.next_id_sweep_at = now + self.id_sweep_interval;
        let Some(config) = &self.config else { return };
        let mut revisions = BTreeMap::from([(config.revision, config)]);
        for request in in_flight {
            revisions.entry(request.config.revision).or_insert(&request.config);
        }
        let mut in_use: HashSet<&str> = revisions.values().flat_map(|config| config.services()).collect();
        for service in listed {
            in_use.insert(service);
        }
        self.ids.release_unused(now, self.id_retention, |service| in_use.contains(service));
    }
}

/// Changes of use cases that a new configuration causes in the engine.
pub(crate) struct UseCaseChange {
    /// Use cases of the routes, sorted by identifier.
    pub(crate) use_cases: Vec<(UseCaseId, UseCaseSettings)>,
    /// Use cases that no request can have any more.
    pub(crate) released: Vec<UseCaseId>,
}

/// Sets the limits on the size of requests to those of a configuration. Only their bytes limit the number of header
/// fields.
fn set_client_limits(http_limits: &mut Limits, client_limits: &ClientLimits) {
    http_limits.max_head_bytes = client_limits.header_bytes as usize;
    http_limits.max_headers = http_limits.max_head_bytes / MIN_FIELD_BYTES;
    http_limits.max_body_bytes = client_limits.body_bytes as usize;
}

/// Returns socket settings that satisfy the constructor of [`Limits`]. A gateway uses only the size limits of HTTP
/// messages, which do not depend on them.
fn unused_socket_settings(settings: &GatewaySettings) -> SocketSettings {
    SocketSettings {
        use_cases: Vec::new(),
        shards: 0,
        max_calls_per_connection: 1,
        max_parts_per_call: 1,
        node_idle_timeout: Nanos::from_millis(4000.0),
        connect_timeout: Nanos::from_millis(1000.0),
        drain_grace: settings.drain_cutoff,
        longest_deadline: Nanos::from_millis(3000.0),
        phases: Vec::new(),
        position: 0,
        zones: Vec::new(),
    }
}
