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
	node   *Node
	queues map[string]*localQueue
}

// localQueue schedules the requests of one service.
type localQueue struct {
	sched     *dispatch.Scheduler
	upstreams map[string]dispatch.Upstream
	limits    map[string]dispatch.Limits
}

// isBaseline reports whether a policy works without dispatchers.
func isBaseline(k dispatch.Kind) bool {
	return k == dispatch.KindFIFO || k == dispatch.KindFairLocal
}

func newBaseline(node *Node) *baseline {
	return &baseline{node: node, queues: map[string]*localQueue{}}
}

// step handles one input, then grants and refuses every request that it can.
func (b *baseline) step(in Input) Output {
	b.apply(in)
	b.schedule()
	b.setNextWake()
	return b.node.endStep()
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
		b.finish(in)
	case Resume:
		b.resume(in)
	case Leave:
		b.node.leaving = true
	case Receive, Tick:
	}
}

func (b *baseline) setView(v View) {
	node := b.node
	node.view = v
	node.hasView = true
	node.layout = newLayout(v, node.cfg.MaxUpstreams, "")
	for _, service := range services(v) {
		b.queue(service)
	}
	for _, service := range sortedKeys(b.queues) {
		b.queues[service].configure(service, v)
	}
	for _, r := range node.client.ordered() {
		if !r.granted() {
			b.enqueue(r)
		}
	}
}

// queue returns the queue of a service, creating it if necessary.
func (b *baseline) queue(service string) *localQueue {
	q := b.queues[service]
	if q == nil {
		node := b.node
		q = &localQueue{sched: node.newSchedulerWith(service, node.cfg.Policy)}
		b.queues[service] = q
		q.configure(service, node.view)
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
	if r := b.node.client.register(t); r != nil {
		b.enqueue(r)
	}
}

// enqueue adds a waiting request to the queue of its service. Requests that
// arrive before the first view are enqueued by setView.
func (b *baseline) enqueue(r *request) {
	node := b.node
	if !node.hasView {
		return
	}
	q := b.queues[r.ticket.Service]
	if q == nil {
		node.client.refuse(r, ticket.ReasonNoUpstream, 0)
		return
	}
	if refusal := q.sched.Enqueue(node.now, r.ticket); refusal != nil {
		node.client.refuse(r, refusal.Reason, refusal.RetryAfter)
	}
}

func (b *baseline) cancel(id string) {
	r := b.node.client.requests[id]
	if r == nil || r.granted() {
		return
	}
	if q := b.queues[r.ticket.Service]; q != nil {
		q.sched.Withdraw(id)
	}
	b.node.client.forget(r)
}

func (b *baseline) progress(in Progress) {
	r := b.node.client.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	r.used = maxUsage(r.used, in.Used)
	b.queue(r.ticket.Service).sched.Progress(b.node.now, in.ID, r.used)
}

func (b *baseline) finish(in Finish) {
	r := b.node.client.requests[in.ID]
	if r == nil || !r.granted() {
		return
	}
	b.node.client.forget(r)
	used := maxUsage(r.used, in.Used)
	b.queue(r.ticket.Service).sched.Finish(b.node.now, in.ID, used, in.Outcome, in.Sample)
}

// resume registers a request that is already running and charges it to its
// upstream.
func (b *baseline) resume(in Resume) {
	r := b.node.client.register(in.Ticket)
	if r == nil {
		return
	}
	r.upstream, r.used = in.Upstream, in.Used
	b.queue(r.ticket.Service).sched.Adopt(b.node.now, r.ticket, in.Upstream, in.Used)
}

func (b *baseline) schedule() {
	for _, service := range sortedKeys(b.queues) {
		b.decide(b.queues[service])
	}
}

// decide refuses and grants the requests of one queue that are due.
func (b *baseline) decide(q *localQueue) {
	node := b.node
	for _, f := range q.sched.Refuse(node.now) {
		if r := node.client.requests[f.Ticket.ID]; r != nil && !r.granted() {
			node.client.refuse(r, f.Reason, f.RetryAfter)
		}
	}
	for {
		g, ok := q.sched.Next(node.now)
		if !ok {
			return
		}
		if r := node.client.requests[g.Ticket.ID]; r != nil && !r.granted() {
			node.client.accept(r, node.layout.cellOf[g.Upstream], g.Upstream, 0)
			continue
		}
		q.sched.Finish(node.now, g.Ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
	}
}

// setNextWake sets the time of the next Tick from the timers of the schedulers, such as
// deadlines and the grace period of a service without upstreams.
func (b *baseline) setNextWake() {
	node := b.node
	node.nextWake = time.Time{}
	for _, service := range sortedKeys(b.queues) {
		at := b.queues[service].sched.Wake(node.now)
		if !at.IsZero() && !at.After(node.now) {
			at = node.now.Add(overdueRetry)
		}
		node.wakeAt(at)
	}
}
