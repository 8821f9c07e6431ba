package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Timing of the entry side.
const (
	// resendInterval is the time between two messages about a waiting ticket.
	resendInterval = time.Second
	// probeInterval is how long an entry waits for an acknowledgement before it
	// sends its state to the dispatcher again. It is well below fallbackTimeout,
	// so that one lost message does not start the local fallback.
	probeInterval = 300 * time.Millisecond
	// progressInterval is the time between two usage reports of running requests.
	progressInterval = 250 * time.Millisecond
	// finishRetryPeriod is how long an unacknowledged Finish is sent again.
	finishRetryPeriod = 15 * time.Second
	// deadlineGrace is how long after the deadline of a ticket an entry waits for
	// the decision of the dispatcher before it refuses the ticket itself.
	deadlineGrace = 100 * time.Millisecond
)

// request is a request that arrived at this router.
type request struct {
	// seq identifies the request in messages between this entry and dispatchers.
	seq    uint64
	ticket ticket.Ticket
	// homeCell is the cell whose dispatcher gets the ticket, "" for none.
	homeCell string
	// cell, upstream and epoch are set by the grant.
	cell     string
	upstream string
	epoch    uint64
	used     ticket.Usage
	// reportedUsage is the usage last sent to the dispatcher.
	reportedUsage ticket.Usage
	sample        dispatch.Sample
	// reportDue forces a usage report even if the usage has not changed.
	reportDue bool
	// resendAt is when the dispatcher is asked again about a waiting request.
	resendAt time.Time
}

func (r *request) granted() bool { return r.upstream != "" }

// pendingFinish is a Finish that the dispatcher has not acknowledged.
type pendingFinish struct {
	cell     string
	message  finishMessage
	resendAt time.Time
	expires  time.Time
}

// link tracks whether the dispatcher of one cell answers this entry.
type link struct {
	// unansweredSince is when the oldest unacknowledged message was sent, zero
	// for none.
	unansweredSince time.Time
	lastProbe       time.Time
	// fallback is the active local scheduler of the cell, or nil.
	fallback *fallback
}

// client is the entry side of a Node, a client of the dispatchers. It owns the
// tickets of the requests that arrived at this router.
type client struct {
	node         *Node
	seq          uint64                    // of the latest request
	requests     map[string]*request       // by request id
	bySeq        map[uint64]*request       // the same requests by sequence number
	finishes     map[uint64]*pendingFinish // by sequence number
	links        map[string]*link          // by cell
	nextProgress time.Time                 // next call of sendProgress, zero for none
	nextResend   time.Time                 // next call of runResends, zero for none
}

func newClient(node *Node) *client {
	return &client{
		node:     node,
		seq:      firstSeq(node.incarnation),
		requests: map[string]*request{},
		bySeq:    map[uint64]*request{},
		finishes: map[uint64]*pendingFinish{},
		links:    map[string]*link{},
	}
}

func (c *client) submit(t ticket.Ticket) {
	if r := c.register(t); r != nil {
		c.assign(r)
	}
}

// register adds a ticket to the requests of this entry. It returns nil if the id
// is already known.
func (c *client) register(t ticket.Ticket) *request {
	if c.requests[t.ID] != nil {
		c.node.event("duplicate_submit", event.Event{Request: t.ID})
		return nil
	}
	c.seq++
	if t.Arrived.IsZero() {
		t.Arrived = c.node.now
	}
	t.Entry = c.node.cfg.Host
	r := &request{seq: c.seq, ticket: t}
	c.requests[t.ID] = r
	c.bySeq[r.seq] = r
	return r
}

// assign selects the home cell of a waiting request and sends the ticket to its
// dispatcher.
func (c *client) assign(r *request) {
	r.homeCell = c.node.layout.homeCell(r.ticket.Service, c.node.cfg.Region, r.ticket.ID)
	if r.homeCell == "" {
		if c.node.hasView {
			c.refuse(r, ticket.ReasonNoUpstream, 0)
		}
		return
	}
	c.sendTicket(r)
	if f := c.fallbackOf(r.homeCell); f != nil {
		f.add(r)
	}
}

// accept records the grant of a waiting request and adds the decision to the
// output.
func (c *client) accept(r *request, cell, upstream string, epoch uint64) {
	r.cell, r.upstream, r.epoch = cell, upstream, epoch
	c.node.output.Decisions = append(c.node.output.Decisions, Granted{
		ID: r.ticket.ID, Upstream: upstream, Cell: cell, Epoch: epoch,
	})
	c.node.event("granted", event.Event{
		Request: r.ticket.ID, Workspace: r.ticket.Workspace, Upstream: upstream, Detail: cell,
	})
}

// sectionFor returns the message section for the dispatcher of a cell.
func (c *client) sectionFor(cell string) *section {
	s := c.node.out.sectionFor(c.node.holder(cell), cell)
	s.Epoch = max(s.Epoch, c.node.claims[cell].Epoch)
	return s
}

func (c *client) link(cell string) *link {
	l := c.links[cell]
	if l == nil {
		l = &link{}
		c.links[cell] = l
	}
	return l
}

// awaitAck starts the wait for an acknowledgement by the dispatcher of a cell.
func (c *client) awaitAck(cell string) {
	if l := c.link(cell); l.unansweredSince.IsZero() {
		l.unansweredSince = c.node.now
		l.lastProbe = c.node.now
	}
}

func (c *client) sendTicket(r *request) {
	s := c.sectionFor(r.homeCell)
	s.Submits = append(s.Submits, toWire(c.node.now, r.seq, r.ticket))
	r.resendAt = c.node.now.Add(resendInterval)
	c.awaitAck(r.homeCell)
	overdue := c.link(r.homeCell).unansweredSince.Add(fallbackTimeout)
	c.nextResend = earliest(c.nextResend, r.resendAt, c.node.now.Add(probeInterval), overdue)
}

// forget removes a request from this entry without telling the dispatcher.
func (c *client) forget(r *request) {
	delete(c.requests, r.ticket.ID)
	delete(c.bySeq, r.seq)
}

// refuse removes a waiting request and adds the decision to the output.
func (c *client) refuse(r *request, reason ticket.RefusalReason, retryAfter time.Duration) {
	c.forget(r)
	c.node.output.Decisions = append(c.node.output.Decisions, Refused{ID: r.ticket.ID, Reason: reason, RetryAfter: retryAfter})
	c.node.event("refused", event.Event{Request: r.ticket.ID, Workspace: r.ticket.Workspace, Detail: string(reason)})
}

func (c *client) cancel(id string) {
	r := c.requests[id]
	if r == nil || r.granted() {
		return
	}
	c.withdraw(r)
}

// withdraw removes a waiting request and cancels its ticket at the dispatcher.
func (c *client) withdraw(r *request) {
	c.forget(r)
	if r.homeCell == "" {
		return
	}
	if f := c.fallbackOf(r.homeCell); f != nil {
		f.remove(r)
	}
	s := c.sectionFor(r.homeCell)
	s.Cancels = append(s.Cancels, r.seq)
}

func (c *client) progress(p Progress) {
	r := c.requests[p.ID]
	if r == nil || !r.granted() {
		return
	}
	r.used = maxUsage(r.used, p.Used)
	if f := c.fallbackOf(r.cell); f != nil {
		f.sched.Progress(c.node.now, p.ID, r.used)
	}
	if p.Sample != (dispatch.Sample{}) {
		r.sample = p.Sample
	}
	if c.nextProgress.IsZero() {
		c.nextProgress = c.node.now.Add(progressInterval)
	}
}

// finish removes a granted request and sends its Finish until the dispatcher
// acknowledges it, at most for finishRetryPeriod.
func (c *client) finish(in Finish) {
	r := c.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	c.forget(r)
	pending := &pendingFinish{
		cell: r.cell,
		message: finishMessage{
			Seq: r.seq, Used: maxUsage(r.used, in.Used), Outcome: in.Outcome, Sample: toWireSample(in.Sample),
		},
		expires: c.node.now.Add(finishRetryPeriod),
	}
	if f := c.fallbackOf(r.cell); f != nil {
		f.sched.Finish(c.node.now, in.ID, pending.message.Used, in.Outcome, in.Sample)
	}
	c.finishes[r.seq] = pending
	c.sendFinish(pending)
}

func (c *client) sendFinish(pending *pendingFinish) {
	s := c.sectionFor(pending.cell)
	s.Finishes = append(s.Finishes, pending.message)
	pending.resendAt = c.node.now.Add(resendInterval)
	c.awaitAck(pending.cell)
	c.nextResend = earliest(c.nextResend, pending.resendAt, c.node.now.Add(probeInterval))
}

// resume registers a request that is already running and reports it to the
// dispatcher of its upstream.
func (c *client) resume(in Resume) {
	if c.requests[in.Ticket.ID] != nil {
		c.node.event("duplicate_submit", event.Event{Request: in.Ticket.ID})
		return
	}
	c.seq++
	in.Ticket.Entry = c.node.cfg.Host
	r := &request{seq: c.seq, ticket: in.Ticket, upstream: in.Upstream, used: in.Used, reportedUsage: in.Used}
	r.homeCell = c.node.layout.homeCell(in.Ticket.Service, c.node.cfg.Region, in.Ticket.ID)
	r.cell = c.node.layout.cellOf[in.Upstream]
	if r.cell == "" {
		r.cell = r.homeCell
	}
	c.requests[in.Ticket.ID] = r
	c.bySeq[r.seq] = r
	if r.cell != "" {
		c.sendState(r.cell)
	}
}

// answerClaim answers a claim of a cell with the state of this entry. It no longer
// waits for the acknowledgement of messages sent before the claim, except during
// the local fallback.
func (c *client) answerClaim(cell string) {
	if l := c.link(cell); l.fallback == nil {
		l.unansweredSince = time.Time{}
	}
	c.sendState(cell)
}

// sendState sends the dispatcher of a cell all requests of this entry that belong to
// the cell.
func (c *client) sendState(cell string) {
	m := &stateMessage{}
	for _, r := range c.ordered() {
		switch {
		case r.granted() && r.cell == cell:
			m.Running = append(m.Running, runningMessage{
				Ticket: toWire(c.node.now, r.seq, r.ticket), Upstream: r.upstream, Used: r.used,
			})
			r.reportedUsage = r.used
		case !r.granted() && r.homeCell == cell:
			m.Queued = append(m.Queued, toWire(c.node.now, r.seq, r.ticket))
			r.resendAt = c.node.now.Add(resendInterval)
		}
	}
	s := c.sectionFor(cell)
	s.State = m
	c.node.attachCounters(cell, s)
	if len(m.Queued)+len(m.Running) > 0 {
		c.awaitAck(cell)
		c.nextResend = earliest(c.nextResend, c.node.now.Add(probeInterval))
	}
}

// viewChanged updates the local schedulers, and assigns waiting requests whose
// home cell has changed to the new one.
func (c *client) viewChanged() {
	for _, cell := range sortedKeys(c.links) {
		if f := c.links[cell].fallback; f != nil {
			f.configure()
		}
	}
	for _, r := range c.ordered() {
		if r.granted() {
			continue
		}
		homeCell := c.node.layout.homeCell(r.ticket.Service, c.node.cfg.Region, r.ticket.ID)
		if homeCell != r.homeCell {
			c.assign(r)
		}
	}
}

// ordered returns the requests sorted by sequence number.
func (c *client) ordered() []*request {
	list := make([]*request, 0, len(c.bySeq))
	for _, r := range c.bySeq {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// earliest returns the earliest of the times that are not zero.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}
