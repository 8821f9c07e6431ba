// Package shutdown implements the shutdown sequence of a router: how it treats new
// requests and when it may exit. It does no I/O and takes the time as an argument.
package shutdown

import "time"

// State is how a router treats requests during shutdown.
type State uint8

// States, in the order of the shutdown sequence.
const (
	// Serving accepts requests, and lookups name the router to callers.
	Serving State = iota
	// Announced accepts requests, but lookups no longer name the router and it
	// closes connections after each response.
	Announced
	// Refusing refuses new requests, so that callers retry at another router.
	Refusing
	// Done means that the router may exit.
	Done
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"serving", "announced", "refusing", "done"}[s]
}

// Timing sets when the states begin, counted from the call of Stop.
type Timing struct {
	// RefuseAfter gives callers time to learn of another router.
	RefuseAfter time.Duration
	// ExitAfter is when the router exits even with requests in progress.
	ExitAfter time.Duration
	// QuietPeriod is how long no request may have arrived before a router without
	// requests in progress exits early.
	QuietPeriod time.Duration
}

// Machine is the state machine of the shutdown. It is not safe for concurrent use.
type Machine struct {
	timing      Timing
	stoppedAt   time.Time
	lastArrival time.Time
}

// New returns a machine in state Serving.
func New(timing Timing) *Machine { return &Machine{timing: timing} }

// Stop begins the shutdown; further calls have no effect.
func (m *Machine) Stop(now time.Time) {
	if m.stoppedAt.IsZero() {
		m.stoppedAt, m.lastArrival = now, now
	}
}

// RequestArrived records the arrival of a new request.
func (m *Machine) RequestArrived(now time.Time) { m.lastArrival = now }

// State returns the state at now, given the number of requests in progress and of
// open caller connections.
func (m *Machine) State(now time.Time, inProgress, connections int) State {
	if m.stoppedAt.IsZero() {
		return Serving
	}
	elapsed := now.Sub(m.stoppedAt)
	if elapsed >= m.timing.ExitAfter {
		return Done
	}
	if elapsed < m.timing.RefuseAfter {
		return Announced
	}
	if inProgress == 0 && (connections == 0 || now.Sub(m.lastArrival) >= m.timing.QuietPeriod) {
		return Done
	}
	return Refusing
}
