package dispatch

import (
	"math"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// joinBacklog adds a workspace that starts to wait. Its virtual service is raised
// to the lowest one of the backlogged workspaces, so that idle time earns no
// credit.
func (s *Scheduler) joinBacklog(w *workspace) {
	if !s.backloggedElsewhere(w.name) {
		s.raiseTo(w, s.startLevel())
	}
	w.backlogIndex = len(s.backlogged)
	w.wasAtPlanLimit = w.atPlanLimit()
	s.backlogged = append(s.backlogged, w)
}

func (s *Scheduler) leaveBacklog(w *workspace) {
	last := len(s.backlogged) - 1
	moved := s.backlogged[last]
	s.backlogged[w.backlogIndex] = moved
	moved.backlogIndex = w.backlogIndex
	s.backlogged = s.backlogged[:last]
	w.backlogIndex = -1
}

// startLevel returns the virtual service at which an idle workspace starts to
// wait: the lowest among the backlogged workspaces, here and in other cells, but
// not below floor. The lowest falls when an estimate was too high, whereas the
// bound on the gap (see GapBound) needs a level that never falls.
func (s *Scheduler) startLevel() float64 {
	lowest := min(s.lowest(), s.lowestRemote())
	if math.IsInf(lowest, 1) {
		return s.floor
	}
	return max(lowest, s.floor)
}

// lowest returns the lowest virtual service of the local backlogged workspaces
// that are below the limit of their plan, +Inf if there are none.
func (s *Scheduler) lowest() float64 {
	lowest := math.Inf(1)
	for _, w := range s.backlogged {
		if !w.atPlanLimit() {
			lowest = min(lowest, w.virtualService)
		}
	}
	return lowest
}

// limitLeads raises the workspaces that are behind the highest one by more than
// Policy.MaxLead. Such leads come from counters that were merged after a partition
// or a takeover. Without the limit, the leading workspace would get nothing until
// all others have caught up.
func (s *Scheduler) limitLeads(highest, lowest float64) {
	level := highest - float64(s.policy.MaxLead)
	if lowest >= level {
		return
	}
	for _, w := range s.backlogged {
		if !w.atPlanLimit() {
			s.raiseTo(w, level)
		}
	}
}

// raiseTo raises the virtual service of w to level if it is below.
func (s *Scheduler) raiseTo(w *workspace, level float64) {
	missing := ticket.Units(level - w.virtualService)
	if missing <= 0 {
		return
	}
	own := s.counters[s.incarnation][w.name]
	own.Offset = w.offset + missing
	s.counters[s.incarnation][w.name] = own
	w.offset = own.Offset
	w.dirty = true
	w.refresh()
}

// charge adds actual usage to the counter of w.
func (s *Scheduler) charge(w *workspace, cost ticket.Units) {
	if cost <= 0 {
		return
	}
	own := s.counters[s.incarnation][w.name]
	own.Served += cost
	s.counters[s.incarnation][w.name] = own
	w.served += cost
	w.dirty = true
	w.refresh()
}

// Counters returns a copy of all known counters by incarnation and workspace.
func (s *Scheduler) Counters() map[string]map[string]Counter {
	all := make(map[string]map[string]Counter, len(s.counters))
	for incarnation, counters := range s.counters {
		copied := make(map[string]Counter, len(counters))
		for name, c := range counters {
			copied[name] = c
		}
		all[incarnation] = copied
	}
	return all
}

// MergeCounters merges counters received from other cells or dispatchers by
// taking the maximum of each.
func (s *Scheduler) MergeCounters(m map[string]map[string]Counter) {
	for incarnation, counters := range m {
		for name, c := range counters {
			s.mergeCounter(incarnation, name, c)
		}
	}
}

func (s *Scheduler) mergeCounter(incarnation, name string, c Counter) {
	known := s.counters[incarnation]
	if known == nil {
		known = map[string]Counter{}
		s.counters[incarnation] = known
	}
	old := known[name]
	merged := Counter{Served: max(old.Served, c.Served), Offset: max(old.Offset, c.Offset)}
	if merged == old {
		return
	}
	known[name] = merged
	w := s.workspaces[name]
	if w == nil {
		return
	}
	w.served += merged.Served - old.Served
	w.offset = max(w.offset, merged.Offset)
	w.refresh()
}

// recomputeTotals computes the totals of w from all counters.
func (s *Scheduler) recomputeTotals(w *workspace) {
	w.served, w.offset = 0, 0
	for _, counters := range s.counters {
		c := counters[w.name]
		w.served += c.Served
		w.offset = max(w.offset, c.Offset)
	}
	w.refresh()
}
