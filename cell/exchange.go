package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
)

// Timing of the exchange between the cells of one service.
const (
	// summaryInterval is the time between two summaries to a cell while either
	// side has waiting tickets.
	summaryInterval = 200 * time.Millisecond
	// idleSummaryInterval is the time between two summaries to a cell while
	// neither side has waiting tickets.
	idleSummaryInterval = time.Second
	// urgentSummaryInterval is the minimum time between a summary and an urgent
	// one, which is sent when tickets wait here while another cell has free slots.
	urgentSummaryInterval = 25 * time.Millisecond
	// borrowTimeout is how long a borrowed ticket may wait before it is returned.
	// Slots that become free at the same time do so only once per request
	// duration, so a borrowed ticket may have to wait that long.
	borrowTimeout = time.Second
	// loanTimeout is how long a lender waits for the borrower to decide or return
	// a ticket before it queues the ticket again. If both cells then grant it, the
	// entry declines the second grant.
	loanTimeout = 2 * time.Second
)

// sibling is the state of another cell of the same service, as known to a
// dispatcher.
type sibling struct {
	name string
	// freeSlots and hasWaiting are from the last summary received.
	freeSlots  int
	hasWaiting bool
	// noUpstreams is set for a cell without upstreams that accept work. All its
	// tickets run in other cells, so it gets summaries at the shorter interval
	// even when idle.
	noUpstreams bool
	// lastSent is when the last summary was sent to the cell.
	lastSent time.Time
	// unsentCounters holds the counters that changed since lastSent.
	unsentCounters counters
}

// exchange is the part of a dispatcher that moves waiting tickets between the
// cells of a service. A cell with free slots pulls tickets from its siblings: they
// lend tickets, and the borrower grants, refuses or returns them.
type exchange struct {
	siblings    map[string]*sibling
	nextSummary time.Time
	// nextPull is when the scheduler stops reserving slots for tickets that it
	// has pulled and may pull again, zero for none.
	nextPull time.Time
	// nextUrgentSummary is when an urgent summary is due, zero for none.
	nextUrgentSummary time.Time
	// lastHadWaiting is set if the last summary reported waiting tickets.
	lastHadWaiting bool
	lastSummary    time.Time
	// lastWaitingCount is the number of waiting tickets at the last summary.
	lastWaitingCount int
	// nextLoanExpiry is when the loan of the next borrowed or lent ticket
	// expires.
	nextLoanExpiry time.Time
	// lentCount is the number of tickets in jobs that are lent to other cells.
	lentCount int
	stats     exchangeStats
}

// exchangeStats counts tickets and bytes since this router claimed the cell.
type exchangeStats struct {
	borrowed    uint64
	lent        uint64
	returned    uint64
	crossGrants uint64 // grants to entries in other regions
	crossBytes  int64  // bytes of the request bodies of these grants
}

// updateSiblings updates the set of sibling cells from the layout.
func (d *dispatcher) updateSiblings() {
	found := map[string]*sibling{}
	for _, spec := range d.node.layout.siblings(d.cellSpec.name) {
		s := d.siblings[spec.name]
		if s == nil {
			s = &sibling{name: spec.name, unsentCounters: d.sched.Counters()}
		}
		s.noUpstreams = !spec.acceptsWork()
		found[spec.name] = s
	}
	for _, name := range sortedKeys(d.siblings) {
		if found[name] == nil {
			d.sched.ForgetCell(name)
		}
	}
	d.siblings = found
}

// siblingSection returns the message section for the dispatcher of another cell.
func (d *dispatcher) siblingSection(cell string) *section {
	s := d.node.out.sectionFor(d.node.holder(cell), cell)
	s.SenderCell = d.cellSpec.name
	return s
}

// runExchange runs the timers of the exchange that are due.
func (d *dispatcher) runExchange() {
	if len(d.siblings) == 0 || !d.ready {
		return
	}
	if !d.node.now.Before(d.nextSummary) {
		d.nextSummary = d.node.now.Add(summaryInterval)
		d.sendSummaries(false)
	}
	if !d.nextUrgentSummary.IsZero() && !d.node.now.Before(d.nextUrgentSummary) {
		d.nextUrgentSummary = time.Time{}
		d.announceWaiting()
	}
	if !d.nextPull.IsZero() && !d.node.now.Before(d.nextPull) {
		d.nextPull = time.Time{}
		d.dirty = true
	}
	if !d.nextLoanExpiry.IsZero() && !d.node.now.Before(d.nextLoanExpiry) {
		d.expireLoans()
	}
	d.node.wakeAt(d.nextSummary)
	d.node.wakeAt(d.nextPull)
	d.node.wakeAt(d.nextUrgentSummary)
	d.node.wakeAt(d.nextLoanExpiry)
}

// sendSummaries sends a summary to the siblings for which one is due. Urgent
// summaries go to the siblings with free slots, or to all of them from a cell
// that cannot run its tickets itself.
func (d *dispatcher) sendSummaries(urgent bool) {
	summary := d.summarize()
	for _, name := range sortedKeys(d.siblings) {
		s := d.siblings[name]
		if urgent && s.freeSlots == 0 && d.cellSpec.acceptsWork() || !urgent && !d.summaryDue(s) {
			continue
		}
		d.sendSummary(s, summary)
	}
}

// summarize returns a summary of the scheduler. It adds the counters of the
// summary to the unsent ones of each sibling, because the scheduler reports a
// change only once.
func (d *dispatcher) summarize() dispatch.Summary {
	summary := d.sched.Summary(d.node.now)
	d.lastSummary = d.node.now
	d.lastHadWaiting = len(summary.Waiting) > 0
	d.lastWaitingCount = d.waiting()
	for _, s := range d.siblings {
		s.unsentCounters = mergeCounters(s.unsentCounters, summary.Counters)
	}
	return summary
}

// summaryDue reports whether a summary to a sibling is due. The tolerance keeps an
// urgent summary sent shortly after a regular one from delaying the next regular
// one.
func (d *dispatcher) summaryDue(s *sibling) bool {
	interval := idleSummaryInterval
	if d.lastHadWaiting || s.hasWaiting || s.noUpstreams {
		interval = summaryInterval
	}
	return d.node.now.Sub(s.lastSent) >= interval-urgentSummaryInterval
}

func (d *dispatcher) sendSummary(s *sibling, summary dispatch.Summary) {
	summary.Counters = s.unsentCounters
	s.unsentCounters = nil
	s.lastSent = d.node.now
	d.siblingSection(s.name).Summary = &summary
}

// balance runs after the scheduler has decided. It pulls tickets for free slots
// and announces waiting tickets to cells with free slots.
func (d *dispatcher) balance() {
	if len(d.siblings) == 0 {
		return
	}
	for _, p := range d.sched.Pulls(d.node.now) {
		s := d.siblingSection(p.Cell)
		s.Pulls = append(s.Pulls, pullMessage{Workspace: p.Workspace, Count: p.Count})
		d.nextPull = d.node.now.Add(d.node.cfg.Policy.PullTimeout)
	}
	if d.waiting() == 0 {
		return
	}
	if !d.cellSpec.acceptsWork() {
		d.pushWaiting()
	}
	d.announceWaiting()
}

// announceWaiting sends urgent summaries if more tickets wait here than the last
// summary said and another cell could run them.
func (d *dispatcher) announceWaiting() {
	if d.waiting() <= d.lastWaitingCount || d.cellSpec.acceptsWork() && !d.siblingHasFreeSlot() {
		return
	}
	if at := d.lastSummary.Add(urgentSummaryInterval); d.node.now.Before(at) {
		d.nextUrgentSummary = at
		return
	}
	d.sendSummaries(true)
}

// waiting returns the number of tickets that wait in this cell.
func (d *dispatcher) waiting() int { return len(d.jobs) - d.runningCount - d.lentCount }

func (d *dispatcher) siblingHasFreeSlot() bool {
	for _, s := range d.siblings {
		if s.freeSlots > 0 {
			return true
		}
	}
	return false
}

// pushWaiting lends waiting tickets to siblings with free slots without a pull,
// because this cell has no upstream that accepts work. The siblings return tickets
// that they cannot grant; tickets that stay here are pulled later.
func (d *dispatcher) pushWaiting() {
	list := slices.Collect(maps.Values(d.siblings))
	slices.SortFunc(list, func(a, b *sibling) int {
		return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.name, b.name))
	})
	for _, s := range list {
		if s.freeSlots > 0 {
			s.freeSlots -= d.lend(s.name, d.node.holder(s.name), dispatch.Pull{Count: s.freeSlots})
		}
	}
}

// lend lends up to p.Count waiting tickets to another cell and returns how many
// it lent.
func (d *dispatcher) lend(cell, host string, p dispatch.Pull) int {
	p.Cell = d.cellSpec.name
	out := d.node.out.sectionFor(host, cell)
	out.SenderCell = d.cellSpec.name
	count := 0
	for _, t := range d.sched.Lend(d.node.now, p) {
		j := d.jobs[t.ID]
		if j == nil {
			continue
		}
		if j.lender != "" {
			d.requeue(j)
			continue
		}
		j.borrower, j.loanExpires = cell, d.node.now.Add(loanTimeout)
		d.lentCount++
		d.nextLoanExpiry = earliest(d.nextLoanExpiry, j.loanExpires)
		w := toWire(d.node.now, j.seq, j.ticket)
		w.Entry = j.entry
		out.Lends = append(out.Lends, w)
		count++
	}
	d.stats.lent += uint64(count)
	return count
}

// requeue queues a ticket again that was not granted by another cell.
func (d *dispatcher) requeue(j *job) {
	if j.borrower != "" {
		j.borrower = ""
		d.lentCount--
	}
	d.dirty = true
	if refusal := d.sched.Enqueue(d.node.now, j.ticket); refusal != nil {
		d.refuse(*refusal)
	}
}

// expireLoans returns borrowed tickets that have waited for borrowTimeout, and
// queues lent tickets again that the borrower has neither decided nor returned
// within loanTimeout.
func (d *dispatcher) expireLoans() {
	d.nextLoanExpiry = time.Time{}
	for _, id := range sortedKeys(d.jobs) {
		j := d.jobs[id]
		if j.loanExpires.IsZero() || j.running() {
			continue
		}
		if d.node.now.Before(j.loanExpires) {
			d.nextLoanExpiry = earliest(d.nextLoanExpiry, j.loanExpires)
			continue
		}
		j.loanExpires = time.Time{}
		if j.lender != "" {
			d.returnLoan(j)
		} else if j.borrower != "" {
			d.node.event("loan_lost", event.Event{Request: id, Detail: j.borrower})
			d.requeue(j)
		}
	}
}

// returnLoan returns a borrowed ticket to its lender without a decision.
func (d *dispatcher) returnLoan(j *job) {
	d.sched.Withdraw(j.ticket.ID)
	d.remove(j)
	s := d.siblingSection(j.lender)
	s.Returns = append(s.Returns, j.ticket.ID)
	d.stats.returned++
}

// mergeCounters merges src into dst, keeping the maximum of each counter. It
// returns dst, or a new map if dst is nil.
func mergeCounters(dst, src counters) counters {
	if dst == nil {
		dst = counters{}
	}
	for incarnation, workspaces := range src {
		if dst[incarnation] == nil {
			dst[incarnation] = map[string]dispatch.Counter{}
		}
		for name, c := range workspaces {
			old := dst[incarnation][name]
			dst[incarnation][name] = dispatch.Counter{
				Served: max(old.Served, c.Served), Offset: max(old.Offset, c.Offset),
			}
		}
	}
	return dst
}
