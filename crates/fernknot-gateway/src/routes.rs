//! The configuration as one gateway holds it: pinned by each request when its head is read.

use fernknot::decide::{LATE_SHARE, earnings};
use fernknot::interface::*;
use fernknot_schema::{Route, RouteTable, RouteTarget, RoutingConfig, TrafficClass};
use std::collections::{BTreeMap, HashMap, HashSet};

/// One version, with the module's names for what it names.
pub struct ConfigSnapshot {
    pub revision: u64,
    pub config: RoutingConfig,
    table: RouteTable,
    use_cases: Vec<UseCaseId>,
}

impl ConfigSnapshot {
    /// The route of a request, by its place in the plan.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.table.find(host, path)
    }

    pub fn route(&self, index: usize) -> &Route {
        &self.config.routes[index]
    }

    pub fn use_case(&self, index: usize) -> UseCaseId {
        self.use_cases[index]
    }

    /// The services that its routes name, some of them more than once.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.config.routes.iter().flat_map(|route| match &route.target {
            RouteTarget::Service(service) => vec![service.as_str()],
            RouteTarget::WeightedServices(shares) => {
                shares.iter().map(|(service, _)| service.as_str()).collect()
            }
            RouteTarget::Fanout { shards, .. } => shards.iter().map(String::as_str).collect(),
        })
    }
}

/// The module's numbers for services and routes, over all versions of the configuration.
#[derive(Default)]
pub struct EngineIds {
    shard_by_service: HashMap<String, ShardId>,
    /// Since when the services that have a number and are not in use were seen not to be.
    unused_since: HashMap<String, Nanos>,
    /// Never goes back: a number that was given up is nobody's, so that what the module still knows by it can't pass for
    /// another service's.
    next_shard: u32,
    /// Of shards that one route gathers from, whose work is alike, the first.
    shard_groups: HashMap<ShardId, u32>,
    /// What was measured of a route holds while its key does.
    use_case_by_key: HashMap<UseCaseKey, UseCaseId>,
    free_use_cases: Vec<UseCaseId>,
    /// Those of routes that are gone, until nothing of them can be in hand any more.
    retiring_use_cases: BTreeMap<(Nanos, UseCaseId), ()>,
    next_use_case: usize,
}

/// Host, prefix, class and quorum. Guards what is open by an earlier version: the module judges it by the facts of
/// its number, so that other needs or effects have another number.
type UseCaseKey = (String, String, TrafficClass, u64);

fn use_case_key(route: &Route) -> UseCaseKey {
    let quorum = match &route.target {
        RouteTarget::Fanout { quorum, .. } => quorum.to_bits(),
        _ => 1.0f64.to_bits(),
    };
    (route.authority.clone(), route.path_prefix.clone(), route.traffic_class, quorum)
}

/// What a route asks of the module.
pub fn use_case_settings(route: &Route) -> UseCaseFacts {
    let floor = match &route.target {
        RouteTarget::Fanout { quorum, .. } => *quorum,
        _ => 1.0,
    };
    let effect =
        if route.traffic_class == TrafficClass::Mutating { Effect::SingleUse } else { Effect::Replayable };
    UseCaseFacts {
        goal: Nanos::from_millis(route.target_ms as f64),
        hard_limit: Nanos::from_millis(route.deadline_ms as f64),
        earnings: earnings(route.rank),
        late_share: LATE_SHARE,
        squared: matches!(route.target, RouteTarget::Fanout { .. }),
        effect,
        stretch: 0.0,
        need: 1.0,
        floor,
        second_step: false,
        most_hand_offs: Some(route.max_attempts.max(1)),
    }
}

impl EngineIds {
    pub fn shard(&mut self, service: &str) -> ShardId {
        if let Some(shard) = self.shard_by_service.get(service) {
            return *shard;
        }
        let shard = ShardId(self.next_shard);
        self.next_shard += 1;
        self.shard_by_service.insert(service.to_string(), shard);
        shard
    }

    /// Gives up the numbers of services that have not been in use for so long; one that comes back gets another. Guards
    /// the memory of a gateway that runs for days against cuts of the index that came and went.
    pub fn release_unused(&mut self, now: Nanos, keep: Nanos, is_in_use: impl Fn(&str) -> bool) {
        self.unused_since.retain(|service, _| !is_in_use(service));
        for service in self.shard_by_service.keys().filter(|service| !is_in_use(service)) {
            self.unused_since.entry(service.clone()).or_insert(now);
        }
        for service in
            self.unused_since.extract_if(|_, since| now - *since > keep).map(|(service, _)| service)
        {
            self.shard_by_service.remove(&service);
        }
        let named: HashSet<ShardId> = self.shard_by_service.values().copied().collect();
        self.shard_groups.retain(|shard, _| named.contains(shard));
    }

    /// Services that have a number.
    pub fn service_count(&self) -> usize {
        self.shard_by_service.len()
    }

    /// The group of shards whose work is alike; one that no route gathers from has its own.
    pub fn group(&self, shard: ShardId) -> u32 {
        self.shard_groups.get(&shard).copied().unwrap_or(shard.0 + 1)
    }

    /// Takes a version; its use cases come back, in the order of their numbers, and those whose
    /// numbers are free now.
    pub fn snapshot(
        &mut self,
        now: Nanos,
        order: u64,
        plan: RoutingConfig,
        keep: Nanos,
    ) -> (ConfigSnapshot, Vec<(UseCaseId, UseCaseFacts)>, Vec<UseCaseId>) {
        let mut freed = Vec::new();
        while let Some(((at, case), ())) = self.retiring_use_cases.first_key_value() {
            if *at > now {
                break;
            }
            self.free_use_cases.push(*case);
            freed.push(*case);
            self.retiring_use_cases.pop_first();
        }
        let mut cases = HashMap::new();
        let mut facts = Vec::new();
        let mut use_cases = Vec::with_capacity(plan.routes.len());
        for route in &plan.routes {
            let key = use_case_key(route);
            let case =
                self.use_case_by_key.get(&key).copied().or_else(|| self.free_use_cases.pop()).unwrap_or_else(
                    || {
                        self.next_use_case += 1;
                        UseCaseId(self.next_use_case - 1)
                    },
                );
            cases.insert(key, case);
            facts.push((case, use_case_settings(route)));
            use_cases.push(case);
        }
        let live: HashSet<UseCaseId> = cases.values().copied().collect();
        for case in std::mem::replace(&mut self.use_case_by_key, cases).into_values() {
            if !live.contains(&case) {
                self.retiring_use_cases.insert((now + keep, case), ());
            }
        }
        facts.sort_by_key(|(case, _)| *case);
        self.shard_groups.clear();
        for route in &plan.routes {
            if let RouteTarget::Fanout { shards, .. } = &route.target {
                let shards: Vec<ShardId> = shards.iter().map(|name| self.shard(name)).collect();
                let first = shards.iter().min().map_or(0, |shard| shard.0 + 1);
                shards.into_iter().for_each(|shard| _ = self.shard_groups.entry(shard).or_insert(first));
            }
        }
        let table = RouteTable::new(&plan);
        (ConfigSnapshot { revision: order, config: plan, table, use_cases }, facts, freed)
    }
}
