package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// releaseSim plays engines that turn requests away or leave. Each request gets one
// more attempt elsewhere after it was turned away.
type releaseSim struct {
	*simulation
	heeds     bool                     // routers heed what engines say about themselves
	turnsAway func(id string) bool     // now
	leaves    func(id string) bool     // now
	waits     map[string][]askedToWait // by router and engine
	counts    releaseCounts
}

type askedToWait struct{ from, until time.Time }

// releaseCounts counts what callers and engines saw.
type releaseCounts struct {
	toLeaving   int // requests that reached a leaving engine after it had said so to the router
	withinWaits int // requests within the time for which an engine had asked the router to wait
	repeats     int
	turnedAway  int // requests that ended refused after an engine turned them away
}

func newReleaseSim(seed uint64, heeds bool) *releaseSim {
	never := func(string) bool { return false }
	return &releaseSim{simulation: newSimulation(seed), heeds: heeds, turnsAway: never, leaves: never, waits: map[string][]askedToWait{}}
}

// choose sends a request until an engine takes it, and returns a refusal if none does.
func (s *releaseSim) choose(_ *simulation, router *EnginePool, r EngineRequest) Decision {
	for attempt := 0; ; attempt++ {
		d := router.Place(s.now, r)
		if d.Refused() {
			return d
		}
		key := fmt.Sprintf("%p %s", router, d.Upstream.ID)
		s.count(key, d.Upstream.ID)
		if s.leaves(d.Upstream.ID) {
			s.waits[key] = append(s.waits[key], askedToWait{from: s.now})
			if s.heeds {
				router.MarkLeaving(s.now, instance(d.Upstream))
			}
		}
		if !s.turnsAway(d.Upstream.ID) {
			return d
		}
		ticket := router.Sent(s.now, r, d)
		wait := time.Duration(1000+s.rng.IntN(3000)) * time.Millisecond
		s.waits[key] = append(s.waits[key], askedToWait{s.now.Add(500 * time.Millisecond), s.now.Add(wait)})
		if s.heeds {
			router.LeaveAlone(s.now, ticket, wait)
			router.Ended(s.now, ticket, Deferred)
		} else {
			router.Ended(s.now, ticket, Rejected)
		}
		if attempt == 1 {
			s.counts.turnedAway++
			return Decision{Reason: Overloaded, RetryAfter: MinRetryAfter}
		}
		s.counts.repeats++
		r.Exclude = append(r.Exclude, d.Upstream.ID)
	}
}

// count counts a request of a router that reaches an engine.
func (s *releaseSim) count(key, id string) {
	for _, asked := range s.waits[key] {
		switch {
		case asked.until.IsZero() && s.leaves(id):
			s.counts.toLeaving++
			return
		case s.now.After(asked.from) && s.now.Before(asked.until):
			s.counts.withinWaits++
			return
		}
	}
}

// Under an overload in which a third of the engines turn requests away for 1 to 4 s,
// none may come within these times, and callers must be served no worse.
func TestThirdOfTheEnginesAskToBeLeftAlone(t *testing.T) {
	for seed := range uint64(5) {
		play := func(heeds bool) (simResult, releaseCounts) {
			s := newReleaseSim(seed, heeds)
			s.turnsAway = func(id string) bool {
				elapsed := s.now.Sub(time.Unix(0, 0))
				return (id == "e0" || id == "e1") && elapsed > 4*time.Second && elapsed < 14*time.Second
			}
			return s.run(s.choose, 20*time.Second, steady(140)), s.counts
		}
		got, counts := play(true)
		before, countsBefore := play(false)
		t.Logf("seed %d: %+v %+v, without: %+v %+v", seed, got, counts, before, countsBefore)
		assert.Zero(t, counts.withinWaits, "seed %d", seed)
		assert.Less(t, counts.repeats, countsBefore.repeats, "seed %d", seed)
		assert.GreaterOrEqual(t, float64(got.onTime), 0.98*float64(before.onTime), "seed %d", seed)
	}
}

// While all engines are replaced one after the other and the list of upstreams is two
// seconds late, none may get a request from a router to which it said that it leaves.
func TestRollingReleaseOfAllEngines(t *testing.T) {
	const gap, listDelay, stay = 2 * time.Second, 2 * time.Second, 3 * time.Second
	for seed := range uint64(5) {
		play := func(heeds bool) (simResult, releaseCounts) {
			s := newReleaseSim(seed, heeds)
			begin := s.now.Add(2 * time.Second)
			said := func(id string) time.Time {
				var i int
				if _, err := fmt.Sscanf(id, "e%d", &i); err != nil || i >= simEngines {
					return s.now.Add(time.Hour) // an engine of the new version
				}
				return begin.Add(time.Duration(i) * gap)
			}
			s.leaves = func(id string) bool { return !s.now.Before(said(id)) }
			load := func(ms int) float64 {
				if ms%100 == 0 {
					s.replaceEngines(said, listDelay, stay)
				}
				return 90
			}
			return s.run(s.choose, 20*time.Second, load), s.counts
		}
		got, counts := play(true)
		before, countsBefore := play(false)
		t.Logf("seed %d: %+v %+v, without: %+v %+v", seed, got, counts, before, countsBefore)
		assert.Zero(t, counts.toLeaving, "seed %d", seed)
		assert.NotZero(t, countsBefore.toLeaving, "seed %d", seed)
		assert.GreaterOrEqual(t, float64(got.onTime), 0.98*float64(before.onTime), "seed %d", seed)
	}
}

// replaceEngines lists the engines that should be listed now: those that leave drain in
// the list after listDelay and are gone stay later; the one that follows an engine is
// listed when it begins to leave.
func (s *releaseSim) replaceEngines(said func(id string) time.Time, listDelay, stay time.Duration) {
	var list []catalog.Upstream
	for i := range simEngines {
		id := fmt.Sprintf("e%d", i)
		leaving := s.now.Sub(said(id))
		if leaving < listDelay+stay {
			list = append(list, catalog.Upstream{ID: id, DataCentre: "a", Draining: leaving >= listDelay})
		}
		if leaving >= 0 {
			next := fmt.Sprintf("e%d", simEngines+i)
			list = append(list, catalog.Upstream{ID: next, DataCentre: "a"})
			if s.engines[next] == nil {
				s.engines[next] = &simEngine{id: next, rate: simRate, cached: map[uint64]bool{}}
			}
		}
	}
	for _, router := range s.routers {
		router.SetUpstreams(s.now, list, catalog.Engine{Slots: 64, MemoryTokens: 600_000}, simEngines*simRate*1000/priorRateFactor)
	}
}
