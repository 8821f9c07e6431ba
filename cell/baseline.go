package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// baseline implements the comparison policies KindFIFO and KindFairLocal: it
// schedules the requests of one router on the upstreams of all regions without
// sending any message. Because routers do not coordinate, an upstream can get
// more requests than it has slots.
type baseline struct {
	n      *Node
	queues map[string]*localQueue
}

// localQueue schedules the requests for one service.
type localQueue struct {
	sched     *dispatch.Scheduler
	upstreams map[string]dispatch.Upstream
	limits    map[string]dispatch.Limits
}

// isBaseline reports whether a policy works without dispatchers.
func isBaseline(k dispatch.Kind) bool {
	return k == dispatch.KindFIFO || k == dispatch.KindFairLocal
}

func newBaseline(n *Node) *baseline {
	return &baseline{n: n, queues: map[string]*localQueue{}}
}

// step handles one input, then grants and refuses every request that it can.
func (b *baseline) step(in Input) Output {
	b.apply(in)
	b.schedule()
	b.wake()
	return b.n.endStep()
}

func (b *baseline) apply(in Input) {
	switch in := in.(type) {
	case ViewChanged:
		b.setView(in.View)
	case Submit:
		b.submit(in.Ticket)
	case Cancel:
		b.cancel(in.ID)
	case Progress:
		b.progress(in)
	case Finish:
		b.end(in)
	case Resume:
		b.resume(in)
	case Leave:
		b.n.leaving = true
	case Receive, Tick:
	}
}

func (b *baseline) setView(v View) {
	n := b.n
	n.view = v
	n.hasView = true
	n.layout = newLayout(v, n.cfg.MaxUpstreams, "")
	for _, service := range services(v) {
		b.queue(service)
	}
	for _, service := range sortedKeys(b.queues) {
		b.queues[service].configure(service, v)
	}
	for _, r := range n.client.ordered() {
		if !r.granted() {
			b.enqueue(r)
		}
	}
}

// queue returns the queue of a service, creating it if necessary.
func (b *baseline) queue(service string) *localQueue {
	q := b.queues[service]
	if q == nil {
		n := b.n
		q = &localQueue{sched: n.newSchedulerWith(service, n.cfg.Policy)}
		b.queues[service] = q
		q.configure(service, n.view)
	}
	return q
}

// configure applies the upstreams of the service, with all their slots, and the
// plan limits.
func (q *localQueue) configure(service string, v View) {
	upstreams := map[string]dispatch.Upstream{}
	for _, h := range v.Upstreams {
		if h.Service == service && (h.Kind == "" || h.Kind == objectapi.HostUpstream) {
			upstreams[h.ID] = dispatch.Upstream{ID: h.ID, Slots: h.Slots, Leaving: h.Leaving}
		}
	}
	applyDiff(q.upstreams, upstreams, func(_ string, u dispatch.Upstream) { q.sched.SetUpstream(u) }, q.sched.RemoveUpstream)
	q.upstreams = upstreams
	limits := v.Limits[service]
	applyDiff(q.limits, limits, q.sched.SetWorkspace, q.sched.RemoveWorkspace)
	q.limits = limits
}

func (b *baseline) submit(t ticket.Ticket) {
	if r := b.n.client.register(t); r != nil {
		b.enqueue(r)
	}
}

// enqueue adds a waiting request to the queue of its service. Requests that
// arrive before the first view are enqueued by setView.
func (b *baseline) enqueue(r *request) {
	n := b.n
	if !n.hasView {
		return
	}
	q := b.queues[r.ticket.Service]
	if q == nil {
		n.client.refuse(r, ticket.ReasonNoUpstream, 0)
		return
	}
	if refusal := q.sched.Enqueue(n.now, r.ticket); refusal != nil {
		n.client.refuse(r, refusal.Reason, refusal.RetryAfter)
	}
}

func (b *baseline) cancel(id string) {
	r := b.n.client.requests[id]
	if r == nil || r.granted() {
		return
	}
	if q := b.queues[r.ticket.Service]; q != nil {
		q.sched.Withdraw(id)
	}
	b.n.client.forget(r)
}

func (b *baseline) progress(in Progress) {
	r := b.n.client.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	r.used = maxUsage(r.used, in.Used)
	b.queue(r.ticket.Service).sched.Progress(b.n.now, in.ID, r.used)
}

func (b *baseline) end(in Finish) {
	r := b.n.client.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	b.n.client.forget(r)
	used := maxUsage(r.used, in.Used)
	b.queue(r.ticket.Service).sched.Finish(b.n.now, in.ID, used, in.Outcome, in.Sample)
}

// resume registers a request that is already running and charges it to its
// upstream.
func (b *baseline) resume(in Resume) {
	r := b.n.client.register(in.Ticket)
	if r == nil {
		return
	}
	r.upstream, r.used = in.Upstream, in.Used
	b.queue(r.ticket.Service).sched.Adopt(b.n.now, r.ticket, in.Upstream, in.Used)
}

func (b *baseline) schedule() {
	for _, service := range sortedKeys(b.queues) {
		b.decide(b.queues[service])
	}
}

// decide refuses and grants the requests of one queue that are due.
func (b *baseline) decide(q *localQueue) {
	n := b.n
	for _, f := range q.sched.Refuse(n.now) {
		if r := n.client.requests[f.Ticket.ID]; r != nil && !r.granted() {
			n.client.refuse(r, f.Reason, f.RetryAfter)
		}
	}
	for {
		g, ok := q.sched.Next(n.now)
		if !ok {
			return
		}
		if r := n.client.requests[g.Ticket.ID]; r != nil && !r.granted() {
			n.client.accept(r, n.layout.cellOf[g.Upstream], g.Upstream, 0)
			continue
		}
		q.sched.Finish(n.now, g.Ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
	}
}

// wake sets the time of the next Tick from the timers of the schedulers, such as
// deadlines and the grace period of a service without upstreams.
func (b *baseline) wake() {
	n := b.n
	n.nextWake = time.Time{}
	for _, service := range sortedKeys(b.queues) {
		at := b.queues[service].sched.Wake(n.now)
		if !at.IsZero() && !at.After(n.now) {
			at = n.now.Add(overdueRetry)
		}
		n.wakeAt(at)
	}
}
