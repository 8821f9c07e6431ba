package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// WorkspaceStats describes one workspace. Service is in milli-units per weight.
type WorkspaceStats struct {
	Name    string
	Service float64 // virtual service, holds included
	Waiting int
	Running int
}

// UpstreamStats describes one upstream.
type UpstreamStats struct {
	ID      string
	Running int
	Long    int // running tickets that count as long
	Limit   int // slots that the scheduler uses at present
	Slots   int
	Slowed  bool
}

// Stats describes the state of a Scheduler.
type Stats struct {
	Workspaces []WorkspaceStats // sorted by name
	Upstreams  []UpstreamStats  // in the order in which they were added
	FreeSlots  int
	Waiting    int
	Running    int
	// Gap is the largest difference in received service, in milli-units per
	// weight, between two backlogged workspaces below the limits of their plans.
	Gap float64
	// LargestRun is the largest cost or estimate of one run so far, in
	// milli-units. It is an input of Policy.GapBound.
	LargestRun ticket.Units
}

// Stats returns the current state.
func (s *Scheduler) Stats(now time.Time) Stats {
	s.checkUpstreams(now)
	stats := Stats{
		FreeSlots:  s.freeSlots(now),
		Waiting:    len(s.queued),
		Running:    len(s.runs),
		Gap:        s.gap(),
		LargestRun: s.largestRun,
	}
	for _, w := range s.workspaces {
		stats.Workspaces = append(stats.Workspaces, WorkspaceStats{
			Name: w.name, Service: w.virtualService, Waiting: w.waiting(), Running: w.running,
		})
	}
	slices.SortFunc(stats.Workspaces, func(a, b WorkspaceStats) int { return strings.Compare(a.Name, b.Name) })
	for _, u := range s.upstreams {
		stats.Upstreams = append(stats.Upstreams, UpstreamStats{
			ID: u.config.ID, Running: u.running, Long: u.long,
			Limit: int(u.limit), Slots: u.config.Slots, Slowed: u.health.slowed,
		})
	}
	return stats
}

func (s *Scheduler) gap() float64 {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, w := range s.backlogged {
		if w.atPlanLimit() {
			continue
		}
		lowest = min(lowest, w.received())
		highest = max(highest, w.received())
	}
	return max(highest-lowest, 0)
}
