package cell

import "github.com/lacewingshift/lacewingshift/dispatch"

// handleExchange processes the messages of the dispatcher of another cell.
func (n *Node) handleExchange(from string, s *section) {
	if s.SenderCell == "" {
		return
	}
	d := n.dispatchers[s.Cell]
	if d == nil || !d.ready || d.siblings[s.SenderCell] == nil {
		n.rejectLends(from, s)
		return
	}
	if s.Summary != nil {
		d.mergeSummary(s.SenderCell, *s.Summary)
	}
	for _, id := range s.Decided {
		d.handleDecided(id, s.SenderCell)
	}
	for _, id := range s.Returns {
		d.handleReturn(id, s.SenderCell)
	}
	for _, w := range s.Lends {
		d.borrow(from, s.SenderCell, w)
	}
	d.answerPulls(from, s)
}

// rejectLends returns tickets that were lent to this router although it is not
// ready as dispatcher of the cell.
func (n *Node) rejectLends(from string, s *section) {
	if len(s.Lends) == 0 {
		return
	}
	reply := n.out.sectionFor(from, s.SenderCell)
	reply.SenderCell = s.Cell
	for _, w := range s.Lends {
		reply.Returns = append(reply.Returns, w.ID)
	}
}

// mergeSummary updates a sibling and the scheduler from a received summary.
func (d *dispatcher) mergeSummary(cell string, summary dispatch.Summary) {
	s := d.siblings[cell]
	s.freeSlots = summary.FreeSlots
	s.hasWaiting = len(summary.Waiting) > 0
	d.sched.MergeSummary(d.node.now, cell, summary)
	d.dirty = true
}

// answerPulls answers pulls with tickets. While more tickets wait it adds a new
// summary, so that the other cell can pull again without waiting for the next
// one.
func (d *dispatcher) answerPulls(from string, s *section) {
	lent := 0
	for _, p := range s.Pulls {
		lent += d.lend(s.SenderCell, from, dispatch.Pull{Workspace: p.Workspace, Count: p.Count})
	}
	borrower := d.siblings[s.SenderCell]
	if lent > 0 && d.waiting() > 0 {
		d.sendSummary(borrower, d.summarize())
	}
}

// borrow queues a ticket of another cell for at most borrowTimeout, or returns it
// at once if it cannot be queued.
func (d *dispatcher) borrow(from, lender string, w wireTicket) {
	t := w.ticket(d.node.now, d.cellSpec.service, from)
	key := ticketKey{t.Entry, w.Seq}
	if d.byKey[key] != nil {
		return
	}
	t.Borrowed = true
	known := d.jobs[t.ID] != nil
	if known || !d.node.layout.isLive(t.Entry) || d.sched.Enqueue(d.node.now, t) != nil {
		s := d.siblingSection(lender)
		s.Returns = append(s.Returns, t.ID)
		return
	}
	d.stats.borrowed++
	j := &job{ticketKey: key, ticket: t, lender: lender, loanExpires: d.node.now.Add(borrowTimeout)}
	d.nextLoanExpiry = earliest(d.nextLoanExpiry, j.loanExpires)
	d.add(j)
}

// sendDecided tells the lender of a borrowed ticket that the ticket was granted or
// refused.
func (d *dispatcher) sendDecided(j *job) {
	if j.lender == "" {
		return
	}
	s := d.siblingSection(j.lender)
	s.Decided = append(s.Decided, j.ticket.ID)
}

// handleDecided ends a loan whose ticket the borrower has granted or refused.
func (d *dispatcher) handleDecided(id, cell string) {
	j := d.jobs[id]
	if j == nil || j.running() {
		return
	}
	if j.borrower == cell {
		d.remove(j)
		return
	}
	// The ticket was queued again after loanTimeout, but the borrower has decided
	// it.
	if j.borrower == "" && j.lender == "" {
		d.end(j, j.used, dispatch.OutcomeDeclined, dispatch.Sample{})
	}
}

// handleReturn queues a returned ticket again.
func (d *dispatcher) handleReturn(id, cell string) {
	if j := d.jobs[id]; j != nil && j.borrower == cell {
		d.requeue(j)
	}
}
