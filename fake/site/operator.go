package site

// Names used in the configuration that Config returns.
const (
	Host             = "site.example"
	EngineService    = "engines"
	PlainService     = "orders"
	StreamPath       = "/stream/"
	NonResumablePath = "/once/"
	OrderPath        = "/order/"
	StatusPath       = "/status/"
	Key              = "key-1"
	OtherKey         = "key-2"
)

// Paths has one path of each kind of route.
var Paths = []string{StreamPath, NonResumablePath, OrderPath, StatusPath}

// Config returns a configuration with one route of each kind. Streams of StreamPath
// may be resumed, those of NonResumablePath may not.
func Config(version int64) map[string]any {
	route := func(name, path, kind, service string, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "path_prefix": path, "kind": kind, "service": service,
			"timeout_ms": 5000, "target_latency_ms": 400, "max_attempts": attempts, "priority": 1,
		}
		for field, value := range extra {
			r[field] = value
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", StreamPath, "stream", EngineService, 2, map[string]any{"resumable": true, "gap_aim_ms": 300}),
			route("once", NonResumablePath, "stream", EngineService, 1, map[string]any{"gap_aim_ms": 300}),
			route("order", OrderPath, "non_idempotent", PlainService, 1, map[string]any{"public": true}),
			route("status", StatusPath, "idempotent", PlainService, 2, map[string]any{"public": true}),
		},
		"services": []any{
			map[string]any{"name": EngineService, "health_path": "/health", "max_conns": 100, "engine": map[string]any{
				"slots": 8, "kv_capacity": 100000, "stride": 4,
			}},
			map[string]any{"name": PlainService, "health_path": "/health", "max_conns": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
			"tokens_per_s": 400000,
		},
		"tenants": []any{
			map[string]any{"name": "workspace-1", "api_keys": []string{Key}, "priority": 1},
			map[string]any{"name": "workspace-2", "api_keys": []string{OtherKey}, "priority": 1},
		},
	}
}
