package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	routerCount = 4
	engineCount = 3
	plainCount  = 3
	grace       = 4 * time.Second // time a router may take to shut down
	// maxQuotedLog is the number of bytes that a failure quotes of a router's log.
	maxQuotedLog = 2000
)

// binary is the router, and raceBinary the one built with the race detector if this test
// is; the same as binary otherwise.
var binary, raceBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lacewing-soak")
	if err != nil {
		panic(err) // no test can run without the binary
	}
	binary = filepath.Join(folder, "lacewingd")
	build(binary)
	raceBinary = binary
	if len(raceFlags) > 0 {
		raceBinary = filepath.Join(folder, "lacewingd-race")
		build(raceBinary, raceFlags...)
	}
	code := m.Run()
	_ = os.RemoveAll(folder) // a leftover temporary folder does no harm
	os.Exit(code)
}

// build builds lacewingd into a file.
func build(file string, flags ...string) {
	arguments := append([]string{"build", "-o", file}, flags...)
	if out, err := exec.Command("go", append(arguments, "../cmd/lacewingd")...).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build lacewingd: %v\n%s", err, out))
	}
}

// deployment is a store and runners in this process and routers as separate
// processes, with a proxy between each router and the store and in front of each
// runner.
type deployment struct {
	t           *testing.T
	networkByte int // third byte of all addresses
	binary      string
	folder      string
	store       *site.Store
	runners     []*runner
	routers     []*router
}

type runner struct {
	*site.Runner
	proxy *proxy
}

// router is one router across restarts of its process.
type router struct {
	site.Router
	d     *deployment
	index int
	store *proxy // proxy to the store
	log   *os.File

	// restarting is held during a restart, so that two concurrent faults do not
	// start two processes.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when process has ended
}

func newDeployment(t *testing.T, routers int, binary string) *deployment {
	t.Helper()
	network, release, err := site.ClaimNetwork("127.30.%d.254", 1, 254)
	require.NoError(t, err)
	t.Cleanup(release)
	d := &deployment{t: t, networkByte: network, binary: binary, folder: t.TempDir()}
	store, err := site.NewStore(d.ip(250) + ":8781")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	d.store = store
	store.Put("config", "main", site.Config(1))
	for i := range engineCount + plainCount {
		r := &site.Runner{ID: fmt.Sprintf("e-%d", i), Service: site.EngineService, Events: 8, WorkTime: 5 * time.Millisecond, EventInterval: 20 * time.Millisecond}
		if i >= engineCount {
			r = &site.Runner{ID: fmt.Sprintf("p-%d", i), Service: site.PlainService, WorkTime: 20 * time.Millisecond}
		}
		d.addRunner(100+i, r)
	}
	for i := range routers {
		d.addRouter(i)
	}
	return d
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.30.%d.%d", d.networkByte, host) }

func (d *deployment) addRunner(host int, r *site.Runner) {
	p, err := newProxy(d.ip(host)+":8080", d.ip(host)+":9090")
	require.NoError(d.t, err)
	r.Zone, r.RegisteredAddress, r.OnCrash, r.OnStartAgain = "a", p.address(), p.stopListening, p.listenAgain
	started, err := site.StartRunner(d.store, d.ip(host)+":9090", r)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { p.stopListening(); started.Close() })
	d.runners = append(d.runners, &runner{started, p})
}

func (d *deployment) addRouter(index int) {
	p, err := newProxy(d.ip(200+index)+":8781", d.store.Address())
	require.NoError(d.t, err)
	log, err := os.Create(filepath.Join(d.folder, fmt.Sprintf("router-%d.log", index)))
	require.NoError(d.t, err)
	r := &router{d: d, index: index, store: p, log: log, Router: site.Router{
		Name: fmt.Sprint("router-", index), IP: d.ip(index + 1), Seed: d.ip(1), Store: p.address(), Grace: grace,
	}}
	require.NoError(d.t, os.WriteFile(r.settingsFile(), []byte(r.Settings()), 0o600))
	r.start()
	d.t.Cleanup(func() { r.kill(); p.stopListening(); _ = log.Close() })
	d.routers = append(d.routers, r)
}

func (r *router) settingsFile() string {
	return filepath.Join(r.d.folder, fmt.Sprintf("router-%d.yaml", r.index))
}

// start starts a new process.
func (r *router) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	command := exec.Command(r.d.binary, "serve")
	command.Env = []string{
		platform.SettingsFileVariable + "=" + r.settingsFile(),
		"GORACE=atexit_sleep_ms=0", // the race detector would add 1 s to the end of the process
	}
	command.Stdout, command.Stderr = r.log, r.log
	if err := command.Start(); err != nil {
		r.d.t.Errorf("router %d did not start: %v", r.index, err)
		return
	}
	ended := make(chan struct{})
	r.process, r.ended = command, ended
	go func() {
		_ = command.Wait() // the log shows how it ended
		close(ended)
	}()
}

// signal sends a signal to the current process and returns a channel that is
// closed when the process has ended.
func (r *router) signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Process.Signal(s) // the process may have ended already
	return r.ended
}

func (r *router) kill() { <-r.signal(syscall.SIGKILL) }

// restartAfter ends the process by a signal and starts it again after down. If the
// process is still running after its grace period, restartAfter reports an error
// and kills it.
func (r *router) restartAfter(s syscall.Signal, down time.Duration) {
	r.restarting.Lock()
	defer r.restarting.Unlock()
	ended := r.signal(s)
	select {
	case <-ended:
	case <-time.After(grace):
		r.d.t.Errorf("router %d is still running after its grace period", r.index)
		r.kill()
	}
	time.Sleep(down)
	r.start()
}

// checkProcesses checks that no router has reported a data race or another fault of its own.
func (d *deployment) checkProcesses() {
	for _, r := range d.routers {
		log, err := os.ReadFile(r.log.Name())
		require.NoError(d.t, err)
		for _, sign := range []string{"DATA RACE", "fatal error:", "panic:"} {
			if at := strings.Index(string(log), sign); at >= 0 {
				d.t.Errorf("router %d: %s", r.index, log[at:min(at+maxQuotedLog, len(log))])
			}
		}
	}
}

func (d *deployment) allReady() bool {
	for _, r := range d.routers {
		if !r.Ready() {
			return false
		}
	}
	return true
}
