package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var timing = Timing{RefuseAfter: 3 * time.Second, ExitAfter: 7 * time.Second, QuietPeriod: 600 * time.Millisecond}

// The state never goes back, except from Done when a request still arrives. A
// router with requests in progress must not exit before ExitAfter, and no router
// may run longer.
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
				m.RequestArrived(now)
			case 1:
				m.Stop(now)
				if stopped.IsZero() {
					stopped = now
				}
			}
			inProgress := rapid.IntRange(0, 2).Draw(t, "in progress")
			state := m.State(now, inProgress, 3)
			elapsed := now.Sub(stopped)
			switch {
			case stopped.IsZero() && state != Serving:
				t.Fatalf("state %v before Stop", state)
			case !stopped.IsZero() && state == Serving:
				t.Fatal("state serving after Stop")
			case state == Done && inProgress > 0 && elapsed < timing.ExitAfter:
				t.Fatalf("done after %v with requests in progress", elapsed)
			case !stopped.IsZero() && elapsed >= timing.ExitAfter && state != Done:
				t.Fatalf("still %v after %v", state, elapsed)
			case state < last && last != Done:
				t.Fatalf("went back from %v to %v", last, state)
			}
			last = state
		}
	})
}

// A router without caller connections exits as soon as callers have had time to
// learn of other routers.
func TestIdleRouterExitsEarly(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(timing)
	m.Stop(now)
	assert.Equal(t, Announced, m.State(now.Add(2*time.Second), 0, 0))
	assert.Equal(t, Done, m.State(now.Add(3*time.Second), 0, 0))
}
