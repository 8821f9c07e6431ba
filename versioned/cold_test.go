package versioned

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// observer feeds the entries of one upstream to a ColdReports and a Registry.
type observer struct {
	now      time.Time
	cold     *ColdReports
	registry *Registry
	revision int64
}

func (o *observer) see(after time.Duration, leftMs int64) (u catalog.Upstream, changed bool) {
	o.now = o.now.Add(after)
	o.revision += 10
	u = catalog.Upstream{ID: "u", StartedMs: 7, ColdReport: catalog.ColdReport{ColdLeftMs: leftMs}}
	u = o.cold.Observe(o.now, o.revision, o.registry.Get("u"), u)
	changed = o.registry.Put(u)
	o.cold.Applied(o.revision)
	return u, changed
}

func newObserver() *observer {
	return &observer{now: time.Unix(1000, 0), cold: NewColdReports(), registry: NewRegistry()}
}

// Guards against a new version of the roster with every heartbeat of a cold upstream,
// and against one that starts the time again although it only counts down.
func TestHeartbeatsThatCountDownChangeNothing(t *testing.T) {
	o := newObserver()
	o.see(0, 0)
	first, changed := o.see(time.Second, 3000)
	require.True(t, changed)
	assert.Equal(t, catalog.ColdReport{ColdLeftMs: 3000, ColdVersion: 20, WarmVersion: 10}, first.ColdReport)
	for _, step := range []struct {
		after  time.Duration
		leftMs int64
	}{{1200 * time.Millisecond, 1800}, {1450 * time.Millisecond, 600}} { // the second one arrives late
		_, changed = o.see(step.after, step.leftMs)
		assert.False(t, changed)
	}
	warm, changed := o.see(time.Second, 0)
	assert.True(t, changed)
	assert.Zero(t, warm.ColdReport)
}

// Guards against an upstream that becomes cold again before its entry has said that it is
// warm, and is then taken for warm when the first period ends.
func TestLongerColdTimeStartsAgain(t *testing.T) {
	o := newObserver()
	o.see(0, 0)
	o.see(time.Second, 3000)
	again, changed := o.see(3400*time.Millisecond, 2500)
	require.True(t, changed)
	assert.Equal(t, catalog.ColdReport{ColdLeftMs: 2500, ColdVersion: 30, WarmVersion: 10}, again.ColdReport)
}

// Guards against a checksum that does not cover the cold time: a router would go on with
// another one than its peers without noticing.
func TestColdTimeTravelsInChangesAndChecksum(t *testing.T) {
	u := catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80"}
	cold := u
	cold.ColdReport = catalog.ColdReport{ColdLeftMs: 3000, ColdVersion: 20, WarmVersion: 10}
	before, after := NewRoster([]catalog.Upstream{u}), NewRoster([]catalog.Upstream{cold})
	assert.NotEqual(t, before.Checksum(), after.Checksum())
	encoded, err := cbor.Marshal(after.ChangeSince(before))
	require.NoError(t, err)
	var change Change
	require.NoError(t, cbor.Unmarshal(encoded, &change))
	applied, err := before.Apply(change)
	require.NoError(t, err)
	got, _ := applied.Get("u")
	assert.Equal(t, cold, got)
}
