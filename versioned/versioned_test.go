package versioned

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// The version must never decrease, in whatever order updates from the store and
// from other routers arrive.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewLatest[int64]()
		var highest int64
		for _, version := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			changed := v.Changed()
			updated := v.Update(version, version, Peer, time.Unix(0, 0))
			if updated != (version > highest) {
				t.Fatalf("version %d over %d: updated %v", version, highest, updated)
			}
			highest = max(highest, version)
			if v.Get().Value != highest {
				t.Fatalf("value %d, want %d", v.Get().Value, highest)
			}
			select {
			case <-changed:
				if !updated {
					t.Fatal("Changed signalled without an update")
				}
			default:
				if updated {
					t.Fatal("Changed did not signal an update")
				}
			}
		}
	})
}

func upstream(id, address string) catalog.Upstream {
	return catalog.Upstream{ID: id, Address: address, Service: "s"}
}

func ids(r *Roster) []string {
	var ids []string
	for _, u := range r.All() {
		ids = append(ids, u.ID)
	}
	return ids
}

// drawRoster draws a roster of a few upstreams that differ in one field or another.
func drawRoster(t *rapid.T, label string) *Roster {
	return NewRoster(rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) catalog.Upstream {
		u := upstream(rapid.StringMatching("[a-e]").Draw(t, "id"), rapid.StringMatching("[1-2]").Draw(t, "address"))
		u.Draining, u.StartedMs = rapid.Bool().Draw(t, "draining"), rapid.Int64Range(0, 1).Draw(t, "started")
		return u
	}), func(u catalog.Upstream) string { return u.ID }).Draw(t, label))
}

// A change must lead to the newer roster, and must be refused by a router whose
// roster of the same version differs, for example because it keeps other entries
// after an outage.
func TestChangeOfRosterAppliesOnlyToItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer, other := drawRoster(t, "older"), drawRoster(t, "newer"), drawRoster(t, "other")
		change := newer.ChangeSince(older)
		applied, err := older.Apply(change)
		if err != nil || !assert.ObjectsAreEqual(newer.All(), applied.All()) {
			t.Fatalf("applied %v, want %v, error %v", applied, newer.All(), err)
		}
		if applied, err = other.Apply(change); err == nil && !assert.ObjectsAreEqual(newer.All(), applied.All()) {
			t.Fatalf("change applied to another roster gives %v, want %v", applied.All(), newer.All())
		}
	})
}

// An entry that was only written again must not make every router fetch a roster.
func TestEntryWrittenAgainIsNoChange(t *testing.T) {
	r := NewRegistry()
	u := upstream("a", "1")
	assert.True(t, r.Put(u))
	assert.False(t, r.Put(u))
	u.Draining = true
	assert.True(t, r.Put(u))
	assert.True(t, r.Remove("a"))
	assert.False(t, r.Remove("a"))
}

// A history must lead from any recorded version to the latest one, must not claim to
// cover older ones, and must not lead from a version that it skipped to another
// roster.
func TestHistoryLeadsToTheLatestRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		all := map[int64]*Roster{}
		first := int64(0)
		recorded := map[int64]bool{}
		for version := int64(1); version <= 8; version++ {
			all[version] = drawRoster(t, "roster")
			if version == 8 || rapid.Bool().Draw(t, "recorded") {
				h.Record(all[version], version)
				recorded[version] = true
				if first == 0 {
					first = version
				}
			}
		}
		for version := int64(0); version <= 9; version++ {
			change, ok := h.Since(version)
			if ok != (version >= first && version <= 8) {
				t.Fatalf("first %d: covers version %d: %v", first, version, ok)
			}
			if !ok {
				continue
			}
			applied, err := all[version].Apply(change)
			if err != nil && !recorded[version] {
				continue
			}
			if err != nil || !assert.ObjectsAreEqual(all[8].All(), applied.All()) {
				t.Fatalf("from version %d: error %v", version, err)
			}
		}
	})
}

// The memory of a history must not grow with the number of changes.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for version := range int64(3 * maxHistoryEntries) {
		h.Record(NewRoster([]catalog.Upstream{upstream("a", fmt.Sprint(version))}), version+1)
	}
	assert.LessOrEqual(t, len(h.steps), maxHistoryEntries)
	_, ok := h.Since(5)
	assert.False(t, ok)
	_, ok = h.Since(3*maxHistoryEntries - 5)
	assert.True(t, ok)
}
