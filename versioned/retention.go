package versioned

import (
	"maps"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	// StaleAfter is the age from which the confirmations of the watching routers are too
	// old to rely on: one watch, its slack and one report.
	StaleAfter = 2200 * time.Millisecond
	// MissingGrace is how long entries that went missing in an outage are kept after
	// the store has recovered. The platform restores the entries of live upstreams
	// within about two seconds.
	MissingGrace = 2200 * time.Millisecond
	// minWatchTimeout keeps watches from becoming a busy loop.
	minWatchTimeout = 10 * time.Millisecond
)

// Retention decides which upstreams a router uses besides those in the latest roster.
// In an outage of the store entries expire because upstreams cannot renew them, so the
// missing ones stay in use for a grace period after it. Each router retains them for
// itself, as the rosters that routers exchange hold what the store lists and nothing
// else. The zero value holds no upstreams. It does no I/O and is not safe for concurrent
// use.
type Retention struct {
	listed  *Roster                     // nil before the first one
	missing map[string]catalog.Upstream // by id
	// outage is set from the first sign that the store answers no router until it has
	// confirmed its versions to one of them again; graceEnd is MissingGrace after that.
	outage   bool
	graceEnd time.Time
}

// Step advances the time. confirmedAt is when the store last confirmed its versions to
// any router, and failedAt when a call of any router last failed. Step reports whether
// missing upstreams were dropped, which takes a confirmation after the grace period.
func (r *Retention) Step(now, confirmedAt, failedAt time.Time) (dropped bool) {
	old := now.Sub(confirmedAt) > StaleAfter
	switch {
	case old && failedAt.After(confirmedAt):
		r.outage = true
	case r.outage && !old:
		r.outage, r.graceEnd = false, confirmedAt.Add(MissingGrace)
	}
	if len(r.missing) == 0 || r.outage || confirmedAt.Before(r.graceEnd) {
		return false
	}
	clear(r.missing)
	return true
}

// List sets the latest roster and returns the upstreams that are missing in it and stay
// in use.
func (r *Retention) List(now time.Time, roster *Roster) (retained []catalog.Upstream) {
	if r.listed != nil && (r.outage || now.Before(r.graceEnd)) {
		retained = r.listed.missingIn(roster)
	}
	maps.DeleteFunc(r.missing, func(id string, _ catalog.Upstream) bool { return roster.lists(id) })
	if r.missing == nil {
		r.missing = map[string]catalog.Upstream{}
	}
	for _, u := range retained {
		r.missing[u.ID] = u
	}
	r.listed = roster
	return retained
}

// Roster returns the upstreams in use: the listed ones, and those missing ones whose
// address no listed one has taken over. It is nil before the first List.
func (r *Retention) Roster() *Roster {
	if len(r.missing) == 0 {
		return r.listed
	}
	taken := make(map[string]bool, len(r.listed.byID))
	all := make([]catalog.Upstream, 0, len(r.listed.byID)+len(r.missing))
	for _, u := range r.listed.byID {
		taken[u.Address] = true
		all = append(all, u)
	}
	for _, u := range r.missing {
		if !taken[u.Address] {
			all = append(all, u)
		}
	}
	return NewRoster(all)
}

// WatchTimeout returns how long the next watch of the store may take, at most longest,
// so that it confirms in time which upstreams are still missing.
func (r *Retention) WatchTimeout(now time.Time, longest time.Duration) time.Duration {
	if len(r.missing) == 0 || !now.Before(r.graceEnd) {
		return longest
	}
	return min(max(r.graceEnd.Sub(now), minWatchTimeout), longest)
}
