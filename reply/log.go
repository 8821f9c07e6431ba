// Package reply buffers the events of a streamed response and writes them to callers
// in order, without gaps or repeats, even if the caller reconnects.
package reply

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrGap means that events are missing: one was appended before its predecessor, or a
// reader asked for events before the start of the log.
var ErrGap = eris.New("events are missing from the stream")

// Event is one event of a response.
type Event struct {
	// ID is the position in the response, starting at 1.
	ID   int64
	Data []byte
}

// Log holds all events of one response. One writer appends, and any number of readers
// follow at their own speed, so that a slow caller never blocks an upstream. It is
// safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	base    int64 // ID before that of the first event
	events  []Event
	bytes   int // total length of the data of events
	trailer []byte
	done    bool          // Close was called with trailer and err
	err     error         // why the response is incomplete
	changed chan struct{} // closed and replaced at each change
}

// NewLog returns an empty log whose first event has the ID after+1.
func NewLog(after int64) *Log {
	return &Log{base: after, changed: make(chan struct{})}
}

// Append adds an event. It ignores an event that was added before, and all events
// after Close. Error: ErrGap.
func (l *Log) Append(e Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.base + int64(len(l.events))
	if l.done || e.ID <= last {
		return nil
	}
	if e.ID != last+1 {
		return ErrGap
	}
	l.events = append(l.events, e)
	l.bytes += len(e.Data)
	l.notify()
	return nil
}

// Close ends the log. A nil err means that the response is complete; trailer is a
// final document without an ID, and may be nil.
func (l *Log) Close(trailer []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.trailer = trailer
	l.err = err
	l.notify()
}

// notify wakes up all readers. The caller must hold mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Last returns the ID of the newest event.
func (l *Log) Last() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.base + int64(len(l.events))
}

// Failed reports whether the response ended before it was complete.
func (l *Log) Failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done && l.err != nil
}

// Page is a batch of events for a reader.
type Page struct {
	Events []Event
	// Done is set on the last page.
	Done bool
	// Trailer is the final document, if any. It is set on the last page.
	Trailer []byte
	// Err is why the response is incomplete, nil if it is complete. It is set on
	// the last page.
	Err error
}

// Next waits for events with IDs above after, or for the end of the response. Errors:
// ctx.Err(); ErrGap if the log does not reach back to after+1.
func (l *Log) Next(ctx context.Context, after int64) (Page, error) {
	for {
		l.mu.Lock()
		if after < l.base {
			l.mu.Unlock()
			return Page{}, ErrGap
		}
		skip := min(after-l.base, int64(len(l.events)))
		pending := l.events[skip:]
		if len(pending) > 0 || l.done {
			page := Page{Events: pending, Done: l.done, Trailer: l.trailer, Err: l.err}
			l.mu.Unlock()
			return page, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-changed:
		}
	}
}
