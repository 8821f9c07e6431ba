package router

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/entry"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// decisionQueue holds the decisions of one request that were not read yet: a
// grant or refusal, and a stop.
const decisionQueue = 4

// cells connects the cell state machine to the peers and to the entry. It
// implements entry.Scheduler.
type cells struct {
	ctx       context.Context
	node      *cell.Node
	loop      *loop[cell.Input]
	transport peer.Transport
	events    *event.Log
	host      func(id string) (objectapi.Host, bool)

	mu      sync.Mutex
	waiting map[string]chan entry.Decision
}

func newCells(ctx context.Context, node *cell.Node, transport peer.Transport, events *event.Log,
	host func(string) (objectapi.Host, bool)) *cells {
	c := &cells{
		ctx: ctx, node: node, transport: transport, events: events, host: host,
		waiting: map[string]chan entry.Decision{},
	}
	c.loop = newLoop[cell.Input](cell.Tick{}, c.step)
	return c
}

func (c *cells) step(now time.Time, in cell.Input) time.Time {
	out := c.node.Step(now, in)
	for _, message := range out.Send {
		c.transport.Send(message.To, peer.PartCell, message.Body)
	}
	for _, e := range out.Events {
		e.Part = "cell"
		e.Request = entry.RequestID(e.Request)
		c.events.Add(e)
	}
	for _, decision := range out.Decisions {
		c.deliver(decision)
	}
	return out.Wake
}

// deliver hands a decision to the request that waits for it.
func (c *cells) deliver(decision cell.Decision) {
	switch d := decision.(type) {
	case cell.Granted:
		host, known := c.host(d.Upstream)
		if !known {
			// The upstream left the host list while the grant was on its way. An
			// empty address fails as not sent, and the request is tried again.
			host = objectapi.Host{ID: d.Upstream}
		}
		c.notify(d.ID, entry.Decision{Granted: true, Upstream: host})
	case cell.Refused:
		c.notify(d.ID, entry.Decision{Refused: true, Reason: d.Reason, RetryAfter: d.RetryAfter})
	case cell.Stop:
		c.notify(d.ID, entry.Decision{Stop: true})
	}
}

func (c *cells) notify(id string, d entry.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Refused {
		defer delete(c.waiting, id)
	}
	select {
	case c.waiting[id] <- d:
	default:
	}
}

func (c *cells) register(id string) <-chan entry.Decision {
	decisions := make(chan entry.Decision, decisionQueue)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[id] = decisions
	return decisions
}

func (c *cells) unregister(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// Submit implements entry.Scheduler.
func (c *cells) Submit(t ticket.Ticket) <-chan entry.Decision {
	decisions := c.register(t.ID)
	c.loop.send(c.ctx, cell.Submit{Ticket: t})
	return decisions
}

// Resume implements entry.Scheduler.
func (c *cells) Resume(t ticket.Ticket, upstream string, used ticket.Usage) <-chan entry.Decision {
	decisions := c.register(t.ID)
	c.loop.send(c.ctx, cell.Resume{Ticket: t, Upstream: upstream, Used: used})
	return decisions
}

// Progress implements entry.Scheduler.
func (c *cells) Progress(id string, used ticket.Usage, s dispatch.Sample) {
	c.loop.send(c.ctx, cell.Progress{ID: id, Used: used, Sample: s})
}

// Finish implements entry.Scheduler.
func (c *cells) Finish(id string, used ticket.Usage, o dispatch.Outcome, s dispatch.Sample) {
	c.unregister(id)
	c.loop.send(c.ctx, cell.Finish{ID: id, Used: used, Outcome: o, Sample: s})
}

// Cancel implements entry.Scheduler. A grant that crossed the cancel is given
// back as declined.
func (c *cells) Cancel(id string) {
	c.unregister(id)
	c.loop.send(c.ctx, cell.Cancel{ID: id})
	c.loop.send(c.ctx, cell.Finish{ID: id, Outcome: dispatch.OutcomeDeclined})
}

// receive handles a message of another router.
func (c *cells) receive(from string, body []byte) {
	c.loop.send(c.ctx, cell.Receive{From: from, Body: body})
}

func (c *cells) setView(view cell.View) { c.loop.send(c.ctx, cell.ViewChanged{View: view}) }

func (c *cells) leave() { c.loop.send(c.ctx, cell.Leave{}) }

// stats returns the state of the cells, false when the router has stopped.
func (c *cells) stats(ctx context.Context) (cell.Stats, bool) {
	var stats cell.Stats
	ok := c.loop.call(ctx, func(now time.Time) { stats = c.node.Stats(now) })
	return stats, ok
}
