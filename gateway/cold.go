package gateway

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/coldlimit"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// coldInterval is the time between steps while an upstream is cold.
	coldInterval = 20 * time.Millisecond
	// releaseTimeout bounds the removal of this router's permits when it exits.
	releaseTimeout = 100 * time.Millisecond
)

// coldUpstreams holds the limits on cold upstreams. All but began is guarded by the lock
// of the pools.
type coldUpstreams struct {
	table *coldlimit.Table
	// services holds the names of those with cold limits.
	services map[string]bool
	began    chan struct{} // signals that there is something to do
	news     []coldlimit.Began
}

// newColdUpstreams returns the state of a router that knows no upstreams yet.
func newColdUpstreams(s platform.Settings) coldUpstreams {
	self := coldlimit.Router{Host: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region}
	bounds := coldlimit.Bounds{Excess: s.Bounds.ColdExcess, Slack: s.Bounds.ColdSlack}
	return coldUpstreams{table: coldlimit.New(self, rand.Text(), bounds, s.Regions), services: map[string]bool{}, began: make(chan struct{}, 1)}
}

// configureCold applies the upstreams of a service, with the lock of the pools held.
func (p *pools) configureCold(now time.Time, service *catalog.Service, upstreams []catalog.Upstream) {
	if p.cold.table == nil {
		return
	}
	if service.Cold == nil {
		delete(p.cold.services, service.Name)
		return
	}
	p.cold.services[service.Name] = true
	p.cold.news = append(p.cold.news, p.cold.table.SetUpstreams(now, service.Name, *service.Cold, upstreams)...)
}

// finishCold ends what belongs to services without cold limits and wakes the goroutine
// that requests permits, with the lock of the pools held.
func (p *pools) finishCold(now time.Time, table *catalog.Table) {
	if p.cold.table == nil {
		return
	}
	p.cold.table.KeepServices(now, func(name string) bool {
		s := table.Service(name)
		return s != nil && s.Cold != nil
	})
	if !p.cold.table.Idle() {
		p.cold.wake()
	}
}

// wake wakes the goroutine that requests permits. It never blocks.
func (c *coldUpstreams) wake() {
	select {
	case c.began <- struct{}{}:
	default:
	}
}

// limits reports whether a service has cold limits.
func (c *coldUpstreams) limits(service string) bool { return c.services[service] }

// limitCold takes the token for an assignment to a cold upstream, or sets the retry time
// if only cold ones are left, with the lock of the pools held.
func (p *pools) limitCold(now time.Time, service *catalog.Service, a *assignment) {
	if service.Cold == nil || p.cold.table == nil {
		return
	}
	if !a.Refused() {
		a.cold = p.cold.table.Take(now, a.Upstream.ID)
		return
	}
	if a.Reason == placement.Reason(eligibility.ColdLimited) {
		spread := time.Duration(mathrand.Float64() * float64(placement.MinRetryAfter))
		a.RetryAfter = max(p.cold.table.FreeIn(now, service.Name), placement.MinRetryAfter) + spread
	}
}

// mayCold reports whether an assigned request may be sent as far as its upstream may be
// cold, with the lock of the pools held.
func (p *pools) mayCold(now time.Time, service *catalog.Service, a *assignment) bool {
	if service.Cold == nil || p.cold.table == nil {
		return true
	}
	token, ok := p.cold.table.MaySend(now, a.Upstream.ID, a.cold)
	a.cold = token
	return ok
}

// endCold returns the token of an assignment that was not sent, with the lock of the pools
// held.
func (p *pools) endCold(now time.Time, a *assignment, outcome placement.Outcome, ran bool) {
	sent := ran || outcome == placement.Rejected || outcome == placement.Deferred
	if a.cold == nil || sent {
		return
	}
	p.cold.table.GiveBack(now, a.cold)
	a.cold = nil
}

// stepCold returns the calls to make about permits, which upstreams have become cold, and
// whether there is nothing more to do.
func (p *pools) stepCold(now time.Time, ready []coldlimit.Router) (calls []coldlimit.Call, news []coldlimit.Began, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	news, p.cold.news = p.cold.news, nil
	calls = p.cold.table.Step(now, ready)
	return calls, news, p.cold.table.Idle()
}

func (p *pools) completedCold(now time.Time, c coldlimit.Call, r coldlimit.Result) (coldlimit.Change, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.table.Completed(now, c, r)
}

// interruptCold has held permits read again after a pause of the process.
func (p *pools) interruptCold(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cold.table != nil {
		p.cold.table.Interrupt(now)
	}
}

func (p *pools) releaseCold(now time.Time) []coldlimit.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.table.Release(now)
}

func (p *pools) coldCounts() (cold, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.table.Counts(time.Now())
}

// permitKeeper requests, reads and removes the permits for cold upstreams.
type permitKeeper struct {
	pools   *pools
	feed    *platform.Feed
	ready   func() []coldlimit.Router
	host    string
	logger  *log.Logger
	metrics *requestMetrics
	calls   sync.WaitGroup // in progress
	era     int64          // of the store at the latest step
}

func (g *Gateway) permitKeeper() *permitKeeper {
	return &permitKeeper{
		pools: g.pools, feed: g.feed, ready: g.exchange.readyRouters, host: g.settings.Host,
		logger: g.logger.WithPrefix("cold"), metrics: g.handler.metrics,
	}
}

// run keeps the permits until ctx ends. It does nothing while no upstream is cold.
func (k *permitKeeper) run(ctx context.Context) error {
	defer k.release()
	idle := true
	for ctx.Err() == nil {
		if idle {
			select {
			case <-ctx.Done():
				continue
			case <-k.pools.cold.began:
			}
		}
		idle = k.step(ctx)
		if !idle {
			_ = pause.For(ctx, coldInterval) // ends early only with ctx
		}
	}
	return nil
}

// step makes the calls that are due, and reports whether there is nothing more to do.
func (k *permitKeeper) step(ctx context.Context) (idle bool) {
	if era := k.feed.Era(); era != k.era {
		k.era = era
		k.pools.interruptCold(time.Now()) // the copy may lack permits
	}
	calls, news, idle := k.pools.stepCold(time.Now(), k.ready())
	for _, n := range news {
		k.logger.Info("upstream is cold", "upstream", n.Upstream, "service", n.Service, "for", n.Left, "longer", n.Longer)
	}
	for _, c := range calls {
		k.calls.Add(1)
		go k.call(ctx, c)
	}
	return idle
}

// call makes one call and records its result.
func (k *permitKeeper) call(ctx context.Context, c coldlimit.Call) {
	defer k.calls.Done()
	result, err := k.feed.CallPermit(ctx, k.host, c)
	k.metrics.permitCalled(c.Kind, result.Outcome)
	if err != nil && (result.Outcome == coldlimit.Lost || result.Outcome == coldlimit.Failed) {
		k.logger.Warn("call about a permit failed", "upstream", c.Upstream, "call", c.Kind, "err", err)
	}
	change, changed := k.pools.completedCold(time.Now(), c, result)
	k.pools.cold.wake()
	if changed && (change.To == coldlimit.Held || change.To == coldlimit.Refused) {
		k.logger.Info("permit for a cold upstream decided", "upstream", c.Upstream, "state", change.To, "after", change.Age.Round(time.Millisecond),
			"holder", result.Stored.Holder, "revision", result.Stored.Revision)
	}
}

// release removes the permits of this router when it exits.
func (k *permitKeeper) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, c := range k.pools.releaseCold(time.Now()) {
		k.calls.Add(1)
		go k.call(ctx, c)
	}
	k.calls.Wait()
}

// readyRouters returns the live routers that accept requests.
func (x *exchange) readyRouters() []coldlimit.Router {
	ready := x.ready()
	routers := make([]coldlimit.Router, 0, len(ready))
	for _, r := range ready {
		routers = append(routers, coldlimit.Router{Host: r.Host, DataCentre: r.DataCentre, Region: r.Region})
	}
	return routers
}

// addColdGauges adds the gauges of cold upstreams.
func (p *pools) addColdGauges(m *requestMetrics) {
	m.gauge("lacewing_cold_upstreams", func() float64 { cold, _ := p.coldCounts(); return float64(cold) })
	m.gauge("lacewing_cold_permits_held", func() float64 { _, held := p.coldCounts(); return float64(held) })
}

// permitCalled counts a call about a permit for a cold upstream.
func (m *requestMetrics) permitCalled(kind coldlimit.Kind, outcome coldlimit.Outcome) {
	m.set.GetOrCreateCounter(`lacewing_cold_permit_calls_total{call="` + kind.String() + `",outcome="` + outcome.String() + `"}`).Inc()
}
