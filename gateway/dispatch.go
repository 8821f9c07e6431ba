package gateway

import (
	"math"
	"time"

	"github.com/lacewingshift/lacewingshift/coldlimit"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

// assignment is a placement decision and the load that it adds to an upstream.
type assignment struct {
	placement.Decision
	ticket *placement.Ticket
	share  shareUse // of the workspace before a first attempt; zero for a retry
	cost   float64  // in tokens; 0 for a plain service
	// charged is set if this attempt charged cost to the workspace's share. An
	// attempt that follows one that may have run charges nothing.
	charged    bool
	enginePool *placement.EnginePool
	plainPool  *placement.PlainPool
	// verdict is the evidence that the prompt crashes upstreams; empty if there is none.
	verdict quarantine.Verdict
	// cold is the token for a cold upstream; nil if the upstream is warm.
	cold *coldlimit.Token
	// retry is set if an earlier attempt may have run.
	retry bool
}

// upstreams returns the pool that the upstream belongs to.
func (a *assignment) upstreams() upstreamPool {
	if a.plainPool != nil {
		return a.plainPool
	}
	return a.enginePool
}

// heldBackFields returns the log fields of an upstream that was preferred but must not
// get the request, nil if there is none.
func (a *assignment) heldBackFields() []any {
	if a.HeldBack.Upstream == "" {
		return nil
	}
	return []any{"held_back", a.HeldBack.Upstream, "held_back_as", a.HeldBack.State, "held_back_age", a.HeldBack.Age.Round(time.Millisecond)}
}

// shareUse is what a workspace has used of its share, as seen by one router.
type shareUse struct {
	within     bool          // the request is within the share
	mayExceed  bool          // the request may use spare capacity
	usage      float64       // as a multiple of the share, counting half of the cost of the next request
	own        float64       // tokens granted by this router within the window
	others     float64       // tokens granted by the other routers, as last reported
	unreported float64       // estimate of what they have granted since
	share      float64       // tokens that the workspace may be granted within the window
	reportAge  time.Duration // mean age of the reports that others is the sum of
}

// shareFields returns the log fields of the share, nil for plain services.
func (a *assignment) shareFields() []any {
	if a.enginePool == nil {
		return nil
	}
	s := a.share
	return []any{
		"within", s.within, "usage", math.Round(100*s.usage) / 100, "own", math.Round(s.own), "others", math.Round(s.others),
		"unreported", math.Round(s.unreported), "share", math.Round(s.share), "report_age", s.reportAge.Round(time.Millisecond),
	}
}

// assign chooses an upstream for the next attempt of c and adds the request to its
// load.
func (p *pools) assign(now time.Time, c *call) assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requireRules(c)
	verdict, refused := p.verdict(now, c)
	if refused {
		return assignment{Decision: placement.Decision{Reason: promptBarred}, verdict: verdict}
	}
	var a assignment
	if c.service.Engine == nil {
		a = p.assignPlain(now, c)
	} else {
		a = p.assignEngine(now, c)
	}
	p.limitCold(now, c.service, &a)
	a.verdict, a.retry = verdict, c.mayHaveRun
	if verdict.Trial && !a.Refused() {
		p.quarantine.BeginTrial(now, c.service.Name, verdict)
	}
	return a
}

func (p *pools) assignPlain(now time.Time, c *call) assignment {
	a := assignment{plainPool: p.plainPool(c.service.Name)}
	request := placement.PlainRequest{Remaining: c.remaining(now), Exclude: c.tried, Eligibility: c.eligibility()}
	a.Decision = a.plainPool.Place(now, request)
	if !a.Refused() {
		a.ticket = a.plainPool.Sent(now, request, a.Upstream)
	}
	return a
}

func (p *pools) assignEngine(now time.Time, c *call) assignment {
	a := assignment{enginePool: p.enginePools[c.service.Name], cost: c.cost()}
	if a.enginePool == nil {
		a.Decision = placement.Decision{Reason: placement.NoUpstream, RetryAfter: time.Second}
		return a
	}
	workspace := c.workspaceName()
	// The first attempt has already been charged to the share, so that a retry is
	// placed with usage 0.
	a.share = shareUse{within: true}
	first := len(c.tried) == 0
	if first {
		p.meter.AddRequested(now, workspace, a.cost)
		a.share = p.fillBuckets(now, workspace, a.cost)
	}
	request := c.engineRequest(a.share)
	a.Decision = a.enginePool.Place(now, request)
	if a.Refused() {
		p.countUnserved(now, c, &a, first)
		return a
	}
	if !c.mayHaveRun {
		p.meter.AddGranted(now, workspace, a.cost)
		p.chargeShare(workspace, &a, a.cost)
		a.charged = true
	}
	a.ticket = a.enginePool.Sent(now, request, a.Decision)
	return a
}

// saysLeaving records that the upstream of an assignment says that it leaves, and
// reports whether that is news.
func (p *pools) saysLeaving(now time.Time, a *assignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.upstreams().MarkLeaving(now, instanceOf(a.Upstream))
}

// leaveAlone records that the upstream of an assignment asks for no requests for a time.
// It returns by how much the time grew.
func (p *pools) leaveAlone(now time.Time, a *assignment, wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.upstreams().LeaveAlone(now, a.ticket, wait)
}

// maySend reports whether an assigned request may still be sent to its upstream. It may
// run after the attempt has ended, since connecting goes on in the background.
func (p *pools) maySend(now time.Time, c *call, a *assignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.quarantine.Check(now, c.service.Name, c.headers.Parts)
	if v.Barred && !a.verdict.Trial || v.NoRetry && a.retry {
		return false
	}
	return a.upstreams().MaySend(now, a.ticket) && p.mayCold(now, c.service, a)
}

// freeIn returns the time until an upstream may get a request.
func (p *pools) freeIn(now time.Time, c *call) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.service.Engine == nil {
		return p.plainPool(c.service.Name).FreeIn(now, c.eligibility())
	}
	if pool := p.enginePools[c.service.Name]; pool != nil {
		return pool.FreeIn(now, c.eligibility())
	}
	return 0
}

// countRefused counts a request that this router refuses before placement. Its
// tokens count as requested, so that other workspaces do not use the share of this
// one as spare capacity.
func (p *pools) countRefused(now time.Time, c *call) {
	if c.service.Engine == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.AddRequested(now, c.workspaceName(), c.cost())
}

// firstEvent records that the engine has begun to answer.
func (p *pools) firstEvent(now time.Time, a *assignment) {
	if a.enginePool == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.enginePool.FirstEvent(now, a.ticket)
}

// eventGap records the time between two events.
func (p *pools) eventGap(now time.Time, a *assignment, eventGap, target time.Duration) {
	if a.enginePool == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.enginePool.EventGap(now, a.ticket, eventGap, target)
}

// ended removes an assignment from its upstream's load, and takes back its charge
// unless the request ran or may have run. It reports whether the outcome caused the
// upstream to be ejected.
func (p *pools) ended(now time.Time, c *call, a *assignment, outcome placement.Outcome, ran bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endCold(now, a, outcome, ran)
	if a.plainPool != nil {
		return a.plainPool.Ended(now, a.ticket, outcome)
	}
	if !ran && a.charged {
		p.meter.AddGranted(now, c.workspaceName(), -a.cost)
		p.chargeShare(c.workspaceName(), a, -a.cost)
	}
	return a.enginePool.Ended(now, a.ticket, outcome)
}
