//! Configuration files of the router under test.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Returns an entry of the endpoint list. `flavor` and `phase` are values of the wire format.
pub fn endpoint_entry(id: &str, address: SocketAddr, flavor: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "central", "flavor": flavor, "cell": 0,
           "phase": phase, "size": 1, "up_since_ms": 0})
}

/// Returns a complete configuration whose endpoint list has these entries.
pub fn configuration(change_stream: SocketAddr, endpoints: Vec<Value>) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "changelog": change_stream.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
        "known": {
            "seq": 1,
            "results": [{"seq": 1, "fleet": {"revision": 1, "complete": true, "members": endpoints}}]
        },
        "settings": {
            "family": "edge", "zone": 0, "zones": ["central"], "flavors": ["cache", "parent", "origin"],
            "balancers": 1, "weights": "off", "registry_mode": "pushed",
            "request_classes": [
                {"name": "pages", "deadline": 3_000_000, "objective": 300_000, "effect": "read_like",
                 "group": "all", "late_value": 0.2, "points": 1.0, "window": 0},
                {"name": "saves", "deadline": 3_000_000, "objective": 300_000, "effect": "idempotency_key",
                 "group": "all", "late_value": 0.2, "points": 1.0, "window": 3_000_000},
                {"name": "orders", "deadline": 3_000_000, "objective": 300_000, "effect": "non_idempotent",
                 "group": "all", "late_value": 0.2, "points": 1.0, "window": 0}],
            "limits": {"cancelling": true, "conn_idle": 3_600_000_000u64, "connect_timeout": 400_000,
                       "most_tries": 8, "max_retry_after": 500_000, "retry_after": true,
                       "second_copies": false, "open_cap": 20000},
            "rules": {"cold_share": 0.2, "warm_within": 18_000_000, "drain_grace": 500_000,
                      "overload_factor": 4.0, "overload_for": 1_000_000},
            "family_info": {"bypass_allowed": true, "class_fresh": [8_000_000, 0, 0], "older_by": [0, 0, 0],
                            "worth_when_old": [0.5, 0.5, 0.5], "goes_through": [false, true, false],
                            "note_level": "all", "root_kind": 2, "second_tier_kind": 1,
                            "gone_everywhere": 6_000_000, "heed_within": 500_000, "instances_by_zone": [1],
                            "client_kb_per_s": 9000.0}
        }
    })
}
