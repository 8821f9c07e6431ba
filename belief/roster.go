package belief

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// LapseGrace is how long after the store's return a missing entry may come back.
// The platform restores the entries of live upstreams within about two seconds.
const LapseGrace = 2200 * time.Millisecond

// shortestWait keeps a watch from becoming a busy loop.
const shortestWait = 10 * time.Millisecond

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

// Registry follows the store's entries of upstreams. It decides which entries
// count when the store has been away and has let entries lapse. It is a state
// machine without I/O and is not safe for concurrent use.
type Registry struct {
	entries map[string]catalog.Upstream
	// missing entries were removed just after an outage; they count until
	// the store has been back for LapseGrace.
	missing  map[string]catalog.Upstream
	away     bool
	regained time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]catalog.Upstream{}, missing: map[string]catalog.Upstream{}}
}

// Lost notes that the store answers nobody. It is not called while other routers
// have its answers: entries lapse only when upstreams cannot reach the store.
func (r *Registry) Lost() { r.away = true }

// Wait returns how long a watch may wait so that Sweep comes in time.
func (r *Registry) Wait(now time.Time, longest time.Duration) time.Duration {
	if len(r.missing) == 0 {
		return longest
	}
	return min(max(r.regained.Add(LapseGrace).Sub(now), shortestWait), longest)
}

// Answered notes an answer of the store.
func (r *Registry) Answered(now time.Time) {
	if r.away {
		r.away = false
		r.regained = now
	}
}

// Replace takes a whole list of entries.
func (r *Registry) Replace(now time.Time, upstreams []catalog.Upstream) {
	r.Answered(now)
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

// Put takes a new or changed entry.
func (r *Registry) Put(now time.Time, u catalog.Upstream) {
	r.Answered(now)
	delete(r.missing, u.ID)
	r.entries[u.ID] = u
}

// Remove takes the removal of an entry.
func (r *Registry) Remove(now time.Time, id string) {
	r.Answered(now)
	u, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	if r.inGrace(now) && !u.Leaving {
		r.missing[id] = u
	}
}

func (r *Registry) inGrace(now time.Time) bool {
	return !r.regained.IsZero() && now.Sub(r.regained) < LapseGrace
}

// Sweep drops missing entries whose grace is over and tells whether there were
// any.
func (r *Registry) Sweep(now time.Time) bool {
	if len(r.missing) == 0 || r.inGrace(now) {
		return false
	}
	clear(r.missing)
	return true
}

// Roster returns the upstreams that count. An address that a newer entry has
// taken over no longer counts for the missing one.
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
