package main

import "time"

// Names in the configuration.
const (
	modelName    = "draft-model"
	modelService = "pool"
	plainService = "desk"
	otherService = "catalogue" // another plain service
	heartbeat    = 1200 * time.Millisecond
)

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeout, objective  time.Duration
	maxAttempts         int
	resumable           bool
}

// config returns a configuration with these routes, each for the path of its name.
func config(version int, routes ...route) map[string]any {
	var wire []any
	for _, r := range routes {
		w := map[string]any{
			"name": r.name, "host": serveHost, "path-prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service,
			"timeout-ms": r.timeout.Milliseconds(), "slo-ms": r.objective.Milliseconds(), "priority": 1, "max-attempts": r.maxAttempts, "anonymous": false,
		}
		if r.kind == "streaming" {
			w["resumable"], w["gap-target-ms"], w["sticky"] = r.resumable, 250, true
		}
		wire = append(wire, w)
	}
	return map[string]any{
		"version": version,
		"routes":  wire,
		"services": []any{
			map[string]any{
				"name": modelService, "health-path": "/health", "max-conns": 354, "protocol": "h1", "tls": false, "cold-start-s": 0, "cold-per-s": 0,
				"engine": map[string]any{
					"batch-slots": 26, "kv-capacity": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293,
					"read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200, "loads-per-s": 5.5, "loads_at_once": 8, "form-ms": 300,
					"usual":  map[string]any{"prompt": 1115, "answer": 152},
					"models": []any{map[string]any{"name": modelName, "size": modelSize, "share": 1.0, "pace": 1.0, "load-s": 0.4, "warm-s": 0.2}},
				},
			},
			map[string]any{"name": plainService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false, "cold-start-s": 0, "cold-per-s": 0},
			map[string]any{"name": otherService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false, "cold-start-s": 0, "cold-per-s": 0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": accountName, "api-keys": []string{apiKey}, "priority": 1}},
	}
}
