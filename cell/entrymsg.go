package cell

import (
	"cmp"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// handle processes the messages of an entry.
func (d *dispatcher) handle(from string, s *section) {
	d.handleFinishes(from, s.Finishes)
	for _, seq := range s.Declines {
		d.decline(ticketKey{from, seq})
	}
	for _, u := range s.Usages {
		d.progress(ticketKey{from, u.Seq}, u.Used, u.Sample.sample())
	}
	d.handleProgress(from, s.Progress)
	for _, seq := range s.Cancels {
		d.cancel(ticketKey{from, seq})
	}
	if s.State != nil {
		d.handleState(from, *s.State)
	}
	for _, w := range s.Submits {
		d.submit(from, w)
	}
	d.handleWaiting(from, s.Waiting)
	if s.wantsAck() {
		d.sectionFor(from).ack()
	}
}

func (d *dispatcher) submit(from string, w wireTicket) {
	key := ticketKey{from, w.Seq}
	if j := d.byKey[key]; j != nil {
		d.resendGrant(j)
		return
	}
	if !d.replaceAttempt(key, w.ID) {
		return
	}
	j := &job{ticketKey: key, ticket: w.ticket(d.node.now, d.cellSpec.service, from)}
	if refusal := d.sched.Enqueue(d.node.now, j.ticket); refusal != nil {
		d.sendRefusal(key, *refusal)
		return
	}
	d.add(j)
}

// replaceAttempt ends an earlier attempt of the same request. It returns false if
// the known attempt is the later one.
func (d *dispatcher) replaceAttempt(key ticketKey, id string) bool {
	j := d.jobs[id]
	if j == nil {
		return true
	}
	if j.entry == key.entry && j.seq > key.seq {
		return false
	}
	d.end(j, j.used, dispatch.OutcomeCanceled, dispatch.Sample{})
	return true
}

// resendGrant answers an entry that still waits for a ticket that was granted.
func (d *dispatcher) resendGrant(j *job) {
	if j.running() && d.ready {
		d.sendGrant(j)
	}
}

// handleWaiting answers an entry that still waits for tickets: it repeats the grants
// of those that are running, and names those that are unknown here.
func (d *dispatcher) handleWaiting(from string, packed []uint64) {
	for _, seq := range unpackSeqs(packed) {
		j := d.byKey[ticketKey{from, seq}]
		if j == nil {
			ack := d.sectionFor(from).ack()
			ack.Unknown = append(ack.Unknown, seq)
			continue
		}
		d.resendGrant(j)
	}
}

func (d *dispatcher) cancel(key ticketKey) {
	if j := d.byKey[key]; j != nil {
		d.end(j, j.used, dispatch.OutcomeCanceled, dispatch.Sample{})
	}
}

// decline ends a ticket whose grant the entry does not accept. A ticket with usage
// has run, so that it counts as canceled and not as declined.
func (d *dispatcher) decline(key ticketKey) {
	j := d.byKey[key]
	if j == nil {
		return
	}
	outcome := dispatch.OutcomeDeclined
	if j.used != (ticket.Usage{}) {
		outcome = dispatch.OutcomeCanceled
	}
	d.end(j, j.used, outcome, dispatch.Sample{})
}

func (d *dispatcher) handleFinishes(from string, finishes []finishMessage) {
	for _, f := range finishes {
		ack := d.sectionFor(from).ack()
		ack.Finished = append(ack.Finished, f.Seq)
		if j := d.byKey[ticketKey{from, f.Seq}]; j != nil {
			d.end(j, f.Used, f.Outcome, f.Sample.sample())
		}
	}
}

// handleProgress decodes section.Progress.
func (d *dispatcher) handleProgress(from string, packed []int64) {
	seq := uint64(0)
	for i := 0; i+1 < len(packed); i += 2 {
		seq += uint64(packed[i])
		key := ticketKey{from, seq}
		used := ticket.Usage{}
		if j := d.byKey[key]; j != nil {
			used = j.used
		}
		used.GeneratedTokens = packed[i+1]
		d.progress(key, used, dispatch.Sample{})
	}
}

// progress charges the usage of a ticket so far. If the ticket is unknown or not
// running here, the dispatcher has missed a message and requests the state of the
// entry.
func (d *dispatcher) progress(key ticketKey, used ticket.Usage, s dispatch.Sample) {
	j := d.byKey[key]
	if j == nil {
		d.requestState(key.entry)
		return
	}
	j.lastReport = d.node.now
	if !j.running() {
		d.requestState(key.entry)
		return
	}
	j.used = maxUsage(j.used, used)
	if d.node.now.Sub(j.lastCharge) >= minChargeInterval {
		j.lastCharge = d.node.now
		d.sched.Progress(d.node.now, j.ticket.ID, j.used)
	}
	if s != (dispatch.Sample{}) {
		d.sched.Observe(d.node.now, j.upstream, s)
	}
	d.dirty = true
}

// handleState merges all tickets that an entry has in this cell.
func (d *dispatcher) handleState(from string, m stateMessage) {
	for _, r := range m.Running {
		d.adopt(from, r)
	}
	for _, w := range m.Queued {
		d.submit(from, w)
	}
	d.stateReceived(from)
}

// adopt adds a ticket that is already running.
func (d *dispatcher) adopt(from string, r runningMessage) {
	key := ticketKey{from, r.Ticket.Seq}
	if j := d.byKey[key]; j != nil && j.upstream == r.Upstream {
		d.progress(key, r.Used, dispatch.Sample{})
		return
	}
	if !d.replaceAttempt(key, r.Ticket.ID) {
		return
	}
	j := &job{
		ticketKey: key, ticket: r.Ticket.ticket(d.node.now, d.cellSpec.service, from),
		upstream: r.Upstream, used: r.Used, lastReport: d.node.now, lastCharge: d.node.now,
	}
	d.sched.Adopt(d.node.now, j.ticket, r.Upstream, r.Used)
	d.add(j)
}

// requestState requests the state of an entry by sending the claim again.
func (d *dispatcher) requestState(entry string) {
	if at, ok := d.stateRequested[entry]; ok && d.node.now.Sub(at) < stateRequestInterval {
		return
	}
	d.stateRequested[entry] = d.node.now
	d.sendClaim(entry)
}

// compareEpoch sends the claim to an entry that knows a different epoch. The
// entry accepts the claim or answers with a higher one.
func (d *dispatcher) compareEpoch(from string, s *section) {
	if s.Epoch != 0 && s.Epoch != d.epoch {
		d.requestState(from)
	}
}

// maxUsage merges two usage reports of the same request, which may arrive in any
// order.
func maxUsage(a, b ticket.Usage) ticket.Usage {
	return ticket.Usage{
		PromptTokens:    max(a.PromptTokens, b.PromptTokens),
		CachedTokens:    max(a.CachedTokens, b.CachedTokens),
		GeneratedTokens: max(a.GeneratedTokens, b.GeneratedTokens),
		PlainCalls:      max(a.PlainCalls, b.PlainCalls),
	}
}

func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.entry, b.entry); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}
