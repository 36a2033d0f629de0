//! Identifiers that the engine (`fernknot-engine`, which decides on the attempts of requests) uses for services and
//! routes, over all revisions of the configuration.

use crate::config_snapshot::ConfigSnapshot;
use crate::use_case::{UseCaseKey, use_case_settings};
use fernknot::interface::*;
use fernknot_schema::{RouteTarget, RoutingConfig};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Identifiers of services, which the engine calls shards, and of routes, which it calls use cases.
#[derive(Default)]
pub struct EngineIds {
    shard_by_service: HashMap<String, ShardId>,
    /// Time since which a service that has an identifier is unused.
    unused_since: HashMap<String, Nanos>,
    /// Next identifier of a service. Released identifiers are not reused, so that the engine's remaining state for one
    /// is not taken for that of another service.
    next_shard: u32,
    /// Group of each shard of a fan-out, whose shards have similar work.
    shard_groups: HashMap<ShardId, u32>,
    /// Use cases of the revision in force. The engine's measurements of a route are kept while its key exists.
    use_case_by_key: HashMap<UseCaseKey, UseCaseId>,
    free_use_cases: Vec<UseCaseId>,
    /// Use cases of removed routes, with the time from which none of their requests can be in flight.
    retiring_use_cases: BTreeSet<(Nanos, UseCaseId)>,
    next_use_case: usize,
}

/// A new revision of the configuration, and the changes of use cases that the engine has to apply.
pub struct SnapshotChange {
    /// Snapshot of the revision.
    pub snapshot: ConfigSnapshot,
    /// Use cases of the routes, sorted by identifier.
    pub use_cases: Vec<(UseCaseId, UseCaseSettings)>,
    /// Use cases of earlier revisions that no request can have any more.
    pub released: Vec<UseCaseId>,
}

impl EngineIds {
    /// Returns the identifier of a service, and assigns one if it has none.
    pub fn shard(&mut self, service: &str) -> ShardId {
        if let Some(shard) = self.shard_by_service.get(service) {
            return *shard;
        }
        let shard = ShardId(self.next_shard);
        self.next_shard += 1;
        self.shard_by_service.insert(service.to_string(), shard);
        shard
    }

    /// Releases the identifiers of services that have been unused for longer than `retention`; a service that is used
    /// again gets a new one. Otherwise the identifiers of shards that no configuration names any more would accumulate.
    pub fn release_unused(&mut self, now: Nanos, retention: Nanos, is_in_use: impl Fn(&str) -> bool) {
        self.unused_since.retain(|service, _| !is_in_use(service));
        for service in self.shard_by_service.keys().filter(|service| !is_in_use(service)) {
            self.unused_since.entry(service.clone()).or_insert(now);
        }
        for (service, _) in self.unused_since.extract_if(|_, since| now - *since > retention) {
            self.shard_by_service.remove(&service);
        }
        let named: HashSet<ShardId> = self.shard_by_service.values().copied().collect();
        self.shard_groups.retain(|shard, _| named.contains(shard));
    }

    /// Number of services that have an identifier.
    pub fn service_count(&self) -> usize {
        self.shard_by_service.len()
    }

    /// Returns the group of shards with similar work that a shard belongs to. A shard of no fan-out has its own group.
    pub fn group(&self, shard: ShardId) -> u32 {
        self.shard_groups.get(&shard).copied().unwrap_or(shard.0 + 1)
    }

    /// Assigns identifiers to the routes of a new revision. Use cases that it no longer has are released after
    /// `retention`.
    pub fn snapshot(
        &mut self,
        now: Nanos,
        revision: u64,
        config: RoutingConfig,
        retention: Nanos,
    ) -> SnapshotChange {
        let released = self.release_retired_use_cases(now);
        let mut use_case_by_key = HashMap::new();
        let mut use_cases = Vec::new();
        let mut route_use_cases = Vec::with_capacity(config.routes.len());
        for route in &config.routes {
            let key = UseCaseKey::new(route);
            let id = self.use_case(&key);
            use_case_by_key.insert(key, id);
            use_cases.push((id, use_case_settings(route)));
            route_use_cases.push(id);
        }
        use_cases.sort_by_key(|(id, _)| *id);
        self.replace_use_cases(now + retention, use_case_by_key);
        self.group_shards(&config);
        SnapshotChange {
            snapshot: ConfigSnapshot::new(revision, config, route_use_cases),
            use_cases,
            released,
        }
    }

    /// Releases the use cases that no request can have any more.
    fn release_retired_use_cases(&mut self, now: Nanos) -> Vec<UseCaseId> {
        let mut released = Vec::new();
        while let Some((_, id)) = self.retiring_use_cases.first().filter(|(at, _)| *at <= now).copied() {
            self.retiring_use_cases.pop_first();
            self.free_use_cases.push(id);
            released.push(id);
        }
        released
    }

    /// Returns the use case of a key in the revision in force, or else a free one.
    fn use_case(&mut self, key: &UseCaseKey) -> UseCaseId {
        let known = self.use_case_by_key.get(key).copied();
        known.or_else(|| self.free_use_cases.pop()).unwrap_or_else(|| {
            self.next_use_case += 1;
            UseCaseId(self.next_use_case - 1)
        })
    }

    fn replace_use_cases(&mut self, release_at: Nanos, use_case_by_key: HashMap<UseCaseKey, UseCaseId>) {
        let in_force: HashSet<UseCaseId> = use_case_by_key.values().copied().collect();
        let earlier = std::mem::replace(&mut self.use_case_by_key, use_case_by_key);
        let retired = earlier.into_values().filter(|id| !in_force.contains(id));
        self.retiring_use_cases.extend(retired.map(|id| (release_at, id)));
    }

    fn group_shards(&mut self, config: &RoutingConfig) {
        self.shard_groups.clear();
        for route in &config.routes {
            let RouteTarget::Fanout { shards, .. } = &route.target else { continue };
            let shards: Vec<ShardId> = shards.iter().map(|service| self.shard(service)).collect();
            let group = shards.iter().min().map_or(0, |shard| shard.0 + 1);
            for shard in shards {
                self.shard_groups.entry(shard).or_insert(group);
            }
        }
    }
}
