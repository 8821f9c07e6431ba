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
	// the store has recovered, and entries that its copy lacks after it was restored. The platform restores the entries of live upstreams
	// within about two seconds.
	MissingGrace = 2200 * time.Millisecond
	// minWatchTimeout keeps watches from becoming a busy loop.
	minWatchTimeout = 10 * time.Millisecond
)

// Retention decides which upstreams a router uses besides those in the latest roster.
// In an outage of the store entries expire because upstreams cannot renew them, so the
// missing ones stay in use for a grace period after it, and so do those that a copy of the
// store lacks after it was restored. Each router retains them for
// itself, as the rosters that routers exchange hold what the store lists and nothing
// else. The zero value holds no upstreams. It does no I/O and is not safe for concurrent
// use.
type Retention struct {
	listed  *Roster                     // nil before the first one
	missing map[string]catalog.Upstream // by id
	// outage is set from the first sign that the store answers no router until it has
	// confirmed its versions to one of them again; graceEnd is MissingGrace after that.
	// lostAt is the latest confirmation before the outage.
	outage           bool
	lostAt, graceEnd time.Time
	// restoreEnd is MissingGrace after this router saw that the store was restored from a
	// copy.
	restoreEnd time.Time
	// confirmedAt is the latest confirmation. Reports that told of it are forgotten
	// before it counts as too old.
	confirmedAt time.Time
	// answersSince is since when confirmations have arrived without an interruption, as
	// seen by this router; zero if they do not.
	answersSince time.Time
}

// StoreContact is what a router knows of the store from its own calls and from the
// reports of others.
type StoreContact struct {
	// ConfirmedAt is when the store last confirmed its versions to any router.
	ConfirmedAt time.Time
	// FailedAt is when a call of any router last failed.
	FailedAt time.Time
	// AnswersSince is since when the store has answered without an interruption, as
	// another router says; zero if none does.
	AnswersSince time.Time
}

// Step advances the time. It reports whether missing upstreams were dropped, which takes a
// confirmation after the grace period, or another router for which there was no outage:
// then this one was cut off.
func (r *Retention) Step(now time.Time, c StoreContact) (dropped bool) {
	if c.ConfirmedAt.After(r.confirmedAt) {
		r.confirmedAt = c.ConfirmedAt
	}
	stale := now.Sub(r.confirmedAt) > StaleAfter
	switch {
	case stale:
		r.answersSince = time.Time{}
	case r.answersSince.IsZero():
		r.answersSince = r.confirmedAt
	}
	switch {
	case stale && !r.outage && c.FailedAt.After(r.confirmedAt):
		r.outage, r.lostAt = true, r.confirmedAt
	case r.outage && !stale:
		r.outage, r.graceEnd = false, r.confirmedAt.Add(MissingGrace)
	}
	if !c.AnswersSince.IsZero() && c.AnswersSince.Before(r.lostAt.Add(StaleAfter)) {
		r.outage, r.graceEnd = false, time.Time{}
	}
	if len(r.missing) == 0 || r.outage || r.confirmedAt.Before(r.graceEnd) || r.confirmedAt.Before(r.restoreEnd) {
		return false
	}
	clear(r.missing)
	return true
}

// Restore records that the store was restored from a copy, before the first roster of the
// new era is set.
func (r *Retention) Restore(now time.Time) { r.restoreEnd = now.Add(MissingGrace) }

// Interrupt records that the process was paused, so that it cannot tell whether the
// store has answered all the time.
func (r *Retention) Interrupt() { r.answersSince = time.Time{} }

// AnswersFor returns for how long confirmations have arrived without an interruption; 0
// if they do not.
func (r *Retention) AnswersFor(now time.Time) time.Duration {
	if r.answersSince.IsZero() {
		return 0
	}
	return now.Sub(r.answersSince)
}

// List sets the latest roster and returns the upstreams that are missing in it and stay
// in use.
func (r *Retention) List(now time.Time, roster *Roster) (retained []catalog.Upstream) {
	if r.listed != nil && (r.outage || now.Before(r.graceEnd) || now.Before(r.restoreEnd)) {
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
	end := r.graceEnd
	if r.restoreEnd.After(end) {
		end = r.restoreEnd
	}
	if len(r.missing) == 0 || !now.Before(end) {
		return longest
	}
	return min(max(end.Sub(now), minWatchTimeout), longest)
}
