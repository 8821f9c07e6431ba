// Package overload decides which requests a router takes while it is short of
// processor time.
//
// A request passes the run queue of the process about eight times until its answer
// begins. When goroutines wait long for the processor, every request in progress
// becomes late, and callers leave before their requests are read. It is better to
// refuse some requests at once, which takes little time, and to serve the others.
package overload

import (
	"math"
	"runtime"
	"time"
)

const (
	// BusyWait is the wait for the processor from which the workspaces that send
	// most are refused. Eight such waits are about the time in which the quickest
	// routes promise an answer.
	BusyWait = 30 * time.Millisecond
	// FullWait is the wait from which every request is refused.
	FullWait = 100 * time.Millisecond
	// halfLife is the time after which a request that was taken counts half.
	halfLife = time.Second
	// forgotten is the count below which a workspace is no longer one of those
	// that send.
	forgotten = 0.05
)

// ProcessorWait yields the processor and returns how long the goroutine waited to
// get it back.
func ProcessorWait() time.Duration {
	start := time.Now()
	runtime.Gosched()
	return time.Since(start)
}

// Gate admits requests by their wait for the processor. While the wait is between
// BusyWait and FullWait, only workspaces that have less than an equal part of the
// requests get through, so that one that sends much does not take the place of the
// others. It is not safe for concurrent use.
type Gate struct {
	taken   map[string]float64 // requests by workspace, older ones count less
	total   float64
	updated time.Time
}

// NewGate returns a gate that has taken no requests.
func NewGate() *Gate { return &Gate{taken: map[string]float64{}} }

// Admit tells whether a request is taken that has waited for the processor, and
// counts it if so.
func (g *Gate) Admit(now time.Time, workspace string, wait time.Duration) bool {
	g.age(now)
	if wait >= FullWait || wait >= BusyWait && g.heavy(workspace) {
		return false
	}
	g.taken[workspace]++
	g.total++
	return true
}

// heavy tells whether a workspace has at least an equal part of the requests.
func (g *Gate) heavy(workspace string) bool {
	count := g.taken[workspace]
	workspaces := len(g.taken)
	if count == 0 {
		workspaces++
	}
	return count*float64(workspaces) >= g.total
}

// age makes requests of the past count less.
func (g *Gate) age(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.updated)) / float64(halfLife))
	if factor > 0.99 {
		return // the rest is counted with the next larger step
	}
	g.updated, g.total = now, 0
	for workspace, count := range g.taken {
		count *= factor
		if count < forgotten {
			delete(g.taken, workspace)
			continue
		}
		g.taken[workspace] = count
		g.total += count
	}
}
