package versioned

import (
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

var start = time.Unix(1000, 0)

// Entries that expired while the store was down are restored within two seconds;
// until then their upstreams remain in the roster.
func TestMissingEntriesAreKeptForAWhile(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, []catalog.Upstream{upstream("a", "1"), upstream("b", "2"), upstream("c", "3")})
	r.StoreDown()
	recovered := start.Add(6 * time.Second)
	r.Replace(recovered, []catalog.Upstream{upstream("a", "1")})
	assert.Equal(t, []string{"a", "b", "c"}, ids(r.Roster()))
	r.Put(recovered.Add(time.Second), upstream("b", "2"))
	assert.False(t, r.DropMissing(recovered.Add(MissingGrace-time.Millisecond)))
	assert.LessOrEqual(t, r.WatchTimeout(recovered.Add(2*time.Second), time.Minute), MissingGrace)
	assert.True(t, r.DropMissing(recovered.Add(MissingGrace)))
	assert.Equal(t, []string{"a", "b"}, ids(r.Roster()))
}

// A removal without a store outage takes effect at once. On Piedmont trouble-1 a
// router that had been cut off from the store kept the removed entry.
func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, []catalog.Upstream{upstream("a", "1"), upstream("b", "2")})
	// The router's own calls failed, but other routers had answers, so StoreDown is
	// not called.
	r.Replace(start.Add(5*time.Second), []catalog.Upstream{upstream("a", "1")})
	assert.Equal(t, []string{"a"}, ids(r.Roster()))
	r.Remove(start.Add(6*time.Second), "a")
	assert.Empty(t, ids(r.Roster()))
}

// A draining upstream is not kept, nor is one whose address another upstream has
// taken over.
func TestDrainingAndReplacedEntriesAreNotKept(t *testing.T) {
	r := NewRegistry()
	draining := upstream("a", "1")
	draining.Draining = true
	r.Replace(start, []catalog.Upstream{draining, upstream("b", "2")})
	r.StoreDown()
	r.Replace(start.Add(5*time.Second), []catalog.Upstream{upstream("c", "2")})
	assert.Equal(t, []string{"c"}, ids(r.Roster()))
}
