package versioned

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/catalog"
)

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

func (r *Roster) lists(id string) bool {
	_, ok := r.byID[id]
	return ok
}

// missingIn returns the upstreams that a newer roster lacks, sorted by id, without those
// that have announced that they leave.
func (r *Roster) missingIn(newer *Roster) []catalog.Upstream {
	return slices.DeleteFunc(r.All(), func(u catalog.Upstream) bool { return newer.lists(u.ID) || u.Draining })
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
	buffer = strconv.AppendBool(buffer, u.Draining)
	// What routers of earlier releases do not know hashes as it does there while it is not used.
	if u.ColdReport != (catalog.ColdReport{}) {
		for _, number := range []int64{u.ColdLeftMs, u.ColdVersion, u.WarmVersion} {
			buffer = binary.LittleEndian.AppendUint64(buffer, uint64(number))
		}
	}
	if u.WrittenEra != 0 {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(u.WrittenEra))
	}
	return xxhash.Sum64(buffer)
}

// Registry tracks the store's upstream entries. It does no I/O and is not safe for
// concurrent use.
type Registry struct {
	entries map[string]catalog.Upstream // by id, as the store lists them
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]catalog.Upstream{}}
}

// Replace sets the complete list of entries.
func (r *Registry) Replace(upstreams []catalog.Upstream) {
	clear(r.entries)
	for _, u := range upstreams {
		r.Put(u)
	}
}

// Put adds or updates an entry and reports whether that changes the roster.
func (r *Registry) Put(u catalog.Upstream) (changed bool) {
	if r.entries[u.ID] == u {
		return false
	}
	r.entries[u.ID] = u
	return true
}

// Remove deletes an entry and reports whether there was one.
func (r *Registry) Remove(id string) (changed bool) {
	if _, listed := r.entries[id]; !listed {
		return false
	}
	delete(r.entries, id)
	return true
}

// Get returns the entry of an upstream, the zero value if there is none.
func (r *Registry) Get(id string) catalog.Upstream { return r.entries[id] }

// Roster returns the current upstreams.
func (r *Registry) Roster() *Roster { return NewRoster(slices.Collect(maps.Values(r.entries))) }
