//! Configurations as an operator of the rig writes them.

use serde_json::{Value, json};

/// The host of all routes.
pub const HOST: &str = "basin.example";

/// What a configuration is to hold.
#[derive(Clone, Debug)]
pub struct ConfigDraft {
    pub epoch: u64,
    /// Shards of the gathered route, services `shard-0` and on.
    pub shards: usize,
    /// Routes that nobody calls, so that the whole is as large as is wanted; they share the service `single`.
    pub filler_routes: usize,
    pub top_k: usize,
    pub quorum: f64,
    pub max_attempts: usize,
    pub target_ms: u64,
    pub deadline_ms: u64,
}

impl Default for ConfigDraft {
    fn default() -> ConfigDraft {
        ConfigDraft {
            epoch: 1,
            shards: 4,
            filler_routes: 0,
            top_k: 20,
            quorum: 0.5,
            max_attempts: 2,
            target_ms: 150,
            deadline_ms: 2000,
        }
    }
}

/// The name of a shard.
pub fn shard_name(number: usize) -> String {
    format!("shard-{number}")
}

impl ConfigDraft {
    /// The services of the gathered route.
    pub fn fanout_services(&self) -> Vec<String> {
        (0..self.shards).map(shard_name).collect()
    }

    /// The configuration: `/gather/` over all shards, `/one/` at one node of `single`, `/order/` there too, but
    /// never twice.
    pub fn to_json(&self) -> Value {
        let route = |name: &str, prefix: &str, class: &str, extra: Value| {
            let mut route = json!({
                "name": name, "authority": HOST, "path_prefix": prefix, "traffic_class": class,
                "deadline_ms": self.deadline_ms, "target_ms": self.target_ms, "rank": 1, "tries": self.max_attempts,
            });
            let extra = extra.as_object().into_iter().flatten();
            extra.for_each(|(key, value)| route[key] = value.clone());
            route
        };
        let fanout = json!({"fanout": self.fanout_services(), "top_k": self.top_k, "quorum": self.quorum});
        let mut routes = vec![
            route("gather", "/gather/", "idempotent", fanout),
            route("one", "/one/", "idempotent", json!({"backend": "single"})),
            route("order", "/order/", "mutating", json!({"backend": "single"})),
        ];
        let filler = |number: usize| {
            let prefix = format!("/filler/{number}/of/{}/", self.epoch);
            route(&format!("filler-{number}"), &prefix, "idempotent", json!({"backend": "single"}))
        };
        routes.extend((0..self.filler_routes).map(filler));
        let names = self.fanout_services().into_iter().chain(["single".to_string()]);
        let services: Vec<Value> = names
            .map(|name| {
                json!({"name": name, "probe_path": "/health", "max_conns": 72, "protocol": "h1", "tls": false})
            })
            .collect();
        json!({
            "epoch": self.epoch, "routes": routes, "backends": services,
            "limits": {"header_bytes": 16384, "body_bytes": 262_144, "header_ms": 3000, "idle_ms": 15000},
        })
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_json().to_string().into_bytes()
    }
}
