package versioned

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

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

// Change is the difference between two rosters.
type Change struct {
	// Put holds the upstreams that were added or changed, Removed the ids of those
	// that were removed.
	Put     []catalog.Upstream `cbor:"1,keyasint,omitempty"`
	Removed []string           `cbor:"2,keyasint,omitempty"`
	// Checksum is that of the newer roster.
	Checksum uint64 `cbor:"3,keyasint"`
}

// ErrChecksum reports that a change was made from another roster than the one it is
// applied to.
var ErrChecksum = eris.New("roster differs from the one that the change was made from")

// ChangeSince returns what has changed since an older roster.
func (r *Roster) ChangeSince(older *Roster) Change {
	c := Change{Checksum: r.Checksum()}
	for id, u := range r.byID {
		if before, known := older.byID[id]; !known || before != u {
			c.Put = append(c.Put, u)
		}
	}
	for id := range older.byID {
		if _, known := r.byID[id]; !known {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// Apply returns the roster after a change. Errors: ErrChecksum.
func (r *Roster) Apply(c Change) (*Roster, error) {
	byID := maps.Clone(r.byID)
	for _, u := range c.Put {
		byID[u.ID] = u
	}
	for _, id := range c.Removed {
		delete(byID, id)
	}
	changed := NewRoster(slices.Collect(maps.Values(byID)))
	if changed.Checksum() != c.Checksum {
		return nil, ErrChecksum
	}
	return changed, nil
}

// Checksum returns a hash of the upstreams that does not depend on their order.
func (r *Roster) Checksum() uint64 {
	sum := uint64(len(r.byID))
	for _, u := range r.byID {
		sum += hash(u)
	}
	return sum
}

// hash returns a hash of all fields of an upstream.
func hash(u catalog.Upstream) uint64 {
	buffer := make([]byte, 0, 128)
	for _, text := range []string{u.ID, u.Service, u.Address, u.DataCentre} {
		buffer = append(append(buffer, text...), 0)
	}
	for _, number := range []int64{int64(u.Slots), u.StartedMs} {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(number))
	}
	return xxhash.Sum64(strconv.AppendBool(buffer, u.Draining))
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

// Put adds or updates an entry and reports whether that changes the roster.
func (r *Registry) Put(now time.Time, u catalog.Upstream) (changed bool) {
	r.StoreAnswered(now)
	if r.entries[u.ID] == u {
		return false
	}
	delete(r.missing, u.ID)
	r.entries[u.ID] = u
	return true
}

// Remove deletes an entry, or moves it to the missing ones during the grace period.
// It reports whether there was an entry.
func (r *Registry) Remove(now time.Time, id string) (changed bool) {
	r.StoreAnswered(now)
	u, ok := r.entries[id]
	if !ok {
		return false
	}
	delete(r.entries, id)
	if r.inGracePeriod(now) && !u.Draining {
		r.missing[id] = u
	}
	return true
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
