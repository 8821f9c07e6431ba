// Package stopping is the state machine of a router that ends: it decides what a
// router does with new requests and when it may exit. It is pure.
package stopping

import "time"

// State is what a router does with requests.
type State uint8

// States, in the order in which a router passes through them.
const (
	// Serving takes requests and is named to callers.
	Serving State = iota
	// Announced takes requests, but is no longer named to callers and closes
	// connections after each answer.
	Announced
	// Refusing answers new requests with a refusal that sends the caller elsewhere.
	Refusing
	// Done has nothing left to wait for.
	Done
)

// String returns the state for logs.
func (s State) String() string {
	return [...]string{"serving", "announced", "refusing", "done"}[s]
}

// Timing is when the states begin, counted from the order to stop.
type Timing struct {
	// RefuseAfter leaves callers time to learn of another router.
	RefuseAfter time.Duration
	// ExitAfter is when the router ends even with requests in progress.
	ExitAfter time.Duration
	// Quiet is how long nothing may have arrived before a router without requests
	// in progress ends early.
	Quiet time.Duration
}

// Machine tells the state at any time. It is not safe for concurrent use.
type Machine struct {
	timing  Timing
	stopped time.Time
	latest  time.Time
}

// New returns a machine that serves.
func New(timing Timing) *Machine { return &Machine{timing: timing} }

// Stop notes the order to stop; later orders change nothing.
func (m *Machine) Stop(now time.Time) {
	if m.stopped.IsZero() {
		m.stopped, m.latest = now, now
	}
}

// Arrived notes a new request.
func (m *Machine) Arrived(now time.Time) { m.latest = now }

// State returns the state at now with the given number of requests in progress
// and of callers' connections.
func (m *Machine) State(now time.Time, inProgress, connections int) State {
	if m.stopped.IsZero() {
		return Serving
	}
	since := now.Sub(m.stopped)
	if since >= m.timing.ExitAfter {
		return Done
	}
	if since < m.timing.RefuseAfter {
		return Announced
	}
	if inProgress == 0 && (connections == 0 || now.Sub(m.latest) >= m.timing.Quiet) {
		return Done
	}
	return Refusing
}
