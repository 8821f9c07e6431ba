package dispatch

import (
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// run is the run of one granted ticket on an upstream.
type run struct {
	ticket   ticket.Ticket
	owner    *workspace
	upstream *upstream
	estimate ticket.Units // expected cost of this run
	hold     ticket.Units // part of estimate that is not used yet
	used     ticket.Usage // in this run, not in earlier ones
	charged  ticket.Units // cost of this run charged so far
	long     bool         // counts as long work
	stopping bool         // was asked to stop
	started  time.Time
	// measureStart and measureStartTokens are the time and the token count at which
	// the current measurement of the time per token began. lowestLoad and
	// highestLoad are the extremes of the upstream's running requests since then.
	measureStart            time.Time
	measureStartTokens      int64
	lowestLoad, highestLoad int
	seq                     uint64
}

// start moves a waiting ticket to an upstream and reserves its estimated cost.
func (s *Scheduler) start(now time.Time, qt *queuedTicket, u *upstream) {
	s.dequeue(qt)
	r := &run{ticket: qt.ticket, owner: qt.owner, upstream: u, estimate: qt.estimate, long: qt.long}
	s.addRun(now, r)
	if u.health.slowed {
		u.beginProbe(qt.ticket.ID)
	}
	s.recordPrefix(now, u, qt.ticket.PrefixHash)
}

// addRun adds a run to its workspace and its upstream and reserves what is left of
// its estimated cost.
func (s *Scheduler) addRun(now time.Time, r *run) {
	s.seq++
	r.seq = s.seq
	r.started = now
	s.runs[r.ticket.ID] = r
	r.owner.running++
	if r.upstream.running == 0 {
		r.upstream.health.lastProgress = now.UnixNano()
	}
	r.upstream.running++
	if r.long {
		r.upstream.long++
	}
	s.largestRun = max(s.largestRun, r.estimate)
	s.setHold(r, max(r.estimate-r.used.Cost(), 0))
}

func (s *Scheduler) setHold(r *run, hold ticket.Units) {
	r.owner.hold += hold - r.hold
	if r.stopping {
		r.owner.stopping += hold - r.hold
	}
	r.hold = hold
	r.owner.refresh()
}

// Adopt takes over a run that the previous dispatcher granted and an entry router
// reported to this one. The usage so far was charged by the previous dispatcher,
// whose counters are merged separately, so it is not charged again.
func (s *Scheduler) Adopt(now time.Time, t ticket.Ticket, upstreamID string, used ticket.Usage) {
	if s.runs[t.ID] != nil {
		s.Progress(now, t.ID, used)
		return
	}
	if qt := s.queued[t.ID]; qt != nil {
		s.dequeue(qt)
	}
	w := s.workspace(t.Workspace)
	r := &run{ticket: t, owner: w, upstream: s.upstreamOf(upstreamID), used: used, charged: used.Cost()}
	r.estimate = s.estimate(w, &t)
	r.long = s.isLong(&t, max(r.estimate, used.Cost()))
	s.addRun(now, r)
	// The tokens so far were generated at an unknown speed before the adoption.
	r.beginMeasurement(now, used)
}

// upstreamOf returns the upstream with the given ID. An unknown one is added as
// removed, so that it accounts for the adopted run but gets no new work.
func (s *Scheduler) upstreamOf(id string) *upstream {
	if u := s.byID[id]; u != nil {
		return u
	}
	s.SetUpstream(Upstream{ID: id})
	u := s.byID[id]
	u.removed = true
	return u
}

// Progress records the usage of a run so far.
func (s *Scheduler) Progress(now time.Time, id string, used ticket.Usage) {
	r := s.runs[id]
	if r == nil {
		return
	}
	s.observeProgress(now, r, used)
	s.recordUsage(r, used)
}

// recordUsage charges the usage that is new in used and reduces the hold by it.
func (s *Scheduler) recordUsage(r *run, used ticket.Usage) {
	cost := used.Cost()
	if cost > r.charged {
		s.charge(r.owner, cost-r.charged)
		r.charged = cost
	}
	r.used = used
	s.largestRun = max(s.largestRun, cost)
	s.setHold(r, max(r.estimate-cost, 0))
	if !r.long && s.isLong(&r.ticket, cost) {
		r.long = true
		r.upstream.long++
	}
}

// Finish ends a run and frees its slot. The ticket may be enqueued again
// afterwards.
func (s *Scheduler) Finish(now time.Time, id string, used ticket.Usage, o Outcome, sample Sample) {
	r := s.runs[id]
	if r == nil {
		return
	}
	if o != OutcomeDeclined {
		s.recordUsage(r, used)
	}
	s.unmarkStopping(r)
	s.setHold(r, 0)
	delete(s.runs, id)
	r.owner.running--
	r.upstream.running--
	if r.long {
		r.upstream.long--
	}
	s.learnOutcome(now, r, o)
	s.observeFinish(now, r, o, sample)
	s.dropRemoved(r.upstream)
}

func (s *Scheduler) learnOutcome(now time.Time, r *run, o Outcome) {
	if o != OutcomeDone {
		return
	}
	total := r.ticket.PriorUsage.Add(r.used).Cost()
	r.owner.costs.learn(&r.ticket, total)
	s.learnRunTime(now.Sub(r.started), r.used.Cost())
}
