package dispatch_test

import (
	"fmt"
	"math"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// gapTracker measures the fairness gap from the work that the simulated upstreams
// did: the largest difference in service received per weight, over all pairs of
// workspaces and all intervals in which both always had waiting work.
type gapTracker struct {
	names    []string // sorted; the slices below have the same order
	limits   map[string]dispatch.Limits
	index    map[string]int // of a name in names
	waiting  []int          // waiting tickets
	received []float64      // service in milli-units per weight
	pairs    [][]spread     // by the indexes of two workspaces, the lower one first
	running  []int          // running tickets
	peak     []int          // most running at once
	worst    float64        // largest gap of any pair
}

// spread is the range of the difference in received service between two
// workspaces since both began to wait. low and high start anew after one stopped waiting.
type spread struct {
	low, high float64
	bothWait  bool
	worst     float64 // largest difference of high and low so far
}

func newGapTracker(limits map[string]dispatch.Limits) *gapTracker {
	g := &gapTracker{names: sortedKeys(limits), limits: limits, index: map[string]int{}}
	for i, name := range g.names {
		g.index[name] = i
		g.pairs = append(g.pairs, make([]spread, len(limits)))
	}
	g.waiting = make([]int, len(limits))
	g.received = make([]float64, len(limits))
	g.running = make([]int, len(limits))
	g.peak = make([]int, len(limits))
	return g
}

// waits changes the number of waiting tickets of a workspace.
func (g *gapTracker) waits(name string, change int) {
	i := g.index[name]
	g.waiting[i] += change
	g.update(i)
}

// runs changes the number of running tickets of a workspace.
func (g *gapTracker) runs(name string, change int) {
	i := g.index[name]
	g.running[i] += change
	g.peak[i] = max(g.peak[i], g.running[i])
	g.update(i)
}

// runnable reports whether the workspace has waiting work that its plan allows
// to run.
func (g *gapTracker) runnable(i int) bool {
	maxRunning := g.limits[g.names[i]].MaxRunning
	return g.waiting[i] > 0 && (maxRunning == 0 || g.running[i] < maxRunning)
}

// overBound returns the first pair whose gap exceeds the derived bound.
func (g *gapTracker) overBound(policy dispatch.Policy, largest ticket.Units) string {
	for i, a := range g.names {
		for j := i + 1; j < len(g.names); j++ {
			b := g.names[j]
			bound := 2 * policy.GapBound(largest, g.peak[i], g.peak[j], g.limits[a].Weight, g.limits[b].Weight)
			if g.pairs[i][j].worst > bound {
				return fmt.Sprintf("%s and %s: gap %.0f over bound %.0f", a, b, g.pairs[i][j].worst, bound)
			}
		}
	}
	return ""
}

// serve records service of the given cost.
func (g *gapTracker) serve(name string, cost ticket.Units) {
	i := g.index[name]
	g.received[i] += float64(cost) / g.limits[name].Weight
	g.update(i)
}

func (g *gapTracker) update(i int) {
	for j := range g.names {
		if i != j {
			g.updatePair(min(i, j), max(i, j))
		}
	}
}

func (g *gapTracker) updatePair(i, j int) {
	p := &g.pairs[i][j]
	if !g.runnable(i) || !g.runnable(j) {
		p.bothWait = false
		return
	}
	difference := g.received[i] - g.received[j]
	if !p.bothWait {
		p.low, p.high, p.bothWait = difference, difference, true
	}
	p.low = math.Min(p.low, difference)
	p.high = math.Max(p.high, difference)
	p.worst = math.Max(p.worst, p.high-p.low)
	g.worst = math.Max(g.worst, p.worst)
}
