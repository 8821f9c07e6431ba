package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Stops returns the IDs of the long runs to stop (preempt) at a token boundary, so
// that others can run: those of workspaces that are ahead by more than the window,
// and those above Policy.LongShare while short work waits. Each run is returned
// once.
func (s *Scheduler) Stops(now time.Time) []string {
	if !s.policy.isLacewing() || len(s.backlogged) == 0 || s.anyFree(now) {
		return nil
	}
	wanted := s.ticketsWithoutStop()
	if wanted <= 0 {
		return nil
	}
	stoppable := s.stoppable(now)
	slices.SortFunc(stoppable, byLead)
	limit := s.lowest() + float64(s.policy.Window)
	shortOverdue := s.shortOverdue(now)
	var ids []string
	for _, r := range stoppable {
		if len(ids) == wanted {
			break
		}
		if r.levelAfterStop() > limit || (shortOverdue && s.aboveLongShare(r.upstream)) {
			s.markStopping(r)
			ids = append(ids, r.ticket.ID)
		}
	}
	return ids
}

// levelAfterStop returns the virtual service of the workspace after this stop and
// those already requested, when their holds are released. A workspace that is
// ahead only by its holds would get the slot back at once, and the stop would only
// waste the processing of the prompt.
func (r *run) levelAfterStop() float64 {
	return r.owner.virtualService - float64(r.owner.stopping+r.hold)/r.owner.weight()
}

func (s *Scheduler) markStopping(r *run) {
	r.stopping = true
	r.owner.stopping += r.hold
	r.upstream.stopping++
	s.stopping++
}

func (s *Scheduler) unmarkStopping(r *run) {
	if !r.stopping {
		return
	}
	r.stopping = false
	r.owner.stopping -= r.hold
	r.upstream.stopping--
	s.stopping--
}

func (s *Scheduler) aboveLongShare(u *upstream) bool {
	return u.long-u.stopping > int(s.policy.LongShare*u.limit)
}

func (s *Scheduler) stoppable(now time.Time) []*run {
	var found []*run
	for _, r := range s.runs {
		if s.mayStop(now, r) {
			found = append(found, r)
		}
	}
	return found
}

// mayStop reports whether the run is long and may be stopped and resumed later.
// Plain calls, which have no prompt, cannot be resumed.
func (s *Scheduler) mayStop(now time.Time, r *run) bool {
	return r.long && !r.stopping &&
		r.ticket.PromptTokens > 0 &&
		r.ticket.Stops < s.policy.MaxStops &&
		now.Sub(r.started) >= s.policy.MinRunBeforeStop
}

// shortOverdue reports whether short work has waited for Policy.ShortGrace.
func (s *Scheduler) shortOverdue(now time.Time) bool {
	before := now.Add(-s.policy.ShortGrace).UnixNano()
	for _, w := range s.backlogged {
		if w.short.head != nil && !w.atPlanLimit() && w.short.head.enqueued <= before {
			return true
		}
	}
	return false
}

// ticketsWithoutStop returns the number of runnable waiting tickets for which no
// stop has been requested yet.
func (s *Scheduler) ticketsWithoutStop() int {
	waiting := 0
	for _, w := range s.backlogged {
		if !w.atPlanLimit() {
			waiting += w.waiting()
		}
	}
	return waiting - s.stopping
}

// byLead compares runs by the virtual service of their workspaces, highest
// first, and then by age.
func byLead(a, b *run) int {
	return cmp.Or(cmp.Compare(b.owner.virtualService, a.owner.virtualService), cmp.Compare(a.seq, b.seq))
}
