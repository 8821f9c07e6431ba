package coldlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// seeds is the number of seeds for each fleet size.
var seeds = map[int]uint64{8: 40, 77: 6, 133: 3, 390: 1}

// bound is the most requests that a cold upstream may get within any second.
func bound() float64 { return testLimits.PerSecond*testBounds.Excess + testBounds.Slack }

// Guards against requests of several routers that together exceed what a cold upstream
// can handle, whatever fails and whichever routers know each other, each with more
// requests than the upstreams can take.
func TestBoundHoldsWhateverFails(t *testing.T) {
	for _, routers := range fleetSizes {
		for seed := range seeds[routers] {
			s := newSim(simOptions{seed: seed, routers: routers, upstreams: 3, demand: 40, duration: 30 * time.Second, disturbed: true})
			s.run()
			assert.LessOrEqual(t, float64(s.busiest()), bound(), "%d routers, seed %d", routers, seed)
			assert.Positive(t, s.total(), "%d routers, seed %d", routers, seed)
			t.Logf("%d routers, seed %d: %d at most in a second, %d sent, use %.2f, %d calls", routers, seed, s.busiest(), s.total(), s.use(), s.calls)
		}
	}
}

// Guards against routers that join together and send before they know each other.
func TestBoundHoldsWhenManyRoutersJoinAtOnce(t *testing.T) {
	for _, disturbed := range []bool{false, true} {
		s := newSim(simOptions{seed: 1, routers: 133, upstreams: 3, demand: 40, duration: 12 * time.Second, together: true, disturbed: disturbed, once: true})
		s.run()
		assert.LessOrEqual(t, float64(s.busiest()), bound())
		assert.Positive(t, s.total())
		t.Logf("disturbed %v: %d at most in a second, %d sent", disturbed, s.busiest(), s.total())
	}
}

// Guards against cold upstreams that idle although the holders of their permits have
// requests for them, and against more than two calls to the store a period.
func TestColdUpstreamsAreUsedInCalm(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := newSim(simOptions{seed: 1, routers: routers, upstreams: 4, demand: 30, duration: 10 * time.Second, once: true})
			s.run()
			assert.GreaterOrEqual(t, s.use(), 0.7)
			assert.LessOrEqual(t, float64(s.busiest()), testLimits.PerSecond, "one holder")
			assert.Equal(t, 2*4, s.calls)
			t.Logf("use %.2f, %d at most in a second", s.use(), s.busiest())
		})
	}
}

// A data centre with 19 upstreams comes back cold while callers send 760 requests a second
// for them. Guards against cold upstreams beyond the bound and against more calls to the
// store than two a period. Nothing waits inside the routers: what the holders of the
// permits cannot send goes to other data centres or is refused. How much of it the cold
// upstreams take depends on what arrives at the holders, so only the log states it.
func TestDataCentreComesBackColdAtTheCrest(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := newSim(simOptions{seed: 2, routers: routers, upstreams: 19, demand: 760 / float64(routers), duration: 8 * time.Second, once: true})
			s.run()
			assert.LessOrEqual(t, float64(s.busiest()), bound())
			assert.Equal(t, 2*19, s.calls)
			t.Logf("%d routers with %.1f requests a second each: use %.2f, %d at most in a second, %d refused of %d, %d calls",
				routers, s.demand, s.use(), s.busiest(), s.refused, s.asked, s.calls)
		})
	}
}
