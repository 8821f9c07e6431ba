package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// inForce is the time after the store's acknowledgement from which an evacuation or its
// end is in force at every router in contact.
const inForce = time.Second

// newEvacuationSite returns a site with one plain runner in each of the data centres a, b
// and c of one region, and routers that follow evacuations.
func newEvacuationSite(t *testing.T) *testSite {
	s := newSite(t, 0, 0)
	for i, zone := range []string{"a", "b", "c"} {
		s.plainRunners = append(s.plainRunners, s.runner(150+i, &site.Runner{
			ID: "p-" + zone, Zone: zone, Service: site.PlainService, WorkTime: 5 * time.Millisecond,
		}))
	}
	s.zone, s.zones, s.evacuateMs = "a", map[string]string{"a": "r", "b": "r", "c": "r"}, 5000
	return s
}

func (s *testSite) evacuate(zones ...string) {
	for _, zone := range zones {
		s.store.Put("evacuations", zone, map[string]any{})
	}
}

func (s *testSite) withdraw(zones ...string) {
	for _, zone := range zones {
		s.store.Delete("evacuations", zone)
	}
}

// askWhileBusy sends requests, made by newRequest, until the router refuses none for lack of
// processor time, and returns the last one with its answer. Such a refusal depends on the load
// of the machine; callers return after it.
func (r *testRouter) askWhileBusy(newRequest func() request) (request, answer) {
	for end := time.Now().Add(busyLimit); ; {
		q := newRequest()
		got := r.ask(q)
		if !strings.HasPrefix(got.body, "router is short of processor time") || time.Now().After(end) {
			return q, got
		}
		seconds, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64) // 0 without one
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// busyLimit is the time for which a router may refuse requests for lack of processor time,
// that of a caller's deadline.
const busyLimit = 4 * time.Second

// usedZones sends requests at once through a router, and returns the data centres that
// they reached. Each of them must be answered.
func (s *testSite) usedZones(r *testRouter) string {
	s.t.Helper()
	var used [3]atomic.Bool
	var group sync.WaitGroup
	for range 24 {
		group.Go(func() {
			q, got := r.askWhileBusy(order)
			assert.NoError(s.t, got.err)
			assert.Equal(s.t, http.StatusOK, got.status, got.body)
			for i, runner := range s.plainRunners {
				if runner.Runs()[q.id] > 0 {
					used[i].Store(true)
				}
			}
		})
	}
	group.Wait()
	zones := ""
	for i := range used {
		if used[i].Load() {
			zones += s.plainRunners[i].Zone
		}
	}
	return zones
}

// assertZones checks that each router uses some of the given data centres and no others,
// and that it uses all of them before long.
func (s *testSite) assertZones(want string, when string) {
	s.t.Helper()
	for _, r := range s.routers {
		used := ""
		for attempt := 0; attempt < 20 && len(used) < len(want); attempt++ {
			for _, zone := range strings.Split(s.usedZones(r), "") {
				if !strings.Contains(used, zone) {
					used += zone
				}
			}
		}
		assert.ElementsMatch(s.t, strings.Split(want, ""), strings.Split(used, ""), "%s: %s", r.IP, when)
	}
}

// No request may reach an evacuated data centre once the evacuation is in force, while
// callers go on, and its upstreams must be used again afterwards.
func TestEvacuationMovesAllRequests(t *testing.T) {
	s := newEvacuationSite(t)
	for range 3 {
		s.start(true)
	}
	s.assertZones("abc", "before")
	var stop atomic.Bool
	var callers sync.WaitGroup
	for _, r := range s.routers {
		callers.Go(func() {
			for !stop.Load() {
				_, got := r.askWhileBusy(order)
				assert.Equal(t, http.StatusOK, got.status, got.body)
			}
		})
	}
	s.evacuate("a")
	time.Sleep(inForce)
	before := len(s.plainRunners[0].Runs())
	time.Sleep(inForce)
	assert.Len(t, s.plainRunners[0].Runs(), before, "requests reached the evacuated data centre")
	stop.Store(true)
	callers.Wait()
	s.withdraw("a")
	time.Sleep(inForce)
	s.assertZones("abc", "after")
}

// An operator may change its mind several times a second, and evacuate one data centre
// after the other. Routers must end with the latest set.
func TestEvacuationsThatChangeOften(t *testing.T) {
	s := newEvacuationSite(t)
	for range 3 {
		s.start(true)
	}
	for range 8 {
		s.evacuate("a", "c")
		time.Sleep(30 * time.Millisecond)
		s.withdraw("a")
		s.evacuate("b")
		time.Sleep(30 * time.Millisecond)
		s.withdraw("b", "c")
	}
	s.evacuate("a")
	time.Sleep(inForce)
	s.assertZones("bc", "after changes")
	s.evacuate("b")
	s.withdraw("a")
	time.Sleep(inForce)
	s.assertZones("ac", "the next one")
	s.evacuate("a")
	time.Sleep(inForce)
	s.assertZones("c", "two at once")
}

// An outage of the store must not end an evacuation, neither at a running router nor at
// one that starts meanwhile, and must not delay the next one once it is over.
func TestEvacuationOutlastsTheStore(t *testing.T) {
	s := newEvacuationSite(t)
	for range 2 {
		s.start(true)
	}
	s.evacuate("a")
	time.Sleep(inForce)
	s.store.SetFault(site.Unavailable)
	late := s.start(true)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		s.assertZones("bc", "without the store")
	}
	s.store.SetFault(site.NoFault)
	s.withdraw("a")
	s.evacuate("b")
	time.Sleep(2 * inForce) // with the backoff of the store's clients
	s.assertZones("ac", "with the store")
	assert.True(t, late.Ready())
}

// Routers that cannot use the store must learn of an evacuation and of its end from others.
func TestRouterWithoutStoreLearnsOfEvacuations(t *testing.T) {
	for name, fault := range map[string]site.Fault{"silent": site.NoResponse, "busy": site.Unavailable} {
		t.Run(name, func(t *testing.T) {
			s := newEvacuationSite(t)
			for range 3 {
				s.start(true)
			}
			time.Sleep(400 * time.Millisecond) // until the routers know each other
			for _, r := range s.routers[:2] {
				s.store.SetHostFault(r.IP, fault)
			}
			time.Sleep(3 * time.Second) // until the last one watches
			s.evacuate("b")
			time.Sleep(inForce)
			s.assertZones("ac", "evacuated")
			s.withdraw("b")
			time.Sleep(inForce)
			s.assertZones("abc", "withdrawn")
		})
	}
}

// If everything that a request may use is evacuated, it must be refused at once with that
// reason, and not with one that promises capacity soon.
func TestEverythingEvacuatedRefusesAtOnce(t *testing.T) {
	s := newEvacuationSite(t)
	r := s.start(true)
	s.evacuate("a", "b", "c")
	time.Sleep(inForce)
	q := request{path: site.OrderPath + "1", id: newID()}
	asked := time.Now()
	got := r.ask(q)
	require.NoError(t, got.err)
	assert.Less(t, time.Since(asked), time.Second)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, "evacuated")
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, s.runs(q.id))
	assert.True(t, r.Ready())
}

// Objects that are no evacuations of this deployment must have no effect.
func TestMalformedEvacuationsHaveNoEffect(t *testing.T) {
	s := newEvacuationSite(t)
	s.store.Put("evacuations", "nowhere", map[string]any{})
	s.store.Put("evacuations", "a", "text")
	s.start(true)
	s.start(true)
	s.store.Put("evacuations", "b", []int{1})
	s.store.Put("evacuations", "A", map[string]any{})
	s.evacuate("c")
	time.Sleep(inForce)
	s.assertZones("ab", "malformed objects beside an evacuation")
}

// A deployment without evacuations must make the same calls to the store as before, and one
// with them must not be ready before it knows the set.
func TestEvacuationsAreListedOnlyWhereAskedFor(t *testing.T) {
	s := newEvacuationSite(t)
	s.evacuate("b")
	var calls atomic.Int64
	var fails atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "evacuations") {
			calls.Add(1)
			if fails.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	s.storeAddress, s.evacuateMs = strings.TrimPrefix(front.URL, "http://"), 0
	s.start(true)
	s.assertZones("abc", "without the setting")
	assert.Zero(t, calls.Load())
	s.evacuateMs = 5000
	fails.Store(true)
	with := s.start(false)
	require.Eventually(t, func() bool { return calls.Load() > 2 }, 5*time.Second, 10*time.Millisecond)
	assert.False(t, with.Ready())
	got := with.askWithContext(context.Background(), request{path: site.OrderPath + "1", id: newID()})
	assert.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	fails.Store(false)
	require.Eventually(t, with.Ready, 3*time.Second, 10*time.Millisecond)
	assert.NotContains(t, s.usedZones(with), "b")
	// The router without evacuations confirms nothing to the one that follows them.
	s.evacuate("c")
	time.Sleep(inForce)
	assert.Equal(t, "a", s.usedZones(with), fmt.Sprint("calls: ", calls.Load()))
}
