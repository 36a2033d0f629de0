//! Routing configurations of test clusters.

use fernknot_simulator::route_slots::{SLOT_COUNT, contains_slot, slot_path};
use serde_json::{Value, json};

/// Host name of all routes.
pub const HOST: &str = "testbed.example";
/// Service of all routes without fan-out.
pub const SINGLE_SERVICE: &str = "single";

/// Parameters of a routing configuration.
#[derive(Clone, Debug)]
pub struct ConfigDraft {
    /// Version of the configuration, which must be above the version that it replaces.
    pub epoch: u64,
    /// Number of shards of the gathered route; their services are `shard-0`, `shard-1` and so on.
    pub shards: usize,
    /// Number of unused routes, which only make the configuration larger.
    pub filler_routes: usize,
    /// Number of the change in a series, by which it has some of the routes that come and go; none for no such routes.
    pub change: Option<u64>,
    /// Maximum number of records in a gathered response.
    pub top_k: usize,
    /// Minimum share of shards in a successful gathered response, from 0 to 1.
    pub quorum: f64,
    /// Maximum number of nodes to which a gateway sends one request.
    pub max_attempts: usize,
    /// Latency target of each route, in milliseconds.
    pub target_ms: u64,
    /// Deadline of each route, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for ConfigDraft {
    fn default() -> ConfigDraft {
        ConfigDraft {
            epoch: 1,
            shards: 4,
            filler_routes: 0,
            change: None,
            top_k: 20,
            quorum: 0.5,
            max_attempts: 2,
            target_ms: 150,
            deadline_ms: 2000,
        }
    }
}

/// Returns the service of the shard with this number.
pub fn shard_name(number: usize) -> String {
    format!("shard-{number}")
}

impl ConfigDraft {
    /// Returns the services of the gathered route.
    pub fn fanout_services(&self) -> Vec<String> {
        (0..self.shards).map(shard_name).collect()
    }

    /// Returns all services.
    pub fn services(&self) -> Vec<String> {
        self.fanout_services().into_iter().chain([SINGLE_SERVICE.to_string()]).collect()
    }

    /// Returns the configuration as JSON: `/gather/` fans out to all shards, `/one/` (idempotent) and `/order/` (mutating)
    /// go to one node of [`SINGLE_SERVICE`].
    pub fn to_json(&self) -> Value {
        let fanout = json!({"fanout": self.fanout_services(), "top_k": self.top_k, "quorum": self.quorum});
        let single = json!({"backend": SINGLE_SERVICE});
        let mut routes = vec![
            self.route("gather", "/gather/", "idempotent", &fanout),
            self.route("one", "/one/", "idempotent", &single),
            self.route("order", "/order/", "mutating", &single),
        ];
        routes.extend((0..self.filler_routes).map(|number| {
            let prefix = format!("/filler/{number}/of/{}/", self.epoch);
            self.route(&format!("filler-{number}"), &prefix, "idempotent", &single)
        }));
        let slots =
            (0..SLOT_COUNT).filter(|slot| self.change.is_some_and(|change| contains_slot(change, *slot)));
        routes.extend(
            slots.map(|slot| self.route(&format!("slot-{slot}"), &slot_path(slot), "idempotent", &single)),
        );
        let services: Vec<Value> = self.services().iter().map(|name| service(name)).collect();
        json!({
            "epoch": self.epoch, "routes": routes, "backends": services,
            "limits": {"header_bytes": 16384, "body_bytes": 262_144, "header_ms": 3000, "idle_ms": 15000},
        })
    }

    /// Returns the configuration as the body of a request to a controller.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_json().to_string().into_bytes()
    }

    fn route(&self, name: &str, prefix: &str, traffic_class: &str, target: &Value) -> Value {
        let mut route = json!({
            "name": name, "authority": HOST, "path_prefix": prefix, "traffic_class": traffic_class,
            "deadline_ms": self.deadline_ms, "target_ms": self.target_ms, "rank": 1, "tries": self.max_attempts,
        });
        for (key, value) in target.as_object().into_iter().flatten() {
            route[key] = value.clone();
        }
        route
    }
}

fn service(name: &str) -> Value {
    json!({"name": name, "probe_path": "/health", "max_conns": 72, "protocol": "h1", "tls": false})
}
