package versioned

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
)

var start = time.Unix(1000, 0)

func rosterOf(upstreams ...catalog.Upstream) *Roster { return NewRoster(upstreams) }

// afterOutage returns a Retention of the given upstreams at the moment at which the store
// has just come back after an outage of 6 s.
func afterOutage(upstreams ...catalog.Upstream) (r *Retention, recovered time.Time) {
	r = &Retention{}
	r.Step(start, StoreContact{ConfirmedAt: start, FailedAt: time.Time{}})
	r.List(start, NewRoster(upstreams))
	recovered = start.Add(6 * time.Second)
	r.Step(recovered.Add(-time.Millisecond), StoreContact{ConfirmedAt: start, FailedAt: recovered.Add(-time.Second)})
	return r, recovered
}

// Entries that expired while the store was down are restored within two seconds;
// until then their upstreams remain in use.
func TestMissingEntriesAreKeptForAWhile(t *testing.T) {
	r, recovered := afterOutage(upstream("a", "1"), upstream("b", "2"), upstream("c", "3"))
	retained := r.List(recovered, rosterOf(upstream("a", "1")))
	assert.Len(t, retained, 2)
	assert.Equal(t, []string{"a", "b", "c"}, ids(r.Roster()))
	assert.False(t, r.Step(recovered, StoreContact{ConfirmedAt: recovered, FailedAt: start}))
	r.List(recovered.Add(time.Second), rosterOf(upstream("a", "1"), upstream("b", "2")))
	last := recovered.Add(MissingGrace - time.Millisecond)
	assert.False(t, r.Step(last, StoreContact{ConfirmedAt: last, FailedAt: start}))
	assert.LessOrEqual(t, r.WatchTimeout(last, time.Minute), minWatchTimeout)
	assert.Equal(t, []string{"a", "b", "c"}, ids(r.Roster()))
	over := recovered.Add(MissingGrace)
	assert.True(t, r.Step(over, StoreContact{ConfirmedAt: over, FailedAt: start}))
	assert.Equal(t, []string{"a", "b"}, ids(r.Roster()))
	assert.Equal(t, time.Minute, r.WatchTimeout(over, time.Minute))
}

// The first roster after an outage may arrive before its end has been noticed.
func TestMissingEntriesAreKeptWhenTheRosterComesFirst(t *testing.T) {
	r, recovered := afterOutage(upstream("a", "1"), upstream("b", "2"))
	r.List(recovered, rosterOf(upstream("a", "1")))
	assert.False(t, r.Step(recovered.Add(time.Second), StoreContact{ConfirmedAt: start, FailedAt: recovered}))
	assert.Equal(t, []string{"a", "b"}, ids(r.Roster()))
}

// A store that goes away again within the grace period has not said yet which entries
// are missing.
func TestMissingEntriesAreKeptOverTwoOutages(t *testing.T) {
	r, recovered := afterOutage(upstream("a", "1"), upstream("b", "2"))
	r.List(recovered, rosterOf(upstream("a", "1")))
	r.Step(recovered, StoreContact{ConfirmedAt: recovered, FailedAt: start})
	failed := recovered.Add(time.Second)
	for age := time.Second; age < 6*time.Second; age += 100 * time.Millisecond {
		assert.False(t, r.Step(recovered.Add(age), StoreContact{ConfirmedAt: recovered, FailedAt: failed}), "%v after the last confirmation", age)
	}
	again := recovered.Add(6 * time.Second)
	assert.False(t, r.Step(again, StoreContact{ConfirmedAt: again, FailedAt: failed}))
	over := again.Add(MissingGrace)
	assert.True(t, r.Step(over, StoreContact{ConfirmedAt: over, FailedAt: failed}))
}

// A removal without a store outage takes effect at once. On Piedmont trouble-1 a
// router that had been cut off from the store kept the removed entry.
func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	later := start.Add(5 * time.Second)
	for name, step := range map[string]struct{ confirmedAt, failedAt time.Time }{
		"own calls fail, other routers get answers": {later.Add(-time.Second), later},
		"a watcher ended and another takes over":    {later.Add(-StaleAfter - time.Second), time.Time{}},
		"calls failed before the last confirmation": {later.Add(-StaleAfter - time.Second), start},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Retention{}
			r.Step(start, StoreContact{ConfirmedAt: start, FailedAt: time.Time{}})
			r.List(start, rosterOf(upstream("a", "1"), upstream("b", "2")))
			r.Step(later, StoreContact{ConfirmedAt: step.confirmedAt, FailedAt: step.failedAt})
			assert.Empty(t, r.List(later, rosterOf(upstream("a", "1"))))
			assert.Equal(t, []string{"a"}, ids(r.Roster()))
			r.List(later.Add(time.Second), rosterOf())
			assert.Empty(t, ids(r.Roster()))
		})
	}
}

// A removal long after an outage takes effect at once.
func TestRemovalAfterTheGracePeriodTakesEffectAtOnce(t *testing.T) {
	r, recovered := afterOutage(upstream("a", "1"), upstream("b", "2"))
	r.Step(recovered, StoreContact{ConfirmedAt: recovered, FailedAt: start})
	over := recovered.Add(MissingGrace)
	r.Step(over, StoreContact{ConfirmedAt: over, FailedAt: start})
	assert.Empty(t, r.List(over, rosterOf(upstream("a", "1"))))
	assert.Equal(t, []string{"a"}, ids(r.Roster()))
}

// A draining upstream is not kept, nor is one whose address another upstream has
// taken over.
func TestDrainingAndReplacedEntriesAreNotKept(t *testing.T) {
	draining := upstream("a", "1")
	draining.Draining = true
	r, recovered := afterOutage(draining, upstream("b", "2"))
	r.List(recovered, rosterOf(upstream("c", "2")))
	assert.Equal(t, []string{"c"}, ids(r.Roster()))
}

// A router without upstreams has none to keep.
func TestFirstRosterIsUsedAsItIs(t *testing.T) {
	r := &Retention{}
	r.Step(start, StoreContact{ConfirmedAt: start.Add(-time.Hour), FailedAt: start})
	assert.Empty(t, r.List(start, rosterOf(upstream("a", "1"))))
	assert.Equal(t, []string{"a"}, ids(r.Roster()))
}
