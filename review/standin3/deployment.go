package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// leadTime is the time between the start of the routers and that of the traffic.
	leadTime = 10 * time.Second
	// storeAnswer is how long the store takes to answer.
	storeAnswer = 4 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
)

// zones holds the zones of the deployment; each is in a region of its own. routersOf is the
// number of routers in each.
var (
	zones     = []string{"leinster-a", "munster-a", "connacht-a"}
	routersOf = []int{3, 2, 2}
)

// router is one router process.
type router struct {
	name, ip, zone string
	process        *exec.Cmd
	log            *os.File
}

func (r *router) front() string { return r.ip + ":8783" }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	program string
	trouble bool
	folder  string // temporary
	network string // first two bytes of the addresses
	store   *site.Store
	runners []*runner
	routers []*router
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// newDeployment starts the store.
func newDeployment(program, record string, trouble bool) (*deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, trouble: trouble, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	if d.folder, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	for n := 60; n < 120 && d.store == nil; n++ {
		d.network = fmt.Sprintf("127.%d", n)
		d.store, err = site.NewStore(d.network + ".200.1:8781")
	}
	if err != nil {
		return nil, err
	}
	d.store.SetSlow(storeAnswer)
	return d, nil
}

// note writes a line with the time since the start to the record.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
}

// startRouters starts all routers and waits until they are ready.
func (d *deployment) startRouters() error {
	regions := make([]string, len(zones))
	var seeds []string
	for i, zone := range zones {
		regions[i] = fmt.Sprintf("%s: %s", zone, strings.TrimSuffix(zone, "-a"))
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d.1:8785", d.network, i+1)))
	}
	for i, zone := range zones {
		for n := range routersOf[i] {
			r := &router{name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d.%d", d.network, i+1, n+1), zone: zone}
			settings := fmt.Sprintf(settingsFormat, r.name, r.ip, zone, strings.TrimSuffix(zone, "-a"), strings.Join(regions, ", "),
				r.ip, r.ip, r.ip, r.ip, strings.Join(seeds, ", "), d.store.Address())
			path := filepath.Join(d.folder, r.name+".yaml")
			if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
				return err
			}
			if err := r.start(d.program, path, d.folder); err != nil {
				return err
			}
			d.routers = append(d.routers, r)
		}
	}
	d.note("%d routers started", len(d.routers))
	for _, r := range d.routers {
		if err := r.waitReady(5 * time.Second); err != nil {
			return err
		}
	}
	d.note("all routers are ready")
	return nil
}

const settingsFormat = `node: %q
role: "router"
class: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: %q
zones: {%s}
listen: {front: "%s:8783", ready: "%s:8780", control: "%s:8785", directory: "%s:8789"}
port_range: [7400, 7415]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
bounds: {contact_ms: 3000, drain_ms: 2500, grace_s: 8, config_ms: 2500, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 54, quota_window_s: 4, ttl_max_s: 5}
provider: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576}
`

// start starts the process of the router, with the command of the deploy file. The metrics
// are served on the router's own address, as all routers share this machine.
func (r *router) start(program, settings, folder string) error {
	var err error
	if r.log, err = os.Create(filepath.Join(folder, r.name+".log")); err != nil {
		return err
	}
	r.process = exec.Command(program, "serve", "-metrics", r.ip+":9464")
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGSHIFT_NODE_FILE=" + settings}
	r.process.Stdout, r.process.Stderr = r.log, r.log
	return r.process.Start()
}

var errNotReady = errors.New("router is not ready in time")

func (r *router) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ip + ":8780/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", r.name, errNotReady)
}

// closeOnSignal ends the case if this process is to end.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.close()
	os.Exit(failed)
}

// close ends all processes that were started and removes the temporary folder.
func (d *deployment) close() {
	for _, r := range d.routers {
		_ = r.process.Process.Signal(syscall.SIGKILL)
		_ = r.process.Wait()
		_ = r.log.Close()
	}
	for _, r := range d.runners {
		r.close()
	}
	d.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs of the routers:", d.folder)
	}
	_ = d.record.Flush()
	_ = d.file.Close()
}
