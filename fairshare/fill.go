package fairshare

import (
	"cmp"
	"math/bits"
	"slices"
)

// RegionSet is a set of regions, one bit for each.
type RegionSet uint64

// within reports whether all regions of s are in other.
func (s RegionSet) within(other RegionSet) bool { return s&^other == 0 }

// Group holds the demands of the workspaces that may use the same regions.
type Group struct {
	Regions RegionSet
	Demands []float64
}

// maxEnumerated is the number of regions up to which all sets of regions are examined,
// 2^maxEnumerated at most. With more of them only the sets that a group names and the set
// of all are.
const maxEnumerated = 8

// Fill returns the most that one workspace of each group may have, by progressive
// filling: what all workspaces have rises together, and that of a workspace stops when its
// demand is met or when a set of regions that confines it is full. capacities holds the
// capacity of each region, total that of all, which may be lower than their sum. A group
// that no set stops has the whole capacity of its regions.
//
// A set of regions confines a group that may use no others; what these groups have
// together is at most the capacity of the set. With a single group of all regions the
// result is MaxMinShare.
func Fill(capacities []float64, total float64, groups []Group) []float64 {
	f := newFilling(capacities, total, groups)
	for f.stopNext() {
	}
	shares := make([]float64, len(groups))
	for i, g := range groups {
		shares[i] = f.levels[i]
		if !f.stopped[i] {
			shares[i] = f.capacity(g.Regions)
		}
	}
	return shares
}

// filling is the state of Fill.
type filling struct {
	capacities []float64
	total      float64
	all        RegionSet
	groups     []Group
	sets       []RegionSet
	sorted     []groupDemand
	stopped    []bool    // by group
	levels     []float64 // by group; what its workspaces have at most, if it has stopped
	taken      []float64 // by group; what its workspaces have together, if it has stopped
}

// groupDemand is the demand of one workspace.
type groupDemand struct {
	group  int
	demand float64
}

func newFilling(capacities []float64, total float64, groups []Group) *filling {
	f := &filling{
		capacities: capacities, total: total, all: RegionSet(1)<<len(capacities) - 1, groups: groups,
		stopped: make([]bool, len(groups)), levels: make([]float64, len(groups)), taken: make([]float64, len(groups)),
	}
	for i, g := range groups {
		for _, demand := range g.Demands {
			f.sorted = append(f.sorted, groupDemand{i, demand})
		}
	}
	slices.SortFunc(f.sorted, func(a, b groupDemand) int { return cmp.Compare(a.demand, b.demand) })
	f.sets = f.relevantSets()
	return f
}

// relevantSets returns the sets of regions that may become full.
func (f *filling) relevantSets() []RegionSet {
	sets := []RegionSet{f.all}
	if len(f.capacities) > maxEnumerated {
		for _, g := range f.groups {
			sets = append(sets, g.Regions)
		}
		return sets
	}
	for set := range f.all {
		if slices.ContainsFunc(f.groups, func(g Group) bool { return g.Regions.within(set) }) {
			sets = append(sets, set)
		}
	}
	return sets
}

// capacity returns the capacity of a set of regions.
func (f *filling) capacity(set RegionSet) float64 {
	if set == f.all {
		return f.total
	}
	sum := 0.0
	for left := set; left != 0; left &= left - 1 {
		sum += f.capacities[bits.TrailingZeros64(uint64(left))]
	}
	return min(sum, f.total)
}

// stopNext stops the groups within the set of regions that is the next to become full. It
// returns false if none does.
func (f *filling) stopNext() bool {
	var next RegionSet
	var lowest float64
	found := false
	for _, set := range f.sets {
		if level, full := f.levelOf(set); full && (!found || level < lowest) {
			next, lowest, found = set, level, true
		}
	}
	for i, g := range f.groups {
		if found && !f.stopped[i] && g.Regions.within(next) {
			f.stop(i, lowest)
		}
	}
	return found
}

// stop records that the workspaces of a group have at most level each.
func (f *filling) stop(group int, level float64) {
	f.stopped[group], f.levels[group] = true, level
	for _, demand := range f.groups[group].Demands {
		f.taken[group] += min(demand, level)
	}
}

// levelOf returns what each workspace has at most when a set of regions becomes full, and
// false if the demands that it confines do not fill it.
func (f *filling) levelOf(set RegionSet) (level float64, full bool) {
	left, count := f.capacity(set), 0
	for i, g := range f.groups {
		switch {
		case !g.Regions.within(set):
		case f.stopped[i]:
			left -= f.taken[i]
		default:
			count += len(g.Demands)
		}
	}
	left = max(left, 0) // below 0 only by rounding
	for _, d := range f.sorted {
		if f.stopped[d.group] || !f.groups[d.group].Regions.within(set) {
			continue
		}
		share := left / float64(count)
		if d.demand > share {
			return share, true
		}
		left -= d.demand
		count--
	}
	return 0, false
}
