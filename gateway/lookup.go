package gateway

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// lookupTTL is how long callers may cache a lookup response. Some cache it
	// three times as long, so a stopping router is no longer used after three
	// seconds.
	lookupTTL = time.Second
	// enoughRouters is the number of near routers that suffices to leave out
	// farther ones: one of them may fail while the response is cached.
	enoughRouters = 2
	// maxAddresses is how many addresses callers read.
	maxAddresses = 64
)

// lookup answers a caller that looks up routers.
func (g *Gateway) lookup(q platform.LookupQuery) ([]string, time.Duration) {
	var permitted catalog.HostRegions
	if table := g.config.Get().Value.Table; table != nil {
		permitted = table.HostRegions(q.Host)
	}
	return nearest(g.exchange.named(), q, permitted), min(lookupTTL, g.settings.Bounds.LookupTTL)
}

// nearest returns the addresses of the routers that a caller should use, the nearest ones
// first. Routers outside its region are left out if there are enough in it. Otherwise,
// for a host with restricted routes, those outside the permitted regions are left out as
// long as another one remains.
func nearest(ready []fleet.Record, q platform.LookupQuery, permitted catalog.HostRegions) []string {
	inDataCentre := func(r fleet.Record) bool { return r.DataCentre == q.DataCentre }
	inRegion := func(r fleet.Record) bool { return r.Region == q.Region }
	for _, isNear := range []func(fleet.Record) bool{inDataCentre, inRegion} {
		if near := choose(ready, isNear); len(near) >= enoughRouters {
			return addresses(near, q)
		}
	}
	if !permitted.Restricted {
		return addresses(ready, q)
	}
	servesAll := choose(ready, func(r fleet.Record) bool { return inRegion(r) || slices.Contains(permitted.Common, r.Region) })
	if len(servesAll) >= enoughRouters {
		return addresses(servesAll, q)
	}
	servesSome := choose(ready, func(r fleet.Record) bool { return inRegion(r) || slices.Contains(permitted.Any, r.Region) })
	if len(servesSome) > 0 {
		return addresses(servesSome, q)
	}
	return addresses(ready, q)
}

// choose returns the routers for which keep is true.
func choose(routers []fleet.Record, keep func(fleet.Record) bool) []fleet.Record {
	var chosen []fleet.Record
	for _, r := range routers {
		if keep(r) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// addresses returns the addresses of at most maxAddresses routers, the nearest to a
// caller first.
func addresses(routers []fleet.Record, q platform.LookupQuery) []string {
	distance := func(r fleet.Record) int {
		switch {
		case r.DataCentre == q.DataCentre:
			return 0
		case r.Region == q.Region:
			return 1
		default:
			return 2
		}
	}
	sorted := slices.Clone(routers)
	slices.SortStableFunc(sorted, func(a, b fleet.Record) int { return distance(a) - distance(b) })
	var addresses []string
	for _, r := range sorted[:min(len(sorted), maxAddresses)] {
		addresses = append(addresses, r.CallerAddress)
	}
	return addresses
}

// named returns the routers that lookups may name. Right after a pause of the process that
// are those that were heard from since, as the others may have ended.
func (x *exchange) named() []fleet.Record {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Ready(time.Now())
}
