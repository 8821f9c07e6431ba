package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// twoRegions has one data centre in each of two regions.
var twoRegions = map[string]string{"h": "here", "t": "there"}

// A request that was resolved with a new configuration, before the pools have it, was
// placed without the rule on regions.
func TestRegionsHoldBeforeThePoolsAreConfigured(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, engine := range map[string]*catalog.Engine{"plain": nil, "engine": {Slots: 8, MemoryTokens: 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			p := newPools(placement.Location{DataCentre: "h", Region: "here"}, twoRegions, budget.Limits{Window: time.Second}, 4*time.Second, now)
			service := &catalog.Service{Name: "s", Engine: engine}
			before := catalog.NewTable(1, nil, []*catalog.Service{service}, nil, catalog.Limits{TokensPerSecond: 1000}, false)
			upstreams := []catalog.Upstream{{ID: "near", DataCentre: "h", Slots: 8}, {ID: "far", DataCentre: "t", Slots: 8}}
			p.configure(now, before, func(string) []catalog.Upstream { return upstreams })
			c := &call{
				request: &http.Request{}, service: service, deadline: now.Add(time.Second),
				route: &catalog.Route{TargetLatency: time.Second, Regions: []string{"there"}}, headers: platform.CallerRequest{PromptTokens: 100},
			}
			a := p.assign(now, c)
			require.Equal(t, "far", a.Upstream.ID)
			assert.True(t, p.maySend(now, c, &a))
			c.tried = []string{"far"}
			assert.True(t, func() bool { a := p.assign(now, c); return a.Refused() }())
		})
	}
}

// confinedPools returns pools with one engine in region "here" and three in "there", and
// three workspaces: "any", "in-here", and "in-lost" with a region without engines.
func confinedPools(now time.Time) (*pools, map[string]*catalog.Workspace, *catalog.Service) {
	regions := map[string]string{"h": "here", "t": "there", "l": "lost"}
	p := newPools(placement.Location{DataCentre: "t", Region: "there"}, regions, budget.Limits{Window: time.Second}, 4*time.Second, now)
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 1, MemoryTokens: 1 << 20}}
	workspaces := map[string]*catalog.Workspace{
		"any": {Name: "any"}, "in-here": {Name: "in-here", Regions: []string{"here"}}, "in-lost": {Name: "in-lost", Regions: []string{"lost"}},
	}
	table := catalog.NewTable(1, nil, []*catalog.Service{service}, workspaces, catalog.Limits{TokensPerSecond: 1000}, true)
	var upstreams []catalog.Upstream
	for _, id := range []string{"h", "t", "t-2", "t-3"} {
		upstreams = append(upstreams, catalog.Upstream{ID: id, DataCentre: id[:1], Slots: 1})
	}
	p.configure(now, table, func(string) []catalog.Upstream { return upstreams })
	return p, workspaces, service
}

func confinedCall(service *catalog.Service, workspace *catalog.Workspace, ofRoute ...string) *call {
	return &call{
		request: &http.Request{}, service: service, workspace: workspace, route: &catalog.Route{TargetLatency: time.Second, Regions: ofRoute},
		headers: platform.CallerRequest{PromptTokens: 100},
	}
}

// A workspace that is bound to a quarter of the engines was given an equal part of all
// capacity, so that the first requests took the region, while the others lost what the
// workspace could not use.
func TestSharesFollowPermittedRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	p, _, _ := confinedPools(now)
	all := fairshare.Tokens{Requested: 16_000}
	p.setRemote(now, &fleet.Totals{WorkspaceTokens: map[string]fairshare.Tokens{"any": all, "in-here": all, "in-lost": all}}, 1)
	assert.InDelta(t, 3000, p.fillBuckets(now, "any", 0).share, 1)
	assert.InDelta(t, 1000, p.fillBuckets(now, "in-here", 0).share, 1)
	assert.Zero(t, p.fillBuckets(now, "in-lost", 0).share)
}

// What a full or lost region refuses must count for the workspace that is bound to it, and
// must not count as unmet demand or lack of capacity of one that can be served elsewhere.
func TestRefusalsForRegionsCountRight(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		workspace string
		ofRoute   []string
		reason    placement.Reason
		want      fairshare.Tokens
	}{
		"workspace, full region":               {"in-here", nil, placement.RegionsFull, fairshare.Tokens{Requested: 100, Refused: 100}},
		"workspace, lost region":               {"in-lost", nil, placement.Reason(eligibility.OutsideRegions), fairshare.Tokens{Requested: 100}},
		"route, full region":                   {"any", []string{"here"}, placement.RegionsFull, fairshare.Tokens{}},
		"route, lost region":                   {"any", []string{"lost"}, placement.Reason(eligibility.OutsideRegions), fairshare.Tokens{}},
		"route that permits the same, full":    {"in-here", []string{"here", "there"}, placement.RegionsFull, fairshare.Tokens{Requested: 100, Refused: 100}},
		"route that permits all regions, full": {"any", []string{"here", "there", "lost"}, placement.RegionsFull, fairshare.Tokens{Requested: 100, Refused: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			p, workspaces, service := confinedPools(now)
			loads := map[string]placement.Load{}
			for _, id := range []string{"h", "t", "t-2", "t-3"} {
				loads[id] = placement.Load{Upstream: id, Requests: 1}
			}
			p.setRemote(now, &fleet.Totals{Loads: loads}, 1)
			a := p.assign(now, confinedCall(service, workspaces[test.workspace], test.ofRoute...))
			assert.Equal(t, test.reason, a.Reason)
			assert.GreaterOrEqual(t, a.RetryAfter, placement.MinRetryAfter)
			assert.Equal(t, test.want, p.meter.Sum(now, test.workspace))
		})
	}
}

// Upstreams of other regions that are free must not make the retry time of a restricted
// request too short.
func TestTimeUntilFreeCountsPermittedUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	p, workspaces, service := confinedPools(now)
	c := confinedCall(service, workspaces["in-here"])
	a := p.assign(now, c)
	p.leaveAlone(now, &a, 3*time.Second)
	assert.Equal(t, 3*time.Second, p.freeIn(now, c))
	assert.Zero(t, p.freeIn(now, confinedCall(service, workspaces["any"])))
}

// A configuration in which one route excludes many workspaces must not fill the log, nor be
// reported again with each change of the upstreams.
func TestRegionFaultsAreLoggedOnce(t *testing.T) {
	routes := []*catalog.Route{{Name: "r", Host: "h", Regions: []string{"here"}}}
	keys := map[string]*catalog.Workspace{}
	for i := range maxRegionFaultLines + 5 {
		name := fmt.Sprint("w", i)
		keys[name] = &catalog.Workspace{Name: name, Regions: []string{"there"}}
	}
	var logged bytes.Buffer
	faults := &regionFaults{logger: log.New(&logged), deployed: func(string) bool { return true }}
	table := catalog.NewTable(1, routes, nil, keys, catalog.Limits{}, true)
	for range 2 {
		faults.check(table)
		assert.Equal(t, maxRegionFaultLines+1, strings.Count(logged.String(), "\n"))
		assert.EqualValues(t, maxRegionFaultLines+5, faults.count.Load())
	}
	faults.check(catalog.NewTable(2, nil, nil, nil, catalog.Limits{}, true))
	assert.Zero(t, faults.count.Load())
}
