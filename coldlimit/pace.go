package coldlimit

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// window is the time for which the bound on requests is stated.
const window = time.Second

// pace limits what the holder of a permit sends: a token bucket when a request is
// assigned, and a count of what was sent within the window just before it is sent, as
// requests may wait for a connection in between.
type pace struct {
	perSecond float64 // tokens
	level     float64 // at filledAt
	filledAt  time.Time
	maxSent   int         // within the window
	sent      []time.Time // oldest first
}

func newPace(now time.Time, limits catalog.ColdLimits, b Bounds) pace {
	bound := limits.PerSecond*b.Excess + b.Slack
	rate := max(min(rateRatio*limits.PerSecond, bound-spare), 0)
	return pace{perSecond: rate, level: 1, filledAt: now, maxSent: int(math.Floor(min(rate+spare, bound)))}
}

// fill adds the tokens of the time since the latest call.
func (p *pace) fill(now time.Time) {
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		p.level = min(p.level+p.perSecond*elapsed.Seconds(), burst)
		p.filledAt = now
	}
}

// hasToken reports whether one more request may be assigned.
func (p *pace) hasToken(now time.Time) bool {
	p.fill(now)
	return p.level >= 1 && p.maxSent > 0
}

func (p *pace) take(now time.Time) bool {
	if !p.hasToken(now) {
		return false
	}
	p.level--
	return true
}

func (p *pace) giveBack(now time.Time) {
	p.fill(now)
	p.level = min(p.level+1, burst)
}

// tokenIn returns the time until there is a token.
func (p *pace) tokenIn(now time.Time) time.Duration {
	p.fill(now)
	if p.level >= 1 || p.perSecond == 0 {
		return 0
	}
	return time.Duration((1 - p.level) / p.perSecond * float64(time.Second))
}

// send records that a request is sent now, and reports whether it may be. previous is when
// the same request was recorded before, as one that waits for a connection is checked
// more than once; zero for the first time.
func (p *pace) send(now, previous time.Time) bool {
	if i := slices.IndexFunc(p.sent, previous.Equal); i >= 0 && !previous.IsZero() {
		p.sent = slices.Delete(p.sent, i, i+1)
	}
	recent := 0
	for recent < len(p.sent) && now.Sub(p.sent[recent]) >= window {
		recent++
	}
	p.sent = slices.Delete(p.sent, 0, recent)
	if len(p.sent) >= p.maxSent {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}
