package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// pour gives the capacity in small steps to all workspaces that still want some.
func pour(asked []float64, capacity float64) []float64 {
	const step = 0.25
	got := make([]float64, len(asked))
	for left, gave := capacity, true; gave; {
		gave = false
		for i, ask := range asked {
			part := min(step, ask-got[i], left)
			if part > 0 {
				got[i] += part
				left -= part
				gave = true
			}
		}
	}
	return got
}

// Guards against shares that differ from max-min fairness.
func TestLevelEqualsPouring(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 200), 1, 12).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 600).Draw(t, "capacity")
		level := Level(asked, capacity)
		poured := pour(asked, capacity)
		for i, ask := range asked {
			if math.Abs(min(ask, level)-poured[i]) > 0.5 {
				t.Fatalf("workspace %d of %v gets %v, poured %v", i, asked, min(ask, level), poured[i])
			}
		}
	})
}

// Guards against counts that outlive the window or go negative.
func TestMeterForgetsAfterTheWindow(t *testing.T) {
	start := time.Unix(0, 0)
	m := NewMeter(4*time.Second, start)
	m.Ask(start, "a", 100)
	m.Receive(start.Add(time.Second), "a", 60)
	assert.Equal(t, Use{Asked: 100, Received: 60}, m.Sums(start.Add(3 * time.Second))["a"])
	assert.Equal(t, Use{Received: 60}, m.Sums(start.Add(4 * time.Second))["a"])
	assert.Empty(t, m.Sums(start.Add(20*time.Second)))
}

// One workspace asks 20 times as often as another, both beyond their share, and
// spare capacity comes in pieces. The first must not get twice what the second
// gets: what happened on the Piedmont mix with seed 66347518185.
func TestSpareCapacityGoesToTheLowestUsage(t *testing.T) {
	const nominal, request = 1600.0, 5.0
	uses := map[string]Use{}
	for i := range 14 {
		uses[string(rune('a'+i))] = Use{Asked: 20, Received: 20}
	}
	often, seldom := Use{Asked: 8000, Received: 500}, Use{Asked: 1200, Received: 500}
	for range 400 {
		uses["often"], uses["seldom"] = often, seldom
		shares := Compute(nominal, uses)
		for range 20 {
			if usage := shares.Usage(often.Received, request); usage < 1 || shares.MayExceed(usage) {
				often.Received += request
			}
		}
		if usage := shares.Usage(seldom.Received, request); usage < 1 || shares.MayExceed(usage) {
			seldom.Received += request
		}
		often.Received *= 0.99 // what leaves the window
		seldom.Received *= 0.99
	}
	assert.Less(t, often.Received, 2*seldom.Received)
}

// Guards against shares of a nominal capacity that half of the engines cannot
// give: the first comers would take all of it.
func TestCapacityFollowsWhatEnginesTake(t *testing.T) {
	uses := map[string]Use{"a": {Asked: 900, Received: 400, Turned: 100}, "b": {Asked: 400, Received: 200, Turned: 100}}
	assert.InDelta(t, 660, Capacity(1600, uses), 1)
	assert.InDelta(t, 1600, Capacity(1600, map[string]Use{"a": {Asked: 900, Received: 900}}), 1)
	assert.InDelta(t, 400, Capacity(1600, map[string]Use{"a": {Asked: 900, Received: 1, Turned: 100}}), 1)
}

// Guards against callers that come back being counted as new demand.
func TestDemandLeavesReturnsOut(t *testing.T) {
	assert.InDelta(t, 100, Use{Asked: 100, Received: 100}.demand(), 0.1)
	// Of 100 new and 100 that came back nothing was served.
	assert.InDelta(t, 100, Use{Asked: 200, Received: 0}.demand(), 0.1)
}
