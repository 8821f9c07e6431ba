package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// flood describes connections with one request each to a processor with one run
// queue, one goroutine that accepts connections, and a queue of the operating
// system before it.
type flood struct {
	perSecond     float64
	backlog       int           // length of the queue of the operating system
	acceptTime    time.Duration // processor time to take in a connection
	decideTime    time.Duration // processor time to read a request and refuse it
	sliceTime     time.Duration // processor time of each of the slices of a request that is served
	slices        int
	callerTimeout time.Duration
	bounded       bool // whether Intake bounds the connections that are taken in
}

// floodRequest is one request in the run queue.
type floodRequest struct {
	arrivedAt, queuedAt time.Duration
	slot                *Slot
	slicesLeft          int // 0 before the decision
}

type floodResult struct{ served, refused, late, dropped int }

// run simulates a duration and counts how requests ended.
func (f flood) run(seed uint64, duration time.Duration) floodResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	gate, intake := NewGate(), &Intake{}
	var result floodResult
	var queue []time.Duration // arrivals in the queue of the operating system
	var runQueue []*floodRequest
	var nextArrival, now time.Duration
	for now < duration {
		for ; nextArrival <= now; nextArrival += time.Duration(rng.ExpFloat64() / f.perSecond * float64(time.Second)) {
			if len(queue) >= f.backlog {
				result.dropped++
				continue
			}
			queue = append(queue, nextArrival)
		}
		accepted := 0
		for _, arrivedAt := range queue {
			r := &floodRequest{arrivedAt: arrivedAt}
			if f.bounded {
				if r.slot, _ = intake.Take(start.Add(now)); r.slot == nil {
					break
				}
			}
			accepted++
			now += f.acceptTime
			r.queuedAt = now
			runQueue = append(runQueue, r)
		}
		queue = queue[accepted:]
		if len(runQueue) == 0 {
			now = max(now, nextArrival)
			continue
		}
		r := runQueue[0]
		runQueue = runQueue[1:]
		if r.slicesLeft == 0 {
			wait := now - r.queuedAt
			now += f.decideTime
			admitted := gate.Admit(start.Add(now), "w", wait)
			if r.slot != nil {
				r.slot.Free()
			}
			switch {
			case now-r.arrivedAt > f.callerTimeout:
				result.late++
				continue
			case !admitted:
				result.refused++
				continue
			}
			r.slicesLeft = f.slices + 1
		} else {
			now += f.sliceTime
		}
		if r.slicesLeft--; r.slicesLeft > 0 {
			runQueue = append(runQueue, r)
			continue
		}
		if now-r.arrivedAt > f.callerTimeout {
			result.late++
			continue
		}
		result.served++
	}
	return result
}

// A flood of connections must not take all processor time for refusals: on grown
// Solas, scale-1, a workspace alone on a small host got no answer for three seconds.
func TestFloodOfConnectionsLeavesTimeToServe(t *testing.T) {
	f := flood{
		backlog: 128, acceptTime: 300 * time.Microsecond, decideTime: 700 * time.Microsecond,
		sliceTime: 500 * time.Microsecond, slices: 8, callerTimeout: 800 * time.Millisecond,
	}
	for _, perSecond := range []float64{1400, 5600} {
		f.perSecond = perSecond
		for seed := range uint64(5) {
			f.bounded, f.backlog = false, 4096
			without := f.run(seed, 10*time.Second)
			f.bounded, f.backlog = true, 128
			with := f.run(seed, 10*time.Second)
			t.Logf("%v a second, seed %d: %+v, without bound %+v", perSecond, seed, with, without)
			assert.Less(t, without.served, 200, "the load is too low to show the overload")
			// A fifth of the processor time serves 40 requests a second.
			assert.GreaterOrEqual(t, with.served, 400, "seed %d", seed)
			assert.Less(t, with.late, with.served/10, "seed %d", seed)
		}
	}
}

// Connections without a request must not keep others out.
func TestSilentConnectionsDoNotBlockTheIntake(t *testing.T) {
	intake, now := &Intake{}, time.Unix(1000, 0)
	for range maxUndecided {
		slot, _ := intake.Take(now)
		assert.NotNil(t, slot)
	}
	slot, wait := intake.Take(now.Add(40 * time.Millisecond))
	assert.Nil(t, slot)
	assert.Equal(t, maxHold-40*time.Millisecond, wait)
	slot, _ = intake.Take(now.Add(maxHold))
	assert.NotNil(t, slot)
	slot.Free()
	slot, _ = intake.Take(now.Add(maxHold))
	assert.NotNil(t, slot)
}
