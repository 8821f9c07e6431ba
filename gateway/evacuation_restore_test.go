package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/versioned"
)

// eraStart is the first version of an era.
func eraStart(era int64) int64 { return era << 48 }

// An evacuation that a restored store lacks must stay in force at a router that had it and
// at one that starts meanwhile, until the operator has had the time to write it again.
func TestEvacuationThatTheCopyLacksStaysInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := now
	start := func() *retainedEvacuations {
		r := newRetainedEvacuations()
		r.confirmedAt = func(time.Time) time.Time { return confirmed }
		return r
	}
	snapshot := func(era int64, names ...string) versioned.Snapshot[versioned.Evacuations] {
		return versioned.Snapshot[versioned.Evacuations]{Value: versioned.NewEvacuations(names...), Version: eraStart(era) + 1}
	}
	r, next := start(), start()
	r.update(now, snapshot(1, "a", "b"))
	inForce, retained := r.update(now, snapshot(2, "b", "c"))
	assert.Equal(t, []string{"a", "b", "c"}, inForce.Names())
	assert.Equal(t, []string{"a"}, retained)

	later := now.Add(evacuationGrace / 2)
	names, left := r.retained(later)
	next.adopt(later, names, left)
	inForce, _ = next.update(later, snapshot(2, "b", "c"))
	assert.Equal(t, []string{"a", "b", "c"}, inForce.Names())
	next.adopt(later, []string{"d"}, left)
	inForce, _ = next.update(later, snapshot(2, "b"))
	assert.Equal(t, []string{"a", "b"}, inForce.Names(), "a router that knows the set adopts nothing")

	over := now.Add(evacuationGrace)
	for _, known := range []*retainedEvacuations{r, next} {
		inForce, _ = known.update(over, snapshot(2, "b"))
		assert.Equal(t, []string{"a", "b"}, inForce.Names(), "the store has not confirmed it since")
	}
	confirmed = over
	for _, known := range []*retainedEvacuations{r, next} {
		inForce, retained = known.update(over, snapshot(2, "b"))
		assert.Equal(t, []string{"b"}, inForce.Names())
		assert.Empty(t, retained)
	}
}
