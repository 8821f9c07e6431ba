// Package logsink writes log lines without ever blocking the writer: request lines
// beyond a rate and lines beyond the buffer are dropped and counted.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the volume under load. At 33 requests a second and
	// router and three lines a request, normal work stays well below it.
	linesPerSecond = 500
	burst          = 2000
	queueLength    = 4096
	// countInterval is the time between lines that tell how many were dropped.
	countInterval = time.Second
)

// Sink is an io.Writer for a logger. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
}

// New returns a sink in front of out. Run writes the lines.
func New(out io.Writer) *Sink {
	return &Sink{out: out, queue: make(chan []byte, queueLength), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Admit tells whether one more line about a request may be written, and counts it
// as dropped otherwise. Asking first saves the work of formatting the line. Lines
// about the system itself are few and are written without asking.
func (s *Sink) Admit() bool {
	if s.limiter.Allow() {
		return true
	}
	s.drop()
	return false
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.drop()
	}
	return len(line), nil
}

func (s *Sink) drop() {
	s.dropped.Add(1)
	s.total.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Run writes queued lines until ctx ends, and then those that are left.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line) // there is nowhere to report a failing log to
		case <-ticker.C:
			s.count()
		case <-ctx.Done():
			s.flush()
			return nil
		}
	}
}

func (s *Sink) count() {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "level=warn prefix=log msg=\"lines dropped\" count=%d\n", n)
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line)
		default:
			s.count()
			return
		}
	}
}
