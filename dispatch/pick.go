package dispatch

import (
	"math"
	"time"
)

// candidate is the best ticket found so far and the upstream to run it on. Its
// sortKey is that of the ticket, less Policy.AffinityBonus if that applies.
type candidate struct {
	queuedTicket *queuedTicket
	upstream     *upstream
	sortKey      int64
}

// Next grants the next ticket and returns the grant, or false if no waiting ticket
// can run now.
func (s *Scheduler) Next(now time.Time) (Grant, bool) {
	if len(s.backlogged) == 0 {
		return Grant{}, false
	}
	s.checkUpstreams(now)
	if !s.anyFree(now) {
		return Grant{}, false
	}
	chosen := s.choose(now)
	if chosen.queuedTicket == nil {
		return Grant{}, false
	}
	s.start(now, chosen.queuedTicket, chosen.upstream)
	return Grant{Ticket: chosen.queuedTicket.ticket, Upstream: chosen.upstream.config.ID}, true
}

func (s *Scheduler) choose(now time.Time) candidate {
	switch s.policy.Kind {
	case KindFIFO:
		return s.chooseOldest()
	case KindFairLocal:
		return s.chooseFairLocal(now)
	default:
		return s.chooseInWindow(now)
	}
}

// chooseInWindow picks the ticket with the least slack among the workspaces whose
// virtual service is within Policy.Window of the lowest. If Policy.LongShare
// excludes all of these, the lowest workspace may exceed it: otherwise that
// workspace would fall behind by more than the window.
func (s *Scheduler) chooseInWindow(now time.Time) candidate {
	lowest, shortWaits := s.scanBacklog()
	if lowest == nil {
		return candidate{}
	}
	s.floor = max(s.floor, lowest.virtualService)
	limit := lowest.virtualService + float64(s.policy.Window)
	longAllowed := !shortWaits || s.anyFreeForLong(now)
	best := candidate{sortKey: math.MaxInt64}
	for _, w := range s.backlogged {
		if w.virtualService > limit || w.atPlanLimit() {
			continue
		}
		s.consider(now, &best, w.short.head)
		if longAllowed {
			s.consider(now, &best, w.long.head)
		}
	}
	if best.queuedTicket == nil {
		best.queuedTicket = lowest.firstWaiting()
		shortWaits = false
	}
	best.upstream = s.place(now, best.queuedTicket, shortWaits)
	return best
}

// consider makes qt the best candidate if it has less slack than the current one. A
// prefix that is cached on a free upstream reduces the slack by
// Policy.AffinityBonus.
func (s *Scheduler) consider(now time.Time, best *candidate, qt *queuedTicket) {
	if qt == nil {
		return
	}
	sortKey := qt.sortKey
	if qt.ticket.PrefixHash != 0 && s.warmUpstream(now, qt) != nil {
		sortKey -= int64(s.policy.AffinityBonus)
	}
	if best.queuedTicket == nil || sortKey < best.sortKey || (sortKey == best.sortKey && qt.seq < best.queuedTicket.seq) {
		best.queuedTicket = qt
		best.sortKey = sortKey
	}
}

// scanBacklog returns the backlogged workspace with the lowest virtual service, and
// whether any has short work waiting. Workspaces at the limit of their plan are
// left out. It also raises workspaces that left that limit or are too far behind.
func (s *Scheduler) scanBacklog() (*workspace, bool) {
	var lowest *workspace
	shortWaits := false
	highest := math.Inf(-1)
	for _, w := range s.backlogged {
		limited := w.atPlanLimit()
		if w.wasAtPlanLimit && !limited {
			s.raiseToFloor(w)
		}
		w.wasAtPlanLimit = limited
		if limited {
			continue
		}
		if w.short.head != nil {
			shortWaits = true
		}
		if lowest == nil || w.virtualService < lowest.virtualService || (w.virtualService == lowest.virtualService && w.name < lowest.name) {
			lowest = w
		}
		highest = max(highest, w.virtualService)
	}
	if lowest != nil {
		s.limitLeads(highest, lowest.virtualService)
	}
	return lowest, shortWaits
}

// raiseToFloor raises the virtual service of a workspace that is no longer at the
// limit of its plan, as if it had been idle: the time at the limit earns no credit.
func (s *Scheduler) raiseToFloor(w *workspace) {
	s.raiseTo(w, s.floor)
}

func (s *Scheduler) chooseOldest() candidate {
	var oldest *queuedTicket
	for _, w := range s.backlogged {
		if w.atPlanLimit() {
			continue
		}
		if qt := w.short.head; oldest == nil || qt.seq < oldest.seq {
			oldest = qt
		}
	}
	if oldest == nil {
		return candidate{}
	}
	return candidate{queuedTicket: oldest, upstream: s.roundRobin()}
}

func (s *Scheduler) chooseFairLocal(now time.Time) candidate {
	lowest, _ := s.scanBacklog()
	if lowest == nil {
		return candidate{}
	}
	s.floor = max(s.floor, lowest.virtualService)
	return candidate{queuedTicket: lowest.short.head, upstream: s.leastOutstanding(now)}
}
