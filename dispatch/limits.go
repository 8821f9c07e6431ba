package dispatch

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// ensureQueueSpace reports whether one more ticket of w may wait. When the queue of
// the cell is full, it evicts the last ticket of the workspace with the longest
// queue per weight, so that a flood from one workspace cannot keep others out.
func (s *Scheduler) ensureQueueSpace(w *workspace) bool {
	if w.waiting() >= s.maxQueued(w) {
		return false
	}
	if s.policy.MaxQueuedTotal <= 0 || len(s.queued) < s.policy.MaxQueuedTotal {
		return true
	}
	longest := s.longestQueue()
	if longest == nil || longest == w || queuePerWeight(longest, 0) <= queuePerWeight(w, 1) {
		return false
	}
	victim := longest.lastWaiting()
	if victim.hasRun() {
		return false
	}
	s.dequeue(victim)
	s.pendingRefusals = append(s.pendingRefusals, Refusal{
		Ticket:     victim.ticket,
		Reason:     ticket.ReasonQueueFull,
		RetryAfter: s.estimateRetryAfter(longest),
	})
	return true
}

// maxQueued returns how many tickets of w may wait.
func (s *Scheduler) maxQueued(w *workspace) int {
	if w.limits.MaxQueued > 0 {
		return w.limits.MaxQueued
	}
	return s.policy.MaxQueuedDefault
}

// queuePerWeight returns the queue length of w per weight, with extra more tickets.
func queuePerWeight(w *workspace, extra int) float64 {
	return float64(w.waiting()+extra) / w.weight()
}

func (s *Scheduler) longestQueue() *workspace {
	var longest *workspace
	for _, w := range s.backlogged {
		if longest == nil || queuePerWeight(w, 0) > queuePerWeight(longest, 0) {
			longest = w
		}
	}
	return longest
}

func (w *workspace) lastWaiting() *queuedTicket {
	if last := w.long.last(); last != nil {
		return last
	}
	return w.short.last()
}

// estimateRetryAfter estimates how long it takes until w can queue another ticket,
// for Refusal.RetryAfter. It assumes that all backlogged workspaces take
// turns.
func (s *Scheduler) estimateRetryAfter(w *workspace) time.Duration {
	slots := 0
	for _, u := range s.upstreams {
		slots += u.capacity()
	}
	cost := ticket.Units(w.costs.mean)
	if cost == 0 {
		cost = s.policy.DefaultCost
	}
	return s.runTime(cost) * time.Duration(len(s.backlogged)+1) / time.Duration(max(slots, 1))
}

// deadlineUnreachable reports whether an arriving ticket would miss its deadline even
// if it started now. The baseline policies use no estimates and wait until the
// deadline itself.
func (s *Scheduler) deadlineUnreachable(now time.Time, qt *queuedTicket) bool {
	if qt.expiry == 0 {
		return false
	}
	return !qt.ticket.Deadline.After(now.Add(s.scaledRunTime(qt, s.policy.AdmitRunTimeFactor)))
}

// expiry returns when a waiting ticket is refused, as a Unix time in nanoseconds,
// zero for never.
func (s *Scheduler) expiry(now time.Time, qt *queuedTicket) int64 {
	if qt.ticket.Deadline.IsZero() || qt.hasRun() {
		return 0
	}
	latest := qt.ticket.Deadline.Add(-s.scaledRunTime(qt, s.policy.QueueRunTimeFactor))
	if grace := now.Add(s.policy.QueueGrace); s.policy.isLacewing() && latest.Before(grace) {
		latest = grace
	}
	return latest.UnixNano()
}

// scaledRunTime returns the estimated run time of a ticket, scaled by one of the
// run time factors of the policy.
func (s *Scheduler) scaledRunTime(qt *queuedTicket, factor float64) time.Duration {
	if !s.policy.isLacewing() {
		return 0
	}
	return time.Duration(factor * float64(s.runTime(qt.estimate)))
}

// deadlineReason returns whether the deadline has passed or can no longer be met.
func deadlineReason(now time.Time, t ticket.Ticket) ticket.RefusalReason {
	if now.Before(t.Deadline) {
		return ticket.ReasonDeadline
	}
	return ticket.ReasonDeadlinePassed
}

// Refuse removes and returns the tickets to refuse: those whose deadline has
// passed or can no longer be met, those evicted from a full queue, those of
// removed workspaces, and all waiting ones if the cell has had no upstream for
// too long. None of them has run.
func (s *Scheduler) Refuse(now time.Time) []Refusal {
	refused := s.pendingRefusals
	s.pendingRefusals = nil
	for {
		qt, ok := s.expiring.Min()
		if !ok || qt.expiry > now.UnixNano() {
			break
		}
		s.dequeue(qt)
		refused = append(refused, Refusal{Ticket: qt.ticket, Reason: deadlineReason(now, qt.ticket)})
	}
	if s.noUpstreamTooLong(now) {
		refused = s.refuseAll(refused)
	}
	return refused
}

func (s *Scheduler) refuseAll(refused []Refusal) []Refusal {
	for _, w := range slices.Clone(s.backlogged) {
		for _, qt := range w.refusable() {
			s.dequeue(qt)
			refused = append(refused, Refusal{
				Ticket:     qt.ticket,
				Reason:     ticket.ReasonNoUpstream,
				RetryAfter: s.policy.NoUpstreamGrace,
			})
		}
	}
	return refused
}

// noUpstreamTooLong reports whether the cell has had no upstream that takes work
// for at least Policy.NoUpstreamGrace, and keeps track of the time.
func (s *Scheduler) noUpstreamTooLong(now time.Time) bool {
	for _, u := range s.upstreams {
		if !u.closed() {
			s.noUpstreamSince = 0
			return false
		}
	}
	if s.noUpstreamSince == 0 {
		s.noUpstreamSince = now.UnixNano()
	}
	return now.UnixNano()-s.noUpstreamSince >= int64(s.policy.NoUpstreamGrace)
}

// Wake returns when the scheduler has to be called next if nothing else happens:
// at a deadline, a stall or a due probe. It returns the zero time for never.
func (s *Scheduler) Wake(now time.Time) time.Time {
	wake := int64(0)
	wakeBy := func(at int64) {
		if at != 0 && (wake == 0 || at < wake) {
			wake = at
		}
	}
	if len(s.pendingRefusals) > 0 {
		wakeBy(now.UnixNano())
	}
	if qt, ok := s.expiring.Min(); ok {
		wakeBy(qt.expiry)
	}
	for _, u := range s.upstreams {
		// A time in the past needs no timer: the current call has handled it.
		if at := s.nextUpstreamCheck(u); at > now.UnixNano() {
			wakeBy(at)
		}
	}
	if len(s.queued) > 0 && s.noUpstreamSince != 0 {
		wakeBy(s.noUpstreamSince + int64(s.policy.NoUpstreamGrace))
	}
	if wake == 0 {
		return time.Time{}
	}
	return time.Unix(0, max(wake, now.UnixNano())).In(now.Location())
}
