package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Where a route and a workspace both name regions, only the common ones are permitted;
// without a common one none is, which must not be taken for all.
func TestPermittedRegions(t *testing.T) {
	route := func(regions ...string) *Route { return &Route{Regions: regions} }
	workspace := func(regions ...string) *Workspace { return &Workspace{Regions: regions} }
	assert.Nil(t, PermittedRegions(nil, nil))
	assert.Nil(t, PermittedRegions(route(), workspace()))
	assert.Equal(t, []string{"a"}, PermittedRegions(route("a"), workspace()))
	assert.Equal(t, []string{"a"}, PermittedRegions(nil, workspace("a")))
	assert.Equal(t, []string{"b", "c"}, PermittedRegions(route("a", "b", "c"), workspace("c", "b")))
	none := PermittedRegions(route("a"), workspace("b"))
	assert.NotNil(t, none)
	assert.Empty(t, none)
}

// Each route and workspace that no data centre can serve is found, alone or together, and
// a pair is not listed in addition to its route or workspace.
func TestRegionFaults(t *testing.T) {
	routes := []*Route{
		{Name: "any", Host: "h"}, {Name: "in-a", Host: "h", Regions: []string{"a"}}, {Name: "nowhere", Host: "g", Regions: []string{"x"}},
	}
	keys := map[string]*Workspace{
		"1": {Name: "any"}, "2": {Name: "in-b", Regions: []string{"b"}}, "3": {Name: "lost", Regions: []string{"y"}}, "4": {Name: "in-both", Regions: []string{"a", "b"}},
	}
	keys["5"] = keys["2"] // a second key must not list a fault twice
	deployed := func(region string) bool { return region == "a" || region == "b" }
	table := NewTable(1, routes, nil, keys, Limits{}, true)
	assert.True(t, table.RestrictsRegions())
	assert.Equal(t, []RegionFault{
		{Route: "nowhere", Regions: []string{"x"}}, {Workspace: "lost", Regions: []string{"y"}}, {Route: "in-a", Workspace: "in-b", Regions: []string{}},
	}, table.RegionFaults(deployed))

	table = NewTable(1, routes[:1], nil, map[string]*Workspace{"1": {Name: "any"}}, Limits{}, true)
	assert.False(t, table.RestrictsRegions())
	assert.Empty(t, table.RegionFaults(deployed))
}

// Only the restricted routes of a host count; a host that is named with another case or
// with a port must not be taken for an unrestricted one.
func TestHostRegions(t *testing.T) {
	routes := []*Route{
		{Host: "h", Prefix: "/any"}, {Host: "h", Prefix: "/a", Regions: []string{"a", "b"}}, {Host: "h", Prefix: "/bc", Regions: []string{"b", "c"}},
		{Host: "g", Prefix: "/"},
	}
	table := NewTable(1, routes, nil, nil, Limits{}, true)
	for _, host := range []string{"h", "H:8080"} {
		regions := table.HostRegions(host)
		assert.True(t, regions.Restricted)
		assert.Equal(t, []string{"b"}, regions.Common)
		assert.ElementsMatch(t, []string{"a", "b", "b", "c"}, regions.Any)
	}
	assert.False(t, table.HostRegions("g").Restricted)
	assert.False(t, table.HostRegions("").Restricted)
}
