// Package budget bounds how often the fleet repeats sends to a service. Every
// router counts its own requests and repeats and learns those of the others from
// their reports, so the bound holds for all routers together.
package budget

import "time"

// buckets divide the window; the count of a window errs by at most one bucket.
const buckets = 20

// safety is the part of the bound that is used. The rest covers what other
// routers have spent since their latest report.
const safety = 0.7

// Limits are the bound: Slack + Ratio x requests within Window.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Counts are requests and repeats within a window.
type Counts struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Repeats  int `cbor:"2,keyasint,omitempty"`
}

// Plus returns the sum of c and factor times other.
func (c Counts) Plus(other Counts, factor int) Counts {
	return Counts{Requests: c.Requests + factor*other.Requests, Repeats: c.Repeats + factor*other.Repeats}
}

// Fleet is what other routers have reported.
type Fleet struct {
	Counts
	// Heard and Known are how many other routers the counts cover and how many
	// there are.
	Heard, Known int
	// At is when the counts were put together.
	At time.Time
}

// Window counts the requests and repeats of one router to one service. It is not
// safe for concurrent use.
type Window struct {
	limits Limits
	counts [buckets]Counts
	latest int64 // number of the newest bucket
	start  time.Time
	fleet  time.Time // of the counts that quota follows from
	quota  int       // repeats until the next counts of the fleet
}

// NewWindow returns an empty window.
func NewWindow(limits Limits, now time.Time) *Window {
	return &Window{limits: limits, start: now}
}

// Request counts the first send of a request.
func (w *Window) Request(now time.Time) { w.bucket(now).Requests++ }

// Sum returns the counts within the window.
func (w *Window) Sum(now time.Time) Counts {
	w.bucket(now)
	var sum Counts
	for _, c := range w.counts {
		sum.Requests += c.Requests
		sum.Repeats += c.Repeats
	}
	return sum
}

// reportsInFlight is how many reports of this router the others may not have seen
// when they decide, so that what is left is not spent twice.
const reportsInFlight = 2

// Repeat counts a repeated send if the bound of the fleet allows it, and tells
// whether it does. All routers spend at once, so each takes an equal part of what
// is left, and takes it anew with each set of reports. Routers that are not heard
// keep their part of the slack.
func (w *Window) Repeat(now time.Time, fleet Fleet) bool {
	left := w.left(now, fleet)
	if !fleet.At.Equal(w.fleet) {
		w.fleet = fleet.At
		w.quota = int(left) / (1 + reportsInFlight*fleet.Heard)
	}
	if left < 1 || w.quota < 1 {
		return false
	}
	w.quota--
	w.bucket(now).Repeats++
	return true
}

// left is how many repeats the fleet may still make within the window.
func (w *Window) left(now time.Time, fleet Fleet) float64 {
	own := w.Sum(now)
	requests := float64(own.Requests + fleet.Requests)
	slack := w.limits.Slack * float64(1+fleet.Heard) / float64(1+max(fleet.Known, fleet.Heard))
	return safety*(w.limits.Ratio*requests+slack) - float64(own.Repeats+fleet.Repeats)
}

// bucket returns the bucket of now and clears those that have left the window.
func (w *Window) bucket(now time.Time) *Counts {
	number := int64(now.Sub(w.start) / (w.limits.Window / buckets))
	if number-w.latest >= buckets {
		w.counts = [buckets]Counts{}
		w.latest = number
	}
	for w.latest < number {
		w.latest++
		w.counts[w.latest%buckets] = Counts{}
	}
	return &w.counts[w.latest%buckets]
}
