package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/versioned"
)

const testBound = 5 * time.Second

// A router that reaches nobody cannot learn of an evacuation. It must stop to send within
// the bound, and not begin again before someone has confirmed what it holds: the first
// report of another router arrives before the set does.
func TestRouterWithoutContactHasItsEvacuationsConfirmed(t *testing.T) {
	c := contact{bound: testBound}
	start := time.Unix(1000, 0)
	assert.Zero(t, c.step(start, surroundings{known: 7, storeAge: time.Hour}), "an outage of the store, others are live")
	assert.Zero(t, c.step(start, surroundings{known: 7, alone: true, storeAge: time.Second}), "the store answers")
	lostAt := c.step(start, surroundings{known: 7, alone: true, storeAge: testBound - time.Millisecond})
	assert.Equal(t, start, lostAt)
	later := start.Add(time.Minute)
	assert.Equal(t, start, c.step(later, surroundings{known: 0, alone: true, storeAge: time.Hour}))
	assert.Equal(t, start, c.step(later, surroundings{known: 7, storeAge: time.Hour}), "others are live again")
	assert.True(t, c.confirm(lostAt))
	assert.Zero(t, c.step(later, surroundings{known: 7, storeAge: time.Hour}))
}

// A router whose only neighbour has ended must go on in an outage of the store, or nobody
// serves.
func TestLastRouterServesWithoutTheStore(t *testing.T) {
	c := contact{bound: testBound}
	now := time.Unix(1000, 0)
	assert.Zero(t, c.step(now, surroundings{known: 1, alone: true, storeAge: time.Hour}))
	assert.Zero(t, c.step(now, surroundings{known: 1, alone: true, paused: true, storeAge: time.Hour}))
}

// After a pause an answer that was sent before it must confirm nothing.
func TestPausedRouterHasItsEvacuationsConfirmed(t *testing.T) {
	c := contact{bound: testBound}
	now := time.Unix(1000, 0)
	first := c.step(now, surroundings{known: 7, paused: true})
	assert.Equal(t, now, first)
	assert.Equal(t, now, c.step(now.Add(time.Second), surroundings{known: 7}), "the answer may be old")
	again := c.step(now.Add(time.Second), surroundings{known: 7, paused: true})
	assert.False(t, c.confirm(first), "asked before the second pause")
	assert.NotZero(t, c.step(now.Add(2*time.Second), surroundings{known: 7, storeAge: time.Second}))
	assert.Zero(t, c.step(again.Add(versioned.StaleAfter+time.Millisecond), surroundings{known: 7}))
}
