package versioned

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// MissingGrace is how long entries that went missing in an outage are kept after
// the store has recovered. The platform restores the entries of live upstreams
// within about two seconds.
const MissingGrace = 2200 * time.Millisecond

// minWatchTimeout keeps watches from becoming a busy loop.
const minWatchTimeout = 10 * time.Millisecond

// Roster is a set of upstreams at one revision of the store. It is immutable.
type Roster struct {
	byID      map[string]catalog.Upstream
	byService map[string][]catalog.Upstream
}

// NewRoster returns a roster of the given upstreams.
func NewRoster(upstreams []catalog.Upstream) *Roster {
	r := &Roster{byID: map[string]catalog.Upstream{}, byService: map[string][]catalog.Upstream{}}
	for _, u := range upstreams {
		r.byID[u.ID] = u
	}
	for _, u := range r.All() {
		r.byService[u.Service] = append(r.byService[u.Service], u)
	}
	return r
}

// All returns the upstreams sorted by id.
func (r *Roster) All() []catalog.Upstream {
	all := make([]catalog.Upstream, 0, len(r.byID))
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		all = append(all, r.byID[id])
	}
	return all
}

// Service returns the upstreams of a service sorted by id.
func (r *Roster) Service(name string) []catalog.Upstream { return r.byService[name] }

// Get returns an upstream by id.
func (r *Roster) Get(id string) (catalog.Upstream, bool) {
	u, ok := r.byID[id]
	return u, ok
}

// Registry tracks the store's upstream entries. After an outage, in which entries
// expire because upstreams could not renew them, it keeps the missing ones for a
// grace period. It does no I/O and is not safe for concurrent use.
type Registry struct {
	entries map[string]catalog.Upstream // by id, as the store lists them
	// missing holds entries that were removed just after an outage; they are kept
	// until the store has been back for MissingGrace.
	missing     map[string]catalog.Upstream
	storeDown   bool      // StoreDown was called after the latest answer
	recoveredAt time.Time // first answer after the latest outage; zero before
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]catalog.Upstream{}, missing: map[string]catalog.Upstream{}}
}

// StoreDown records that the store answers no router. It must not be called while
// other routers get answers: entries expire only when upstreams cannot reach the
// store.
func (r *Registry) StoreDown() { r.storeDown = true }

// WatchTimeout returns how long the next watch may take so that DropMissing is
// called in time.
func (r *Registry) WatchTimeout(now time.Time, longest time.Duration) time.Duration {
	if len(r.missing) == 0 {
		return longest
	}
	return min(max(r.recoveredAt.Add(MissingGrace).Sub(now), minWatchTimeout), longest)
}

// StoreAnswered records an answer of the store.
func (r *Registry) StoreAnswered(now time.Time) {
	if r.storeDown {
		r.storeDown = false
		r.recoveredAt = now
	}
}

// Replace sets the complete list of entries.
func (r *Registry) Replace(now time.Time, upstreams []catalog.Upstream) {
	r.StoreAnswered(now)
	listed := map[string]catalog.Upstream{}
	for _, u := range upstreams {
		listed[u.ID] = u
	}
	for id := range r.entries {
		if _, ok := listed[id]; !ok {
			r.Remove(now, id)
		}
	}
	for _, u := range upstreams {
		r.Put(now, u)
	}
}

// Put adds or updates an entry.
func (r *Registry) Put(now time.Time, u catalog.Upstream) {
	r.StoreAnswered(now)
	delete(r.missing, u.ID)
	r.entries[u.ID] = u
}

// Remove deletes an entry, or moves it to the missing ones during the grace period.
func (r *Registry) Remove(now time.Time, id string) {
	r.StoreAnswered(now)
	u, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	if r.inGracePeriod(now) && !u.Draining {
		r.missing[id] = u
	}
}

// inGracePeriod reports whether the store has recovered less than MissingGrace ago.
func (r *Registry) inGracePeriod(now time.Time) bool {
	return !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < MissingGrace
}

// DropMissing drops the missing entries once their grace period is over, and
// reports whether there were any.
func (r *Registry) DropMissing(now time.Time) bool {
	if len(r.missing) == 0 || r.inGracePeriod(now) {
		return false
	}
	clear(r.missing)
	return true
}

// Roster returns the current upstreams, including missing ones unless a newer entry
// has taken over their address.
func (r *Registry) Roster() *Roster {
	taken := map[string]bool{}
	all := make([]catalog.Upstream, 0, len(r.entries)+len(r.missing))
	for _, u := range r.entries {
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
