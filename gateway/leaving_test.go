package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// firstLeavingAnswer returns when a request reached a runner whose answer was the
// first to say that it leaves, and the arrivals after it.
func firstLeavingAnswer(r *site.Runner) (time.Time, []site.Arrival) {
	arrivals := r.Arrivals()
	for i, a := range arrivals {
		if a.Leaving {
			return a.At, arrivals[i+1:]
		}
	}
	return time.Time{}, nil
}

// askMany sends n requests, four at a time, and returns their answers.
func (r *testRouter) askMany(n int, newRequest func() request) []answer {
	answers := make([]answer, n)
	var group errgroup.Group
	group.SetLimit(4)
	for i := range answers {
		q := newRequest()
		group.Go(func() error { answers[i] = r.ask(q); return nil })
	}
	_ = group.Wait() // no function fails
	return answers
}

func order() request { return request{path: site.OrderPath + "1", id: newID()} }

// requireServed fails the test if a request was not served.
func requireServed(t *testing.T, answers []answer) {
	t.Helper()
	for _, got := range answers {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// An upstream whose answer says that it leaves must get no further request from the
// router, whatever the store says, until it has started again.
func TestLeavingUpstreamGetsNoFurtherRequests(t *testing.T) {
	for name, fault := range map[string]site.Fault{"store lists it as ready": site.NoFault, "store is away": site.Unavailable} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 2)
			r := s.start(true)
			s.store.SetFault(fault)
			s.plainRunners[0].SetLeaving(true)
			requireServed(t, r.askMany(4, order))
			atOnce := len(s.plainRunners[0].Arrivals())
			requireServed(t, r.askMany(30, order))
			first, later := firstLeavingAnswer(s.plainRunners[0])
			require.False(t, first.IsZero(), "no request went to the upstream")
			assert.Len(t, later, atOnce-1)

			s.store.SetFault(site.NoFault)
			// The same incarnation is written again, as by a heartbeat.
			s.store.Put("servers", s.plainRunners[0].ID, map[string]any{
				"service": site.PlainService, "address": s.plainRunners[0].Address(), "zone": "a", "slots": 6, "state": "ready", "version": "v1", "cold_left_ms": 0, "seq": 2, "born": 1_700_000_000_000,
			})
			s.store.Put("config", "main", site.Config(5))
			time.Sleep(500 * time.Millisecond)
			requireServed(t, r.askMany(10, order))
			assert.Len(t, s.plainRunners[0].Arrivals(), atOnce)

			s.plainRunners[0].Restart()
			assert.Eventually(t, func() bool {
				requireServed(t, r.askMany(4, order))
				return len(s.plainRunners[0].Arrivals()) > atOnce
			}, 4*time.Second, 20*time.Millisecond, "the new incarnation gets requests")
		})
	}
}

// A leaving that only the trailer of a stream states counts as well, for a stream
// whose events are relayed to the end.
func TestLeavingInTrailerIsRead(t *testing.T) {
	s := newSite(t, 2, 0)
	r := s.start(true)
	q := streamRequest(site.StreamPath)
	answers := make(chan answer, 1)
	go func() { answers <- r.ask(q) }()
	var leaving *site.Runner
	require.Eventually(t, func() bool {
		for _, e := range s.engines {
			if e.Runs()[q.id] > 0 {
				leaving = e
			}
		}
		return leaving != nil
	}, 2*time.Second, time.Millisecond)
	leaving.SetLeaving(true)
	got := <-answers
	require.NoError(t, got.err)
	assert.Equal(t, site.StreamBody(1, 6), got.body)
	before := len(leaving.Arrivals())
	requireServed(t, r.askMany(6, func() request { return streamRequest(site.StreamPath) }))
	assert.Len(t, leaving.Arrivals(), before)
}

// Other routers must learn from one router that an upstream leaves, while the store
// cannot tell them.
func TestLeavingSpreadsBetweenRouters(t *testing.T) {
	s := newSite(t, 0, 2)
	first, second := s.start(true), s.start(true)
	time.Sleep(600 * time.Millisecond) // until the routers know each other
	s.store.SetFault(site.Unavailable)
	leaving := s.plainRunners[0]
	leaving.SetLeaving(true)
	requireServed(t, first.askMany(4, order))
	require.NotEmpty(t, leaving.Arrivals())
	time.Sleep(500 * time.Millisecond)
	before := len(leaving.Arrivals())
	requireServed(t, second.askMany(20, order))
	assert.Len(t, leaving.Arrivals(), before)
}

// An upstream that asks to be left alone must get no request for that time; callers
// are served elsewhere.
func TestUpstreamIsLeftAloneForItsRetryAfter(t *testing.T) {
	for name, upstreams := range map[string]struct{ engines, plain int }{"plain service": {0, 2}, "engines": {2, 0}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, upstreams.engines, upstreams.plain)
			r := s.start(true)
			busy := append(s.engines, s.plainRunners...)[0]
			busy.SetRetryAfter("1.5")
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
				requireServed(t, r.askMany(4, func() request {
					if upstreams.plain > 0 {
						return request{method: http.MethodGet, path: site.StatusPath + "1", id: newID()}
					}
					q := streamRequest(site.StreamPath)
					q.prompt = fmt.Sprintf("aa:10,%s:10,cc:10", q.id)
					return q
				}))
			}
			arrivals := busy.Arrivals()
			require.NotEmpty(t, arrivals, "no request went to the upstream")
			early := 0
			for _, a := range arrivals {
				if since := a.At.Sub(arrivals[0].At); since > 500*time.Millisecond && since < 1500*time.Millisecond {
					early++
				}
			}
			assert.LessOrEqual(t, early, 2)
			assert.LessOrEqual(t, len(arrivals), 8)
		})
	}
}

// A service whose upstreams all ask to be left alone must refuse at once, say when a
// place is free, and serve again then.
func TestServiceLeftAloneRefusesUntilAPlaceIsFree(t *testing.T) {
	s := newSite(t, 0, 2)
	r := s.start(true)
	for _, p := range s.plainRunners {
		p.SetRetryAfter("1.2")
	}
	asked := time.Now()
	r.askMany(8, order) // until both have answered
	got := r.ask(order())
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	var wait float64
	_, err := fmt.Sscanf(got.header.Get("Retry-After"), "%f", &wait)
	require.NoError(t, err)
	assert.Greater(t, time.Since(asked).Seconds()+wait, 1.2)
	assert.Less(t, wait, 3.0)
	for _, p := range s.plainRunners {
		p.SetRetryAfter("")
	}
	time.Sleep(time.Until(asked.Add(1800 * time.Millisecond)))
	assert.Equal(t, http.StatusOK, r.ask(order()).status)
}
