// Package event records events of a process for the timeline of the fleet. Their
// timestamps are hybrid logical clock readings, which order events across
// processes.
package event

import (
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock reading: the wall time in microseconds since
// 1970 and a counter that orders readings with the same time.
type Timestamp struct {
	Micros  int64  `cbor:"1,keyasint" json:"us"`
	Counter uint32 `cbor:"2,keyasint,omitempty" json:"n,omitempty"`
}

// Before reports whether t is before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Micros != u.Micros {
		return t.Micros < u.Micros
	}
	return t.Counter < u.Counter
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	now  func() time.Time
}

// NewClock returns a clock that reads the wall time from now. If now is nil, it uses
// time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a timestamp that is after every earlier one of this clock.
func (c *Clock) Now() Timestamp {
	return c.Observe(Timestamp{})
}

// Observe merges the timestamp of a received message into the clock. It returns a
// timestamp that is after remote and after every earlier one of this clock.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.last = remote
	}
	wall := c.now().UnixMicro()
	if wall > c.last.Micros {
		c.last = Timestamp{Micros: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Event is one entry of the timeline.
type Event struct {
	At Timestamp `json:"at"`
	// Host is the id of the host that recorded the event.
	Host string `json:"host"`
	// Part names the component that recorded the event, such as "cell".
	Part string `json:"part"`
	// Name is the kind of the event, such as "granted".
	Name      string `json:"name"`
	Request   string `json:"request,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// Log is a ring buffer of the latest events of a process. It is safe for concurrent
// use.
type Log struct {
	mu    sync.Mutex
	clock *Clock
	host  string
	ring  []Event
	next  int  // index in ring of the next event
	full  bool // set once ring holds no empty entry
}

// NewLog returns a Log that keeps the latest size events of host.
func NewLog(host string, size int, clock *Clock) *Log {
	return &Log{clock: clock, host: host, ring: make([]Event, size)}
}

// Add sets the timestamp and host of e and records it.
func (l *Log) Add(e Event) {
	e.At = l.clock.Now()
	e.Host = l.host
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.full = true
	}
}

// Clock returns the clock that stamps the events.
func (l *Log) Clock() *Clock { return l.clock }

// Filter selects events that match all of its fields. A zero field matches every
// event. Since is inclusive and Until exclusive.
type Filter struct {
	Request   string
	Workspace string
	Upstream  string
	Since     time.Time
	Until     time.Time
}

func (f Filter) matches(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Workspace != "" && f.Workspace != e.Workspace {
		return false
	}
	if f.Upstream != "" && f.Upstream != e.Upstream {
		return false
	}
	at := time.UnixMicro(e.At.Micros)
	if !f.Since.IsZero() && at.Before(f.Since) {
		return false
	}
	return f.Until.IsZero() || at.Before(f.Until)
}

// Select returns the recorded events that match f, oldest first.
func (l *Log) Select(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var selected []Event
	visit := func(events []Event) {
		for _, e := range events {
			if f.matches(e) {
				selected = append(selected, e)
			}
		}
	}
	if l.full {
		visit(l.ring[l.next:])
	}
	visit(l.ring[:l.next])
	return selected
}
