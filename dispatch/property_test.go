package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// TestMain fixes the seed of rapid, so that each run gives the same result. A seed
// given on the command line takes precedence.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20260101", "rapid.checks": "40", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// maxSimulatedTime is when a simulation ends even if tickets are left. A lost
// ticket then shows up as neither served nor refused.
const maxSimulatedTime = 10 * time.Hour

// scenario is a small random load with its upstreams and policy.
type scenario struct {
	limits map[string]dispatch.Limits
	ups    []*simUpstream
	jobs   []*job
	policy dispatch.Policy
	rng    *rand.Rand
}

// drawScenario draws a scenario. One in longEvery jobs is long; zero means none.
func drawScenario(t *rapid.T, deadlines bool) *scenario {
	sc := &scenario{limits: map[string]dispatch.Limits{}, policy: dispatch.DefaultPolicy()}
	sc.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7))
	workspaces := rapid.IntRange(2, 6).Draw(t, "workspaces")
	for i := range workspaces {
		sc.limits[workspaceName(i)] = dispatch.Limits{
			Weight:     rapid.SampledFrom([]float64{0.5, 1, 1, 3}).Draw(t, "weight"),
			MaxRunning: rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "maxRunning"),
			MaxQueued:  rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "maxQueued"),
		}
	}
	sc.ups = upstreams(rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(1, 4).Draw(t, "slots"), 1)
	rate := rapid.Float64Range(2, 15).Draw(t, "rate")
	longEvery := rapid.SampledFrom([]int{0, 10, 3}).Draw(t, "longEvery")
	sc.policy.Window = ticket.Units(rapid.IntRange(0, 400_000).Draw(t, "window"))
	sc.jobs = arrivals(sc.rng, 0, 20*time.Second, rate, func(i int) *job {
		return sc.job(i, workspaces, longEvery, deadlines)
	})
	return sc
}

func (sc *scenario) job(i, workspaces, longEvery int, deadlines bool) *job {
	size := shortTokens(sc.rng)
	if longEvery > 0 && sc.rng.IntN(longEvery) == 0 {
		size = longTokens(sc.rng)
	}
	j := newJob(sc.rng, "job", i, sc.rng.IntN(workspaces), size)
	j.ticket.PrefixHash = sc.rng.Uint64N(4)
	if deadlines && sc.rng.IntN(2) == 0 {
		j.deadline = time.Duration(sc.rng.Int64N(int64(20 * time.Second)))
	}
	return j
}

// sim returns a simulation of the scenario, with its scheduler unless that is the
// reference.
func (sc *scenario) sim(useReference bool) (*sim, *dispatch.Scheduler) {
	ups := []*simUpstream{}
	for _, u := range sc.ups {
		c := *u
		ups = append(ups, &c)
	}
	s := newSim(sc.limits, ups)
	s.add(clone(sc.jobs))
	if useReference {
		s.useReference(sc.policy)
		return s, nil
	}
	return s, s.useScheduler(1, sc.policy)[0]
}

// injectFaults injects random faults: upstreams that slow down or stall, drain, or
// are removed. Each is restored after 5 s.
func (sc *scenario) injectFaults(t *rapid.T, s *sim, sched *dispatch.Scheduler) {
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		u := s.upsInOrder[rapid.IntRange(0, len(s.upsInOrder)-1).Draw(t, "upstream")]
		kind := rapid.IntRange(0, 3).Draw(t, "kind")
		at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Second
		s.after(at, func() {
			switch kind {
			case 0:
				s.setSlowdown(u, 5)
			case 1:
				s.setSlowdown(u, 1000)
			case 2:
				sched.SetUpstream(dispatch.Upstream{ID: u.id, Slots: u.slots, Leaving: true})
			case 3:
				sched.RemoveUpstream(u.id)
			}
		})
		s.after(at+5*time.Second, func() {
			s.setSlowdown(u, 1)
			sched.SetUpstream(dispatch.Upstream{ID: u.id, Slots: u.slots})
			s.step(0)
		})
	}
}

// checkStep checks the invariants that hold after each step: no free slot while
// runnable tickets wait, no more runs than slots, limits within their range.
func checkStep(t require.TestingT, s *sim, sched *dispatch.Scheduler) {
	stats := sched.Stats(s.clock())
	runnable := 0
	for _, w := range stats.Workspaces {
		maxRunning := s.limits[w.Name].MaxRunning
		if maxRunning == 0 || w.Running < maxRunning {
			runnable += w.Waiting
		}
		require.True(t, maxRunning == 0 || w.Running <= maxRunning, "%s runs more than its plan allows", w.Name)
	}
	require.False(t, runnable > 0 && stats.FreeSlots > 0, "%d free slots while %d tickets wait at %v", stats.FreeSlots, runnable, s.now)
	for _, u := range stats.Upstreams {
		require.LessOrEqual(t, u.Running, s.ups[u.ID].slots, "runs on %s", u.ID)
		require.Len(t, s.ups[u.ID].runs, u.Running, "runs on %s", u.ID)
		require.GreaterOrEqual(t, u.Long, 0)
		require.True(t, u.Limit >= 1 && u.Limit <= s.ups[u.ID].slots || u.Slots == 0, "limit %d of %s", u.Limit, u.ID)
	}
}

// requireAllEnded checks that each request was either served or refused. The
// simulation itself panics on a second grant or refusal.
func requireAllEnded(t require.TestingT, s *sim) {
	for _, j := range s.jobList {
		require.True(t, (j.ended > 0) != (j.refused != ""), "%s is neither served nor refused", j.ticket.ID)
		require.LessOrEqual(t, j.ticket.Stops, dispatch.DefaultPolicy().MaxStops)
		require.True(t, j.refused == "" || j.grants == 0, "%s was refused after it ran", j.ticket.ID)
	}
}

// Guards against unfair service, idle slots while tickets wait, starvation, and
// tickets that are lost, granted twice or refused after a run, while upstreams
// slow down, stall, drain, leave and return.
func TestInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t, true)
		s, sched := sc.sim(false)
		s.check = func(int) { checkStep(t, s, sched) }
		sc.injectFaults(t, s, sched)
		s.runUntil(maxSimulatedTime)
		requireAllEnded(t, s)
		require.Empty(t, s.gaps.overBound(sc.policy, sched.Stats(s.clock()).LargestRun))
	})
}

// Guards against a schedule that is much worse than that of the reference for the
// same arrivals. All work has to be served and to end within twice the time of the
// reference: no schedule that leaves no slot idle can be worse than twice the best.
func TestAgainstReference(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t, false)
		for name, l := range sc.limits {
			sc.limits[name] = dispatch.Limits{Weight: l.Weight}
		}
		own, sched := sc.sim(false)
		ref, _ := sc.sim(true)
		own.runUntil(maxSimulatedTime)
		ref.runUntil(maxSimulatedTime)
		requireAllEnded(t, own)
		requireAllEnded(t, ref)
		require.LessOrEqual(t, lastEnd(own).Seconds(), 2*lastEnd(ref).Seconds()+1)
		largestRun := sched.Stats(own.clock()).LargestRun
		require.Empty(t, own.gaps.overBound(sc.policy, largestRun))
		require.Equal(t, summarize(own), summarize(rerun(sc)), "the same input gave a different schedule")
	})
}

func rerun(sc *scenario) *sim {
	s, _ := sc.sim(false)
	s.runUntil(maxSimulatedTime)
	return s
}

func summarize(s *sim) string {
	text := ""
	for _, j := range s.jobList {
		text += fmt.Sprintln(j.ticket.ID, j.began, j.ended, j.ticket.Stops)
	}
	return text
}

func lastEnd(s *sim) time.Duration {
	last := time.Duration(0)
	for _, j := range s.jobList {
		last = max(last, j.ended)
	}
	return last
}
