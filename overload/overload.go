// Package overload sheds requests while a router is short of processor time.
//
// A request passes through the run queue of the process about eight times before
// its response begins. When goroutines wait long for the processor, every request
// in progress is late, and callers disconnect before their requests are read.
// Refusing some requests at once takes little time and keeps the others on time.
package overload

import (
	"math"
	"runtime"
	"time"
)

const (
	// BusyWait is the processor wait from which the workspaces that send most are
	// refused. Eight such waits are about the target latency of the fastest routes.
	BusyWait = 30 * time.Millisecond
	// FullWait is the processor wait from which every request is refused.
	FullWait = 100 * time.Millisecond
	// halfLife is the time in which the weight of an admitted request halves.
	halfLife = time.Second
	// minCount is the decayed count below which a workspace is no longer counted as
	// active.
	minCount = 0.05
)

// ProcessorWait yields the processor and returns how long the goroutine waited to
// be scheduled again.
func ProcessorWait() time.Duration {
	start := time.Now()
	runtime.Gosched()
	return time.Since(start)
}

// Gate admits requests by their processor wait. While the wait is between BusyWait
// and FullWait, only workspaces with less than an equal share of the admitted
// requests get through, so that a workspace that sends most does not displace the
// others. It is not safe for concurrent use.
type Gate struct {
	admitted  map[string]float64 // admitted requests by workspace, decayed
	total     float64            // sum of admitted
	decayedAt time.Time
}

// NewGate returns a gate that has admitted no requests.
func NewGate() *Gate { return &Gate{admitted: map[string]float64{}} }

// Admit reports whether a request with the given processor wait is admitted, and
// counts it if so.
func (g *Gate) Admit(now time.Time, workspace string, wait time.Duration) bool {
	g.decay(now)
	if wait >= FullWait || wait >= BusyWait && g.hasEqualShare(workspace) {
		return false
	}
	g.admitted[workspace]++
	g.total++
	return true
}

// hasEqualShare reports whether a workspace has at least an equal share of the
// admitted requests.
func (g *Gate) hasEqualShare(workspace string) bool {
	count := g.admitted[workspace]
	workspaces := len(g.admitted)
	if count == 0 {
		workspaces++
	}
	return count*float64(workspaces) >= g.total
}

// decay reduces the weight of past requests.
func (g *Gate) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.decayedAt)) / float64(halfLife))
	if factor > 0.99 {
		return // the elapsed time is included in a later, larger step
	}
	g.decayedAt, g.total = now, 0
	for workspace, count := range g.admitted {
		count *= factor
		if count < minCount {
			delete(g.admitted, workspace)
			continue
		}
		g.admitted[workspace] = count
		g.total += count
	}
}
