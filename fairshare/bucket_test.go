package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A bucket must not grant more than its rate over any time, but for one request and
// what it may save up.
func TestBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(10, 5000).Draw(t, "rate")
		cost := rapid.Float64Range(1, 20_000).Draw(t, "cost")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 200).Draw(t, "gaps in ms")
		start := time.Unix(1000, 0)
		now, granted := start, 0.0
		b := NewBuckets()
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if b.Fill(now, "w", rate) {
				b.Take("w", cost)
				granted += cost
			}
		}
		if limit := rate*now.Sub(start).Seconds() + cost + rate*maxBurst.Seconds(); granted > limit+1e-6*limit {
			t.Fatalf("%v tokens granted, limit %v", granted, limit)
		}
	})
}

// Tokens that were saved up at a high rate must not be granted after it fell: at
// the start a router knows no others and its part is the whole share.
func TestSavedTokensFollowTheRate(t *testing.T) {
	b, now := NewBuckets(), time.Unix(1000, 0)
	b.Fill(now, "w", 1000)
	now = now.Add(time.Minute)
	assert.True(t, b.Fill(now, "w", 1000))
	now = now.Add(10 * time.Millisecond)
	assert.True(t, b.Fill(now, "w", 10))
	b.Take("w", 11)
	assert.False(t, b.Fill(now, "w", 10))
}

// The rates of all routers together must be the share, however the requests are
// spread over them.
func TestRatesAddUpToTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 400).Draw(t, "requested by router")
		var total Tokens
		for _, tokens := range requested {
			total.Requested += tokens
		}
		shares := Shares{MaxMinShare: 4000, LowestUsage: 1}
		total.Granted = shares.MaxMinShare
		sumShare, sumSpare := 0.0, 0.0
		for _, tokens := range requested {
			share, spare := shares.Rates(Tokens{Requested: tokens}, total, 4*time.Second)
			sumShare += share
			sumSpare += spare
		}
		if total.Requested == 0 {
			assert.Zero(t, sumShare)
			return
		}
		assert.InDelta(t, 1000, sumShare, 0.01)
		assert.InDelta(t, spareSlack*1000, sumSpare, 0.01)
	})
}

// A workspace that was granted too much must be slowed down, and one that was
// granted too little sped up, within bounds.
func TestRatesAreCorrected(t *testing.T) {
	shares := Shares{MaxMinShare: 4000, LowestUsage: math.Inf(1)}
	for granted, want := range map[float64]float64{0: 1500, 2000: 1500, 4000: 1000, 5000: 750, 40_000: 500} {
		rate, spare := shares.Rates(Tokens{Requested: 1}, Tokens{Requested: 1, Granted: granted}, 4*time.Second)
		assert.InDelta(t, want, rate, 0.01, "granted %v", granted)
		assert.InDelta(t, 1000*maxSpare, spare, 0.01, "no other workspace has unmet demand")
	}
	rate, spare := Shares{}.Rates(Tokens{Requested: 1}, Tokens{Requested: 1}, 4*time.Second)
	assert.Zero(t, rate)
	assert.Zero(t, spare)
}

// Buckets of workspaces that send nothing must not stay in memory.
func TestIdleBucketsAreDropped(t *testing.T) {
	b, now := NewBuckets(), time.Unix(1000, 0)
	b.Fill(now, "idle", 1)
	now = now.Add(bucketIdleTimeout + time.Second)
	b.Fill(now, "used", 1)
	b.DropIdle(now)
	assert.Len(t, b.byWorkspace, 1)
	assert.Contains(t, b.byWorkspace, "used")
}

// The estimate of unreported grants must cover the age of the reports and follow
// the parts of the requests.
func TestUnreportedGrants(t *testing.T) {
	start := time.Unix(1000, 0)
	m := NewMeter(4*time.Second, start)
	m.AddGranted(start, "w", 100)
	now := start.Add(2 * time.Second)
	m.AddGranted(now, "w", 10)
	now = now.Add(200 * time.Millisecond)
	assert.InDelta(t, 10, m.RecentlyGranted(now, "w", 300*time.Millisecond), 0.01)
	assert.InDelta(t, 110, m.RecentlyGranted(now, "w", 3*time.Second), 0.01)
	assert.Zero(t, m.RecentlyGranted(now, "other", time.Second))
	assert.InDelta(t, 30, Unreported(10, Tokens{Requested: 5}, Tokens{Requested: 15}), 0.01)
	assert.Zero(t, Unreported(10, Tokens{}, Tokens{Requested: 15}), "no requests of its own")
}
