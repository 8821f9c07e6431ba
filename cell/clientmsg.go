package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// handle processes the messages of a dispatcher to this entry.
func (c *client) handle(from string, s *section) {
	if s.Ack == nil && len(s.Grants)+len(s.Refusals)+len(s.Stops) == 0 {
		return
	}
	if s.Ack != nil && s.Ack.NotHolder {
		c.handleNotHolder(from, s.Cell)
		return
	}
	if !c.fromHolder(from, s) {
		return
	}
	if l := c.link(s.Cell); s.Ack != nil {
		// Only an acknowledgement shows that messages reach the dispatcher. Grants
		// do not.
		l.unansweredSince = time.Time{}
		c.endFallback(s.Cell, l)
	}
	for _, g := range s.Grants {
		c.handleGrant(from, s, g)
	}
	for _, m := range s.Refusals {
		c.handleRefusal(m)
	}
	for _, seq := range s.Stops {
		c.stop(s.Cell, seq)
	}
	if s.Ack != nil {
		c.handleAck(s.Cell, *s.Ack)
	}
}

// fromHolder reports whether the sender has the highest known claim. A dispatcher
// that was superseded gets its grants declined and is sent the higher claim.
func (c *client) fromHolder(from string, s *section) bool {
	claim := claimMessage{Epoch: s.Epoch, Holder: from}
	known := c.node.claims[s.Cell]
	if claim == known {
		return true
	}
	if s.Epoch != 0 && claim.higherThan(known) {
		c.node.observeClaim(from, s.Cell, claim)
		return true
	}
	reply := c.node.out.sectionFor(from, s.Cell)
	reply.Claim = &known
	for _, g := range s.Grants {
		reply.Declines = append(reply.Declines, g.Seq)
	}
	return false
}

// handleGrant accepts the first grant of a ticket and declines all others. A
// dispatcher repeats the grant of a running request to ask for a usage report.
func (c *client) handleGrant(from string, s *section, g grantMessage) {
	r := c.bySeq[g.Seq]
	if r != nil && r.granted() && r.cell == s.Cell && r.upstream == g.Upstream {
		r.epoch = s.Epoch
		r.reportDue = true
		c.nextProgress = earliest(c.nextProgress, c.node.now)
		return
	}
	if r == nil || r.granted() {
		reply := c.node.out.sectionFor(from, s.Cell)
		reply.Declines = append(reply.Declines, g.Seq)
		return
	}
	c.accept(r, s.Cell, g.Upstream, s.Epoch)
	if f := c.fallbackOf(r.homeCell); f != nil {
		f.remove(r)
	}
}

func (c *client) handleRefusal(m refusalMessage) {
	if r := c.bySeq[m.Seq]; r != nil && !r.granted() {
		if f := c.fallbackOf(r.homeCell); f != nil {
			f.remove(r)
		}
		c.refuse(r, m.Reason, time.Duration(m.RetryAfter)*time.Millisecond)
	}
}

// stop adds the decision to stop a running request of a cell to the output.
func (c *client) stop(cell string, seq uint64) {
	r := c.bySeq[seq]
	if r == nil || !r.granted() || r.cell != cell {
		return
	}
	c.node.output.Decisions = append(c.node.output.Decisions, Stop{ID: r.ticket.ID})
	c.node.event("stop", event.Event{Request: r.ticket.ID, Workspace: r.ticket.Workspace, Upstream: r.upstream})
}

func (c *client) handleAck(cell string, ack ackMessage) {
	for _, seq := range ack.Finished {
		delete(c.finishes, seq)
	}
	for _, seq := range ack.Unknown {
		if r := c.bySeq[seq]; r != nil && !r.granted() && r.homeCell == cell {
			c.sendTicket(r)
		}
	}
}

// handleNotHolder clears the holder of a claim when that router no longer holds
// the cell. It keeps the epoch.
func (c *client) handleNotHolder(from, cell string) {
	if claim := c.node.claims[cell]; claim.Holder == from {
		claim.Holder = ""
		c.node.claims[cell] = claim
	}
}

func (c *client) runTimers() {
	if !c.nextProgress.IsZero() && !c.node.now.Before(c.nextProgress) {
		c.sendProgress()
	}
	if !c.nextResend.IsZero() && !c.node.now.Before(c.nextResend) {
		c.runResends()
	}
	for _, cell := range sortedKeys(c.links) {
		if f := c.links[cell].fallback; f != nil {
			f.runTimers()
		}
	}
	c.node.wakeAt(c.nextProgress)
	c.node.wakeAt(c.nextResend)
}

// sendProgress reports the running requests whose usage has changed or whose
// report was asked for.
func (c *client) sendProgress() {
	c.nextProgress = time.Time{}
	last := map[string]uint64{}
	for _, r := range c.ordered() {
		if !r.granted() || r.used == r.reportedUsage && r.sample == (dispatch.Sample{}) && !r.reportDue {
			continue
		}
		s := c.sectionFor(r.cell)
		if generatedOnly(r) {
			s.Progress = append(s.Progress, int64(r.seq-last[r.cell]), r.used.GeneratedTokens)
			last[r.cell] = r.seq
		} else {
			s.Usages = append(s.Usages, usageMessage{Seq: r.seq, Used: r.used, Sample: toWireSample(r.sample)})
		}
		r.reportedUsage, r.sample, r.reportDue = r.used, dispatch.Sample{}, false
	}
}

// generatedOnly reports whether only the number of generated tokens has changed,
// so that the compact section.Progress can carry the report.
func generatedOnly(r *request) bool {
	used, reportedUsage := r.used, r.reportedUsage
	used.GeneratedTokens, reportedUsage.GeneratedTokens = 0, 0
	return used == reportedUsage && r.sample == (dispatch.Sample{})
}

// runResends sends unanswered messages again and refuses tickets whose deadline
// has passed without a decision.
func (c *client) runResends() {
	c.nextResend = time.Time{}
	waiting := map[string][]uint64{}
	for _, r := range c.ordered() {
		if r.granted() || c.expire(r) {
			continue
		}
		if !c.node.now.Before(r.resendAt) || c.probeDue(r.homeCell) {
			r.resendAt = c.node.now.Add(resendInterval)
			if r.homeCell != "" {
				waiting[r.homeCell] = append(waiting[r.homeCell], r.seq)
			}
		}
		c.nextResend = earliest(c.nextResend, r.resendAt)
	}
	for _, cell := range sortedKeys(waiting) {
		c.sectionFor(cell).Waiting = packSeqs(waiting[cell])
		c.awaitAck(cell)
		c.link(cell).lastProbe = c.node.now
	}
	c.resendFinishes()
	c.probeLinks()
	c.startFallbacks()
}

// probeLinks asks dispatchers that are silent and have not been asked by a
// repeated ticket or finish.
func (c *client) probeLinks() {
	for _, cell := range sortedKeys(c.links) {
		l := c.links[cell]
		if l.unansweredSince.IsZero() {
			continue
		}
		if c.probeDue(cell) {
			l.lastProbe = c.node.now
			c.probe(cell, l)
		}
		c.nextResend = earliest(c.nextResend, l.lastProbe.Add(probeInterval))
	}
}

// probe sends the state of a cell to its dispatcher again. Without any request of
// the cell it stops waiting for an acknowledgement.
func (c *client) probe(cell string, l *link) {
	for _, r := range c.bySeq {
		if r.cell == cell || r.homeCell == cell {
			c.sendState(cell)
			return
		}
	}
	l.unansweredSince = time.Time{}
}

// probeDue reports whether the dispatcher of a cell has left messages unanswered
// for probeInterval since the last probe.
func (c *client) probeDue(cell string) bool {
	l := c.links[cell]
	return l != nil && !l.unansweredSince.IsZero() && c.node.now.Sub(l.lastProbe) >= probeInterval
}

// expire refuses a ticket whose deadline has passed without a decision, and
// reports whether it did.
func (c *client) expire(r *request) bool {
	if r.ticket.Deadline.IsZero() {
		return false
	}
	at := r.ticket.Deadline.Add(deadlineGrace)
	if c.node.now.Before(at) {
		c.nextResend = earliest(c.nextResend, at)
		return false
	}
	c.withdraw(r)
	c.refuse(r, ticket.ReasonDeadlinePassed, 0)
	return true
}

// resendFinishes sends unacknowledged finishes again until they expire.
func (c *client) resendFinishes() {
	for _, seq := range sortedKeys(c.finishes) {
		pending := c.finishes[seq]
		if !c.node.now.Before(pending.expires) {
			delete(c.finishes, seq)
			continue
		}
		if !c.node.now.Before(pending.resendAt) || c.probeDue(pending.cell) {
			c.sendFinish(pending)
			c.link(pending.cell).lastProbe = c.node.now
		}
		c.nextResend = earliest(c.nextResend, pending.resendAt)
	}
}
