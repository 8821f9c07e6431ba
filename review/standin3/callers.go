package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	host = "bookings.example"
	path = "/status/"
	// chargePath is that of requests that must not be repeated.
	chargePath = "/charge/"
	key        = "key-1"

	callPause   = 40 * time.Millisecond
	callTimeout = 5 * time.Second
)

// configuration returns a version with the given keys.
func configuration(version int64, keys ...string) map[string]any {
	var tenants []any
	for i, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{key}, "priority": 1})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "job-status", "host": host, "path_prefix": path, "kind": "idempotent", "service": service,
				"timeout_ms": 5000, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
			},
			map[string]any{
				"name": "book-charge", "host": host, "path_prefix": chargePath, "kind": "non_idempotent", "service": service,
				"timeout_ms": 5000, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
			},
		},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 100}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000,
		},
		"tenants": tenants,
	}
}

// call is one request of a caller.
type call struct {
	id, router string
	sent       time.Time
	status     int
}

// callers sends requests to every router until ctx ends.
type callers struct {
	mu    sync.Mutex
	calls []call
}

func (c *callers) run(ctx context.Context, r *router) { c.send(ctx, r, http.MethodGet, path) }

// charge sends requests that must not be repeated to a router until ctx ends.
func (c *callers) charge(ctx context.Context, r *router) {
	c.send(ctx, r, http.MethodPost, chargePath)
}

func (c *callers) send(ctx context.Context, r *router, method, path string) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		one := call{id: fmt.Sprintf("%s%s%d", r.name, path, n), router: r.name, sent: time.Now()}
		request, err := http.NewRequest(method, "http://"+r.front()+path+"x", nil)
		if err != nil {
			panic(err) // the address is valid
		}
		request.Host = host
		request.Header.Set("Request-Id", one.id)
		request.Header.Set("Deadline", fmt.Sprint(callTimeout.Milliseconds()))
		request.Header.Set("Authorization", "Bearer "+key)
		if response, err := client.Do(request); err == nil {
			one.status = response.StatusCode
			_ = response.Body.Close()
		}
		c.mu.Lock()
		c.calls = append(c.calls, one)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(callPause):
		}
	}
}
