package fairshare

import (
	"maps"
	"math"
	"slices"
)

// Confinement says which part of the capacity each workspace can use.
type Confinement struct {
	// Parts holds the part of the capacity in each region.
	Parts map[string]float64
	// Regions holds the regions that workspaces may use; those that are missing may use
	// all.
	Regions map[string][]string
}

// Confined is the result of ComputeConfined.
type Confined struct {
	// Any are the shares of workspaces that may use all regions.
	Any Shares
	// ByWorkspace are those of the workspaces that are confined.
	ByWorkspace map[string]Shares
}

// Of returns the shares of a workspace.
func (c Confined) Of(workspace string) Shares {
	if shares, confined := c.ByWorkspace[workspace]; confined {
		return shares
	}
	return c.Any
}

// ComputeConfined returns the shares of a nominal capacity within the window if some
// workspaces may use only some of at most 64 regions. The share of a workspace is 0 if
// none of its regions has capacity.
//
// The real capacity is estimated from the refusals of workspaces that may use all
// regions: one that is confined may be refused while other regions are idle.
func ComputeConfined(nominal float64, byWorkspace map[string]Tokens, c Confinement) Confined {
	if len(c.Regions) == 0 {
		return Confined{Any: Compute(nominal, byWorkspace)}
	}
	g := newGrouping(c)
	tokens := make(map[string]Tokens, len(byWorkspace))
	for workspace, t := range byWorkspace {
		group := g.of(workspace)
		g.groups[group].Demands = append(g.groups[group].Demands, t.demand())
		if group != unconfined {
			t.Refused = 0
		}
		tokens[workspace] = t
	}
	capacities := make([]float64, len(g.regions))
	for i, region := range g.regions {
		capacities[i] = nominal * c.Parts[region]
	}
	shares := make([]Shares, len(g.groups))
	for i, level := range Fill(capacities, Capacity(nominal, tokens), g.groups) {
		shares[i] = Shares{MaxMinShare: level, LowestUsage: math.Inf(1)}
	}
	g.lowestUsages(shares, byWorkspace)
	result := Confined{Any: shares[unconfined], ByWorkspace: make(map[string]Shares, len(c.Regions))}
	for workspace := range c.Regions {
		result.ByWorkspace[workspace] = shares[g.of(workspace)]
	}
	return result
}

// unconfined is the index of the group of the workspaces that may use all regions.
const unconfined = 0

// grouping divides the workspaces into groups by the regions that they may use.
type grouping struct {
	regions []string // with a part of the capacity, by bit
	groups  []Group
	byName  map[string]int // index of the group of each workspace that names regions
}

// newGrouping returns the groups of all workspaces, without demands.
func newGrouping(c Confinement) *grouping {
	g := &grouping{regions: slices.Sorted(maps.Keys(c.Parts)), byName: make(map[string]int, len(c.Regions))}
	all := RegionSet(1)<<len(g.regions) - 1
	g.groups = []Group{{Regions: all}}
	bySet := map[RegionSet]int{all: unconfined}
	for workspace, regions := range c.Regions {
		set := regionSet(g.regions, regions)
		group, known := bySet[set]
		if !known {
			group = len(g.groups)
			bySet[set] = group
			g.groups = append(g.groups, Group{Regions: set})
		}
		g.byName[workspace] = group
	}
	return g
}

// of returns the index of the group of a workspace.
func (g *grouping) of(workspace string) int { return g.byName[workspace] }

// lowestUsages sets the lowest usage in the shares of each group. A workspace with unmet
// demand counts for the groups that use none but its own regions, so that no spare
// capacity is kept for it that it cannot use.
func (g *grouping) lowestUsages(shares []Shares, byWorkspace map[string]Tokens) {
	for workspace, t := range byWorkspace {
		own := g.of(workspace)
		if t.Requested-t.Granted <= unmetRatio*t.Requested || shares[own].MaxMinShare <= 0 {
			continue
		}
		usage := shares[own].Usage(t.Granted, 0)
		for i := range g.groups {
			if g.groups[i].Regions.within(g.groups[own].Regions) {
				shares[i].LowestUsage = min(shares[i].LowestUsage, usage)
			}
		}
	}
}

// regionSet returns the set of regions; names holds the name of each bit.
func regionSet(names, regions []string) RegionSet {
	var set RegionSet
	for i, name := range names {
		if slices.Contains(regions, name) {
			set |= 1 << i
		}
	}
	return set
}
