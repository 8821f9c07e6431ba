package overload

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// load is played against a processor with one run queue: requests are read in the
// order in which they came, and each serves or refuses in its turn.
type load struct {
	rates   map[string]float64 // requests per second by workspace
	serve   time.Duration      // processor time of a request that is served
	refuse  time.Duration      // and of one that is refused
	patient time.Duration      // callers leave after this wait
	gated   bool
}

type count struct{ asked, served, refused, left int }

// play returns what the callers of each workspace get in ten seconds.
func (l load) play(seed uint64) map[string]count {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	gate := NewGate()
	result := map[string]count{}
	var busyUntil time.Duration
	const step = 100 * time.Microsecond
	for at := time.Duration(0); at < 10*time.Second; at += step {
		for _, workspace := range []string{"large", "small", "tiny"} {
			if rng.Float64() >= l.rates[workspace]*step.Seconds() {
				continue
			}
			c := result[workspace]
			c.asked++
			wait := max(busyUntil-at, 0)
			busyUntil = max(busyUntil, at)
			switch {
			case l.gated && !gate.Admit(start.Add(at+wait), workspace, wait):
				c.refused++
				busyUntil += l.refuse
			case wait > l.patient:
				c.left++
				busyUntil += l.serve // the work is done in vain
			default:
				c.served++
				busyUntil += l.serve
			}
			result[workspace] = c
		}
	}
	return result
}

// One workspace sends three times what the processor can serve. Without the gate
// all callers leave before they are served, as the callers of the small hosts of
// the grown sites did.
func TestFloodOnASmallProcessor(t *testing.T) {
	l := load{
		rates: map[string]float64{"large": 700, "small": 20, "tiny": 4},
		serve: 4 * time.Millisecond, refuse: 400 * time.Microsecond, patient: 500 * time.Millisecond,
	}
	for seed := range uint64(5) {
		l.gated = false
		without := l.play(seed)
		assert.Less(t, without["large"].served, without["large"].asked/10, "seed %d: the load is too small to show the fault", seed)
		assert.Less(t, without["tiny"].served, without["tiny"].asked/3)

		l.gated = true
		with := l.play(seed)
		for workspace, c := range with {
			assert.Zero(t, c.left, "seed %d: callers of %s left", seed, workspace)
		}
		for _, workspace := range []string{"small", "tiny"} {
			c := with[workspace]
			assert.GreaterOrEqual(t, float64(c.served), 0.95*float64(c.asked), "seed %d: %s gets less than its part", seed, workspace)
		}
		// 250 requests a second fill the processor; refusals take some of it.
		assert.Greater(t, with["large"].served, 10*150, "seed %d: the processor is not used", seed)
	}
}

// A load that the processor can serve is not refused, also when requests come in
// small bursts.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	l := load{
		rates: map[string]float64{"large": 150, "small": 20, "tiny": 4},
		serve: 3 * time.Millisecond, refuse: 300 * time.Microsecond, patient: 500 * time.Millisecond, gated: true,
	}
	for seed := range uint64(5) {
		for workspace, c := range l.play(seed) {
			assert.Equal(t, c.asked, c.served, "seed %d: %s", seed, workspace)
		}
	}
}

// Requests of the past are forgotten, so that a workspace that has stopped sending
// much is served like the others.
func TestPastRequestsAreForgotten(t *testing.T) {
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

// A timer is late by little when many goroutines wait for the processor, since the
// scheduler runs its goroutine next. The wait of a goroutine that yields shows it.
func TestProcessorWaitShowsABusyProcess(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
			}
		})
	}
	wait := ProcessorWait()
	group.Wait()
	assert.GreaterOrEqual(t, wait, BusyWait)
	assert.Less(t, ProcessorWait(), BusyWait, "the process is idle again")
}
