package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
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
