package intent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
)

// ledger records what happened to each call, as seen by upstream and callers.
type ledger struct {
	mu       sync.Mutex
	runs     map[Key][]string // attempts that ran
	refused  map[string]bool  // attempts whose caller was told "not run"
	finished map[Key]bool     // outcome was stored
	killed   map[Key]bool     // a router died while it held the key
	results  map[string]int
}

// locked runs change while it holds the mutex.
func (l *ledger) locked(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

const (
	simRouters = 4
	simTime    = time.Minute
)

// faultSim sends several attempts for each key through routers that die, pause and
// lose messages, over an object API with changing faults.
type faultSim struct {
	*fleet
	ledger
	rnd    *rand.Rand       // guarded by ledger.mu
	alive  map[string]*bool // flag of the current process of a host, cleared when it is killed
	tried  map[string][]Key // keys that the current process of a host tried
	kills  bool             // routers are killed at random
	active sync.WaitGroup
}

// chance returns true with probability p.
func (s *faultSim) chance(p float64) (hit bool) {
	s.locked(func() { hit = s.rnd.Float64() < p })
	return hit
}

// randomBelow returns a random duration below limit.
func (s *faultSim) randomBelow(limit time.Duration) (d time.Duration) {
	s.locked(func() { d = time.Duration(s.rnd.Int64N(int64(limit))) })
	return d
}

// randomFraction returns a random number below limit.
func (s *faultSim) randomFraction(limit float64) (f float64) {
	s.locked(func() { f = s.rnd.Float64() * limit })
	return f
}

// call handles one keyed request as a router does. The ledger knows the attempt under
// name.
func (s *faultSim) call(key Key, name, host string) {
	var store *Store
	var alive *bool
	s.locked(func() { alive = s.alive[host]; s.tried[host] = append(s.tried[host], key) })
	s.fleet.mu.Lock()
	store = s.stores[host]
	s.fleet.mu.Unlock()
	isAlive := func() (up bool) { s.locked(func() { up = *alive }); return up }
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond+s.randomBelow(3*time.Second))
	defer cancel()
	attempt, err := store.Begin(ctx, key, testRequest)
	if !isAlive() {
		s.locked(func() { s.killed[key] = true })
		return
	}
	if err != nil {
		s.recordRefusal(key, name, err)
		return
	}
	if s.chance(0.3) {
		time.Sleep(s.randomBelow(5 * time.Second)) // paused
	}
	if !isAlive() {
		s.locked(func() { s.killed[key] = true })
		return
	}
	if !attempt.Valid(time.Now()) || s.chance(0.1) {
		s.locked(func() { s.refused[name] = true; s.results["released"]++ })
		_ = attempt.Release(ctx)
		return
	}
	s.locked(func() { s.runs[key] = append(s.runs[key], name) })
	time.Sleep(s.randomBelow(time.Second))
	if !isAlive() {
		s.locked(func() { s.killed[key] = true })
		return
	}
	if s.chance(0.1) {
		_ = attempt.MarkUnknown(ctx)
		return
	}
	if attempt.Finish(ctx, Outcome{Status: 200, Body: []byte(name)}) == nil {
		s.locked(func() { s.finished[key] = true })
	}
}

// recordRefusal records that Begin returned err, and checks a stored outcome.
func (s *faultSim) recordRefusal(key Key, name string, err error) {
	var done *Done
	if errors.As(err, &done) {
		s.locked(func() {
			s.results["done"]++
			if len(s.runs[key]) != 1 || !matches(done, s.runs[key][0]) {
				s.results["wrong outcome"]++
			}
			if done.Truncated {
				s.results["status only"]++
			}
		})
		return
	}
	s.locked(func() {
		s.refused[name] = true
		for label, kind := range map[string]error{"running": ErrRunning, "unknown": ErrOutcomeUnknown, "unavailable": ErrUnavailable} {
			if errors.Is(err, kind) {
				s.results[label]++
			}
		}
	})
}

// matches reports whether a stored outcome is that of the attempt, or what is left of
// it after compaction.
func matches(done *Done, name string) bool {
	return done.Status == 200 && (done.Truncated || string(done.Body) == name)
}

// changeFaults changes the faults at random until end, and then clears them.
func (s *faultSim) changeFaults(end time.Time) {
	for time.Now().Before(end) {
		s.fault(func(o *fake.ObjectFaults) {
			o.Outage = s.chance(0.15)
			o.LatencyMillis, o.JitterMillis = 2, s.randomBelow(200*time.Millisecond).Milliseconds()
			o.LoseFraction = s.randomFraction(0.3)
			o.DelayFraction = s.randomFraction(0.2)
			o.DelayMillis = s.randomBelow(2 * time.Second).Milliseconds()
			o.StaleFraction = s.randomFraction(0.5)
			o.WritesPerSecond = []float64{400, 20}[s.randomBelow(2)]
		})
		host := fmt.Sprintf("r%d", s.randomBelow(simRouters))
		cut, lose := s.chance(0.3), s.randomFraction(0.3)
		s.fleet.mu.Lock()
		s.cut[host], s.lose = cut, lose
		s.fleet.mu.Unlock()
		if s.kills && s.chance(0.1) {
			s.restart(host)
		}
		time.Sleep(s.randomBelow(time.Second))
	}
	s.fault(func(o *fake.ObjectFaults) { *o = fake.ObjectFaults{LatencyMillis: 2} })
	s.fleet.mu.Lock()
	s.cut, s.lose = map[string]bool{}, 0
	s.fleet.mu.Unlock()
}

// restart kills a router and starts it again with empty memory.
func (s *faultSim) restart(host string) {
	up := true
	s.locked(func() {
		*s.alive[host] = false
		s.alive[host] = &up
		for _, key := range s.tried[host] {
			s.killed[key] = true // an unfinished clean-up dies with its router
		}
		s.tried[host] = nil
	})
	s.fleet.mu.Lock()
	old := s.stores[host]
	s.fleet.mu.Unlock()
	s.start(host)
	old.Close()
}

func runFaultSim(t *testing.T, seed uint64, forward bool) (results map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		var options Options
		if seed%3 == 2 {
			options.KeepOutcome = 3 * time.Second
		}
		s := &faultSim{fleet: newFleet(t, forward, seed, options), rnd: rand.New(rand.NewPCG(seed, 9)), alive: map[string]*bool{}, tried: map[string][]Key{}, kills: seed%2 == 1}
		s.ledger = ledger{runs: map[Key][]string{}, refused: map[string]bool{}, finished: map[Key]bool{}, killed: map[Key]bool{}, results: map[string]int{}}
		for i := range simRouters {
			up := true
			host := fmt.Sprintf("r%d", i)
			s.alive[host] = &up
			s.start(host)
		}
		s.active.Go(func() { s.changeFaults(time.Now().Add(simTime)) })
		var keys []Key
		for i := range 150 {
			key := Key{Workspace: "w", Key: fmt.Sprint(i)}
			keys = append(keys, key)
			start := s.randomBelow(simTime - 10*time.Second)
			for n := range 5 {
				host := fmt.Sprintf("r%d", s.randomBelow(simRouters))
				delay := start + s.randomBelow(10*time.Second)
				s.active.Go(func() {
					time.Sleep(delay)
					s.call(key, fmt.Sprintf("%d.%d", i, n), host)
				})
			}
		}
		s.active.Wait()
		time.Sleep(time.Minute)
		s.checkGuarantees(t, keys)
		results = s.results
	})
	return results
}

// checkGuarantees checks the at-most-once guarantees after all calls have ended.
func (s *faultSim) checkGuarantees(t *testing.T, keys []Key) {
	require.Zero(t, s.results["wrong outcome"])
	for _, key := range keys {
		runs := s.runs[key]
		require.LessOrEqual(t, len(runs), 1, "key %s ran as %v", key.Key, runs)
		for _, name := range runs {
			require.False(t, s.refused[name], "attempt %s ran although refused", name)
		}
		s.results["ran"] += len(runs)
		attempt, err := s.stores["r0"].Begin(t.Context(), key, testRequest)
		var done *Done
		switch {
		case s.finished[key]:
			require.ErrorAs(t, err, &done)
			require.True(t, matches(done, runs[0]))
		case len(runs) == 1:
			require.Error(t, err, "key %s could run twice", key.Key)
		case !s.killed[key]:
			require.NoError(t, err, "key %s is blocked although nothing ran", key.Key)
			require.NoError(t, attempt.Release(t.Context()))
			s.results["free again"]++
		}
	}
}

// Guards against two runs of a key, a false report that a call did not run, a wrong
// stored outcome and a key that stays blocked, with all faults of the platform and
// the routers combined.
func TestRandomFaults(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(6) {
		for _, forward := range []bool{false, true} {
			for result, count := range runFaultSim(t, seed, forward) {
				total[result] += count
			}
		}
	}
	t.Log(total)
	for _, result := range []string{"ran", "done", "running", "unknown", "unavailable", "released", "free again", "status only"} {
		require.Positive(t, total[result], result)
	}
}
