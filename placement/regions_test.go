package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// Whatever the upstreams, their failures and the order of events, no request may be placed
// or sent outside its regions.
func TestNoRequestLeavesItsRegions(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	rapid.Check(t, func(t *rapid.T) {
		now, at := time.Unix(1000, 0), Location{DataCentre: "a1", Region: "a"}
		pools := []testPool{
			testEngines{NewEnginePool(DefaultEnginePolicy(), at, regions, 1)}, testPlain{NewPlainPool(DefaultPlainPolicy(), at, regions, 1)},
		}
		drawUpstreams := func() []catalog.Upstream {
			var upstreams []catalog.Upstream
			for _, dataCentre := range []string{"a1", "a2", "b1", "c1", "unknown"} {
				for i := range rapid.SampledFrom([]int{0, 1, 3, 60}).Draw(t, "upstreams in "+dataCentre) {
					upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint(dataCentre, "-", i), DataCentre: dataCentre, Slots: 8, StartedMs: 1})
				}
			}
			return upstreams
		}
		for _, p := range pools {
			p.SetRules(eligibility.Chain{eligibility.Regions{}})
			p.update(now, drawUpstreams())
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			p := rapid.SampledFrom(pools).Draw(t, "pool")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				p.update(now, drawUpstreams())
			case 1:
				_ = p.Interest(now)
			default:
				permitted := rapid.SampledFrom([][]string{nil, {}, {"a"}, {"b"}, {"c"}, {"b", "c"}, {"c", "b"}, {"d"}, {""}}).Draw(t, "regions")
				d := p.place(now, permitted)
				if !d.Refused() && permitted != nil && !slices.Contains(permitted, regions[d.Upstream.DataCentre]) {
					t.Fatalf("%v was placed in %s", permitted, d.Upstream.DataCentre)
				}
			}
		}
	})
}

// Routers in different regions must send a restricted prompt to the same engine, also if
// its home among all engines is not permitted.
func TestRestrictedPromptsHaveOneHome(t *testing.T) {
	now := time.Unix(1000, 0)
	upstreams, regions := largeService()
	var routers []*EnginePool
	for i, at := range []Location{{"a1", "a"}, {"b1", "b"}, {"c1", "c"}} {
		p := NewEnginePool(DefaultEnginePolicy(), at, regions, uint64(i))
		p.SetRules(eligibility.Chain{eligibility.Regions{}})
		p.SetUpstreams(now, upstreams, catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}, 1_000_000)
		routers = append(routers, p)
	}
	for prompt := range 20 {
		r := EngineRequest{
			Parts:       []Part{{ID: fmt.Sprint("shared", prompt), Tokens: 4000}, {ID: "own", Tokens: 10}},
			InputTokens: 4010, TargetLatency: time.Second, Eligibility: eligibility.Request{Regions: []string{"b", "c"}},
		}
		first := routers[0].Place(now, r)
		require.False(t, first.Refused())
		assert.Zero(t, first.Rank)
		assert.Contains(t, []string{"b1", "c1"}, first.Upstream.DataCentre)
		for _, p := range routers[1:] {
			assert.Equal(t, first.Upstream.ID, p.Place(now, r).Upstream.ID)
		}
	}
}

// If the upstreams of all permitted regions are evacuated, the refusal must say so, also
// for a large service, where evacuated upstreams are not candidates.
func TestEvacuatedPermittedRegionGivesItsReason(t *testing.T) {
	forEachLargePool(t, func(t *testing.T, p testPool, now time.Time, upstreams []catalog.Upstream) {
		evacuated := &eligibility.Evacuated{}
		evacuated.Set([]string{"b1", "c1"})
		p.SetRules(eligibility.Chain{eligibility.Regions{}, evacuated})
		p.update(now, upstreams)
		for _, permitted := range [][]string{{"b"}, {"c"}, {"b", "c"}} {
			assert.Equal(t, Reason(eligibility.InEvacuated), p.place(now, permitted).Reason)
		}
		assert.False(t, p.place(now, []string{"a", "b"}).Refused())
	})
}
