package gateway

import (
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
)

// pools are the decisions' state for all services behind one lock: a decision
// takes microseconds. It is safe for concurrent use.
type pools struct {
	mu        sync.Mutex
	home      placement.Location
	regions   map[string]string
	limits    budget.Limits
	window    time.Duration
	engines   map[string]*placement.EnginePool
	plains    map[string]*placement.PlainPool
	repeats   map[string]*budget.Window
	meter     *fairshare.Meter
	remoteUse map[string]fairshare.Tokens
	remote    map[string]budget.Counts
	heard     int
	known     int
	shares    fairshare.Shares
	capacity  float64 // tokens within the window
	remoteAt  time.Time
}

func newPools(home placement.Location, regions map[string]string, limits budget.Limits, window time.Duration, now time.Time) *pools {
	return &pools{
		home: home, regions: regions, limits: limits, window: window,
		engines: map[string]*placement.EnginePool{}, plains: map[string]*placement.PlainPool{},
		repeats: map[string]*budget.Window{}, meter: fairshare.NewMeter(window, now),
	}
}

// setBeliefs takes the services of a configuration and the upstreams.
func (p *pools) setBeliefs(table *catalog.Table, upstreams func(service string) []catalog.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = table.Limits.TokensPerSecond * p.window.Seconds()
	for _, service := range table.Services() {
		list := upstreams(service.Name)
		if service.Engine == nil {
			p.plain(service.Name).SetUpstreams(list)
			continue
		}
		pool := p.engines[service.Name]
		if pool == nil {
			pool = placement.NewEnginePool(placement.DefaultEnginePolicy(), p.home, p.regions, uint64(now.UnixNano()))
			p.engines[service.Name] = pool
		}
		pool.SetUpstreams(list, *service.Engine, table.Limits.TokensPerSecond)
	}
}

func (p *pools) plain(service string) *placement.PlainPool {
	pool := p.plains[service]
	if pool == nil {
		pool = placement.NewPlainPool(placement.DefaultPlainPolicy(), p.home, p.regions, 0)
		p.plains[service] = pool
	}
	return pool
}

func (p *pools) budget(service string, now time.Time) *budget.Window {
	w := p.repeats[service]
	if w == nil {
		w = budget.NewWindow(p.limits, now)
		p.repeats[service] = w
	}
	return w
}

// fill adds this router's loads, uses and repeats to a report.
func (p *pools) fill(now time.Time, r *fleet.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.engines {
		r.Loads = append(r.Loads, pool.Loads(now)...)
	}
	for _, pool := range p.plains {
		r.Loads = append(r.Loads, pool.Loads(now)...)
	}
	r.WorkspaceTokens = p.meter.Sums(now)
	r.Retries = make(map[string]budget.Counts, len(p.repeats))
	for service, w := range p.repeats {
		if sum := w.Sum(now); sum != (budget.Counts{}) {
			r.Retries[service] = sum
		}
	}
}

// setRemote takes the sums over the other routers.
func (p *pools) setRemote(now time.Time, totals *fleet.Totals, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteUse, p.remote = totals.WorkspaceTokens, totals.Retries
	p.heard, p.known, p.remoteAt = totals.Routers, known, now
	for _, pool := range p.engines {
		pool.SetRemote(totals.Loads, totals.Failing)
	}
	for _, pool := range p.plains {
		pool.SetRemote(totals.Loads, totals.Failing)
	}
	p.computeShares(now)
}

// computeShares works out the shares from what all workspaces have asked for.
func (p *pools) computeShares(now time.Time) {
	uses := p.meter.Sums(now)
	for workspace, use := range p.remoteUse {
		uses[workspace] = uses[workspace].Add(use)
	}
	p.shares = fairshare.Compute(p.capacity, uses)
}

// usage returns what a workspace has received as a part of its share.
func (p *pools) usage(now time.Time, workspace string, cost float64) float64 {
	received := p.meter.Sum(now, workspace).Granted + p.remoteUse[workspace].Granted
	return p.shares.Usage(received, cost)
}

// repeat asks the fleet's budget for one more send of a request.
func (p *pools) repeat(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service, now).AllowRetry(now, budget.Remote{Counts: p.remote[service], Reporting: p.heard, Known: p.known, At: p.remoteAt})
}

// first counts the first send of a request.
func (p *pools) first(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service, now).AddRequest(now)
}
