package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/overload"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/shutdown"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// backloggedHandler returns a handler whose only workspace with a key has used up its
// share while another one has unmet demand.
func backloggedHandler(now time.Time, upstreams ...catalog.Upstream) *Handler {
	p := newPools(placement.Location{}, nil, budget.Limits{Window: time.Second}, 4*time.Second, now)
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}}
	route := &catalog.Route{Name: "r", Host: site.Host, Prefix: "/", Kind: catalog.Stream, Backends: []catalog.Backend{{Service: "s", Weight: 1}}, Timeout: time.Second, TargetLatency: time.Second}
	keys := map[string]*catalog.Workspace{site.Key: {Name: "w"}}
	table := catalog.NewTable(1, []*catalog.Route{route}, []*catalog.Service{service}, keys, catalog.Limits{TokensPerSecond: 1000, BodyBytes: 1 << 20, HeaderBytes: 1 << 14}, true)
	p.configure(time.Now(), table, func(string) []catalog.Upstream { return upstreams })
	p.setRemote(now, &fleet.Totals{WorkspaceTokens: map[string]fairshare.Tokens{"w": {Requested: 9000, Granted: 6000}, "other": {Requested: 9000, Granted: 500}}}, 1)
	config := versioned.NewLatest[platform.Config]()
	config.Update(platform.Config{Table: table}, 1, versioned.Store, now)
	return &Handler{
		exit:   context.Background(),
		mayAct: func() bool { return true },
		config: config, pools: p, logger: log.New(io.Discard), admitLine: func() bool { return false }, metrics: newRequestMetrics(),
		stopState: func() shutdown.State { return shutdown.Serving }, requestArrived: func() {}, manyConnections: func() bool { return false }, upstreamConnections: map[string]*connections{}, gate: overload.NewGate(),
	}
}

// engineRequest returns a request with a key, a prompt and a body.
func engineRequest(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(body))
	r.Host = site.Host
	r.Header.Set("Request-Id", "r")
	r.Header.Set("Deadline", "1000")
	r.Header.Set("Authorization", "Bearer "+site.Key)
	r.Header.Set("Token-Count", "1000,100")
	r.Header.Set("Prompt-Prefix", "aa:500,bb:400,cc:100")
	return r
}

// A caller must be able to tell that its own workspace asks for too much from a service
// that cannot serve it.
func TestRefusalBeyondTheShareDiffersFromAnOverload(t *testing.T) {
	h := backloggedHandler(time.Now(), catalog.Upstream{ID: "e-1"})
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, engineRequest("x"))
	assert.Equal(t, http.StatusTooManyRequests, recorder.Code, recorder.Body)
	assert.NotEmpty(t, recorder.Header().Get("Retry-After"))

	h = backloggedHandler(time.Now()) // without upstreams
	h.pools.setRemote(time.Now(), &fleet.Totals{}, 1)
	recorder = httptest.NewRecorder()
	h.ServeHTTP(recorder, engineRequest("x"))
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code, recorder.Body)
}

// The permission of an attempt to send must not follow what later attempts of the request do:
// a dial that outlives its attempt would read that while it is written.
func TestPermissionBelongsToItsAttempt(t *testing.T) {
	now := time.Now()
	h := backloggedHandler(now, catalog.Upstream{ID: "e-1"})
	h.pools.setRemote(now, &fleet.Totals{}, 1)
	table := h.config.Get().Value
	c := &call{
		request: engineRequest("x"), service: table.Service("s"), workspace: table.Workspace(site.Key),
		route: table.Match(site.Host, "/x"), headers: platform.CallerRequest{PromptTokens: 10}, deadline: now.Add(time.Second),
	}
	a := h.pools.assign(now, c)
	require.False(t, a.Refused(), a.Reason)
	permitted := h.permission(c, &a)
	require.True(t, permitted())
	h.stopState = func() shutdown.State { return shutdown.Refusing }
	dial := make(chan bool)
	go func() { dial <- permitted() }()
	c.mayHaveRun = true
	assert.False(t, <-dial)
	assert.False(t, permitted(), "a later attempt does not give an earlier one its permission")
}

// BenchmarkRefusal measures what refusing a request, beyond its workspace's share or for
// lack of an upstream, costs the router, apart from net/http. A flood of them must not
// saturate a small host.
func BenchmarkRefusal(b *testing.B) {
	h := backloggedHandler(time.Now())
	body := strings.Repeat("x", 12000)
	for b.Loop() {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, engineRequest(body))
		if recorder.Code != http.StatusTooManyRequests && recorder.Code != http.StatusServiceUnavailable {
			b.Fatalf("got status %d, expected a refusal: %s", recorder.Code, recorder.Body)
		}
	}
}
