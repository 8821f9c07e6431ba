// Package order decides on orders to model engines and sends them under a lease,
// so that one router at a time orders the engines of a service group.
package order

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Errors of a lease.
var (
	// ErrHeld: another router holds the lease, or may still act on it.
	ErrHeld = eris.New("lease is held by another router")
	// ErrNotHeld: this router does not hold the lease, or it has run out.
	ErrNotHeld = eris.New("lease is not held")
	// ErrWaiting: the lease is held, but an order of an earlier holder may still
	// be in flight to an upstream that ignores fencing tokens.
	ErrWaiting = eris.New("orders of an earlier holder may be in flight")
	// ErrUnavailable: the object API gave no usable answer.
	ErrUnavailable = eris.New("lease object is not available")
)

// Defaults of Timing.
const (
	DefaultTerm         = 10 * time.Second
	DefaultLongestOrder = 5 * time.Second
	DefaultDrift        = 500 * time.Millisecond
)

// Timing are the times of a lease. All routers have to use the same ones; zero
// fields take the defaults.
type Timing struct {
	// Term is how long a holder may act after the start of its last renewal.
	Term time.Duration
	// LongestOrder is the longest time between the check of the lease for an
	// order and the end of the order at the upstream.
	LongestOrder time.Duration
	// Drift is the largest difference between two clocks that measure Term or
	// LongestOrder.
	Drift time.Duration
}

func (t Timing) withDefaults() Timing {
	if t.Term <= 0 {
		t.Term = DefaultTerm
	}
	if t.LongestOrder <= 0 {
		t.LongestOrder = DefaultLongestOrder
	}
	if t.Drift <= 0 {
		t.Drift = DefaultDrift
	}
	return t
}

// leaseValue is the stored form of a lease. The version of the object is the
// fencing token.
type leaseValue struct {
	Holder string `cbor:"1,keyasint"`
	// Claim is unique per acquisition, so that a write whose reply was lost is
	// recognised.
	Claim [16]byte `cbor:"2,keyasint"`
	// Serial counts the writes of a claim. A renewal that was written by an
	// earlier attempt must not count from the start of a later one.
	Serial uint64 `cbor:"4,keyasint"`
	// Released is set when the holder gave up the lease and has no order in flight.
	Released bool `cbor:"3,keyasint,omitempty"`
}

// leaseState is the state machine of one lease at one router. It performs no I/O
// and reads no clock.
type leaseState struct {
	timing Timing
	holder string
	claim  [16]byte
	serial uint64

	// seen is the latest known object, unchanged since seenAt.
	seen   objectapi.Object
	value  leaseValue
	known  bool
	seenAt time.Time

	held  bool
	until time.Time
	// quietAt is when no order of an earlier holder can be in flight any more.
	quietAt time.Time
	// busyUntil is when no order of this holder can be in flight any more.
	busyUntil time.Time
}

// observe takes a read of the lease object that ended at now. A read that is
// older than the known state is ignored.
func (l *leaseState) observe(found objectapi.Object, now time.Time) error {
	if l.known && found.Version <= l.seen.Version {
		return nil
	}
	var value leaseValue
	if found.Version > 0 {
		if err := cbor.Unmarshal(found.Value, &value); err != nil {
			return eris.Wrap(ErrUnavailable, "decode lease: "+err.Error())
		}
	}
	// The write that made this version may be as late as now, so the waiting
	// time starts now and not when the read started.
	l.seen, l.value, l.known, l.seenAt = found, value, true, now
	l.held = l.held && value.Claim == l.claim && !value.Released
	return nil
}

// acquirable tells whether the lease may be taken at now: it is new or released,
// or its object has not changed for the term and the drift.
func (l *leaseState) acquirable(now time.Time) bool {
	if !l.known {
		return false
	}
	return l.free() || now.Sub(l.seenAt) > l.timing.Term+l.timing.Drift
}

func (l *leaseState) free() bool { return l.seen.Version == 0 || l.value.Released }

// acquired takes the lease after a write that started at started.
func (l *leaseState) acquired(version int64, wasFree bool, lastSeen, started, now time.Time) {
	l.renewed(version, started, now)
	l.quietAt = started
	if !wasFree {
		l.quietAt = lastSeen.Add(l.timing.Term + l.timing.LongestOrder + l.timing.Drift)
	}
}

// renewed extends the lease after a write that started at started.
func (l *leaseState) renewed(version int64, started, now time.Time) {
	l.seen.Version = version
	l.value = l.next()
	l.known, l.seenAt = true, now
	l.held = true
	l.until = started.Add(l.timing.Term)
}

// next is the value of the next write.
func (l *leaseState) next() leaseValue {
	return leaseValue{Holder: l.holder, Claim: l.claim, Serial: l.serial}
}

// ordered notes an order that starts at now.
func (l *leaseState) ordered(now time.Time) {
	if end := now.Add(l.timing.LongestOrder); end.After(l.busyUntil) {
		l.busyUntil = end
	}
}

// releasable tells whether no order can be in flight at now, of this holder or
// an earlier one.
func (l *leaseState) releasable(now time.Time) bool {
	return l.quiet(now) && !now.Before(l.busyUntil)
}

// quiet tells whether no order of an earlier holder can be in flight at now.
func (l *leaseState) quiet(now time.Time) bool { return !now.Before(l.quietAt) }

// fence returns the token for an order that starts at now. It checks both
// clocks, because the monotonic clock of a suspended machine stands still.
func (l *leaseState) fence(now time.Time, checksFencing bool) (int64, error) {
	wallLeft := l.until.Round(0).Sub(now.Round(0))
	if !l.held || !now.Before(l.until) || wallLeft <= 0 {
		return 0, eris.Wrap(ErrNotHeld, "fence")
	}
	if !checksFencing && !l.quiet(now) {
		return 0, eris.Wrapf(ErrWaiting, "for %v", l.quietAt.Sub(now))
	}
	return l.seen.Version, nil
}
