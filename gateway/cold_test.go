package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// coldSite is a site with one plain upstream, "own", that records when requests arrive.
type coldSite struct {
	*testSite
	address  string
	mu       sync.Mutex
	arrivals []time.Time
}

func newColdSite(t *testing.T, plainRunners int) *coldSite {
	s := &coldSite{testSite: newSite(t, 0, plainRunners)}
	s.address = s.ip(180) + ":8080"
	s.serve(site.PlainService, 180, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
	})
	config := site.Config(2)
	service := config["services"].([]any)[1].(map[string]any)
	service["cold_start_s"], service["cold_per_s"] = 3, 11
	s.store.Put("config", "main", config)
	return s
}

// report writes the entry of the upstream.
func (s *coldSite) report(leftMs, seq int) {
	s.store.Put("servers", "own", map[string]any{
		"service": site.PlainService, "address": s.address, "zone": "a", "slots": 64, "state": "ready", "born": 1,
		"cold_left_ms": leftMs, "seq": seq,
	})
}

// arrived returns the number of requests that arrived since a time, and the most of them
// within any second.
func (s *coldSite) arrived(since time.Time) (total, busiest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for i, at := range s.arrivals {
		if at.Before(since) {
			first = i + 1
			continue
		}
		total++
		for at.Sub(s.arrivals[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return total, busiest
}

// flood sends requests through all routers for a time and returns the answers that were
// no success.
func (s *coldSite) flood(d time.Duration) (refusals []answer) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
		for _, r := range s.routers {
			group.Go(func() {
				a := r.ask(request{path: site.OrderPath + "1", id: newID()})
				mu.Lock()
				defer mu.Unlock()
				if a.status != http.StatusOK {
					refusals = append(refusals, a)
				}
			})
		}
	}
	group.Wait()
	return refusals
}

// awaitPermit sends requests through all routers, as permits are requested on demand only,
// until one of them has created the permit.
func (s *coldSite) awaitPermit() {
	s.t.Helper()
	for end := time.Now().Add(2 * time.Second); len(s.store.Names("cold")) != 1; {
		require.True(s.t, time.Now().Before(end), "permit is created")
		s.flood(20 * time.Millisecond)
	}
}

// Guards against a cold upstream that gets requests of all routers, or of none, and
// against a permit that remains in the store.
func TestColdUpstreamGetsRequestsOfOneRouter(t *testing.T) {
	s := newColdSite(t, 1)
	for range 3 {
		s.start(true)
	}
	time.Sleep(400 * time.Millisecond) // until the routers know each other
	s.report(3000, 1)
	s.awaitPermit()
	time.Sleep(600 * time.Millisecond) // until all routers have the report
	since := time.Now()
	assert.Empty(t, s.flood(1500*time.Millisecond), "the other upstream serves the rest")
	total, busiest := s.arrived(since)
	assert.LessOrEqual(t, busiest, 11)
	assert.GreaterOrEqual(t, total, 6)
	s.report(0, 2)
	require.Eventually(t, func() bool { return len(s.store.Names("cold")) == 0 }, 2*time.Second, 5*time.Millisecond, "permit is removed")
	time.Sleep(600 * time.Millisecond)
	since = time.Now()
	s.flood(time.Second)
	_, busiest = s.arrived(since)
	assert.Greater(t, busiest, 30, "warm again")
}

// Guards against requests to cold upstreams while another router holds the permit, also when no
// other upstream is left, and against refusals that do not say why or when to return.
func TestOnlyColdUpstreamsOfAnotherHolder(t *testing.T) {
	s := newColdSite(t, 0)
	s.start(true)
	s.report(4000, 1)
	s.awaitPermit()
	s.report(0, 2)
	require.Eventually(t, func() bool { return len(s.store.Names("cold")) == 0 }, 2*time.Second, 5*time.Millisecond, "permit is removed")
	s.store.Put("cold", "own", map[string]any{"holder": "another", "host": "another", "born": 1})
	s.report(4000, 3)
	time.Sleep(500 * time.Millisecond) // until the router has the report and was refused the permit
	since := time.Now()
	refusals := s.flood(500 * time.Millisecond)
	total, _ := s.arrived(since)
	assert.Zero(t, total)
	require.NotEmpty(t, refusals)
	for _, a := range refusals {
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Equal(t, "upstreams are cold\n", a.body)
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err, fmt.Sprint(a.header))
		assert.Greater(t, seconds, 2.5)
		assert.Less(t, seconds, 4.7)
	}
}
