package gateway_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// A request of each kind gets the runner's response unchanged, and the runner
// receives the caller's request with the headers that the system sets.
func TestEveryKindIsServed(t *testing.T) {
	s := newSite(t, 2, 2)
	r := s.start(true)

	q := streamRequest(site.StreamPath)
	q.header = map[string]string{"Hold": "h", "Kv-From": "k", "Tenant": "forged"}
	got := r.ask(q)
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, site.StreamBody(1, 6), got.body)
	assert.NotEmpty(t, got.header.Get("Response-Seal"))

	sent := s.headerOf(q.id)
	require.NotNil(t, sent)
	assert.Equal(t, "workspace-1", sent.Get("Tenant"))
	assert.Empty(t, sent.Get("Authorization"), "the key must not reach the runner")
	assert.Empty(t, sent.Get("Hold"))
	assert.Empty(t, sent.Get("Kv-From"))
	assert.Equal(t, q.tokens, sent.Get("Token-Count"))
	assert.Equal(t, q.prompt, sent.Get("Prompt-Prefix"))
	assert.NotEmpty(t, sent.Get("Target-Instance"))

	for _, q := range []request{
		{path: site.OrderPath + "1", id: newID(), body: "order"},
		{method: http.MethodGet, path: site.StatusPath + "1?a=b", id: newID()},
	} {
		got := r.ask(q)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Contains(t, got.body, "answer to "+q.id)
		assert.Equal(t, 1, s.runs(q.id))
	}
}

func (s *testSite) headerOf(id string) http.Header {
	for _, r := range append(append([]*site.Runner{}, s.engines...), s.plainRunners...) {
		if h := r.Header(id); h != nil {
			return h
		}
	}
	return nil
}

// Invalid requests get an error that names the cause, and reach no runner.
func TestInvalidRequests(t *testing.T) {
	s := newSite(t, 1, 1)
	r := s.start(true)
	cases := map[string]struct {
		q      request
		status int
	}{
		"no route":         {request{path: "/nowhere/", id: newID()}, http.StatusNotFound},
		"no key":           {request{path: site.StreamPath, id: newID()}, http.StatusUnauthorized},
		"unknown key":      {request{path: site.StreamPath, id: newID(), key: "guess"}, http.StatusUnauthorized},
		"no id":            {request{path: site.OrderPath}, http.StatusBadRequest},
		"bad deadline":     {request{path: site.OrderPath, id: newID(), header: map[string]string{"Deadline": "soon"}}, http.StatusBadRequest},
		"header too large": {request{path: site.OrderPath, id: newID(), header: map[string]string{"X-Big": strings.Repeat("x", 17000)}}, http.StatusRequestHeaderFieldsTooLarge},
		"body too large":   {request{path: site.OrderPath, id: newID(), body: strings.Repeat("x", 65537)}, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := r.ask(c.q)
			require.NoError(t, got.err)
			assert.Equal(t, c.status, got.status)
			assert.NotEmpty(t, got.body)
			assert.Zero(t, s.runs(c.q.id))
		})
	}
}

// A request that must not be retried runs at most once whatever the runner does,
// and the response never says that it has not run when it has.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, b := range map[string]site.Behaviour{
		"failing": site.Failing, "hanging": site.Hanging, "truncating": site.Truncating,
		"unsealed": site.Unsealed, "wrong request id": site.WrongRequestID, "unavailable after it ran": site.UnavailableAfterRun,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 2)
			r := s.start(true)
			for _, p := range s.plainRunners {
				p.SetBehaviour(b)
			}
			q := request{path: site.OrderPath + "1", id: newID(), deadline: 600}
			got := r.ask(q)
			require.NoError(t, got.err)
			assert.Equal(t, 1, s.runs(q.id))
			assert.NotContains(t, []int{200, 408, 421, 429, 503}, got.status)
			if b != site.Failing {
				assert.Empty(t, got.header.Get("Response-Seal"))
			}
		})
	}
}

// A request that a runner did not run is retried at another runner, or refused with
// the statement that it has not run.
func TestNotRunIsRetriedOrRefused(t *testing.T) {
	s := newSite(t, 1, 2)
	r := s.start(true)
	s.plainRunners[0].SetBehaviour(site.Shedding)
	s.plainRunners[1].SetBehaviour(site.Misdirected)
	q := request{path: site.OrderPath + "1", id: newID()}
	got := r.ask(q)
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, s.runs(q.id))

	s.plainRunners[1].SetBehaviour(site.Healthy)
	for range 6 {
		q := request{method: http.MethodGet, path: site.StatusPath + "1", id: newID()}
		assert.Equal(t, http.StatusOK, r.ask(q).status)
	}
}

// A stream that is interrupted continues at another runner within the same
// response, without missing or repeated events.
func TestStreamContinuesElsewhere(t *testing.T) {
	s := newSite(t, 2, 0)
	r := s.start(true)
	for _, broken := range s.engines {
		broken.SetBehaviour(site.Truncating)
		q := streamRequest(site.StreamPath)
		got := r.ask(q)
		broken.SetBehaviour(site.Healthy)
		require.NoError(t, got.err)
		assert.Equal(t, site.StreamBody(1, 6), got.body)
	}
}

// An interrupted stream that must not be resumed does not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newSite(t, 1, 0)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.Truncating)
	got := r.ask(streamRequest(site.NonResumablePath))
	assert.Error(t, got.err)
}

// When the caller disconnects, the runner stops working.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	s.plainRunners[0].SetBehaviour(site.Hanging)
	ctx, cancel := context.WithCancel(context.Background())
	go r.askWithContext(ctx, request{path: site.OrderPath + "1", id: newID()})
	require.Eventually(t, func() bool { return s.plainRunners[0].Running() == 1 }, 2*time.Second, 5*time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return s.plainRunners[0].Running() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

// An upstream that drains or whose entry is removed gets no new requests.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	s := newSite(t, 0, 3)
	r := s.start(true)
	s.plainRunners[0].Drain()
	s.store.Delete("servers", s.plainRunners[1].ID)
	time.Sleep(500 * time.Millisecond)
	for range 10 {
		q := request{path: site.OrderPath + "1", id: newID()}
		require.Equal(t, http.StatusOK, r.ask(q).status)
		assert.Equal(t, 1, s.plainRunners[2].Runs()[q.id])
	}
}

// A router that cannot use the store learns of configurations and draining
// upstreams from other routers in time, and never returns to older ones.
func TestRouterWithoutStoreLearnsFromOtherRouters(t *testing.T) {
	for name, fault := range map[string]site.Fault{"silent": site.NoResponse, "busy": site.Unavailable, "reset": site.Reset} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 2)
			first, second := s.start(true), s.start(true)
			time.Sleep(400 * time.Millisecond) // until the routers know each other
			for _, cutOff := range []*testRouter{first, second} {
				s.store.SetHostFault(cutOff.IP, fault)
			}
			s.store.SetHostFault(first.IP, site.NoFault)
			config := site.Config(7)
			config["routes"] = config["routes"].([]any)[2:3]
			s.store.Put("config", "main", config)
			s.plainRunners[0].Drain()
			gone := func() bool {
				return second.ask(request{method: http.MethodGet, path: site.StatusPath, id: newID()}).status == http.StatusNotFound
			}
			require.Eventually(t, gone, 2500*time.Millisecond, 20*time.Millisecond, "the new version is applied")
			time.Sleep(300 * time.Millisecond)
			for range 5 {
				q := request{path: site.OrderPath + "1", id: newID()}
				require.Equal(t, http.StatusOK, second.ask(q).status)
				assert.Zero(t, s.plainRunners[0].Runs()[q.id])
			}
		})
	}
}

// After the store drops its history, the router lists the objects again.
func TestHistoryDropped(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	s.store.SetFault(site.Unavailable)
	config := site.Config(9)
	config["routes"] = config["routes"].([]any)[:1]
	s.store.Put("config", "main", config)
	s.store.DropHistory()
	s.store.SetFault(site.NoFault)
	gone := func() bool {
		return r.ask(request{path: site.OrderPath, id: newID()}).status == http.StatusNotFound
	}
	require.Eventually(t, gone, 2500*time.Millisecond, 20*time.Millisecond)
}

// A router that starts while the store is down refuses requests with the statement
// that they have not run, and serves soon after the store is back.
func TestStartWithoutStore(t *testing.T) {
	s := newSite(t, 0, 1)
	s.store.SetFault(site.Unavailable)
	r := s.start(false)
	got := r.ask(request{path: site.OrderPath, id: newID()})
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.False(t, r.Ready())
	s.store.SetFault(site.NoFault)
	require.Eventually(t, r.Ready, 3*time.Second, 20*time.Millisecond)
	assert.Equal(t, http.StatusOK, r.ask(request{path: site.OrderPath, id: newID()}).status)
}

// A stopping router is no longer ready and lookups no longer name it, but it
// completes requests in progress and serves callers that have not heard of it yet.
func TestStopCompletesRequests(t *testing.T) {
	s := newSite(t, 1, 1)
	first, second := s.start(true), s.start(true)
	require.Eventually(t, func() bool { return strings.Count(lookup(t, second), ":8783") == 2 }, 3*time.Second, 20*time.Millisecond)
	answers := make(chan answer, 4)
	for range cap(answers) {
		go func() { answers <- first.ask(streamRequest(site.StreamPath)) }()
	}
	require.Eventually(t, func() bool { return s.engines[0].Running() > 0 }, time.Second, time.Millisecond)
	first.stop()
	require.Eventually(t, func() bool { return !first.Ready() }, 500*time.Millisecond, 10*time.Millisecond)
	require.Eventually(t, func() bool { return !strings.Contains(lookup(t, second), first.IP) }, time.Second, 10*time.Millisecond)
	late := first.ask(request{path: site.OrderPath, id: newID()})
	require.NoError(t, late.err)
	assert.Equal(t, http.StatusOK, late.status)
	for range cap(answers) {
		got := <-answers
		require.NoError(t, got.err)
		assert.Equal(t, site.StreamBody(1, 6), got.body)
	}
}

func lookup(t *testing.T, r *testRouter) string {
	t.Helper()
	response, err := http.Get("http://" + r.LookupAddress() + "/v1/lookup?name=" + site.Host + "&region=r&zone=a")
	require.NoError(t, err)
	defer response.Body.Close()
	body := make([]byte, 1024)
	n, _ := response.Body.Read(body)
	return string(body[:n])
}

// A router whose goroutines wait long for the processor refuses requests at once
// instead of sending them on late. The callers of one workspace kept a small router
// of the grown sites so busy that it sent requests on seconds after they had
// disconnected.
func TestBusyProcessorRefuses(t *testing.T) {
	s := newSite(t, 1, 1)
	r := s.start(true)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	var spinning sync.WaitGroup
	for range 20 {
		spinning.Go(func() {
			for !stop.Load() {
			}
		})
	}
	q := request{path: site.StatusPath, id: newID(), deadline: 30000}
	got := r.ask(q)
	stop.Store(true)
	spinning.Wait()
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, s.runs(q.id))
	assert.Equal(t, http.StatusOK, r.ask(request{path: site.StatusPath, id: newID()}).status, "the processor is free again")
}
