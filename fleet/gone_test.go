package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The members that a stream has conveyed must not be taken for live when digests that
// named some of them as gone were lost, or when their epoch is over.
func TestStreamConfirmsNoMembersThatMayHaveEnded(t *testing.T) {
	member := Record{Host: "x", Incarnation: 1}
	first := &Digest{Epoch: 1, Number: 1, Complete: true, Members: []Record{member}}
	holds := func(later *Digest, at time.Duration) bool {
		var s stream
		s.receive(start, 1, first)
		s.receive(start.Add(at), 1, later)
		return s.holds("x")
	}
	assert.True(t, holds(&Digest{Epoch: 1, Number: 2}, time.Second))
	assert.True(t, holds(&Digest{Epoch: 1, Number: 1 + goneRepeat}, time.Second), "the digest would name it")
	assert.False(t, holds(&Digest{Epoch: 1, Number: 2 + goneRepeat}, time.Second))
	assert.True(t, holds(&Digest{Epoch: 2, Number: 1}, time.Second))
	assert.False(t, holds(&Digest{Epoch: 2, Number: 1}, maxPreviousAge+time.Millisecond))
}

// A router that is no longer live must be named in several digests, but not after it has
// come back.
func TestGoneRouterIsNamedSeveralTimes(t *testing.T) {
	w := newDigestWriter(1)
	member := []Record{{Host: "x", Incarnation: 1}}
	next := func(members []Record) *Digest {
		return w.next("", digestContent{totals: NewTotals(), members: members}, 1)
	}
	assert.Empty(t, next(member).Gone)
	for range goneRepeat {
		assert.Len(t, next(nil).Gone, 1)
	}
	assert.Empty(t, next(nil).Gone)
	next(member)
	assert.Len(t, next(nil).Gone, 1)
	assert.Empty(t, next(member).Gone)
}

// A router that was suspended must not name those that may have ended meanwhile, nor tell
// others that they are live.
func TestResumedRouterNamesOnlyWhomItHears(t *testing.T) {
	n := newNetwork(12, 3, 0)
	n.run(t, 2*time.Second)
	table := n.tables["h000"]
	n.stopped["h000"], n.stopped["h001"] = true, true
	n.run(t, 10*time.Second)
	n.stopped["h000"] = false
	table.Step(n.now)
	assert.Len(t, table.Ready(n.now), 1)
	assert.False(t, table.settled(n.now))
	n.run(t, table.settleTime("dc0")+ReportInterval)
	assert.True(t, table.settled(n.now))
	assert.Len(t, table.Live(n.now), 11)
	assert.Len(t, table.Ready(n.now), 11)
}
