package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fillEqually is the reference implementation: it hands out the capacity in small
// steps to all workspaces with unmet demand.
func fillEqually(demands []float64, capacity float64) []float64 {
	const step = 0.25
	got := make([]float64, len(demands))
	for left, changed := capacity, true; changed; {
		changed = false
		for i, demand := range demands {
			part := min(step, demand-got[i], left)
			if part > 0 {
				got[i] += part
				left -= part
				changed = true
			}
		}
	}
	return got
}

// MaxMinShare must agree with the reference implementation of max-min fairness.
func TestMaxMinShareEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 200), 1, 12).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 600).Draw(t, "capacity")
		share := MaxMinShare(demands, capacity)
		want := fillEqually(demands, capacity)
		for i, demand := range demands {
			if math.Abs(min(demand, share)-want[i]) > 0.5 {
				t.Fatalf("workspace %d of %v gets %v, expected %v", i, demands, min(demand, share), want[i])
			}
		}
	})
}

// Tokens must leave the window in time, and sums must not become negative.
func TestTokensLeaveTheWindow(t *testing.T) {
	start := time.Unix(0, 0)
	m := NewMeter(4*time.Second, start)
	m.AddRequested(start, "a", 100)
	m.AddGranted(start.Add(time.Second), "a", 60)
	assert.Equal(t, Tokens{Requested: 100, Granted: 60}, m.Sums(start.Add(3 * time.Second))["a"])
	assert.Equal(t, Tokens{Granted: 60}, m.Sums(start.Add(4 * time.Second))["a"])
	assert.Empty(t, m.Sums(start.Add(20*time.Second)))
}

// Two workspaces are beyond their shares and one of them sends 20 times as often.
// It must not get twice as much of the spare capacity, as it did on the Piedmont
// mix with seed 66347518185.
func TestSpareCapacityGoesToTheLowestUsage(t *testing.T) {
	const nominal, request = 1600.0, 5.0
	byWorkspace := map[string]Tokens{}
	for i := range 14 {
		byWorkspace[string(rune('a'+i))] = Tokens{Requested: 20, Granted: 20}
	}
	frequent, rare := Tokens{Requested: 8000, Granted: 500}, Tokens{Requested: 1200, Granted: 500}
	for range 400 {
		byWorkspace["frequent"], byWorkspace["rare"] = frequent, rare
		shares := Compute(nominal, byWorkspace)
		for range 20 {
			if usage := shares.Usage(frequent.Granted, request); usage < 1 || shares.MayExceed(usage) {
				frequent.Granted += request
			}
		}
		if usage := shares.Usage(rare.Granted, request); usage < 1 || shares.MayExceed(usage) {
			rare.Granted += request
		}
		frequent.Granted *= 0.99 // tokens that leave the window
		rare.Granted *= 0.99
	}
	assert.Less(t, frequent.Granted, 2*rare.Granted)
}

// When half of the engines are lost, shares must follow the real capacity. With
// shares of the nominal one, the first requests to arrive took all of what was left.
func TestCapacityFollowsGrantedTokens(t *testing.T) {
	byWorkspace := map[string]Tokens{"a": {Requested: 900, Granted: 400, Refused: 100}, "b": {Requested: 400, Granted: 200, Refused: 100}}
	assert.InDelta(t, 660, Capacity(1600, byWorkspace), 1)
	assert.InDelta(t, 1600, Capacity(1600, map[string]Tokens{"a": {Requested: 900, Granted: 900}}), 1)
	assert.InDelta(t, 400, Capacity(1600, map[string]Tokens{"a": {Requested: 900, Granted: 1, Refused: 100}}), 1)
}

// Retries of refused requests must not count as new demand.
func TestDemandExcludesRetries(t *testing.T) {
	assert.InDelta(t, 100, Tokens{Requested: 100, Granted: 100}.demand(), 0.1)
	// 100 new requests and 100 retries, none of them served.
	assert.InDelta(t, 100, Tokens{Requested: 200, Granted: 0}.demand(), 0.1)
}
