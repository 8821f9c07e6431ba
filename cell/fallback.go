package cell

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// fallbackTimeout is how long a dispatcher may leave messages unanswered before
// the entry schedules its requests itself.
const fallbackTimeout = time.Second

// fallback schedules the requests of one entry on its share of the slots of a
// cell whose dispatcher is unreachable.
type fallback struct {
	c         *client
	cell      string
	sched     *dispatch.Scheduler
	shares    map[string]dispatch.Upstream // upstreams with this entry's share of the slots
	limits    map[string]dispatch.Limits
	nextProbe time.Time
}

// startFallbacks starts a local scheduler for each cell whose dispatcher has left
// messages unanswered for fallbackTimeout while requests wait for it.
func (c *client) startFallbacks() {
	for _, cell := range sortedKeys(c.links) {
		l := c.links[cell]
		if l.fallback != nil || l.unansweredSince.IsZero() {
			continue
		}
		if at := l.unansweredSince.Add(fallbackTimeout); c.node.now.Before(at) {
			c.nextResend = earliest(c.nextResend, at)
			continue
		}
		c.startFallback(cell, l)
	}
}

func (c *client) startFallback(cell string, l *link) {
	spec := c.node.layout.byName[cell]
	if spec == nil || len(spec.upstreams) == 0 || c.waitingAt(cell) == 0 {
		return
	}
	f := &fallback{
		c: c, cell: cell, sched: c.node.newScheduler(cell), nextProbe: c.node.now.Add(resendInterval),
		shares: map[string]dispatch.Upstream{}, limits: map[string]dispatch.Limits{},
	}
	l.fallback = f
	f.configure()
	c.node.event("fallback", event.Event{Detail: cell})
	for _, r := range c.ordered() {
		f.add(r)
	}
}

func (c *client) waitingAt(cell string) int {
	count := 0
	for _, r := range c.bySeq {
		if !r.granted() && r.homeCell == cell {
			count++
		}
	}
	return count
}

// endFallback stops the local scheduler of a cell whose dispatcher answers again.
// It sends the dispatcher the counters of the service charged in the meantime and
// the running requests.
func (c *client) endFallback(cell string, l *link) {
	f := l.fallback
	if f == nil {
		return
	}
	l.fallback = nil
	c.node.event("fallback_end", event.Event{Detail: cell})
	c.sectionFor(cell).Counters = f.sched.Counters()
	c.sendState(cell)
}

// fallbackOf returns the active local scheduler of a cell, or nil.
func (c *client) fallbackOf(cell string) *fallback {
	if l := c.links[cell]; l != nil {
		return l.fallback
	}
	return nil
}

// configure applies this router's share of the slots and the plan limits.
func (f *fallback) configure() {
	node := f.c.node
	spec := node.layout.byName[f.cell]
	if spec == nil {
		return
	}
	shares := map[string]dispatch.Upstream{}
	slots := slotShare(spec, node.layout.routersOf(spec.region), node.cfg.Host)
	for _, u := range spec.upstreams {
		if slots[u.ID] > 0 {
			shares[u.ID] = dispatch.Upstream{ID: u.ID, Slots: slots[u.ID], Leaving: u.Leaving}
		}
	}
	applyDiff(f.shares, shares, func(_ string, u dispatch.Upstream) { f.sched.SetUpstream(u) }, f.sched.RemoveUpstream)
	f.shares = shares
	limits := node.view.Limits[spec.service]
	applyDiff(f.limits, limits, f.sched.SetWorkspace, f.sched.RemoveWorkspace)
	f.limits = limits
}

// slotShare returns the share of one router in the slots of a cell, by upstream.
// It assigns the slots to the routers of the region round-robin, so that the
// shares add up to the limits. If there are more routers than slots, the routers
// left over get one slot each, and the shares exceed the limits.
func slotShare(spec *cellSpec, routers []string, host string) map[string]int {
	slots := map[string]int{}
	var dealt []string
	for _, u := range spec.upstreams {
		for range u.Slots {
			dealt = append(dealt, u.ID)
		}
	}
	rank := max(0, slices.Index(routers, host))
	if len(dealt) == 0 {
		return slots
	}
	if rank >= len(dealt) {
		slots[dealt[rank%len(dealt)]] = 1
		return slots
	}
	for i := rank; i < len(dealt); i += max(1, len(routers)) {
		slots[dealt[i]]++
	}
	return slots
}

// add adds a running or waiting request of the cell to the scheduler.
func (f *fallback) add(r *request) {
	now := f.c.node.now
	if r.granted() {
		if r.cell == f.cell {
			f.sched.Adopt(now, r.ticket, r.upstream, r.used)
		}
		return
	}
	if r.homeCell != f.cell {
		return
	}
	if refusal := f.sched.Enqueue(now, r.ticket); refusal != nil {
		f.refuse(*refusal)
	}
}

// remove removes a waiting request that was withdrawn, refused or granted by a
// dispatcher. If the grant is for an upstream of this cell, it counts as running.
func (f *fallback) remove(r *request) {
	f.sched.Withdraw(r.ticket.ID)
	if r.granted() && r.cell == f.cell {
		f.sched.Adopt(f.c.node.now, r.ticket, r.upstream, r.used)
	}
}

// schedule applies all refusals, grants and stops that the local scheduler decides.
func (f *fallback) schedule() {
	now := f.c.node.now
	for _, r := range f.sched.Refuse(now) {
		f.refuse(r)
	}
	for {
		g, ok := f.sched.Next(now)
		if !ok {
			break
		}
		f.grant(g)
	}
	for _, id := range f.sched.Stops(now) {
		if r := f.c.requests[id]; r != nil {
			f.c.stop(f.cell, r.seq)
		}
	}
}

func (f *fallback) refuse(r dispatch.Refusal) {
	if q := f.c.requests[r.Ticket.ID]; q != nil && !q.granted() {
		f.c.refuse(q, r.Reason, r.RetryAfter)
	}
}

func (f *fallback) grant(g dispatch.Grant) {
	r := f.c.requests[g.Ticket.ID]
	if r == nil || r.granted() {
		f.sched.Finish(f.c.node.now, g.Ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		return
	}
	f.c.accept(r, f.cell, g.Upstream, 0)
}

// runTimers schedules requests and probes the dispatcher.
func (f *fallback) runTimers() {
	f.schedule()
	node := f.c.node
	if !node.now.Before(f.nextProbe) {
		f.nextProbe = node.now.Add(resendInterval)
		f.c.sendState(f.cell)
	}
	node.wakeAt(f.nextProbe)
	if at := f.sched.Wake(node.now); at.After(node.now) {
		node.wakeAt(at)
	}
}
