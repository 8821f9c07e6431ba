package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/shutdown"
)

const (
	// unregisterTimeout bounds the removal of this router's record from the store
	// at shutdown.
	unregisterTimeout = 200 * time.Millisecond
	// eraCheckInterval is the time between checks whether the store was restored from a
	// copy.
	eraCheckInterval = 100 * time.Millisecond
	// rewriteSpread is the time over which the routers of a fleet write their own records
	// again after a restore, so that they leave the rate limit of the store to the
	// upstreams: 390 routers make at most two calls each.
	rewriteSpread = 3 * time.Second
)

// keepRegistered writes this router's record into the store, learns of the routers
// registered there, and writes the record again whenever the store was restored from a
// copy, until ctx ends.
func (g *Gateway) keepRegistered(ctx context.Context) error {
	g.exchange.mu.Lock()
	self := g.exchange.table.Self()
	g.exchange.mu.Unlock()
	others, first, err := g.feed.Register(ctx, g.settings.Host, self)
	if err != nil {
		return nil // the router shut down first
	}
	g.registration.Store(&first)
	g.exchange.learn(others)
	for pause.For(ctx, eraCheckInterval) == nil {
		current := *g.registration.Load()
		if !g.feed.MayBeLost(current) {
			continue
		}
		if pause.For(ctx, rand.N(rewriteSpread)) != nil || g.stopping() {
			return nil
		}
		again, err := g.feed.RegisterAgain(ctx, current)
		if err != nil {
			return nil // the router shut down first
		}
		g.registration.Store(&again)
		if g.stopping() { // stop may have removed the record before it was written
			g.unregister()
			return nil
		}
	}
	return nil
}

// stopping reports whether the router has begun to stop.
func (g *Gateway) stopping() bool { return g.state() != shutdown.Serving }

// unregister removes this router's record from the store.
func (g *Gateway) unregister() {
	registration := g.registration.Load()
	if registration == nil {
		g.logger.Warn("router has no record in the store to remove")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := g.feed.Unregister(ctx, *registration); err != nil {
		g.logger.Warn("removing this router's record from the store failed", "err", err)
	}
}
