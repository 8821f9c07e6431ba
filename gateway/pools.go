package gateway

import (
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

// maxUnreportedAge bounds the time for which the grants of other routers are
// estimated. Reports that are much older no longer count.
const maxUnreportedAge = time.Second

// pools holds the state of placement, retry budgets and fair sharing for all
// services. One lock suffices, as a decision takes microseconds. It is safe for
// concurrent use.
type pools struct {
	mu               sync.Mutex
	seed             uint64 // of the jitter in all pools; differs between routers
	location         placement.Location
	regions          map[string]string                // region by data centre
	deployedRegions  map[string]bool                  // those of regions
	restricted       bool                             // the rules have the one on regions
	retryLimits      budget.Limits                    // of each service
	shareWindow      time.Duration                    // sliding window of fair sharing
	enginePools      map[string]*placement.EnginePool // by service
	plainPools       map[string]*placement.PlainPool  // by service
	retryBudgets     map[string]*budget.Window        // by service
	evacuated        eligibility.Evacuated            // in rules
	quarantine       *quarantine.Table
	detector         *quarantine.Detector
	meter            *fairshare.Meter
	shareBuckets     *fairshare.Buckets          // what this router may grant within shares
	spareBuckets     *fairshare.Buckets          // what it may grant beyond them
	remoteTokens     map[string]fairshare.Tokens // by workspace; the sum over the other routers
	remoteRetries    map[string]budget.Counts    // by service; the sum over the other routers
	reportingRouters int                         // other routers that the sums cover
	knownRouters     int                         // other routers that exist
	shares           fairshare.Shares            // of workspaces that name no regions
	confinedShares   map[string]fairshare.Shares // of the others, by workspace
	confinement      fairshare.Confinement
	nominalCapacity  float64 // tokens per window of all engines
	engineCapacity   engineCapacity
	capacity         float64       // tokens per window that may be granted
	remoteAt         time.Time     // when the sums were set
	remoteAge        time.Duration // mean age of the reports in the sums at remoteAt
	cold             coldUpstreams
}

func newPools(location placement.Location, regions map[string]string, retryLimits budget.Limits, shareWindow time.Duration, now time.Time) *pools {
	suspects := quarantine.NewTable()
	return &pools{
		quarantine: suspects, detector: quarantine.NewDetector(suspects),
		seed: uint64(now.UnixNano()), location: location, regions: regions, deployedRegions: regionSet(regions), retryLimits: retryLimits, shareWindow: shareWindow,
		enginePools: map[string]*placement.EnginePool{}, plainPools: map[string]*placement.PlainPool{},
		retryBudgets: map[string]*budget.Window{}, meter: fairshare.NewMeter(shareWindow, now),
		shareBuckets: fairshare.NewBuckets(), spareBuckets: fairshare.NewBuckets(),
	}
}

// configure applies a configuration and its services' upstreams.
func (p *pools) configure(now time.Time, table *catalog.Table, upstreams func(service string) []catalog.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if table.RestrictsRegions() {
		p.requireRegions()
	}
	p.confinement.Regions = table.ConfinedWorkspaces()
	p.nominalCapacity = table.Limits.TokensPerSecond * p.shareWindow.Seconds()
	p.engineCapacity.list(countEngines(table, upstreams))
	p.setCapacity()
	p.dropUpstreams(now, table)
	for _, service := range table.Services() {
		list := upstreams(service.Name)
		p.configureCold(now, service, list)
		if service.Engine == nil {
			pool := p.plainPool(service.Name)
			pool.SetRules(p.rules(service.Name))
			pool.SetUpstreams(now, list)
			continue
		}
		pool := p.enginePools[service.Name]
		if pool == nil {
			pool = placement.NewEnginePool(placement.DefaultEnginePolicy(), p.location, p.regions, p.seed)
			p.enginePools[service.Name] = pool
		}
		pool.SetRules(p.rules(service.Name))
		pool.SetUpstreams(now, list, *service.Engine, table.Limits.TokensPerSecond)
	}
	p.finishCold(now, table)
}

// dropUpstreams empties the pools of services that are no longer configured. The pools
// stay, with what they know of instances that leave.
func (p *pools) dropUpstreams(now time.Time, table *catalog.Table) {
	for name, pool := range p.enginePools {
		if s := table.Service(name); s == nil || s.Engine == nil {
			pool.SetUpstreams(now, nil, catalog.Engine{}, 0)
		}
	}
	for name, pool := range p.plainPools {
		if s := table.Service(name); s == nil || s.Engine != nil {
			pool.SetUpstreams(now, nil)
		}
	}
}

// upstreamPool is what the pools of engines and of plain upstreams have in common.
type upstreamPool interface {
	Loads(now time.Time) []placement.Load
	Limited() bool
	SetRules(rules eligibility.Chain)
	SetRemote(loads map[string]placement.Load, failing map[string]int)
	Lists(i placement.Instance) bool
	LeavingInstances() []placement.Instance
	MarkLeaving(now time.Time, i placement.Instance) bool
	LeaveAlone(now time.Time, t *placement.Ticket, wait time.Duration) time.Duration
	MaySend(now time.Time, t *placement.Ticket) bool
	FreeIn(now time.Time, r eligibility.Request) time.Duration
	RulesChanged(now time.Time)
}

// all returns the pools of all services. The caller must hold mu.
func (p *pools) all() []upstreamPool {
	all := make([]upstreamPool, 0, len(p.enginePools)+len(p.plainPools))
	for _, pool := range p.enginePools {
		all = append(all, pool)
	}
	for _, pool := range p.plainPools {
		all = append(all, pool)
	}
	return all
}

func (p *pools) plainPool(service string) *placement.PlainPool {
	pool := p.plainPools[service]
	if pool == nil {
		pool = placement.NewPlainPool(placement.DefaultPlainPolicy(), p.location, p.regions, p.seed)
		pool.SetRules(p.rules(service))
		p.plainPools[service] = pool
	}
	return pool
}

func (p *pools) budget(service string, now time.Time) *budget.Window {
	w := p.retryBudgets[service]
	if w == nil {
		w = budget.NewWindow(p.retryLimits, now)
		p.retryBudgets[service] = w
	}
	return w
}

// fillReport adds this router's loads, tokens and retries to a report.
func (p *pools) fillReport(now time.Time, r *fleet.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.all() {
		r.Loads = append(r.Loads, pool.Loads(now)...)
		r.Leaving = append(r.Leaving, pool.LeavingInstances()...)
	}
	r.Interest = p.interest(now)
	r.Suspects, r.SuspectsRevision = p.quarantine.Suspects(now), p.quarantine.Revision()
	r.WorkspaceTokens = p.meter.Sums(now)
	r.Retries = make(map[string]budget.Counts, len(p.retryBudgets))
	for service, w := range p.retryBudgets {
		if sum := w.Sum(now); sum != (budget.Counts{}) {
			r.Retries[service] = sum
		}
	}
}

// interest returns the upstreams whose loads this router needs to know, nil for all.
func (p *pools) interest(now time.Time) *fleet.Interest {
	limited := false
	for _, pool := range p.all() {
		limited = limited || pool.Limited()
	}
	if !limited {
		return nil
	}
	var needed []string
	for _, pool := range p.enginePools {
		needed = append(needed, pool.Interest(now)...)
	}
	for _, pool := range p.plainPools {
		needed = append(needed, pool.Interest(now)...)
	}
	return &fleet.Interest{Upstreams: needed}
}

// setRemote sets the sums over the other routers. It returns the upstreams of which
// they say, as news, that they leave.
func (p *pools) setRemote(now time.Time, totals *fleet.Totals, knownRouters int) (leaving []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteTokens, p.remoteRetries = totals.WorkspaceTokens, totals.Retries
	p.reportingRouters, p.knownRouters, p.remoteAt, p.remoteAge = totals.Routers, knownRouters, now, totals.MeanAge()
	for _, pool := range p.all() {
		pool.SetRemote(totals.Loads, totals.Failing)
		for i := range totals.Leaving {
			if pool.Lists(i) && pool.MarkLeaving(now, i) {
				leaving = append(leaving, i.Upstream)
			}
		}
	}
	p.computeShares(now)
	p.shareBuckets.DropIdle(now)
	p.spareBuckets.DropIdle(now)
	return leaving
}

// computeShares recomputes the shares from the tokens of all workspaces.
func (p *pools) computeShares(now time.Time) {
	byWorkspace := p.meter.Sums(now)
	for workspace, tokens := range p.remoteTokens {
		byWorkspace[workspace] = byWorkspace[workspace].Add(tokens)
	}
	shares := fairshare.ComputeConfined(p.capacity, byWorkspace, p.confinement)
	p.shares, p.confinedShares = shares.Any, shares.ByWorkspace
}

// chargeShare charges tokens to the bucket that an assignment draws on. A negative
// number takes a charge back.
func (p *pools) chargeShare(workspace string, a *assignment, tokens float64) {
	if a.share.within {
		p.shareBuckets.Take(workspace, tokens)
		return
	}
	p.spareBuckets.Take(workspace, tokens)
}

// fillBuckets fills the buckets of a workspace and returns what it has used of its
// share before a request of the given cost.
func (p *pools) fillBuckets(now time.Time, workspace string, cost float64) shareUse {
	shares := p.sharesOf(workspace)
	own, others := p.meter.Sum(now, workspace), p.remoteTokens[workspace]
	total := own.Add(others)
	shareRate, spareRate := shares.Rates(own, total, p.shareWindow)
	hasShare := p.shareBuckets.Fill(now, workspace, shareRate)
	hasSpare := p.spareBuckets.Fill(now, workspace, spareRate)
	reportAge := p.remoteAge + now.Sub(p.remoteAt)
	unreported := fairshare.Unreported(p.meter.RecentlyGranted(now, workspace, min(reportAge, maxUnreportedAge)), own, others)
	usage := shares.Usage(total.Granted+unreported, cost)
	return shareUse{
		own: own.Granted, others: others.Granted, unreported: unreported, share: shares.MaxMinShare, usage: usage,
		within:    usage < 1 || hasShare || !shares.Backlogged(total),
		mayExceed: hasSpare && shares.MayExceed(usage),
		reportAge: reportAge,
	}
}

// allowRetry takes one retry from the fleet's budget, if it has any left.
func (p *pools) allowRetry(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service, now).AllowRetry(now, budget.Remote{Counts: p.remoteRetries[service], Reporting: p.reportingRouters, Known: p.knownRouters, At: p.remoteAt})
}

// countRequest counts the first attempt of a request.
func (p *pools) countRequest(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service, now).AddRequest(now)
}
