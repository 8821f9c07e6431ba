package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
)

// confinedSim returns a simulation in which smallEngines of the engines are in a region of
// their own, "small", to which the workspace "bound", or the route that it uses, is
// confined. Half of the routers are in each region.
func confinedSim(seed uint64, routers, smallEngines int, byRoute bool) *shareSim {
	s := newShareSim(seed, 0, 600*time.Millisecond, 0)
	regions := map[string]string{"a": "large", "b": "small"}
	bound, route := &catalog.Workspace{Name: "bound"}, *simRoute
	if byRoute {
		route.Regions = []string{"small"}
	} else {
		bound.Regions = []string{"small"}
	}
	s.workspaces["bound"], s.granted["bound"], s.routes = bound, nil, map[string]*catalog.Route{"bound": &route}
	table := catalog.NewTable(1, nil, []*catalog.Service{simService}, s.workspaces, catalog.Limits{TokensPerSecond: simCapacity}, false)
	var upstreams []catalog.Upstream
	for i := range simEngines {
		dataCentre := "a"
		if i < smallEngines {
			dataCentre = "b"
		}
		upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint("e", i), DataCentre: dataCentre})
	}
	for i := range routers {
		at := placement.Location{DataCentre: "a", Region: "large"}
		if i%2 == 1 {
			at = placement.Location{DataCentre: "b", Region: "small"}
		}
		p := newPools(at, regions, budget.Limits{Window: time.Second}, simWindow, s.now.Add(time.Duration(i)))
		p.configure(time.Now(), table, func(string) []catalog.Upstream { return upstreams })
		s.pools = append(s.pools, p)
	}
	return s
}

// rate returns what a workspace got after warmUp, in tokens per ms.
func (s *shareSim) rate(workspace string) float64 {
	begin, sum := int(warmUp/fleet.ReportInterval), 0.0
	for _, tokens := range s.granted[workspace][begin:] {
		sum += tokens
	}
	return sum / float64(fleet.ReportInterval.Milliseconds()) / float64(len(s.reports)-begin)
}

// A workspace that is bound to an eighth of the engines must get about what they can do,
// and the others equal parts of the rest, whether the workspace or its route names the
// region. With shares of all capacity 0.7 of it was used.
func TestConfinedWorkspaceInAFleet(t *testing.T) {
	const smallEngines, capacityOfSmall = 2, simCapacity / 1000 * 2 / simEngines
	for _, byRoute := range []bool{false, true} {
		for seed := range uint64(2) {
			s := confinedSim(seed, 12, smallEngines, byRoute)
			s.run([]shareLoad{
				{workspace: "bound", tokensPerMs: 900, routers: 12}, {workspace: "wide", tokensPerMs: 900, routers: 12},
				{workspace: "few", tokensPerMs: 600, routers: 4}, {workspace: "light", tokensPerMs: 100, routers: 12},
			}, 20*time.Second)
			ratio, used, bound := s.serviceRatio("wide", "few"), s.used(), s.rate("bound")
			t.Logf("by route %v, seed %d: bound %.0f, wide %.0f, few %.0f, light %.0f tokens a ms, ratio %.2f, used %.2f", byRoute, seed, bound, s.rate("wide"), s.rate("few"), s.rate("light"), ratio, used)
			assert.LessOrEqual(t, ratio, maxServiceRatio)
			assert.GreaterOrEqual(t, used, 0.85)
			assert.InDelta(t, capacityOfSmall, bound, 0.25*capacityOfSmall)
			assert.InDelta(t, 100, s.rate("light"), 15)
		}
	}
}
