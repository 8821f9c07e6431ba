package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/versioned"
)

// evacuations puts the evacuated data centres into force at this router. It is nil in a
// deployment without evacuations, where its methods change nothing. It is safe for
// concurrent use.
type evacuations struct {
	latest  *versioned.Latest[versioned.Evacuations]
	regions map[string]string // by data centre
	pools   *pools
	logger  *log.Logger
	applied atomic.Int64 // version in force; 0 before the first one
	count   atomic.Int64 // of data centres that are evacuated
	restore *retainedEvacuations

	mu       sync.Mutex
	inForce  versioned.Evacuations // guarded by mu
	retained []string              // those that a restored store lacks; guarded by mu

	contact contact // guarded by the lock of exchange
	// unconfirmed is set while the contact is lost, confirming while other routers are
	// asked.
	unconfirmed, confirming atomic.Bool
}

// newEvacuations returns the evacuations of a deployment with the given bound on the time
// until they are in force; nil if it has none.
func newEvacuations(bound time.Duration, regions map[string]string, p *pools, logger *log.Logger) *evacuations {
	if bound <= 0 {
		return nil
	}
	return &evacuations{
		latest: versioned.NewLatest[versioned.Evacuations](), regions: regions, pools: p, logger: logger,
		contact: contact{bound: bound}, restore: newRetainedEvacuations(),
	}
}

// version returns the newest known version; 0 if there is none.
func (e *evacuations) version() int64 {
	if e == nil {
		return 0
	}
	return e.latest.Get().Version
}

// age returns how long ago the store last confirmed the version, at most limit.
func (e *evacuations) age(now time.Time, limit time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	return e.latest.Age(now, limit)
}

// missing reports whether this router has to learn the set, or to have it confirmed,
// before it may serve.
func (e *evacuations) missing() bool {
	return e != nil && (e.applied.Load() == 0 || e.unconfirmed.Load())
}

// addGauge adds the metric of evacuated data centres, if the deployment has evacuations.
func (e *evacuations) addGauge(m *requestMetrics) {
	if e != nil {
		m.gauge("lacewing_data_centres_evacuated", func() float64 { return float64(e.count.Load()) })
	}
}

// followEvacuations follows the evacuations of the deployment, if it has any, until ctx
// ends.
func (g *Gateway) followEvacuations(ctx context.Context, group *errgroup.Group) {
	if g.evacuations == nil {
		return
	}
	g.exchange.followEvacuations()
	g.evacuations.restore.confirmedAt = g.exchange.lastConfirmation
	group.Go(func() error { return g.feed.RunEvacuations(ctx, g.evacuations.latest, evacuationWatcher{g.exchange}) })
	group.Go(func() error {
		return g.evacuations.run(ctx, func() {
			g.announceReady()
			g.exchange.triggerReport()
		})
	})
}

// run puts each new version into force until ctx ends, and calls changed afterwards.
func (e *evacuations) run(ctx context.Context, changed func()) error {
	for {
		next := e.latest.Changed()
		retained, news := e.apply(time.Now())
		if news {
			changed()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
		case <-e.restore.wait(retained):
		}
	}
}

// apply puts the newest version into force, and returns the evacuations that stay in force
// although a restored store lacks them, and whether anything has changed.
func (e *evacuations) apply(now time.Time) (retained []string, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.latest.Get()
	current.Value, retained = e.restore.update(now, current)
	if current.Version <= e.applied.Load() && slices.Equal(e.retained, retained) {
		return retained, false
	}
	for _, name := range retained {
		if !slices.Contains(e.retained, name) {
			e.logger.Warn("evacuation that a restored store lacks stays in force", "data_centre", name, "for", evacuationGrace, "version", current.Version)
		}
	}
	e.retained = retained
	e.enforce(now, current)
	return retained, true
}

// enforce replaces the set in force. Names that belong to no data centre of the deployment
// have no effect. The caller must hold mu.
func (e *evacuations) enforce(now time.Time, current versioned.Snapshot[versioned.Evacuations]) {
	set, unknown := current.Value.Known(func(name string) bool { _, exists := e.regions[name]; return exists })
	e.pools.setEvacuated(now, set.Names())
	e.count.Store(int64(len(set.Names())))
	e.applied.Store(current.Version)
	for _, name := range set.Without(e.inForce) {
		e.logger.Warn("evacuation of a data centre takes effect", "data_centre", name, "region", e.regions[name], "version", current.Version, "source", current.Source)
	}
	for _, name := range e.inForce.Without(set) {
		e.logger.Info("evacuation of a data centre ends", "data_centre", name, "region", e.regions[name], "version", current.Version, "source", current.Source)
	}
	for _, name := range unknown {
		e.logger.Warn("ignoring an evacuation of an unknown data centre", "data_centre", name, "version", current.Version)
	}
	e.inForce = set
}

// setEvacuated replaces the evacuated data centres. It takes effect at once, also for
// requests that have been assigned but not sent. The shares shrink with the capacity,
// before the other upstreams are overloaded.
func (p *pools) setEvacuated(now time.Time, dataCentres []string) {
	p.evacuated.Set(dataCentres)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.all() {
		pool.RulesChanged(now)
	}
	p.engineCapacity.evacuate(dataCentres)
	p.setCapacity()
	p.computeShares(now)
}
