package versioned

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
)

func started(id string, startedMs, writtenEra int64, draining bool) catalog.Upstream {
	u := upstream(id, id)
	u.StartedMs, u.WrittenEra, u.Draining = startedMs, writtenEra, draining
	return u
}

// An instance that has left comes back into use only by an entry that was written since or
// by a later start; without that rule a copy of the store sends requests to dead upstreams.
func TestEntriesOfACopyThatAreUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		copied catalog.Upstream
		era    int64
		after  time.Duration
		used   bool
	}{
		"as it was":                      {started("a", 5, 0, false), 2, 0, false},
		"written before the restore":     {started("a", 5, 1, false), 2, 0, false},
		"written in the new era":         {started("a", 5, 2, false), 2, 0, true},
		"started later":                  {started("a", 6, 0, false), 2, 0, true},
		"started earlier":                {started("a", 4, 0, false), 2, 0, false},
		"no restore":                     {started("a", 5, 0, false), 1, 0, true},
		"two restores":                   {started("a", 5, 0, false), 3, 0, false},
		"long after the restore":         {started("a", 5, 0, false), 2, heldTime, true},
		"shortly before it may be again": {started("a", 5, 0, false), 2, heldTime - time.Millisecond, false},
	} {
		for how, gone := range map[string]*Roster{"removed": rosterOf(), "draining": rosterOf(started("a", 5, 0, true))} {
			t.Run(name+", "+how, func(t *testing.T) {
				var d Departures
				d.Filter(start, 1, rosterOf(started("a", 5, 0, false)))
				d.Observe(start, rosterOf(started("a", 5, 0, false)))
				d.Observe(start, gone)
				d.Filter(start, c.era, rosterOf())
				usable, held := d.Filter(start.Add(c.after), c.era, rosterOf(c.copied))
				assert.Equal(t, c.used, usable.lists("a"))
				assert.Equal(t, !c.used, len(held) == 1)
				assert.Equal(t, !c.used, d.Step(start.Add(heldTime)), "signals that the entry may be used")
			})
		}
	}
}

// The memory of departures must not grow with the number of upstreams that ever left.
func TestDeparturesAreBounded(t *testing.T) {
	var d Departures
	for i := range 2 * maxDepartures / 100 {
		var many []catalog.Upstream
		for j := range 100 {
			many = append(many, started(fmt.Sprint(i, "-", j), 1, 0, false))
		}
		d.Observe(start.Add(time.Duration(i)), NewRoster(many))
	}
	assert.LessOrEqual(t, len(d.left), maxDepartures)
	assert.NotContains(t, d.left, "0-0")
	d.Observe(start.Add(departureMemory+time.Second), rosterOf())
	assert.LessOrEqual(t, len(d.left), 100)
}

// Marks make all routers fetch a roster, so that a store that was never restored must not
// have them.
func TestEntriesAreMarkedOnlyAfterARestore(t *testing.T) {
	u := started("a", 1, 0, false)
	marked := func(w *Written, revision int64) int64 { return w.Mark(u, revision).WrittenEra }
	var w Written
	w.Listed(1, 10, nil, 0)
	assert.Zero(t, marked(&w, 11), "first era seen")
	w.Listed(2, 5, rosterOf(u), 1)
	assert.Zero(t, marked(&w, 5), "in the copy")
	assert.Equal(t, int64(2), marked(&w, 6), "written in the new era")
	var next Written // takes over
	held := rosterOf(w.Mark(u, 6), started("b", 1, 0, false))
	next.Listed(2, 20, held, 2)
	assert.Equal(t, int64(2), marked(&next, 6), "the watcher before has seen it written")
	assert.Zero(t, next.Mark(started("b", 1, 0, false), 6).WrittenEra)
	assert.Zero(t, next.Mark(started("a", 2, 0, false), 6).WrittenEra, "another instance")
}

// A name that the operator has set may be missing in the copy until it is written again; one
// that was removed since must not stay in force.
func TestNamesOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Names{Grace: MissingGrace}
		now, era, graceEnd := start, int64(1), start
		listedIn := map[string]int64{} // latest era whose list had the name
		retained := map[string]bool{}
		n.List(now, era, nil)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "step") {
				if ended := n.Step(now, now); len(ended) > 0 && now.Before(graceEnd) {
					t.Fatalf("%v no longer in force before the grace period is over", ended)
				}
				if !now.Before(graceEnd) {
					clear(retained)
				}
			}
			before := n.InForce()
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				era++
				graceEnd = now.Add(MissingGrace)
				clear(retained)
				for _, name := range before {
					retained[name] = true
				}
			}
			names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), rapid.ID).Draw(t, "names")
			n.List(now, era, names)
			for _, name := range names {
				listedIn[name] = era
				delete(retained, name)
			}
			want := map[string]bool{}
			for _, name := range names {
				want[name] = true
			}
			for name := range retained {
				want[name] = true
			}
			got := map[string]bool{}
			for _, name := range n.InForce() {
				got[name] = true
			}
			if !assert.ObjectsAreEqual(want, got) {
				t.Fatalf("in force %v, want %v", got, want)
			}
		}
		if n.List(now, era-1, nil) {
			t.Fatal("a list of an earlier era was applied")
		}
	})
}

// A store that does not answer after the restore may have kept the operator from writing.
func TestNamesStayInForceUntilTheStoreConfirms(t *testing.T) {
	n := Names{Grace: MissingGrace}
	n.List(start, 1, []string{"x"})
	assert.False(t, n.List(start, 2, nil))
	assert.Equal(t, []string{"x"}, n.Retained())
	over := start.Add(MissingGrace)
	assert.Empty(t, n.Step(over, start))
	assert.Equal(t, []string{"x"}, n.Step(over, over))
	assert.Empty(t, n.InForce())
}

// Upstreams that the copy lacks stay in use until they have written their entries again,
// and a removal after that takes effect at once.
func TestUpstreamsThatTheCopyLacksAreKeptForAWhile(t *testing.T) {
	r := &Retention{}
	contact := func(at time.Time) StoreContact { return StoreContact{ConfirmedAt: at} }
	r.Step(start, contact(start))
	r.List(start, rosterOf(upstream("a", "1"), upstream("b", "2"), started("c", 1, 0, true)))
	r.Restore(start)
	assert.Len(t, r.List(start, rosterOf(upstream("a", "1"))), 1)
	assert.Equal(t, []string{"a", "b"}, ids(r.Roster()))
	over := start.Add(MissingGrace)
	assert.LessOrEqual(t, r.WatchTimeout(over.Add(-time.Second), time.Minute), time.Second)
	assert.False(t, r.Step(over.Add(-1), contact(over.Add(-1))))
	assert.True(t, r.Step(over, contact(over)))
	assert.Equal(t, []string{"a"}, ids(r.Roster()))
	r.List(over, rosterOf())
	assert.Empty(t, ids(r.Roster()))
}
