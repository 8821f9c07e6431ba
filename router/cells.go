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

// decisionQueueSize is the number of unread decisions that are kept for one request.
// It leaves room for a grant or refusal and a stop.
const decisionQueueSize = 4

// cells connects the cell state machine to the peers and to the request handlers.
// It implements entry.Scheduler.
type cells struct {
	ctx       context.Context
	node      *cell.Node
	loop      *loop[cell.Input]
	transport peer.Transport
	events    *event.Log
	host      func(id string) (objectapi.Host, bool) // looks up an upstream in the host list

	mu            sync.Mutex
	decisionsByID map[string]chan entry.Decision // by ticket id
}

func newCells(ctx context.Context, node *cell.Node, transport peer.Transport, events *event.Log,
	host func(string) (objectapi.Host, bool)) *cells {
	c := &cells{
		ctx: ctx, node: node, transport: transport, events: events, host: host,
		decisionsByID: map[string]chan entry.Decision{},
	}
	c.loop = newLoop[cell.Input](cell.Tick{}, c.step)
	return c
}

// step passes an input to the state machine and carries out its output.
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

// deliver sends a decision to the request that waits for it.
func (c *cells) deliver(decision cell.Decision) {
	switch d := decision.(type) {
	case cell.Granted:
		host, known := c.host(d.Upstream)
		if !known {
			// The upstream has been removed from the host list since the grant was
			// sent. With an empty address the attempt fails before anything is sent,
			// and the request is retried.
			host = objectapi.Host{ID: d.Upstream}
		}
		c.notify(d.ID, entry.Decision{Granted: true, Upstream: host})
	case cell.Refused:
		c.notify(d.ID, entry.Decision{Refused: true, Reason: d.Reason, RetryAfter: d.RetryAfter})
	case cell.Stop:
		c.notify(d.ID, entry.Decision{Stop: true})
	}
}

// notify sends a decision to the request with the given id. The decision is dropped
// if there is no such request or its queue is full.
func (c *cells) notify(id string, d entry.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Refused {
		defer delete(c.decisionsByID, id)
	}
	select {
	case c.decisionsByID[id] <- d:
	default:
	}
}

// register returns the channel for decisions about the request with the given id.
func (c *cells) register(id string) <-chan entry.Decision {
	decisions := make(chan entry.Decision, decisionQueueSize)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisionsByID[id] = decisions
	return decisions
}

func (c *cells) unregister(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.decisionsByID, id)
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

// Cancel implements entry.Scheduler. The Finish after the Cancel gives back a grant
// that was sent before the Cancel arrived.
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

// stats returns the state of the cells. It reports false if ctx ends first.
func (c *cells) stats(ctx context.Context) (cell.Stats, bool) {
	var stats cell.Stats
	ok := c.loop.call(ctx, func(now time.Time) { stats = c.node.Stats(now) })
	return stats, ok
}
