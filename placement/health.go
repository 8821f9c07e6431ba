package placement

import (
	"math"
	"time"
)

const (
	// failureWeight makes three failures in a row after successes cross
	// failureLimit.
	failureWeight = 0.3
	// failureLimit is the failure ratio above which an upstream gets no work.
	failureLimit = 0.45
	// failureMultiple spares upstreams that fail no more than this times the
	// service's usual ratio, as services answer part of their requests with errors.
	failureMultiple = 2.5
	// firstPause and longestPause are how long a failing upstream gets no work
	// before one request tries it; it doubles with each failed try.
	firstPause   = time.Second
	longestPause = 4 * time.Second
	// forgiveness is the time in which the weight of past failures halves, so that
	// an upstream that nobody chooses any more is tried again.
	forgiveness = 2 * time.Second
	// usualWeight is the weight of one outcome in the service's usual ratio.
	usualWeight = 0.02
)

// health is what one router has seen of the outcomes at one upstream.
type health struct {
	failures float64 // moving ratio
	latest   time.Time
	pause    time.Duration
	until    time.Time // no work before
	trying   bool      // one request is trying the upstream
}

// paused tells whether the upstream gets no work because it failed.
func (h *health) paused(now time.Time) bool { return h.pause > 0 && now.Before(h.until) }

// usable tells whether the upstream may get work.
func (h *health) usable(now time.Time) bool {
	return h.pause == 0 || !h.paused(now) && !h.trying
}

// penalty is the failure ratio, the less the longer ago it was seen.
func (h *health) penalty(now time.Time) float64 { return fade(h.failures, now.Sub(h.latest)) }

// fade halves a value with each forgiveness of its age.
func fade(value float64, age time.Duration) float64 {
	return value * math.Exp2(-max(float64(age)/float64(forgiveness), 0))
}

// sent notes that a request goes to the upstream.
func (h *health) sent() {
	if h.pause > 0 {
		h.trying = true
	}
}

// succeeded notes a good outcome.
func (h *health) succeeded(now time.Time) {
	h.failures = ewma(h.penalty(now), 0, failureWeight)
	h.latest = now
	h.trying = false
	if h.pause > 0 {
		h.pause = 0
		h.failures = 0
	}
}

// failed notes a failure; usual is the failure ratio of the whole service. It
// tells whether the upstream is now paused and was not before.
func (h *health) failed(now time.Time, usual float64) bool {
	h.failures = ewma(h.penalty(now), 1, failureWeight)
	h.latest = now
	if h.pause > 0 {
		h.extend(now)
		return false
	}
	if h.failures < max(failureLimit, min(failureMultiple*usual, 0.95)) {
		return false
	}
	h.extend(now)
	return true
}

// unreachable notes that no connection could be made. It tells whether the
// upstream is now paused and was not before.
func (h *health) unreachable(now time.Time) bool {
	first := h.pause == 0
	h.failures = 1
	h.latest = now
	h.extend(now)
	return first
}

// abandoned notes that a request ended without an outcome, such as when its
// caller left.
func (h *health) abandoned() { h.trying = false }

func (h *health) extend(now time.Time) {
	h.trying = false
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.until = now.Add(h.pause)
}
