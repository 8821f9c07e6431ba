package dispatch

import (
	"time"

	"github.com/google/btree"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// Scheduler schedules the tickets of one cell.
type Scheduler struct {
	cell        string
	incarnation string
	policy      Policy

	workspaces      map[string]*workspace        // by name
	backlogged      []*workspace                 // those with waiting tickets, in no order
	queued          map[string]*queuedTicket     // by ticket ID
	runs            map[string]*run              // by ticket ID
	expiring        *btree.BTreeG[*queuedTicket] // those with an expiry, earliest first
	pendingRefusals []Refusal                    // refusals that the next call of Refuse returns
	seq             uint64
	stopping        int          // runs asked to stop
	largestRun      ticket.Units // largest cost or estimate of one run so far

	upstreams       []*upstream
	byID            map[string]*upstream
	nextRoundRobin  int
	tokenTimes      bestTimes              // times per token of engines
	callTimes       bestTimes              // times per call of plain services
	prefixes        map[uint64][]*upstream // upstreams that hold a prefix, by its hash
	timePerUnit     float64                // nanoseconds per milli-unit
	noUpstreamSince int64                  // Unix nanoseconds, zero while an upstream takes work

	// floor is the highest value so far, over all grants, of the lowest virtual
	// service of the backlogged workspaces. A workspace that was idle starts no
	// lower.
	floor         float64
	counters      map[string]map[string]Counter // by incarnation and workspace
	remotes       map[string]*remoteCell        // by cell
	remoteNames   []string                      // cells in remotes, sorted
	reservations  []reservation
	summariesSent int
}

// New returns a scheduler without workspaces and upstreams. The incarnation
// identifies this holder of the dispatcher role; its counters start at zero.
func New(cell, incarnation string, policy Policy) *Scheduler {
	return &Scheduler{
		cell:        cell,
		incarnation: incarnation,
		policy:      policy,
		workspaces:  map[string]*workspace{},
		queued:      map[string]*queuedTicket{},
		runs:        map[string]*run{},
		expiring:    btree.NewG(treeDegree, expiresBefore),
		byID:        map[string]*upstream{},
		prefixes:    map[uint64][]*upstream{},
		timePerUnit: float64(policy.DefaultUnitTime),
		counters:    map[string]map[string]Counter{incarnation: {}},
		remotes:     map[string]*remoteCell{},
	}
}

// SetWorkspace adds a workspace or changes its limits.
func (s *Scheduler) SetWorkspace(name string, l Limits) {
	w := s.workspace(name)
	w.limits = l
	w.removed = false
	w.refresh()
}

// workspace returns the state of a workspace. An unknown one is added as removed, so
// that runs and tickets that outlive their workspace are accounted for.
func (s *Scheduler) workspace(name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = newWorkspace(name, Limits{Weight: 1})
		w.removed = true
		s.workspaces[name] = w
		s.recomputeTotals(w)
	}
	return w
}

// RemoveWorkspace removes a workspace. The next call of Refuse returns its waiting
// tickets. Tickets that are running or have run stay until they finish.
func (s *Scheduler) RemoveWorkspace(name string) {
	w := s.workspaces[name]
	if w == nil {
		return
	}
	w.removed = true
	for _, qt := range w.refusable() {
		s.dequeue(qt)
		s.pendingRefusals = append(s.pendingRefusals, Refusal{Ticket: qt.ticket, Reason: ticket.ReasonUnknownWorkspace})
	}
}

// Enqueue adds a waiting ticket, or returns why it is refused. It returns nil if
// the ticket was queued, or is already waiting or running.
func (s *Scheduler) Enqueue(now time.Time, t ticket.Ticket) *Refusal {
	if s.queued[t.ID] != nil || s.runs[t.ID] != nil {
		return nil
	}
	if hasRun(&t) {
		s.enqueue(s.newQueuedTicket(now, s.workspace(t.Workspace), t))
		return nil
	}
	w := s.workspaces[t.Workspace]
	if w == nil || w.removed {
		return &Refusal{Ticket: t, Reason: ticket.ReasonUnknownWorkspace}
	}
	qt := s.newQueuedTicket(now, w, t)
	if s.deadlineUnreachable(now, qt) {
		return &Refusal{Ticket: t, Reason: deadlineReason(now, t)}
	}
	if !s.ensureQueueSpace(w) {
		return &Refusal{Ticket: t, Reason: ticket.ReasonQueueFull, RetryAfter: s.estimateRetryAfter(w)}
	}
	s.enqueue(qt)
	s.releaseReservation(t.Workspace)
	return nil
}

func (s *Scheduler) newQueuedTicket(now time.Time, w *workspace, t ticket.Ticket) *queuedTicket {
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	s.seq++
	qt := &queuedTicket{ticket: t, owner: w, seq: s.seq, enqueued: now.UnixNano()}
	qt.estimate = s.estimate(w, &t)
	qt.long = s.isLong(&t, qt.estimate)
	qt.sortKey = s.sortKeyOf(qt)
	qt.expiry = s.expiry(now, qt)
	return qt
}

// sortKeyOf returns the sort key of a ticket, which is the latest start that
// meets its deadline. Ordering by it is ordering by slack, because the current
// time is the same for all tickets. Long work without a deadline is assumed to
// tolerate an extra wait as long as its run, so that short work goes first.
func (s *Scheduler) sortKeyOf(qt *queuedTicket) int64 {
	if !s.policy.isLacewing() {
		return int64(qt.seq)
	}
	runTime := s.runTime(qt.estimate)
	if !qt.ticket.Deadline.IsZero() {
		return qt.ticket.Deadline.Add(-runTime).UnixNano()
	}
	start := qt.ticket.Arrived.Add(s.policy.AssumedDeadline)
	if qt.long {
		start = start.Add(runTime)
	}
	return start.UnixNano()
}

func (s *Scheduler) enqueue(qt *queuedTicket) {
	w := qt.owner
	s.queued[qt.ticket.ID] = qt
	w.queueOf(qt).add(qt)
	if qt.ticket.Borrowed {
		w.borrowed++
	}
	if qt.expiry != 0 {
		s.expiring.ReplaceOrInsert(qt)
	}
	if w.backlogIndex < 0 {
		s.joinBacklog(w)
	}
}

func (s *Scheduler) dequeue(qt *queuedTicket) {
	w := qt.owner
	delete(s.queued, qt.ticket.ID)
	w.queueOf(qt).remove(qt)
	if qt.ticket.Borrowed {
		w.borrowed--
	}
	if qt.expiry != 0 {
		s.expiring.Delete(qt)
	}
	if w.waiting() == 0 {
		s.leaveBacklog(w)
	}
}

// Withdraw removes a waiting ticket because its caller disconnected or because it
// goes back to the cell that lent it. It returns false if the ticket is not
// waiting.
func (s *Scheduler) Withdraw(id string) (ticket.Ticket, bool) {
	qt := s.queued[id]
	if qt == nil {
		return ticket.Ticket{}, false
	}
	s.dequeue(qt)
	return qt.ticket, true
}
