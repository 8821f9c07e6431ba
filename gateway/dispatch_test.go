package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// The second attempt of a request has been charged to its workspace's share with
// the first one, and is not refused for it: eight failed requests of the recorded
// Piedmont day inc-0aae.
func TestSecondAttemptIsNotRefusedForTheShare(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPools(placement.Location{DataCentre: "a"}, nil, budget.Limits{Window: time.Second}, 4*time.Second, now)
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}}
	table := catalog.NewTable(1, nil, []*catalog.Service{service}, nil, catalog.Limits{TokensPerSecond: 1000}, false)
	upstreams := []catalog.Upstream{{ID: "e-1", DataCentre: "a"}, {ID: "e-2", DataCentre: "a"}}
	p.setBeliefs(table, func(string) []catalog.Upstream { return upstreams }, now)
	// The workspace has had three times its share, another one wants more.
	p.setRemote(now, &fleet.Totals{WorkspaceTokens: map[string]fairshare.Tokens{
		"w": {Requested: 9000, Granted: 6000}, "other": {Requested: 9000, Granted: 500},
	}}, 1)
	c := &call{
		request: &http.Request{}, service: service, workspace: &catalog.Workspace{Name: "w"},
		route: &catalog.Route{TargetLatency: time.Second}, facts: platform.CallerRequest{PromptTokens: 100},
	}
	require.Equal(t, placement.OverShare, p.assign(now, c).Reason)

	c.attempts, c.mayHaveRun, c.tried = 1, true, []string{"e-1"}
	before := p.meter.Sum(now, "w")
	a := p.assign(now, c)
	assert.Equal(t, "e-2", a.Upstream.ID)
	assert.Equal(t, before, p.meter.Sum(now, "w"), "not charged again")
	// The first attempt may have run, so its charge stays when the second has not.
	p.ended(now, c, &a, placement.Rejected, false)
	assert.Equal(t, before, p.meter.Sum(now, "w"), "the first attempt's charge is not given back")
}

// What a router refuses for want of processor time was asked for: another workspace
// must not take the share of its workspace for left over. FAIR on grown Solas, mix
// with seed 707289282479: 1.95 million tokens against 4.47 million.
func TestRefusedForProcessorTimeWasAskedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPools(placement.Location{DataCentre: "a"}, nil, budget.Limits{Window: time.Second}, 4*time.Second, now)
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}}
	table := catalog.NewTable(1, nil, []*catalog.Service{service}, nil, catalog.Limits{TokensPerSecond: 1000}, false)
	p.setBeliefs(table, func(string) []catalog.Upstream { return nil }, now)
	c := &call{
		request: &http.Request{}, service: service, workspace: &catalog.Workspace{Name: "refused"},
		facts: platform.CallerRequest{PromptTokens: 9000},
	}
	other := &fleet.Totals{WorkspaceTokens: map[string]fairshare.Tokens{"other": {Requested: 9000, Granted: 3500}}}
	p.setRemote(now, other, 1)
	assert.Less(t, p.usage(now, "other", 100), 1.0, "alone it may have all")

	p.refused(now, c)
	p.setRemote(now, other, 1)
	usage := p.usage(now, "other", 100)
	assert.Greater(t, usage, 1.0, "it has more than half")
	assert.False(t, p.shares.MayExceed(usage))
}
