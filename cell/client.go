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
	resendAt  time.Time
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
	fallback        *fallback
}

// client is the entry side of a Node, a client of the dispatchers. It owns the
// tickets of the requests that arrived at this router.
type client struct {
	n            *Node
	seq          uint64
	requests     map[string]*request
	bySeq        map[uint64]*request
	finishes     map[uint64]*pendingFinish
	links        map[string]*link
	nextProgress time.Time
	nextResend   time.Time
}

func newClient(n *Node) *client {
	return &client{
		n:        n,
		seq:      firstSeq(n.incarnation),
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
		c.n.event("duplicate_submit", event.Event{Request: t.ID})
		return nil
	}
	c.seq++
	if t.Arrived.IsZero() {
		t.Arrived = c.n.now
	}
	t.Entry = c.n.cfg.Host
	r := &request{seq: c.seq, ticket: t}
	c.requests[t.ID] = r
	c.bySeq[r.seq] = r
	return r
}

// assign selects the home cell of a waiting request and sends the ticket to its
// dispatcher.
func (c *client) assign(r *request) {
	r.homeCell = c.n.layout.homeCell(r.ticket.Service, c.n.cfg.Region, r.ticket.ID)
	if r.homeCell == "" {
		if c.n.hasView {
			c.refuse(r, ticket.ReasonNoUpstream, 0)
		}
		return
	}
	c.sendTicket(r)
	if f := c.fallbackOf(r.homeCell); f != nil {
		f.add(r)
	}
}

// accept records the grant of a waiting request.
func (c *client) accept(r *request, cell, upstream string, epoch uint64) {
	r.cell, r.upstream, r.epoch = cell, upstream, epoch
	c.n.output.Decisions = append(c.n.output.Decisions, Granted{
		ID: r.ticket.ID, Upstream: upstream, Cell: cell, Epoch: epoch,
	})
	c.n.event("granted", event.Event{
		Request: r.ticket.ID, Workspace: r.ticket.Workspace, Upstream: upstream, Detail: cell,
	})
}

// sectionFor returns the message section for the dispatcher of a cell.
func (c *client) sectionFor(cell string) *section {
	s := c.n.out.sectionFor(c.n.holder(cell), cell)
	s.Epoch = max(s.Epoch, c.n.claims[cell].Epoch)
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
		l.unansweredSince = c.n.now
		l.lastProbe = c.n.now
	}
}

func (c *client) sendTicket(r *request) {
	s := c.sectionFor(r.homeCell)
	s.Submits = append(s.Submits, toWire(c.n.now, r.seq, r.ticket))
	r.resendAt = c.n.now.Add(resendInterval)
	c.awaitAck(r.homeCell)
	overdue := c.link(r.homeCell).unansweredSince.Add(fallbackTimeout)
	c.nextResend = earliest(c.nextResend, r.resendAt, c.n.now.Add(probeInterval), overdue)
}

func (c *client) forget(r *request) {
	delete(c.requests, r.ticket.ID)
	delete(c.bySeq, r.seq)
}

func (c *client) refuse(r *request, reason ticket.RefusalReason, retryAfter time.Duration) {
	c.forget(r)
	c.n.output.Decisions = append(c.n.output.Decisions, Refused{ID: r.ticket.ID, Reason: reason, RetryAfter: retryAfter})
	c.n.event("refused", event.Event{Request: r.ticket.ID, Workspace: r.ticket.Workspace, Detail: string(reason)})
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
		f.sched.Progress(c.n.now, p.ID, r.used)
	}
	if p.Sample != (dispatch.Sample{}) {
		r.sample = p.Sample
	}
	if c.nextProgress.IsZero() {
		c.nextProgress = c.n.now.Add(progressInterval)
	}
}

func (c *client) finish(in Finish) {
	r := c.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	c.forget(r)
	e := &pendingFinish{
		cell: r.cell,
		message: finishMessage{
			Seq: r.seq, Used: maxUsage(r.used, in.Used), Outcome: in.Outcome, Sample: toWireSample(in.Sample),
		},
		expires: c.n.now.Add(finishRetryPeriod),
	}
	if f := c.fallbackOf(r.cell); f != nil {
		f.sched.Finish(c.n.now, in.ID, e.message.Used, in.Outcome, in.Sample)
	}
	c.finishes[r.seq] = e
	c.sendFinish(e)
}

func (c *client) sendFinish(e *pendingFinish) {
	s := c.sectionFor(e.cell)
	s.Finishes = append(s.Finishes, e.message)
	e.resendAt = c.n.now.Add(resendInterval)
	c.awaitAck(e.cell)
	c.nextResend = earliest(c.nextResend, e.resendAt, c.n.now.Add(probeInterval))
}

// resume registers a request that is already running and reports it to the
// dispatcher of its upstream.
func (c *client) resume(in Resume) {
	if c.requests[in.Ticket.ID] != nil {
		c.n.event("duplicate_submit", event.Event{Request: in.Ticket.ID})
		return
	}
	c.seq++
	in.Ticket.Entry = c.n.cfg.Host
	r := &request{seq: c.seq, ticket: in.Ticket, upstream: in.Upstream, used: in.Used, reportedUsage: in.Used}
	r.homeCell = c.n.layout.homeCell(in.Ticket.Service, c.n.cfg.Region, in.Ticket.ID)
	r.cell = c.n.layout.cellOf[in.Upstream]
	if r.cell == "" {
		r.cell = r.homeCell
	}
	c.requests[in.Ticket.ID] = r
	c.bySeq[r.seq] = r
	if r.cell != "" {
		c.sendState(r.cell)
	}
}

// answerClaim sends the dispatcher of a cell all requests of this entry that
// belong to the cell.
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
				Ticket: toWire(c.n.now, r.seq, r.ticket), Upstream: r.upstream, Used: r.used,
			})
			r.reportedUsage = r.used
		case !r.granted() && r.homeCell == cell:
			m.Queued = append(m.Queued, toWire(c.n.now, r.seq, r.ticket))
			r.resendAt = c.n.now.Add(resendInterval)
		}
	}
	s := c.sectionFor(cell)
	s.State = m
	c.n.attachCounters(cell, s)
	if len(m.Queued)+len(m.Running) > 0 {
		c.awaitAck(cell)
		c.nextResend = earliest(c.nextResend, c.n.now.Add(probeInterval))
	}
}

// viewChanged assigns waiting requests whose home cell has changed to the new
// one.
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
		homeCell := c.n.layout.homeCell(r.ticket.Service, c.n.cfg.Region, r.ticket.ID)
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
