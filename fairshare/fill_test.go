package fairshare

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// unitFlow is the reference implementation for confined workspaces. It hands out the
// capacity one unit at a time, in turn, and moves earlier units to other regions to make
// room, by augmenting paths.
type unitFlow struct {
	free  []int   // units left in each region
	given [][]int // by workspace and region
	may   func(w, r int) bool
	total int // units left in all regions
}

// add gives one more unit to a workspace, and returns false if no region has room.
func (f *unitFlow) add(w int) bool {
	if f.total <= 0 || !f.place(w, make([]bool, len(f.free))) {
		return false
	}
	f.total--
	return true
}

// place puts one unit of a workspace into a region that was not visited.
func (f *unitFlow) place(w int, visited []bool) bool {
	for r := range f.free {
		if visited[r] || !f.may(w, r) {
			continue
		}
		visited[r] = true
		if f.free[r] > 0 {
			f.free[r]--
			f.given[w][r]++
			return true
		}
		for other := range f.given {
			if f.given[other][r] > 0 && f.place(other, visited) {
				f.given[other][r]--
				f.given[w][r]++
				return true
			}
		}
	}
	return false
}

// fillByFlow returns what each workspace gets.
func fillByFlow(capacities []int, total int, sets []RegionSet, demands []int) []int {
	f := &unitFlow{free: append([]int{}, capacities...), total: total, given: make([][]int, len(sets))}
	f.may = func(w, r int) bool { return sets[w]&(1<<r) != 0 }
	for w := range f.given {
		f.given[w] = make([]int, len(capacities))
	}
	got := make([]int, len(sets))
	for done := make([]bool, len(sets)); ; {
		progress := false
		for w := range got {
			if done[w] || got[w] == demands[w] {
				continue
			}
			if !f.add(w) {
				done[w] = true
				continue
			}
			got[w]++
			progress = true
		}
		if !progress {
			return got
		}
	}
}

// Confined workspaces must get what the reference gives them; a share that is too large
// lets the first requests take the region, one too small leaves it idle.
func TestFillEqualsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.IntRange(0, 120), 1, 3).Draw(t, "capacities")
		sum := 0
		for _, c := range capacities {
			sum += c
		}
		total := rapid.IntRange(sum/2, sum).Draw(t, "total")
		count := rapid.IntRange(1, 8).Draw(t, "workspaces")
		sets, demands := make([]RegionSet, count), make([]int, count)
		var groups []Group
		for w := range count {
			sets[w] = RegionSet(rapid.IntRange(0, 1<<len(capacities)-1).Draw(t, "set"))
			demands[w] = rapid.IntRange(0, 150).Draw(t, "demand")
			groups = append(groups, Group{Regions: sets[w], Demands: []float64{float64(demands[w])}})
		}
		real := make([]float64, len(capacities))
		for i, c := range capacities {
			real[i] = float64(c)
		}
		shares := Fill(real, float64(total), groups)
		for w, want := range fillByFlow(capacities, total, sets, demands) {
			if got := min(float64(demands[w]), shares[w]); math.Abs(got-float64(want)) > 1+1e-6 {
				t.Fatalf("workspace %d of sets %v, demands %v gets %v, expected %d", w, sets, demands, got, want)
			}
		}
	})
}

// Without restrictions the shares must be those of MaxMinShare, whatever the regions.
func TestFillWithoutRestrictionsEqualsMaxMinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 200), 1, 40).Draw(t, "demands")
		total := rapid.Float64Range(1, 3000).Draw(t, "total")
		parts := rapid.SliceOfN(rapid.Float64Range(0, 1), 1, 10).Draw(t, "parts")
		capacities := make([]float64, len(parts))
		for i, part := range parts {
			capacities[i] = total * part
		}
		all := RegionSet(1)<<len(parts) - 1
		assert.Equal(t, MaxMinShare(demands, total), Fill(capacities, total, []Group{{Regions: all, Demands: demands}})[0])
	})
}

// Without restricted workspaces, and with restrictions that name all regions, the result
// must be that of Compute, including who may use spare capacity.
func TestComputeConfinedWithoutRestrictionsEqualsCompute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byWorkspace := map[string]Tokens{}
		everywhere := map[string][]string{"idle": {"b", "a"}}
		for i := range rapid.IntRange(0, 20).Draw(t, "workspaces") {
			requested := rapid.Float64Range(0, 2000).Draw(t, "requested")
			granted := rapid.Float64Range(0, 1).Draw(t, "granted") * requested
			name := fmt.Sprint("w", i)
			byWorkspace[name] = Tokens{Requested: requested, Granted: granted, Refused: rapid.Float64Range(0, 50).Draw(t, "refused")}
			if rapid.Bool().Draw(t, "names all regions") {
				everywhere[name] = []string{"a", "b", "c"}
			}
		}
		nominal := rapid.Float64Range(1, 5000).Draw(t, "nominal")
		want := Compute(nominal, byWorkspace)
		parts := map[string]float64{"a": 0.6, "b": 0.4}
		for _, regions := range []map[string][]string{nil, everywhere} {
			got := ComputeConfined(nominal, byWorkspace, Confinement{Parts: parts, Regions: regions})
			assert.InEpsilon(t, want.MaxMinShare, got.Any.MaxMinShare, 1e-9)
			assert.Equal(t, math.IsInf(want.LowestUsage, 1), math.IsInf(got.Any.LowestUsage, 1))
			if !math.IsInf(want.LowestUsage, 1) {
				assert.InDelta(t, want.LowestUsage, got.Any.LowestUsage, 1e-9)
			}
			for name := range regions {
				assert.Equal(t, got.Any, got.Of(name))
			}
		}
	})
}

// A workspace bound to a small region must not be charged for idle upstreams elsewhere,
// and the others must get what it cannot use.
func TestConfinedWorkspaceLeavesTheRestToOthers(t *testing.T) {
	c := Confinement{Parts: map[string]float64{"a": 0.25, "b": 0.75}, Regions: map[string][]string{"in-a": {"a"}, "in-b": {"b"}, "lost": {"x"}}}
	full := Tokens{Requested: 4000}
	shares := ComputeConfined(1000, map[string]Tokens{"in-a": full, "any": full, "lost": full}, c)
	assert.InDelta(t, 250, shares.Of("in-a").MaxMinShare, 1)
	assert.InDelta(t, 750, shares.Of("any").MaxMinShare, 1)
	assert.Zero(t, shares.Of("lost").MaxMinShare)

	shares = ComputeConfined(1000, map[string]Tokens{"in-a": full, "in-b": full, "any": full}, c)
	assert.InDelta(t, 250, shares.Of("in-a").MaxMinShare, 1)
	assert.InDelta(t, 375, shares.Of("in-b").MaxMinShare, 1)
	assert.InDelta(t, 375, shares.Of("any").MaxMinShare, 1)
}

// Refusals of a confined workspace, whose region is full, must neither shrink the shares
// of others nor keep them from spare capacity that it cannot use.
func TestRefusalsInAFullRegionDoNotBindOthers(t *testing.T) {
	c := Confinement{Parts: map[string]float64{"a": 0.25, "b": 0.75}, Regions: map[string][]string{"in-a": {"a"}}}
	busy := map[string]Tokens{"in-a": {Requested: 2000, Granted: 60, Refused: 500}, "any": {Requested: 900, Granted: 740}}
	shares := ComputeConfined(1000, busy, c)
	assert.InDelta(t, 750, shares.Any.MaxMinShare, 1)
	assert.Greater(t, shares.Any.LowestUsage, 0.9)
	assert.InDelta(t, 60.0/250, shares.Of("in-a").LowestUsage, 0.01)

	// One that may use all regions counts for the confined one.
	busy = map[string]Tokens{"in-a": {Requested: 200, Granted: 100}, "any": {Requested: 2000, Granted: 80}}
	shares = ComputeConfined(1000, busy, c)
	assert.InDelta(t, 80/shares.Any.MaxMinShare, shares.Of("in-a").LowestUsage, 0.01)
}

// BenchmarkFill fills three regions with the demands of 1,400 workspaces.
func BenchmarkFill(b *testing.B) {
	var groups []Group
	for set := range RegionSet(7) {
		g := Group{Regions: set + 1}
		for i := range 200 {
			g.Demands = append(g.Demands, float64(100+i*int(set+1)))
		}
		groups = append(groups, g)
	}
	for b.Loop() {
		Fill([]float64{50_000, 30_000, 20_000}, 90_000, groups)
	}
}
