package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// The engines of an evacuated data centre end sooner or later. Shares must not grow then
// as if the remaining engines had their capacity.
func TestEvacuatedEnginesDoNotCountAsCapacity(t *testing.T) {
	var c engineCapacity
	assert.Equal(t, 1.0, c.available(), "no engines are known yet")
	c.list(map[string]int{"a": 10, "b": 30})
	c.evacuate([]string{"a"})
	assert.Equal(t, 0.75, c.available())
	c.list(map[string]int{"b": 30})
	assert.Equal(t, 0.75, c.available(), "evacuated engines have ended")
	c.evacuate([]string{"a", "b"})
	assert.Zero(t, c.available())
	c.evacuate([]string{"b"})
	assert.Zero(t, c.available(), "no engine of a is listed")
	c.list(map[string]int{"a": 10, "b": 30})
	assert.Equal(t, 0.25, c.available())
	c.evacuate(nil)
	assert.Equal(t, 1.0, c.available())
}

// Shares must shrink with an evacuation itself, not with the refusals that follow it. If
// all data centres are evacuated, that must be the reason of a refusal, not the share.
func TestSharesShrinkWithAnEvacuation(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPools(placement.Location{DataCentre: "a"}, map[string]string{"a": "r", "b": "r"}, budget.Limits{Window: time.Second}, 4*time.Second, now)
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, MemoryTokens: 1 << 20}}
	table := catalog.NewTable(1, nil, []*catalog.Service{service}, nil, catalog.Limits{TokensPerSecond: 1000}, false)
	p.configure(now, table, func(string) []catalog.Upstream {
		return []catalog.Upstream{{ID: "e-1", DataCentre: "a"}, {ID: "e-2", DataCentre: "b"}}
	})
	p.setRemote(now, &fleet.Totals{WorkspaceTokens: map[string]fairshare.Tokens{
		"w": {Requested: 9000, Granted: 3000}, "other": {Requested: 9000, Granted: 500},
	}}, 1)
	assert.Equal(t, 2000.0, p.shares.MaxMinShare)
	p.setEvacuated(now, []string{"a"})
	assert.Equal(t, 1000.0, p.shares.MaxMinShare)
	p.setEvacuated(now, []string{"a", "b"})
	c := &call{
		request: &http.Request{}, service: service, workspace: &catalog.Workspace{Name: "w"},
		route: &catalog.Route{TargetLatency: time.Second}, headers: platform.CallerRequest{PromptTokens: 100},
	}
	assert.Equal(t, placement.Reason(eligibility.InEvacuated), p.assign(now, c).Reason)
	p.setEvacuated(now, nil)
	assert.Equal(t, 2000.0, p.shares.MaxMinShare)
}
