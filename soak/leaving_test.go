package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// leavingTime is how long a runner says that it leaves before it starts again.
	leavingTime = drainLimit + 1500*time.Millisecond
	// leaveAloneDelay is the time after an answer that asks to be left alone from which
	// requests count, and maxLeftAloneRequests how many may reach the runner until the
	// end of its time.
	leaveAloneDelay      = 500 * time.Millisecond
	maxLeftAloneRequests = 2
)

// disturbance is a fault at a router or between routers and a runner.
type disturbance struct {
	target   string // caller address of the router, or id of the runner
	from, to time.Time
}

// disturb injects a fault and records when it was in effect.
func (f *injector) disturb(target string, inject func()) {
	from := time.Now()
	inject()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed = append(f.disturbed, disturbance{target, from, time.Now()})
}

// disturbedBetween reports whether there was a fault at one of two targets.
func disturbedBetween(disturbed []disturbance, router, runner string, from, to time.Time) bool {
	for _, d := range disturbed {
		if (d.target == router || d.target == runner) && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

// checkRequests checks that runners which said that they leave, or asked to be left
// alone, did not get requests from a router that knew.
func checkRequests(t *testing.T, d *deployment, outcomes []site.Outcome, disturbed []disturbance) {
	byID := map[string]site.Outcome{}
	for _, o := range outcomes {
		byID[o.ID] = o
	}
	told := 0
	for _, r := range d.runners {
		byRouter := map[string][]site.Arrival{}
		for _, a := range r.Arrivals() {
			if o, known := byID[a.ID]; known {
				byRouter[o.Router] = append(byRouter[o.Router], a)
			}
		}
		for router, arrivals := range byRouter {
			for i, a := range arrivals {
				told += checkLeaving(t, r, router, a, arrivals[i+1:], byID, disturbed)
				told += checkLeftAlone(t, r, router, a, arrivals[i+1:], disturbed)
			}
		}
	}
	t.Logf("routers were told %d times that a runner leaves or wants to be left alone", told)
}

// checkLeaving checks the arrivals after one whose answer said that the runner leaves,
// and returns 1 if that answer was passed on.
func checkLeaving(t *testing.T, r *runner, router string, a site.Arrival, later []site.Arrival, byID map[string]site.Outcome, disturbed []disturbance) int {
	answer := byID[a.ID]
	if !a.Leaving || answer.Status != 200 || !answer.Complete || !answer.Sealed {
		return 0
	}
	for _, b := range later {
		sent := byID[b.ID].Sent
		if b.Born == a.Born && sent.After(answer.Ended.Add(drainLimit)) && !disturbedBetween(disturbed, router, "", a.At, b.At) {
			assert.Failf(t, "request to a leaving runner", "runner %s said that it leaves to %s, and %s reached it from %s %v later", r.ID, a.ID, b.ID, router, sent.Sub(answer.Ended))
		}
	}
	return 1
}

// checkLeftAlone checks the arrivals within the time for which an answer asked to be
// left alone, and returns 1 if it did.
func checkLeftAlone(t *testing.T, r *runner, router string, a site.Arrival, later []site.Arrival, disturbed []disturbance) int {
	end := a.At.Add(a.Wait)
	if a.Wait == 0 || disturbedBetween(disturbed, router, r.ID, a.At.Add(-maxFaultMillis*time.Millisecond), end) {
		return 0
	}
	count := 0
	for _, b := range later {
		if b.Born == a.Born && b.At.After(a.At.Add(leaveAloneDelay)) && b.At.Before(end) {
			count++
		}
	}
	assert.LessOrEqual(t, count, maxLeftAloneRequests, "runner %s asked %s to be left alone for %v", r.ID, router, a.Wait)
	return 1
}
