package main

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMillis, targetMillis, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "review.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMillis,
		"target_latency_ms": targetMillis, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
}

// plainService returns a service without an engine.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
}

// tenant returns a tenant with its keys.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}

// config returns a whole configuration.
func config(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
