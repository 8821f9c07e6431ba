package stopping

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var timing = Timing{RefuseAfter: 3 * time.Second, ExitAfter: 7 * time.Second, Quiet: 600 * time.Millisecond}

// Guards against a router that takes work again after the order to stop, ends
// before its time with work in progress, or stays past its time.
func TestStatesOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		m := New(timing)
		var stopped time.Time
		last := Serving
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.Arrived(now)
			case 1:
				m.Stop(now)
				if stopped.IsZero() {
					stopped = now
				}
			}
			inProgress := rapid.IntRange(0, 2).Draw(t, "in progress")
			state := m.State(now, inProgress, 3)
			since := now.Sub(stopped)
			switch {
			case stopped.IsZero() && state != Serving:
				t.Fatalf("state %v before the order", state)
			case !stopped.IsZero() && state == Serving:
				t.Fatal("serves after the order")
			case state == Done && inProgress > 0 && since < timing.ExitAfter:
				t.Fatalf("ends after %v with work in progress", since)
			case !stopped.IsZero() && since >= timing.ExitAfter && state != Done:
				t.Fatalf("still %v after %v", state, since)
			case state < last && last != Done:
				t.Fatalf("went back from %v to %v", last, state)
			}
			last = state
		}
	})
}

// A router without callers ends as soon as those that may know its address have
// learnt of others.
func TestIdleRouterEndsEarly(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(timing)
	m.Stop(now)
	assert.Equal(t, Announced, m.State(now.Add(2*time.Second), 0, 0))
	assert.Equal(t, Done, m.State(now.Add(3*time.Second), 0, 0))
}
