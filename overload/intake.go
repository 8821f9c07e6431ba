package overload

import "time"

const (
	// maxUndecided is the number of connections that a router takes in before it has
	// decided about their first requests. The decisions about that many requests
	// take less than BusyWait on the smallest hosts.
	maxUndecided = 16
	// maxHold is the time after which a connection without a request no longer
	// counts as undecided.
	maxHold = 100 * time.Millisecond
)

// Intake bounds the connections whose first requests have not been decided about.
// A router that takes in all connections of a flood spends its processor time on
// reading requests that it then refuses, and its descriptors on connections that
// wait. Connections beyond the bound stay in the queue of the operating system,
// which costs this process nothing. It is not safe for concurrent use.
type Intake struct {
	undecided []*Slot // in the order of their connections
}

// Slot is the place of one connection.
type Slot struct {
	takenAt time.Time
	freed   bool
}

// Free frees the slot, because the first request was decided about or the
// connection has ended.
func (s *Slot) Free() { s.freed = true }

// Undecided forgets the slots that were freed or held too long, and returns the
// number of the others.
func (i *Intake) Undecided(now time.Time) int {
	kept := i.undecided[:0]
	for _, s := range i.undecided {
		if !s.freed && now.Sub(s.takenAt) < maxHold {
			kept = append(kept, s)
		}
	}
	clear(i.undecided[len(kept):])
	i.undecided = kept
	return len(kept)
}

// Take returns a slot for one more connection, or nil and how long to wait at most
// before trying again.
func (i *Intake) Take(now time.Time) (*Slot, time.Duration) {
	if i.Undecided(now) >= maxUndecided {
		return nil, maxHold - now.Sub(i.undecided[0].takenAt)
	}
	s := &Slot{takenAt: now}
	i.undecided = append(i.undecided, s)
	return s, 0
}
