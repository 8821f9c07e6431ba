package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// largeService has 900 upstreams in the router's region a, 590 in b and ten in c.
func largeService() (upstreams []catalog.Upstream, regions map[string]string) {
	regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	for dataCentre, count := range map[string]int{"a1": 450, "a2": 450, "b1": 590, "c1": 10} {
		for i := range count {
			upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Slots: 8, StartedMs: 1})
		}
	}
	slices.SortFunc(upstreams, func(x, y catalog.Upstream) int { return len(x.ID)*1000 - len(y.ID)*1000 + int(x.ID[0]) - int(y.ID[0]) })
	return upstreams, regions
}

// testPool is what the tests need of both kinds of pools.
type testPool interface {
	SetRules(eligibility.Chain)
	Interest(now time.Time) []string
	update(now time.Time, upstreams []catalog.Upstream)
	place(now time.Time, regions []string) Decision
}

type testEngines struct{ *EnginePool }

func (p testEngines) update(now time.Time, upstreams []catalog.Upstream) {
	p.SetUpstreams(now, upstreams, catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}, 1_000_000)
}

func (p testEngines) place(now time.Time, regions []string) Decision {
	r := EngineRequest{InputTokens: 100, TargetLatency: time.Second, Eligibility: eligibility.Request{Regions: regions}}
	d := p.Place(now, r)
	if !d.Refused() {
		p.Sent(now, r, d)
	}
	return d
}

type testPlain struct{ *PlainPool }

func (p testPlain) update(now time.Time, upstreams []catalog.Upstream) {
	p.SetUpstreams(now, upstreams)
}

func (p testPlain) place(now time.Time, regions []string) Decision {
	r := PlainRequest{Remaining: time.Second, Eligibility: eligibility.Request{Regions: regions}}
	d := p.Place(now, r)
	if !d.Refused() {
		p.Sent(now, r, d.Upstream)
	}
	return d
}

// forEachLargePool runs a test with both kinds of pools of a large service.
func forEachLargePool(t *testing.T, test func(t *testing.T, p testPool, now time.Time, upstreams []catalog.Upstream)) {
	upstreams, regions := largeService()
	now, at := time.Unix(1000, 0), Location{DataCentre: "a1", Region: "a"}
	for name, p := range map[string]testPool{
		"engines": testEngines{NewEnginePool(DefaultEnginePolicy(), at, regions, 1)}, "plain": testPlain{NewPlainPool(DefaultPlainPolicy(), at, regions, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			p.SetRules(eligibility.Chain{eligibility.Regions{}})
			p.update(now, upstreams)
			test(t, p, now, upstreams)
		})
	}
}

// Of a service with more than maxCandidates upstreams only some are considered for each
// request. A restricted request was refused if none of them was in its regions, although
// others were free.
func TestRestrictedRequestsFindFarUpstreams(t *testing.T) {
	forEachLargePool(t, func(t *testing.T, p testPool, now time.Time, _ []catalog.Upstream) {
		used := map[string]bool{}
		for range 60 {
			d := p.place(now, []string{"c"})
			require.False(t, d.Refused(), d.Reason)
			require.Equal(t, "c1", d.Upstream.DataCentre)
			used[d.Upstream.ID] = true
		}
		assert.Len(t, used, 10, "all upstreams of the region share its requests")
		assert.Equal(t, "b1", p.place(now, []string{"b"}).Upstream.DataCentre)
		assert.Equal(t, Reason(eligibility.OutsideRegions), p.place(now, []string{"d"}).Reason)
	})
}

// The loads of far upstreams must be announced as needed while restricted requests go
// there, and only then, as each router's interest costs its relay messages.
func TestInterestHasPermittedUpstreamsWhileNeeded(t *testing.T) {
	forEachLargePool(t, func(t *testing.T, p testPool, now time.Time, upstreams []catalog.Upstream) {
		inC := func(at time.Time) int {
			interest := p.Interest(at)
			assert.Equal(t, len(interest), len(slices.Compact(slices.Sorted(slices.Values(interest)))), "no upstream twice")
			count := 0
			for _, id := range interest {
				if id[0] == 'c' {
					count++
				}
			}
			return count
		}
		before := p.Interest(now)
		assert.Len(t, before, 96)
		assert.Less(t, inC(now), 10)
		p.place(now, []string{"c"})
		assert.Equal(t, 10, inC(now))
		p.update(now, upstreams[:len(upstreams)-1])
		assert.GreaterOrEqual(t, inC(now.Add(permittedTTL-1)), 9, "also after the upstreams have changed")
		p.update(now, upstreams)
		assert.ElementsMatch(t, before, p.Interest(now.Add(permittedTTL)))
	})
}

// A removed upstream must not stay a candidate for restricted requests.
func TestPermittedUpstreamsFollowTheList(t *testing.T) {
	forEachLargePool(t, func(t *testing.T, p testPool, now time.Time, upstreams []catalog.Upstream) {
		require.False(t, p.place(now, []string{"c"}).Refused())
		p.update(now, slices.DeleteFunc(slices.Clone(upstreams), func(u catalog.Upstream) bool { return u.DataCentre == "c1" }))
		assert.True(t, p.place(now, []string{"c"}).Refused())
		p.update(now, upstreams)
		assert.False(t, p.place(now, []string{"c"}).Refused())
	})
}
