package overload

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// load describes requests to a simulated processor with one run queue, which serves
// or refuses them one after the other in order of arrival.
type load struct {
	rates         map[string]float64 // requests per second by workspace
	serveTime     time.Duration      // processor time of a request that is served
	refuseTime    time.Duration      // processor time of a request that is refused
	callerTimeout time.Duration      // callers disconnect after this wait
	gated         bool
}

type counts struct{ requested, served, refused, timedOut int }

// run simulates ten seconds and returns the counts by workspace.
func (l load) run(seed uint64) map[string]counts {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	gate := NewGate()
	result := map[string]counts{}
	var busyUntil time.Duration
	const step = 100 * time.Microsecond
	for at := time.Duration(0); at < 10*time.Second; at += step {
		for _, workspace := range []string{"large", "small", "tiny"} {
			if rng.Float64() >= l.rates[workspace]*step.Seconds() {
				continue
			}
			c := result[workspace]
			c.requested++
			wait := max(busyUntil-at, 0)
			busyUntil = max(busyUntil, at)
			switch {
			case l.gated && !gate.Admit(start.Add(at+wait), workspace, wait):
				c.refused++
				busyUntil += l.refuseTime
			case wait > l.callerTimeout:
				c.timedOut++
				busyUntil += l.serveTime // processor time is spent although the caller has left
			default:
				c.served++
				busyUntil += l.serveTime
			}
			result[workspace] = c
		}
	}
	return result
}

// One workspace sends three times what the processor can serve. Without the gate
// nearly all callers time out before they are served, as they did at small hosts of
// the grown sites.
func TestFloodOnSmallHost(t *testing.T) {
	l := load{
		rates:     map[string]float64{"large": 700, "small": 20, "tiny": 4},
		serveTime: 4 * time.Millisecond, refuseTime: 400 * time.Microsecond, callerTimeout: 500 * time.Millisecond,
	}
	for seed := range uint64(5) {
		l.gated = false
		without := l.run(seed)
		assert.Less(t, without["large"].served, without["large"].requested/10, "seed %d: the load is too low to show the overload", seed)
		assert.Less(t, without["tiny"].served, without["tiny"].requested/3)

		l.gated = true
		with := l.run(seed)
		for workspace, c := range with {
			assert.Zero(t, c.timedOut, "seed %d: callers of %s timed out", seed, workspace)
		}
		for _, workspace := range []string{"small", "tiny"} {
			c := with[workspace]
			assert.GreaterOrEqual(t, float64(c.served), 0.95*float64(c.requested), "seed %d: %s is served less than 95%%", seed, workspace)
		}
		// 250 requests per second saturate the processor; refusals take some of it.
		assert.Greater(t, with["large"].served, 10*150, "seed %d: the processor is not used", seed)
	}
}

// A load that the processor can serve is not refused, not even when requests come
// in small bursts.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	l := load{
		rates:     map[string]float64{"large": 150, "small": 20, "tiny": 4},
		serveTime: 3 * time.Millisecond, refuseTime: 300 * time.Microsecond, callerTimeout: 500 * time.Millisecond, gated: true,
	}
	for seed := range uint64(5) {
		for workspace, c := range l.run(seed) {
			assert.Equal(t, c.requested, c.served, "seed %d: %s", seed, workspace)
		}
	}
}

// Past requests decay, so that a workspace that no longer sends much is treated
// like the others.
func TestPastRequestsDecay(t *testing.T) {
	g := NewGate()
	now := time.Unix(1000, 0)
	for range 1000 {
		assert.True(t, g.Admit(now, "large", 0))
	}
	assert.False(t, g.Admit(now, "large", BusyWait))
	assert.True(t, g.Admit(now, "small", BusyWait))
	now = now.Add(20 * time.Second)
	for range 3 {
		assert.True(t, g.Admit(now, "small", 0))
	}
	assert.True(t, g.Admit(now, "large", BusyWait))
	assert.False(t, g.Admit(now, "small", FullWait))
}

// ProcessorWait must show a busy process. A timer would not: the scheduler runs its
// goroutine next, so it is hardly late even when many goroutines wait.
func TestProcessorWaitShowsABusyProcess(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var group sync.WaitGroup
	var stop atomic.Bool
	for range 20 {
		group.Go(func() {
			for !stop.Load() { // until the scheduler preempts it, after 10 ms
			}
		})
	}
	runtime.Gosched() // until all of them run
	// The scheduler looks at the queue of yielding goroutines first in each 61st round, so
	// one of three measurements may show nothing.
	shown := 0
	for range 3 {
		if ProcessorWait() >= BusyWait {
			shown++
		}
	}
	assert.GreaterOrEqual(t, shown, 2)
	stop.Store(true)
	group.Wait()
	// Other processes may hold the processor during a single measurement.
	idle := ProcessorWait()
	for range 10 {
		idle = min(idle, ProcessorWait())
	}
	assert.Less(t, idle, BusyWait, "the process is idle again")
}
