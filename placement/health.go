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
	// firstReturning is the number of requests that this router has in progress at
	// most at an upstream that was left alone until now. Each success doubles it, up
	// to maxReturning, from which on there is no such limit.
	firstReturning = 1
	maxReturning   = 16
)

// State is whether this router may send requests to an upstream. The transitions:
//
//	event                            from                     to
//	too many failures                Available, Returning     Ejected
//	no connection                    all but Leaving          Ejected, or still LeftAlone
//	a request after the ejection     Ejected                  Probing
//	success                          Ejected, Probing         Available or Returning
//	failure                          Ejected, Probing         Ejected, for longer
//	no outcome                       Probing                  Ejected, may be probed
//	"leave me alone for" a time      all but Leaving          LeftAlone
//	the time is over                 LeftAlone                Returning
//	enough successes                 Returning                Available
//	it leaves                        all                      Leaving
//	a later incarnation              all                      Available
//
// An upstream that is left alone as well as ejected is LeftAlone first and Ejected
// after it. Nothing else than a later incarnation ends Leaving.
type State uint8

// States of an upstream.
const (
	Available State = iota + 1
	Ejected         // too many requests have failed
	Probing         // the single request after an ejection is in progress
	LeftAlone       // it asked for no requests for a time
	Returning       // it was left alone; requests return a few at a time
	Leaving         // it stops and gets no further requests
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	return [...]string{"unknown", "available", "ejected", "probing", "left alone", "returning", "leaving"}[min(s, Leaving)]
}

// health tracks what one router has seen of one upstream, and decides whether the
// upstream may receive requests.
type health struct {
	failureRatio float64       // EWMA
	updatedAt    time.Time     // time of the latest outcome in failureRatio
	ejection     time.Duration // length of the latest ejection; 0 after a success
	ejectedUntil time.Time     // when a probe request may be sent
	probing      bool          // a probe request is in progress

	leavingSince   time.Time // zero unless the upstream leaves
	leftAloneSince time.Time // when the upstream last asked to be left alone
	leftAloneUntil time.Time // zero if it never did
	returning      int       // limit on the requests in progress after that; 0 for none
}

// state returns the state at a time. The times of ejections and of being left alone end
// without an event.
func (h *health) state(now time.Time) State {
	switch {
	case !h.leavingSince.IsZero():
		return Leaving
	case now.Before(h.leftAloneUntil):
		return LeftAlone
	case h.ejected(now):
		return Ejected
	case h.ejection > 0 && h.probing:
		return Probing
	case h.returning > 0:
		return Returning
	default:
		return Available
	}
}

// leave records that the upstream leaves. It reports whether that is news.
func (h *health) leave(now time.Time) bool {
	if !h.leavingSince.IsZero() {
		return false
	}
	h.leavingSince = now
	return true
}

// leaveAlone records that the upstream asked for no requests for a time. A later answer
// lengthens the time and never shortens it, because the earlier one still stands. It
// returns by how much the time grew.
func (h *health) leaveAlone(now time.Time, wait time.Duration) time.Duration {
	until := now.Add(wait)
	begin := now
	if h.leftAloneUntil.After(begin) {
		begin = h.leftAloneUntil
	}
	if !until.After(begin) {
		return 0
	}
	if h.state(now) != LeftAlone {
		h.leftAloneSince = now
	}
	h.leftAloneUntil, h.returning = until, firstReturning
	return until.Sub(begin)
}

// barred reports whether the upstream must not receive one more request beside the
// given number that this router has in progress there, even if there is no other one.
func (h *health) barred(now time.Time, inProgress int) bool {
	switch h.state(now) {
	case Leaving, LeftAlone:
		return true
	case Returning:
		return inProgress >= h.returning
	default:
		return false
	}
}

// ejected reports whether the upstream is ejected because of failures.
func (h *health) ejected(now time.Time) bool { return h.ejection > 0 && now.Before(h.ejectedUntil) }

// usable reports whether the failures at the upstream allow one more request.
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
	if h.returning > 0 && !now.Before(h.leftAloneUntil) {
		if h.returning *= 2; h.returning > maxReturning {
			h.returning = 0
		}
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
