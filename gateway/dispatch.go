package gateway

import (
	"time"

	"github.com/lacewingshift/lacewingshift/placement"
)

// assignment is a decision and the work that it adds to an upstream.
type assignment struct {
	placement.Decision
	ticket *placement.Ticket
	usage  float64
	cost   float64
	// charged tells whether cost counts against the workspace's share because of
	// this attempt. An attempt after one that may have run adds nothing.
	charged bool
	engine  *placement.EnginePool
	plain   *placement.PlainPool
}

// assign decides on an upstream for the next attempt of c and books its work
// there.
func (p *pools) assign(now time.Time, c *call) assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.service.Engine == nil {
		return p.assignPlain(now, c)
	}
	return p.assignEngine(now, c)
}

func (p *pools) assignPlain(now time.Time, c *call) assignment {
	a := assignment{plain: p.plain(c.service.Name)}
	a.Decision = a.plain.Place(now, placement.PlainRequest{Remaining: c.left(now), Exclude: c.tried})
	if !a.Refused() {
		a.ticket = a.plain.Sent(now, a.Upstream)
	}
	return a
}

func (p *pools) assignEngine(now time.Time, c *call) assignment {
	a := assignment{engine: p.engines[c.service.Name], cost: c.cost()}
	if a.engine == nil {
		a.Decision = placement.Decision{Reason: placement.NoUpstream, RetryAfter: time.Second}
		return a
	}
	workspace := c.workspaceName()
	if c.attempts == 0 {
		p.meter.AddRequested(now, workspace, a.cost)
		a.usage = p.usage(now, workspace, a.cost)
	}
	// A further attempt has been charged to the share already.
	request := c.engineRequest(a.usage)
	request.MayExceed = p.shares.MayExceed(a.usage)
	a.Decision = a.engine.Place(now, request)
	if a.Refused() {
		if a.Reason == placement.Overloaded {
			p.meter.AddRefused(now, workspace, a.cost)
		}
		return a
	}
	if !c.mayHaveRun {
		p.meter.AddGranted(now, workspace, a.cost)
		a.charged = true
	}
	a.ticket = a.engine.Sent(now, request, a.Decision)
	return a
}

// refused counts a request that this router refuses before a decision on an
// upstream. Its workspace has asked for the tokens, and others must not take its
// share for left over.
func (p *pools) refused(now time.Time, c *call) {
	if c.service.Engine == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.AddRequested(now, c.workspaceName(), c.cost())
}

// firstEvent notes that the engine has begun to answer.
func (p *pools) firstEvent(now time.Time, a *assignment) {
	if a.engine == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.engine.FirstEvent(now, a.ticket)
}

// pause notes the time between two events.
func (p *pools) pause(now time.Time, a *assignment, pause, target time.Duration) {
	if a.engine == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.engine.EventGap(now, a.ticket, pause, target)
}

// ended takes the work of an assignment off its upstream. It tells whether the
// upstream gets no more work because of the outcome.
func (p *pools) ended(now time.Time, c *call, a *assignment, outcome placement.Outcome, ran bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.plain != nil {
		return a.plain.Ended(now, a.ticket, outcome)
	}
	if !ran && a.charged {
		p.meter.AddGranted(now, c.workspaceName(), -a.cost)
	}
	return a.engine.Ended(now, a.ticket, outcome)
}
