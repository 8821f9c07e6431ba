package router

import (
	"context"
	"time"
)

// loopQueueSize is the capacity of a state machine's input queue.
const loopQueueSize = 4096

// loop runs a state machine on one goroutine. Each input and each expiry of the timer
// is one step, which returns the time of the next timer step.
type loop[I any] struct {
	inputs chan I
	calls  chan func(now time.Time)
	tick   I
	step   func(now time.Time, in I) (wake time.Time)
}

func newLoop[I any](tick I, step func(time.Time, I) time.Time) *loop[I] {
	return &loop[I]{
		inputs: make(chan I, loopQueueSize),
		calls:  make(chan func(time.Time)),
		tick:   tick,
		step:   step,
	}
}

// send queues an input. It blocks while the queue is full, until ctx ends.
func (l *loop[I]) send(ctx context.Context, in I) {
	select {
	case l.inputs <- in:
	case <-ctx.Done():
	}
}

// call runs f on the goroutine of the state machine and waits for it. It reports
// false if ctx ends before f starts.
func (l *loop[I]) call(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case l.calls <- wrapped:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// run executes steps until ctx ends.
func (l *loop[I]) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var wake time.Time
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.calls:
			f(time.Now())
			continue
		case in := <-l.inputs:
			wake = l.step(time.Now(), in)
		case <-timer.C:
			wake = l.step(time.Now(), l.tick)
		}
		setTimer(timer, wake)
	}
}

func setTimer(timer *time.Timer, wake time.Time) {
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(time.Until(wake), 0))
}
