package main

// routes are the queues of the configuration.
var routes = []map[string]any{
	{"name": "quick", "host": host, "path_prefix": "/quick/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "svc", "attempts": 3, "stretch": 1.5},
	{"name": "sweep", "host": host, "path_prefix": "/sweep/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2, "service": "svc", "attempts": 2, "stretch": 4.0},
}
