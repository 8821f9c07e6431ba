package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// evacuationRegions has three data centres in two regions.
var evacuationRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// An evacuation must stop requests at once: new ones, those that were assigned before, and
// those to an instance whose entry was removed meanwhile.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlainPool(DefaultPlainPolicy(), Location{DataCentre: "a1", Region: "a"}, evacuationRegions, 1)
	var evacuated eligibility.Evacuated
	p.SetRules(eligibility.Chain{eligibility.Regions{}, &evacuated})
	near, far := catalog.Upstream{ID: "near", DataCentre: "a1", Slots: 6}, catalog.Upstream{ID: "far", DataCentre: "b1", Slots: 6}
	p.SetUpstreams(now, []catalog.Upstream{near, far})
	r := PlainRequest{Remaining: time.Second}
	ticket := p.Sent(now, r, p.Place(now, r).Upstream)
	require.Equal(t, "near", ticket.Upstream.ID)

	evacuated.Set([]string{"a1"})
	assert.False(t, p.MaySend(now, ticket), "assigned before")
	assert.Equal(t, "far", p.Place(now, r).Upstream.ID)
	p.SetUpstreams(now, []catalog.Upstream{far})
	assert.False(t, p.MaySend(now, ticket), "no longer listed")
	p.SetUpstreams(now, []catalog.Upstream{near, far})

	inA := PlainRequest{Remaining: time.Second, Eligibility: eligibility.Request{Regions: []string{"a"}}}
	assert.Equal(t, Reason(eligibility.InEvacuated), p.Place(now, inA).Reason, "all permitted regions are evacuated")
	evacuated.Set(nil)
	assert.Equal(t, "near", p.Place(now, inA).Upstream.ID)
	assert.True(t, p.MaySend(now, ticket))
}

// Routers everywhere must send the same prompt to the same engine elsewhere, although
// they may learn of an evacuation at different times and consider different engines.
func TestHomesSkipEvacuatedDataCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	var engines []catalog.Upstream
	for i := range 3 * maxCandidates {
		engines = append(engines, catalog.Upstream{ID: fmt.Sprint("e-", i), DataCentre: [...]string{"a1", "a2", "b1"}[i%3], Slots: 8})
	}
	var pools []*EnginePool
	var evacuated eligibility.Evacuated
	for seed, location := range []Location{{DataCentre: "a1", Region: "a"}, {DataCentre: "b1", Region: "b"}} {
		p := NewEnginePool(DefaultEnginePolicy(), location, evacuationRegions, uint64(seed))
		p.SetRules(eligibility.Chain{eligibility.Regions{}, &evacuated})
		p.SetUpstreams(now, engines, catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}, 1e6)
		pools = append(pools, p)
	}
	evacuated.Set([]string{"a1"})
	for _, p := range pools {
		p.RulesChanged(now)
		assert.Len(t, p.near, nearbyShares[0]+nearbyShares[1]+nearbyShares[2])
	}
	for prompt := range 50 {
		r := EngineRequest{
			Parts: []Part{{ID: fmt.Sprint("p-", prompt), Tokens: 1000}, {ID: "last", Tokens: 100}}, InputTokens: 1100, OutputTokens: 10,
			TargetLatency: 10 * time.Second,
		}
		first, second := pools[0].Place(now, r), pools[1].Place(now, r)
		require.False(t, first.Refused())
		assert.Equal(t, first.Upstream.ID, second.Upstream.ID, "prompt %d", prompt)
		assert.NotEqual(t, "a1", first.Upstream.DataCentre)
		assert.Zero(t, first.Rank)
	}
}
