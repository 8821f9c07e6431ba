package belief

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// Guards against a belief that goes back, whatever order store and peers speak in.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewVersioned[int64]()
		var highest int64
		for _, version := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			changed := v.Changed()
			taken := v.Offer(version, version, Peer, time.Unix(0, 0))
			if taken != (version > highest) {
				t.Fatalf("version %d over %d: taken %v", version, highest, taken)
			}
			highest = max(highest, version)
			if v.Get().Value != highest {
				t.Fatalf("value %d, want %d", v.Get().Value, highest)
			}
			select {
			case <-changed:
				if !taken {
					t.Fatal("change announced that did not happen")
				}
			default:
				if taken {
					t.Fatal("change not announced")
				}
			}
		}
	})
}

func up(id, address string) catalog.Upstream {
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

// Entries that lapsed while the store was away come back within two seconds; until
// then their upstreams still count.
func TestLapsedEntriesCountForAWhile(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, []catalog.Upstream{up("a", "1"), up("b", "2"), up("c", "3")})
	r.Lost()
	back := start.Add(6 * time.Second)
	r.Replace(back, []catalog.Upstream{up("a", "1")})
	assert.Equal(t, []string{"a", "b", "c"}, ids(r.Roster()))
	r.Put(back.Add(time.Second), up("b", "2"))
	assert.False(t, r.Sweep(back.Add(LapseGrace-time.Millisecond)))
	assert.LessOrEqual(t, r.Wait(back.Add(2*time.Second), time.Minute), LapseGrace)
	assert.True(t, r.Sweep(back.Add(LapseGrace)))
	assert.Equal(t, []string{"a", "b"}, ids(r.Roster()))
}

// A removal while the store serves is at once the end of the entry: what happened
// on Piedmont trouble-1, where a router that came back from a cut held it.
func TestRemovalWithoutOutageCountsAtOnce(t *testing.T) {
	r := NewRegistry()
	r.Replace(start, []catalog.Upstream{up("a", "1"), up("b", "2")})
	// The router's own calls failed, but others had answers: Lost is not called.
	r.Replace(start.Add(5*time.Second), []catalog.Upstream{up("a", "1")})
	assert.Equal(t, []string{"a"}, ids(r.Roster()))
	r.Remove(start.Add(6*time.Second), "a")
	assert.Empty(t, ids(r.Roster()))
}

// An upstream that said that it leaves is not held, nor is one whose address
// another upstream has taken over.
func TestLeavingAndReplacedEntriesAreNotHeld(t *testing.T) {
	r := NewRegistry()
	leaving := up("a", "1")
	leaving.Leaving = true
	r.Replace(start, []catalog.Upstream{leaving, up("b", "2")})
	r.Lost()
	r.Replace(start.Add(5*time.Second), []catalog.Upstream{up("c", "2")})
	assert.Equal(t, []string{"c"}, ids(r.Roster()))
}
