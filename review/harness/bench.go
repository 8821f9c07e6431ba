//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// Names that the configuration of all cases uses.
const (
	hostName = "site.example"
	key      = "key-1"
	zone     = "a"
)

// bench is one small deployment: a store, runners and routers.
type bench struct {
	trouble bool
	started time.Time
	folder  string // temporary, for settings and logs
	network string // first three bytes of the loopback addresses
	store   *site.Store

	mu      sync.Mutex
	record  *os.File
	routers []*router
	servers []*http.Server
}

func newBench(folder string, trouble bool) (*bench, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, started: time.Now(), folder: temporary, record: record}
	for range 50 {
		b.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(40), rand.IntN(250))
		if b.store, err = site.NewStore(b.network + ".250:8781"); err == nil {
			b.note("trouble=%v network=%s", trouble, b.network)
			return b, nil
		}
	}
	return nil, err
}

// note writes one line with the time since the start.
func (b *bench) note(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (b *bench) close() {
	for _, r := range b.routers {
		r.kill()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.store.Close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.folder)
}

// router is one router process.
type router struct {
	bench   *bench
	name    string
	ip      string
	command *exec.Cmd
	ended   chan struct{}
}

func (r *router) address() string { return r.ip + ":8783" }

// settings returns the settings file of a router in the platform's format.
func (r *router) settings() string {
	return fmt.Sprintf(`node: %q
role: "router"
class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: "r"
zones: {a: "r"}
listen: {front: "%[2]s:8783", ready: "%[2]s:8780", control: "%[2]s:8785", directory: "%[2]s:8789"}
port_range: [7400, 7415]
seeds: ["%[4]s.1:8785", "%[4]s.2:8785", "%[4]s.3:8785"]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2500, grace_s: 8, loss_slack_ms: 200, config_ms: 2500, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58, recovery_s: 12, pass_ms: 200, reuse_window_s: 10, quota_window_s: 4, ttl_max_s: 5}
provider: {address: %[5]q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, r.name, r.ip, zone, r.bench.network, r.bench.store.Address())
}

// addRouter prepares router number n, counted from 1, without starting it.
func (b *bench) addRouter(n int) *router {
	r := &router{bench: b, name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("%s.%d", b.network, n)}
	b.routers = append(b.routers, r)
	return r
}

// start starts the process with the command of the deploy file. Only the address of the
// metrics differs, since all routers share one machine here.
func (r *router) start() error {
	file := filepath.Join(r.bench.folder, r.name+".yaml")
	if err := os.WriteFile(file, []byte(r.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.bench.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.command = exec.Command("target/lacewingd", "serve", "-metrics", r.ip+":9464")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LACEWINGSHIFT_NODE_FILE=" + file}
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // how it ended shows in the record
		close(ended)
	}(r.command, r.ended)
	r.bench.note("%s started, process %d", r.name, r.command.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.bench.note("%s gets %v", r.name, s)
	_ = r.command.Process.Signal(s) // an error means that it has ended
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-r.ended
}

// waitReady waits until all given routers are ready.
func (b *bench) waitReady(routers ...*router) error {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for range 100 {
		ready := 0
		for _, r := range routers {
			response, err := client.Get("http://" + r.ip + ":8780/v1/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(routers) {
			b.note("%d routers are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the routers were not ready within 10 s")
}

// serve starts a runner and registers it. extra fields replace those of its entry.
func (b *bench) serve(id, service string, n int, handler http.Handler) error {
	address := fmt.Sprintf("%s.%d:8080", b.network, n)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	b.register(id, service, address, "ready")
	return nil
}

// register writes the entry of a runner.
func (b *bench) register(id, service, address, state string) {
	b.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "slots": 6, "state": state,
		"version": "v1", "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000,
	})
}

// route is one route of a configuration.
func route(name, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": timeoutMs, "target_latency_ms": targetMs, "max_attempts": attempts, "priority": 1,
	}
}

// configure writes a version of the configuration.
func (b *bench) configure(version int64, routes []any, services ...string) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 110})
	}
	b.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000,
		},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{key}, "priority": 1}},
	})
	b.note("configuration %d is acknowledged", version)
}
