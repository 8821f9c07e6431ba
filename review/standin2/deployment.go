package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	host    = "case.example"
	apiKey  = "case-key-1"
	routers = 3
	// modelRunners is the number of model runners of the small deployments. With appRunners
	// application servers one of them is within the shares of srv_crash and srv_grey.
	modelRunners = 12
	appRunners   = 8
	heartbeat    = 1200 * time.Millisecond
	readyWait    = 20 * time.Second
	recordTime   = "15:04:05.000"
)

// deployment is a store, runners and routers on one network of loopback addresses.
type deployment struct {
	network string // first three bytes of the addresses
	folder  string
	store   *site.Store
	runners []*runnerProcess
	routers []*exec.Cmd
	stop    chan struct{}

	closeOnce sync.Once
	// unserved is the number of requests that were not served in full.
	unserved int

	mu     sync.Mutex
	record *os.File
}

// runnerProcess is a runner with its entry in the store.
type runnerProcess struct {
	d       *deployment
	id      string
	address string
	service string
	flags   []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	born  int64
	seq   int
	begun chan string // "REQUEST-ID" of each run
}

func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%s %s\n", time.Now().Format(recordTime), fmt.Sprintf(format, args...))
}

// start starts everything. modelFlags holds the flags of the model runners.
func start(record *os.File, modelFlags []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: record, stop: make(chan struct{})}
	for try := 0; d.store == nil; try++ {
		d.network = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		if d.store, err = site.NewStore(d.network + ".250:8781"); err != nil && try == 20 {
			return nil, err
		}
	}
	d.store.Put("config", "main", configuration(1))
	for i := range modelRunners + appRunners {
		r := &runnerProcess{d: d, id: fmt.Sprintf("model-%d", i), address: fmt.Sprintf("%s.%d:8080", d.network, 100+i), service: "drafting", flags: modelFlags, begun: make(chan string, 1<<14)}
		if i >= modelRunners {
			r.id, r.service, r.flags = fmt.Sprintf("app-%d", i-modelRunners), "bookings", []string{"-plain", "-work", "150ms"}
		}
		d.runners = append(d.runners, r)
		if err := r.start(); err != nil {
			return d, err
		}
		go r.beat()
	}
	for i := 1; i <= routers; i++ {
		if err := d.startRouter(i); err != nil {
			return d, err
		}
	}
	for i := 1; i <= routers; i++ {
		if !d.awaitReady(i) {
			return d, fmt.Errorf("router %d is not ready after %v", i, readyWait)
		}
	}
	return d, nil
}

// startRouter starts a router with the command of deploy/system.toml. The metrics address
// names the host, as all routers share one machine.
func (d *deployment) startRouter(i int) error {
	ip := fmt.Sprintf("%s.%d", d.network, i)
	file := filepath.Join(d.folder, fmt.Sprintf("router-%d.yaml", i))
	if err := os.WriteFile(file, []byte(d.settings(i)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("router-%d.log", i)))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lacewingd", "serve", "-metrics", ip+":9464")
	cmd.Env = append(os.Environ(), "LACEWINGSHIFT_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.routers = append(d.routers, cmd)
	return nil
}

func (d *deployment) settings(i int) string {
	ip := fmt.Sprintf("%s.%d", d.network, i)
	return fmt.Sprintf(`node: "router-%d"
role: "router"
class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: "a"
region: "r"
zones: {a: "r"}
listen: {front: "%s:8783", ready: "%s:8780", control: "%s:8785", directory: "%s:8789"}
port_range: [7400, 7415]
seeds: ["%s.1:8785", "%s.2:8785", "%s.3:8785"]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2500, grace_s: 8, loss_slack_ms: 200, config_ms: 2500, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58, recovery_s: 12, pass_ms: 200, reuse_window_s: 10, quota_window_s: 4, ttl_max_s: 5}
provider: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, i, ip, ip, ip, ip, ip, d.network, d.network, d.network, d.store.Address())
}

func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "charge", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "service": "bookings", "public": true,
			"timeout_ms": 2500, "target_latency_ms": 300, "max_attempts": 1, "priority": 2,
		}, map[string]any{
			"name": "job-status", "host": host, "path_prefix": "/book/status/", "kind": "idempotent", "service": "bookings", "public": true,
			"timeout_ms": 2500, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
		}, map[string]any{
			"name": "status", "host": host, "path_prefix": "/status/", "kind": "idempotent", "service": "bookings", "public": true,
			"timeout_ms": 2500, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
		}, map[string]any{
			"name": "survey", "host": host, "path_prefix": "/survey/", "kind": "stream", "resumable": true, "service": "drafting",
			"timeout_ms": 15000, "target_latency_ms": 800, "gap_aim_ms": 300, "max_attempts": 2, "priority": 1,
		}},
		"services": []any{map[string]any{
			"name": "drafting", "health_path": "/health", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_capacity": 708276, "stride": 5},
		}, map[string]any{"name": "bookings", "health_path": "/health", "max_conns": 100}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000,
		},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

func (d *deployment) awaitReady(i int) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s.%d:8780/v1/readiness", d.network, i))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// start starts the process of a runner and registers it as a new incarnation.
func (r *runnerProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for try := 0; ; try++ {
		if err = r.startOnce(self); err == nil || try == 20 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born, r.seq = time.Now().UnixMilli(), 0
	r.mu.Unlock()
	r.register()
	return nil
}

func (r *runnerProcess) startOnce(self string) error {
	cmd := exec.Command(self, append([]string{"runner", "-id", r.id, "-address", r.address}, r.flags...)...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() || lines.Text() != "ready" {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return fmt.Errorf("%s: %s", r.id, lines.Text())
	}
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
	go func() {
		for lines.Scan() {
			r.d.note("%s %s", r.id, lines.Text())
			if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "runs" {
				r.begun <- fields[1]
			}
		}
	}()
	return nil
}

// kill ends the process of the runner without notice. Its entry stays in the store for
// three heartbeats, unless it starts again before.
func (r *runnerProcess) kill() {
	r.mu.Lock()
	cmd := r.cmd
	r.cmd = nil
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	r.d.note("%s is killed", r.id)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// setGrey makes the runner fail a part of its requests, or ends that.
func (r *runnerProcess) setGrey(grey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := syscall.SIGUSR2
	if grey {
		s = syscall.SIGUSR1
	}
	if r.cmd != nil {
		r.d.note("%s is grey: %t", r.id, grey)
		_ = r.cmd.Process.Signal(s)
	}
}

func (r *runnerProcess) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	r.seq++
	r.d.store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "a", "version": "1", "slots": map[string]int{"drafting": 64, "bookings": 6}[r.service], "state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	})
}

func (r *runnerProcess) beat() {
	for silent := 0; ; {
		select {
		case <-r.d.stop:
			return
		case <-time.After(heartbeat):
		}
		r.mu.Lock()
		down := r.cmd == nil
		r.mu.Unlock()
		if !down {
			silent = 0
			r.register()
			continue
		}
		if silent++; silent == 3 {
			r.d.store.Delete("servers", r.id)
		}
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() { d.closeOnce.Do(d.end) }

func (d *deployment) end() {
	close(d.stop)
	for _, cmd := range d.routers {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, r := range d.runners {
		r.kill()
	}
	d.store.Close()
	_ = os.RemoveAll(d.folder)
}

// dial connects to the address for callers of a router.
func (d *deployment) dial(router int) (net.Conn, error) {
	return net.DialTimeout("tcp", fmt.Sprintf("%s.%d:8783", d.network, router), time.Second)
}
