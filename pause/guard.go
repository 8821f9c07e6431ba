package pause

import "time"

// MaxGap is the time between two calls of Guard.Tick from which the process counts
// as paused.
const MaxGap = time.Second

// maxUnconfirmed is the longest time after a pause for which a Guard asks to wait. A
// router that reaches no other one and no store cannot learn more by waiting.
const maxUnconfirmed = 800 * time.Millisecond

// Guard detects that the process was paused, by a signal or a suspension of the
// machine, from a clock that counts both. After a pause, what the process holds may
// have been revoked or have run out; until it was confirmed, the process must not act
// on it. The zero Guard is ready to use; it is not safe for concurrent use.
type Guard struct {
	ticked      bool
	tickedAt    time.Duration
	unconfirmed bool
	resumedAt   time.Duration
}

// Tick records that the process runs, and reports whether it was paused since the
// previous call. Times are those of a clock that counts suspensions.
func (g *Guard) Tick(now time.Duration) (paused bool) {
	paused = g.ticked && now-g.tickedAt > MaxGap
	g.ticked, g.tickedAt = true, now
	if paused {
		g.unconfirmed, g.resumedAt = true, now
	}
	return paused
}

// Confirm records that what the process holds was confirmed after the latest pause.
func (g *Guard) Confirm() { g.unconfirmed = false }

// MayAct reports whether the process may act on what it holds: there was no pause
// since the latest Tick, and the one before it, if any, is long over or confirmed.
func (g *Guard) MayAct(now time.Duration) bool {
	if g.ticked && now-g.tickedAt > MaxGap {
		return false
	}
	return !g.unconfirmed || now-g.resumedAt >= maxUnconfirmed
}
