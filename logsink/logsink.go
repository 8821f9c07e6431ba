// Package logsink writes log lines without ever blocking the caller. It drops and
// counts request lines above a rate limit and lines that do not fit into its queue.
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
	// linesPerSecond limits the lines about requests. Normal operation stays well
	// below it: a router handles about 33 requests a second, with up to three lines
	// each.
	linesPerSecond = 500
	// burst is how many of these lines may be written at once.
	burst = 2000
	// queueLength is the number of lines that the queue holds.
	queueLength = 4096
	// reportInterval is the time between lines that state how many lines were
	// dropped.
	reportInterval = time.Second
)

// Sink is an io.Writer for a logger. It is safe for concurrent use.
type Sink struct {
	out          io.Writer
	queue        chan []byte
	limiter      *rate.Limiter
	unreported   atomic.Int64 // dropped lines since the latest report
	droppedTotal atomic.Int64
}

// New returns a sink that writes to out while Run is running.
func New(out io.Writer) *Sink {
	return &Sink{out: out, queue: make(chan []byte, queueLength), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Admit reports whether one more line about a request may be written, and counts it
// as dropped otherwise. Callers ask before they format the line, which saves that
// work. Lines about the system itself are few and need not be admitted.
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
	s.unreported.Add(1)
	s.droppedTotal.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.droppedTotal.Load() }

// Run writes queued lines until ctx ends, and then those that remain.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line) // a failing log cannot be reported anywhere
		case <-ticker.C:
			s.reportDropped()
		case <-ctx.Done():
			s.flush()
			return nil
		}
	}
}

// reportDropped writes a line with the number of lines dropped since the latest one.
func (s *Sink) reportDropped() {
	if n := s.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "level=warn prefix=log msg=\"lines dropped\" count=%d\n", n)
	}
}

// flush writes the lines that are still queued.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line)
		default:
			s.reportDropped()
			return
		}
	}
}
