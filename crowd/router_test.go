// Package crowd tests that crowds of callers that do not behave neither end a router nor
// make it exceed the memory and the descriptors that its settings state.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// memoryMB and maxFDs are the limits in the settings of the router, and the bounds that
	// the tests check.
	memoryMB = 96
	maxFDs   = 256
	// maxBody and maxHead are the limits in bytes of the configuration.
	maxBody = 256 << 10
	maxHead = 16 << 10

	sampleInterval = 20 * time.Millisecond
	startLimit     = 10 * time.Second
	answerLimit    = 15 * time.Second
)

var routerBinary string // the router

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "lacewing-crowd")
	if err != nil {
		panic(err) // no test can run without the binary
	}
	routerBinary = filepath.Join(folder, "lacewingd")
	if out, err := exec.Command("go", "build", "-o", routerBinary, "../cmd/lacewingd").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build lacewingd: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder) // a leftover temporary folder does no harm
	os.Exit(code)
}

// router is one router process beside a store and upstreams in this process.
type router struct {
	site.Router
	t       *testing.T
	log     string
	process *exec.Cmd
	ended   chan struct{}

	peakMemory, peakFDs atomic.Int64 // bytes, number
}

// newRouter starts a deployment with one router. The engine is served by stream.
func newRouter(t *testing.T, stream http.Handler) *router {
	t.Helper()
	network, release, err := site.ClaimNetwork("127.31.%d.254", 1, 254)
	require.NoError(t, err)
	t.Cleanup(release)
	ip := func(host int) string { return fmt.Sprintf("127.31.%d.%d", network, host) }
	store, err := site.NewStore(ip(250) + ":8781")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	store.Put("config", "main", config())
	plain, err := site.StartRunner(store, ip(100)+":8080", &site.Runner{ID: "p-0", Service: site.PlainService, Zone: "a", WorkTime: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	if stream != nil {
		startEngine(t, store, ip(101)+":8080", stream)
	}
	folder := t.TempDir()
	r := &router{t: t, log: filepath.Join(folder, "log"), ended: make(chan struct{}), Router: site.Router{
		Name: "router", IP: ip(1), Seed: ip(1), Store: store.Address(), Grace: 4 * time.Second,
	}}
	settings := filepath.Join(folder, "settings.yaml")
	limits := fmt.Sprintf("limits: {memory_mb: %d, max_fds: %d}\n", memoryMB, maxFDs)
	require.NoError(t, os.WriteFile(settings, []byte(r.Settings()+limits), 0o600))
	r.start(settings)
	require.Eventually(t, r.Ready, startLimit, sampleInterval)
	return r
}

// config returns a configuration in which one engine may get all requests of a crowd.
func config() map[string]any {
	c := site.Config(1)
	limits := c["limits"].(map[string]any)
	limits["max_body_bytes"], limits["max_header_bytes"] = maxBody, maxHead
	limits["tokens_per_s"] = 400_000_000
	engine := c["services"].([]any)[0].(map[string]any)
	engine["max_conns"] = 2000
	engine["engine"] = map[string]any{"slots": 2000, "kv_capacity": 100_000_000, "stride": 4}
	return c
}

func startEngine(t *testing.T, store *site.Store, address string, handler http.Handler) {
	t.Helper()
	server := &http.Server{Addr: address, Handler: handler}
	go func() { _ = server.ListenAndServe() }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	store.Put("servers", "e-0", map[string]any{
		"service": site.EngineService, "address": address, "zone": "a", "slots": 2000, "state": "ready", "born": 1,
	})
}

func (r *router) start(settings string) {
	log, err := os.Create(r.log)
	require.NoError(r.t, err)
	r.process = exec.Command(routerBinary, "serve", "-metrics", r.metricsAddress())
	r.process.Env = []string{platform.SettingsFileVariable + "=" + settings}
	r.process.Stdout, r.process.Stderr = log, log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a test that is killed leaves no router
	require.NoError(r.t, r.process.Start())
	go func() {
		_ = r.process.Wait() // the log shows how it ended
		close(r.ended)
	}()
	r.t.Cleanup(func() {
		_ = r.process.Process.Signal(syscall.SIGKILL) // it may have ended already
		<-r.ended
		_ = log.Close()
		r.keepLog()
	})
}

// keepLog copies the log of a failed test to the folder LACEWING_CROWD_LOGS, if set.
func (r *router) keepLog() {
	folder := os.Getenv("LACEWING_CROWD_LOGS")
	if folder == "" || !r.t.Failed() {
		return
	}
	data, err := os.ReadFile(r.log)
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, strings.ReplaceAll(r.t.Name(), "/", "_")+".log"), data, 0o600)
	}
	if err != nil {
		r.t.Logf("cannot keep the log: %v", err)
	}
}

func (r *router) metricsAddress() string { return r.IP + ":9464" }
func (r *router) readyAddress() string   { return r.IP + ":8780" }

// watch samples memory and descriptors until ctx ends.
func (r *router) watch(ctx context.Context) {
	for ctx.Err() == nil {
		r.sample()
		time.Sleep(sampleInterval)
	}
}

func (r *router) sample() {
	folder := fmt.Sprintf("/proc/%d", r.process.Process.Pid)
	if status, err := os.ReadFile(folder + "/status"); err == nil {
		r.peakMemory.Store(max(r.peakMemory.Load(), peakResident(status)))
	}
	if fds, err := os.ReadDir(folder + "/fd"); err == nil {
		r.peakFDs.Store(max(r.peakFDs.Load(), int64(len(fds))))
	}
}

// peakResident returns the peak of the resident memory in bytes, 0 if a process has ended.
func peakResident(status []byte) int64 {
	for line := range bytes.Lines(status) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kB, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"), 10, 64)
			return kB << 10
		}
	}
	return 0
}

// check checks what must hold after each crowd.
func (r *router) check() {
	r.t.Logf("peak of resident memory %d MB, of descriptors %d", r.peakMemory.Load()>>20, r.peakFDs.Load())
	assert.LessOrEqual(r.t, r.peakMemory.Load(), int64(memoryMB<<20), "resident memory in bytes")
	assert.LessOrEqual(r.t, r.peakFDs.Load(), int64(maxFDs), "descriptors")
	assert.Eventually(r.t, r.answers, answerLimit, 100*time.Millisecond, "an ordinary request is answered")
	assert.Eventually(r.t, r.Ready, answerLimit, 100*time.Millisecond, "readiness is answered")
	select {
	case <-r.ended:
		assert.Fail(r.t, "the router has ended")
	default:
	}
}

// answers reports whether an ordinary request gets its answer.
func (r *router) answers() bool {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.CallerAddress()+site.OrderPath+"1", strings.NewReader("order"))
	if err != nil {
		panic(err) // a bug in the test
	}
	request.Host = site.Host
	request.Header.Set("Request-Id", "ordinary")
	request.Header.Set("Authorization", "Bearer "+site.OtherKey)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == site.PlainBody("ordinary")
}
