package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A process that was paused must not act before it has confirmed what it holds, and
// must not wait forever for a confirmation.
func TestNothingIsDoneAfterAPauseWithoutConfirmation(t *testing.T) {
	var g Guard
	assert.True(t, g.MayAct(0), "before the first tick")
	assert.False(t, g.Tick(time.Second))
	assert.False(t, g.Tick(1150*time.Millisecond))
	resumed := 6 * time.Second
	assert.False(t, g.MayAct(resumed), "before the pause was noticed")
	assert.True(t, g.Tick(resumed))
	assert.False(t, g.MayAct(resumed+100*time.Millisecond))
	g.Confirm()
	assert.True(t, g.MayAct(resumed+100*time.Millisecond))
	assert.True(t, g.Tick(resumed+5*time.Second))
	assert.False(t, g.Tick(resumed+5900*time.Millisecond))
	assert.True(t, g.MayAct(resumed+5900*time.Millisecond), "nobody confirms")
}

// Whatever the order of ticks and confirmations, the process does not act within a
// pause, nor right after one that was not confirmed.
func TestGuardOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Guard
		now, lastTick := time.Duration(0), time.Duration(-1)
		pausedUntil := time.Duration(-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			gap := lastTick >= 0 && now-lastTick > MaxGap
			if gap && g.MayAct(now) {
				t.Fatalf("acts %v after the latest tick", now-lastTick)
			}
			if g.Tick(now) != gap {
				t.Fatalf("pause not detected")
			}
			lastTick = now
			if gap {
				pausedUntil = now
			}
			if rapid.Bool().Draw(t, "confirmed") {
				g.Confirm()
				pausedUntil = -1
			}
			if pausedUntil == now && g.MayAct(now) {
				t.Fatal("acts right after a pause without confirmation")
			}
		}
	})
}
