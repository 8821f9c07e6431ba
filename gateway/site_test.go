package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/gateway"
	"github.com/lacewingshift/lacewingshift/platform"
)

// testSite is a deployment in this process: a store, runners and routers.
type testSite struct {
	t            *testing.T
	net          int
	store        *site.Store
	engines      []*site.Runner
	plainRunners []*site.Runner
	routers      []*testRouter
	storeAddress string            // of routers that start; empty for one of their own
	zones        map[string]string // region of each data centre; nil for one data centre
	zone         string            // of routers that start
	evacuateMs   int               // of routers that start; 0 without evacuations
	log          io.Writer         // of routers that start
}

type testRouter struct {
	site.Router
	stop   context.CancelFunc
	exited chan error
}

func newSite(t *testing.T, engines, plainRunners int) *testSite {
	t.Helper()
	number, release, err := site.ClaimNetwork("127.20.%d.254", 1, 254)
	require.NoError(t, err)
	t.Cleanup(release)
	s := &testSite{t: t, net: number, log: io.Discard}
	store, err := site.NewStore(s.ip(250) + ":8781")
	require.NoError(t, err)
	s.store = store
	t.Cleanup(store.Close)
	store.Put("config", "main", site.Config(1))
	for i := range engines {
		s.engines = append(s.engines, s.runner(100+i, &site.Runner{
			ID: fmt.Sprintf("e-%d", i), Service: site.EngineService, Events: 6, WorkTime: 10 * time.Millisecond, EventInterval: 10 * time.Millisecond,
		}))
	}
	for i := range plainRunners {
		s.plainRunners = append(s.plainRunners, s.runner(150+i, &site.Runner{
			ID: fmt.Sprintf("p-%d", i), Service: site.PlainService, WorkTime: 20 * time.Millisecond,
		}))
	}
	return s
}

// ip returns an address of the site's network; host is its last byte.
func (s *testSite) ip(host int) string { return fmt.Sprintf("127.20.%d.%d", s.net, host) }

// runner starts r on the address with the last byte host.
func (s *testSite) runner(host int, r *site.Runner) *site.Runner {
	if r.Zone == "" {
		r.Zone = "a"
	}
	started, err := site.StartRunner(s.store, s.ip(host)+":8080", r)
	require.NoError(s.t, err)
	s.t.Cleanup(started.Close)
	return started
}

// serve registers handler as an upstream with the id "own" on the address with the last
// byte host.
func (s *testSite) serve(service string, host int, handler http.HandlerFunc) {
	s.t.Helper()
	s.serveAs("own", service, host, handler)
}

// serveAs registers handler as an upstream on the address with the last byte host.
func (s *testSite) serveAs(id, service string, host int, handler http.HandlerFunc) {
	s.t.Helper()
	listener, err := net.Listen("tcp", s.ip(host)+":8080")
	require.NoError(s.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with Close
	s.t.Cleanup(func() { server.Close() })
	s.store.Put("servers", id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": "a", "slots": 8, "state": "ready", "born": 1,
	})
}

// start starts a router and, if waitReady is set, waits until it is ready.
func (s *testSite) start(waitReady bool) *testRouter {
	s.t.Helper()
	r := &testRouter{exited: make(chan error, 1)}
	r.IP, r.Seed, r.Grace = s.ip(len(s.routers)+1), s.ip(1), 3*time.Second
	store, err := s.store.AddressFor(r.IP)
	require.NoError(s.t, err)
	r.Store, r.Zone, r.Zones, r.EvacuateMs = cmp.Or(s.storeAddress, store), s.zone, s.zones, s.evacuateMs
	r.Name = "router-" + r.IP
	settings, err := platform.ParseSettings([]byte(r.Settings()))
	require.NoError(s.t, err)
	g, err := gateway.New(settings, gateway.Options{}, log.New(s.log))
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.exited <- g.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		select {
		case err := <-r.exited:
			require.NoError(s.t, err)
		case <-time.After(10 * time.Second):
			s.t.Error("router did not exit within its grace period")
		}
	})
	s.routers = append(s.routers, r)
	if waitReady {
		require.Eventually(s.t, r.Ready, 5*time.Second, 10*time.Millisecond, "router is ready")
	}
	return r
}

// answer is what a caller received.
type answer struct {
	status int
	body   string
	header http.Header
	err    error // the response ended early
}

var requestCount atomic.Int64

// request describes a caller's request.
type request struct {
	method, path, id, key, body string
	prompt                      string // Prompt-Prefix
	tokens                      string // Token-Count
	deadline                    int    // ms
	header                      map[string]string
}

func newID() string { return fmt.Sprintf("request-%d", requestCount.Add(1)) }

func (q request) build(ctx context.Context, address string) *http.Request {
	if q.method == "" {
		q.method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err) // a bug in the test
	}
	r.Host = site.Host
	if q.id != "" {
		r.Header.Set("Request-Id", q.id)
	}
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.deadline == 0 {
		q.deadline = 4000
	}
	r.Header.Set("Deadline", fmt.Sprint(q.deadline))
	if q.tokens != "" {
		r.Header.Set("Token-Count", q.tokens)
		r.Header.Set("Prompt-Prefix", q.prompt)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	return r
}

// streamRequest returns a request for a stream of 300 prompt tokens.
func streamRequest(path string) request {
	return request{path: path + "x", id: newID(), key: site.Key, tokens: "300,40", prompt: "aa:100,bb:100,cc:100"}
}

// ask sends a request on a new connection.
func (r *testRouter) ask(q request) answer { return r.askWithContext(context.Background(), q) }

func (r *testRouter) askWithContext(ctx context.Context, q request) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	response, err := client.Do(q.build(ctx, r.CallerAddress()))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

// runs returns how often a request has run on all runners together.
func (s *testSite) runs(id string) int {
	total := 0
	for _, r := range append(append([]*site.Runner{}, s.engines...), s.plainRunners...) {
		total += r.Runs()[id]
	}
	return total
}
