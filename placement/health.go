package placement

import (
	"math"
	"time"
)

const (
	// failureWeight is the EWMA weight of one outcome; with it two failures within
	// about a second, after successes, cross maxFailureRatio.
	failureWeight = 0.3
	// maxFailureRatio is the failure ratio above which an upstream is ejected.
	maxFailureRatio = 0.45
	// baselineMultiple raises the ejection threshold to this multiple of the
	// service's usual failure ratio, since some services answer part of their
	// requests with errors.
	baselineMultiple = 2.5
	// minEjection and maxEjection bound how long a failing upstream receives no
	// requests before a single probe request is sent to it. The time doubles with
	// each failed probe.
	minEjection = time.Second
	maxEjection = 4 * time.Second
	// failureHalfLife is the time in which the weight of past failures halves, so
	// that an upstream that is no longer chosen is tried again.
	failureHalfLife = 2 * time.Second
	// baselineWeight is the EWMA weight of one outcome in the service's usual
	// failure ratio.
	baselineWeight = 0.02
)

// health tracks the outcomes that one router has seen at one upstream and ejects
// the upstream when too many requests fail.
type health struct {
	failureRatio float64       // EWMA
	updatedAt    time.Time     // time of the latest outcome in failureRatio
	ejection     time.Duration // length of the latest ejection; 0 after a success
	ejectedUntil time.Time     // when a probe request may be sent
	probing      bool          // a probe request is in progress
}

// ejected reports whether the upstream is ejected because of failures.
func (h *health) ejected(now time.Time) bool { return h.ejection > 0 && now.Before(h.ejectedUntil) }

// usable reports whether the upstream may receive requests.
func (h *health) usable(now time.Time) bool {
	return h.ejection == 0 || !h.ejected(now) && !h.probing
}

// currentFailureRatio returns the failure ratio, decayed by its age.
func (h *health) currentFailureRatio(now time.Time) float64 {
	return decay(h.failureRatio, now.Sub(h.updatedAt))
}

// decay halves value once per failureHalfLife of its age.
func decay(value float64, age time.Duration) float64 {
	return value * math.Exp2(-max(float64(age)/float64(failureHalfLife), 0))
}

// sent records that a request was sent to the upstream.
func (h *health) sent() {
	if h.ejection > 0 {
		h.probing = true
	}
}

// recordSuccess records a successful request.
func (h *health) recordSuccess(now time.Time) {
	h.failureRatio = ewma(h.currentFailureRatio(now), 0, failureWeight)
	h.updatedAt = now
	h.probing = false
	if h.ejection > 0 {
		h.ejection = 0
		h.failureRatio = 0
	}
}

// recordFailure records a failed request; baseline is the failure ratio of the
// whole service. It reports whether this failure ejected the upstream.
func (h *health) recordFailure(now time.Time, baseline float64) bool {
	h.failureRatio = ewma(h.currentFailureRatio(now), 1, failureWeight)
	h.updatedAt = now
	if h.ejection > 0 {
		h.eject(now)
		return false
	}
	if h.failureRatio < max(maxFailureRatio, min(baselineMultiple*baseline, 0.95)) {
		return false
	}
	h.eject(now)
	return true
}

// recordUnreachable records a failed connection attempt. It reports whether this
// failure ejected the upstream.
func (h *health) recordUnreachable(now time.Time) bool {
	first := h.ejection == 0
	h.failureRatio = 1
	h.updatedAt = now
	h.eject(now)
	return first
}

// recordAbandoned records a request that ended without an outcome, for example
// because its caller left.
func (h *health) recordAbandoned() { h.probing = false }

// eject starts an ejection, twice as long as the previous one if no request has
// succeeded since.
func (h *health) eject(now time.Time) {
	h.probing = false
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}
