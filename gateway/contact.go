package gateway

import (
	"time"

	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	// aloneRatio is the part of the bound of evacuations for which a router without any
	// contact still sends requests. The rest of the bound is left for noticing it.
	aloneRatio = 0.8
	// minKnownRouters is the number of other routers that must have been heard from
	// lately for their silence to mean that this one is cut off. A single other router
	// may as well have ended.
	minKnownRouters = 2
)

// contact decides whether the evacuations that a router holds may be outdated: it was
// paused, or it reaches neither the store nor any of the other routers that it knows.
// What it holds then has to be confirmed by another router or the store. It does no I/O
// and is not safe for concurrent use.
type contact struct {
	bound  time.Duration // of evacuations
	lostAt time.Time     // zero while there is nothing to confirm
}

// surroundings is what a router knows of its contact to others.
type surroundings struct {
	paused bool // the process was paused since the step before
	// alone is set if no other router is live, known is the number of those that were
	// heard from lately.
	alone bool
	known int
	// storeAge is the time since the store last confirmed what this router holds to
	// itself.
	storeAge time.Duration
}

// step advances the time. It returns when the contact was lost, zero if it was not or is
// confirmed.
func (c *contact) step(now time.Time, s surroundings) (lostAt time.Time) {
	cutOff := s.alone && float64(s.storeAge) > aloneRatio*float64(c.bound)
	confirmedAt := now.Add(-s.storeAge)
	switch {
	case s.known >= minKnownRouters && (s.paused || cutOff && c.lostAt.IsZero()):
		c.lostAt = now
	case confirmedAt.After(c.lostAt.Add(versioned.StaleAfter)):
		// A response that arrives earlier may have been sent before a pause.
		c.lostAt = time.Time{}
	}
	return c.lostAt
}

// confirm records that another router has confirmed the evacuations after the loss of
// contact at lostAt. It reports whether that was the latest one.
func (c *contact) confirm(lostAt time.Time) bool {
	if !c.lostAt.Equal(lostAt) {
		return false
	}
	c.lostAt = time.Time{}
	return true
}
