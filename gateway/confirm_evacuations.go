package gateway

import (
	"time"

	"github.com/rotisserie/eris"
)

// errNoEvacuations reports a router that cannot confirm the evacuations, because it does
// not follow them or does not know them yet.
var errNoEvacuations = eris.New("other router holds no evacuations")

// stepContact advances the time of the contact to other routers and the store. While it
// is lost no requests are sent, and live routers are asked to confirm the evacuations.
func (x *exchange) stepContact(now time.Time, paused bool) {
	if x.evacuations == nil {
		return
	}
	x.mu.Lock()
	lostAt := x.evacuations.contact.step(now, surroundings{
		paused: paused, alone: len(x.table.Live(now)) == 1, known: x.table.KnownRouters(now), storeAge: x.storeAge(now),
	})
	x.mu.Unlock()
	lost := !lostAt.IsZero()
	if x.evacuations.unconfirmed.Swap(lost) != lost {
		if lost {
			x.logger.Warn("no requests are sent until the evacuations are confirmed", "paused", paused, "store_age", x.storeAge(now))
		} else {
			x.logger.Info("evacuations are confirmed", "version", x.evacuations.version(), "source", "store")
		}
	}
	if lost && !x.evacuations.confirming.Swap(true) {
		go func() {
			defer x.evacuations.confirming.Store(false)
			x.confirmEvacuations(lostAt)
		}()
	}
}

// confirmEvacuations asks live routers, the nearest ones first, until one has confirmed
// the evacuations after the loss of contact at lostAt.
func (x *exchange) confirmEvacuations(lostAt time.Time) {
	x.mu.Lock()
	reports := x.table.Reports(time.Now())
	x.mu.Unlock()
	x.sortByDistance(reports)
	for _, r := range reports {
		if err := x.confirmWith(r.Host); err != nil {
			x.logger.Warn("confirming the evacuations failed", "host", r.Host, "err", err)
			continue
		}
		x.mu.Lock()
		confirmed := x.evacuations.contact.confirm(lostAt)
		if confirmed {
			x.evacuations.unconfirmed.Store(false)
		}
		x.mu.Unlock()
		if confirmed {
			x.logger.Info("evacuations are confirmed", "version", x.evacuations.version(), "source", r.Host)
		}
		return
	}
}

// confirmEvacuationsVersion fetches the evacuations from a host that holds the given
// version of them, if that is newer. Errors: errNoEvacuations, those of the fetch.
func (x *exchange) confirmEvacuationsVersion(host string, held int64) error {
	switch {
	case x.evacuations == nil:
		return nil
	case held == 0:
		return errNoEvacuations
	case held > x.evacuations.version():
		return x.fetchEvacuations(host)
	}
	return nil
}
