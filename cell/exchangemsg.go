package cell

import "github.com/lacewingshift/lacewingshift/dispatch"

// handleExchange processes the messages of the dispatcher of another cell.
func (n *Node) handleExchange(from string, s *section) {
	if s.Peer == "" {
		return
	}
	d := n.dispatchers[s.Cell]
	if d == nil || !d.ready || d.siblings[s.Peer] == nil {
		n.rejectLends(from, s)
		return
	}
	if s.Summary != nil {
		d.mergeSummary(s.Peer, *s.Summary)
	}
	for _, id := range s.Taken {
		d.handleTaken(id, s.Peer)
	}
	for _, id := range s.Returns {
		d.handleReturn(id, s.Peer)
	}
	for _, w := range s.Lends {
		d.borrow(from, s.Peer, w)
	}
	d.answerPulls(from, s)
}

// rejectLends returns tickets that were lent to this router although it is not
// ready as dispatcher of the cell.
func (n *Node) rejectLends(from string, s *section) {
	if len(s.Lends) == 0 {
		return
	}
	reply := n.out.sectionFor(from, s.Peer)
	reply.Peer = s.Cell
	for _, w := range s.Lends {
		reply.Returns = append(reply.Returns, w.ID)
	}
}

// mergeSummary updates a sibling and the scheduler from a received summary.
func (d *dispatcher) mergeSummary(cell string, summary dispatch.Summary) {
	s := d.siblings[cell]
	s.freeSlots = summary.FreeSlots
	s.hasWaiting = len(summary.Waiting) > 0
	d.sched.MergeSummary(d.n.now, cell, summary)
	d.dirty = true
}

// answerPulls answers pulls with tickets. While more tickets wait it adds a new
// summary, so that the other cell can pull again without waiting for the next
// one.
func (d *dispatcher) answerPulls(from string, s *section) {
	lent := 0
	for _, p := range s.Pulls {
		lent += d.lend(s.Peer, from, dispatch.Pull{Workspace: p.Workspace, Count: p.Count})
	}
	peer := d.siblings[s.Peer]
	if lent > 0 && d.waiting() > 0 {
		d.sendSummary(peer, d.summarize())
	}
}

// borrow queues a ticket of another cell for at most borrowTimeout, or returns it
// at once if it cannot be queued.
func (d *dispatcher) borrow(from, lender string, w wireTicket) {
	t := w.ticket(d.n.now, d.cellSpec.service, from)
	key := ticketKey{t.Entry, w.Seq}
	if d.byKey[key] != nil {
		return
	}
	t.Borrowed = true
	known := d.jobs[t.ID] != nil
	if known || !d.n.layout.isLive(t.Entry) || d.sched.Enqueue(d.n.now, t) != nil {
		s := d.siblingSection(lender)
		s.Returns = append(s.Returns, t.ID)
		return
	}
	d.stats.borrowed++
	j := &job{ticketKey: key, ticket: t, lender: lender, loanExpires: d.n.now.Add(borrowTimeout)}
	d.nextLoanExpiry = earliest(d.nextLoanExpiry, j.loanExpires)
	d.add(j)
}

// sendTaken tells the lender of a borrowed ticket that it was granted or refused.
func (d *dispatcher) sendTaken(j *job) {
	if j.lender == "" {
		return
	}
	s := d.siblingSection(j.lender)
	s.Taken = append(s.Taken, j.ticket.ID)
}

// handleTaken ends a loan whose ticket the borrower has granted or refused.
func (d *dispatcher) handleTaken(id, cell string) {
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
