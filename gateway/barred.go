package gateway

import (
	"context"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

const (
	// barredInterval is the time between checks whether the barred parts have changed
	// and have to be saved, and between attempts to load them.
	barredInterval = 500 * time.Millisecond
	// loadTimeout is how long a router tries to load the barred parts. It then knows
	// those that other routers have told it.
	loadTimeout = 30 * time.Second
)

// keepBarredParts loads the parts that were barred when the router starts, and saves them
// when they change or the store was restored from a copy, while this router watches the
// store, until ctx ends.
func (x *exchange) keepBarredParts(ctx context.Context) error {
	loaded := x.loadBarredParts(ctx)
	saved, savedEra := "", x.feed.Era()
	for pause.For(ctx, barredInterval) == nil {
		now := time.Now()
		barred, summary := x.pools.barredParts(now)
		// A copy may also have parts that were freed since. A router that could not load the
		// parts does not know what it would overwrite.
		era := x.feed.Era()
		restored := loaded && era > savedEra
		if summary == saved && !restored || !x.watchesStore(now) {
			continue
		}
		if err := x.feed.SaveBarredParts(ctx, now, barred); err != nil {
			x.logger.Warn("saving the barred parts failed", "parts", len(barred), "err", err)
			continue
		}
		saved, savedEra = summary, era
		x.logger.Info("barred parts saved", "parts", len(barred), "era", era)
	}
	return nil
}

// loadBarredParts adds the saved parts to what this router knows, and reports whether it
// could read them.
func (x *exchange) loadBarredParts(ctx context.Context) (loaded bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		now := time.Now()
		barred, err := x.feed.LoadBarredParts(ctx, now)
		if err == nil {
			if len(barred) > 0 {
				x.logger.Info("barred parts loaded", "parts", len(barred))
				x.pools.mergeSuspects(now, barred)
			}
			return true
		}
		x.logger.Warn("loading the barred parts failed", "err", err)
		_ = pause.For(ctx, barredInterval)
	}
	return false
}

// watchesStore reports whether this router is the one of its region that watches the
// store.
func (x *exchange) watchesStore(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.WatchRank(now) == 0
}

// barredParts returns the barred parts, and a summary that changes with them.
func (p *pools) barredParts(now time.Time) (barred []quarantine.Suspect, summary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.BarredParts(now)
}
