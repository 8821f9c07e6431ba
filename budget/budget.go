// Package budget limits how often the fleet retries requests to a service. Every
// router counts its own requests and retries and learns those of the others from
// their reports, so the limit applies to all routers together.
package budget

import "time"

// buckets is the number of buckets in the sliding window; a sum errs by the counts
// of at most one of them.
const buckets = 20

// safetyFactor is the fraction of the limit that is used. The rest covers what other
// routers have spent since their latest report.
const safetyFactor = 0.7

// Limits bounds the retries within Window to Ratio times the requests, plus Slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Counts holds the requests and retries within a window.
type Counts struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Retries  int `cbor:"2,keyasint,omitempty"`
}

// Plus returns the sum of c and factor times other.
func (c Counts) Plus(other Counts, factor int) Counts {
	return Counts{Requests: c.Requests + factor*other.Requests, Retries: c.Retries + factor*other.Retries}
}

// Remote is what other routers have reported.
type Remote struct {
	Counts
	// Reporting is the number of other routers that the counts cover, Known the
	// number of other routers that exist.
	Reporting, Known int
	// At is when the counts were summed up.
	At time.Time
}

// Window counts the requests and retries of one router to one service. It is not
// safe for concurrent use.
type Window struct {
	limits   Limits
	counts   [buckets]Counts
	newest   int64     // number of the newest bucket
	start    time.Time // start of bucket 0
	reported time.Time // Remote.At of the counts that quota was computed from
	quota    int       // retries left until the next remote counts
}

// NewWindow returns an empty window.
func NewWindow(limits Limits, now time.Time) *Window {
	return &Window{limits: limits, start: now}
}

// AddRequest counts the first attempt of a request.
func (w *Window) AddRequest(now time.Time) { w.bucket(now).Requests++ }

// Sum returns the counts within the window.
func (w *Window) Sum(now time.Time) Counts {
	w.bucket(now)
	var sum Counts
	for _, c := range w.counts {
		sum.Requests += c.Requests
		sum.Retries += c.Retries
	}
	return sum
}

// reportsInFlight is how many reports of this router the others may not have seen
// when they decide. It keeps routers from spending the same remainder twice.
const reportsInFlight = 2

// AllowRetry reports whether the fleet's limit allows a retry, and counts it if so.
// All routers spend at the same time, so each takes an equal share of the remainder,
// recomputed with each set of reports. The share of the slack that belongs to
// routers without reports is left to them.
func (w *Window) AllowRetry(now time.Time, reported Remote) bool {
	remaining := w.remaining(now, reported)
	if !reported.At.Equal(w.reported) {
		w.reported = reported.At
		w.quota = int(remaining) / (1 + reportsInFlight*reported.Reporting)
	}
	if remaining < 1 || w.quota < 1 {
		return false
	}
	w.quota--
	w.bucket(now).Retries++
	return true
}

// remaining returns how many retries the fleet may still make within the window.
func (w *Window) remaining(now time.Time, reported Remote) float64 {
	own := w.Sum(now)
	requests := float64(own.Requests + reported.Requests)
	slack := w.limits.Slack * float64(1+reported.Reporting) / float64(1+max(reported.Known, reported.Reporting))
	return safetyFactor*(w.limits.Ratio*requests+slack) - float64(own.Retries+reported.Retries)
}

// bucket returns the bucket of now and clears those that have left the window.
func (w *Window) bucket(now time.Time) *Counts {
	number := int64(now.Sub(w.start) / (w.limits.Window / buckets))
	if number-w.newest >= buckets {
		w.counts = [buckets]Counts{}
		w.newest = number
	}
	for w.newest < number {
		w.newest++
		w.counts[w.newest%buckets] = Counts{}
	}
	return &w.counts[w.newest%buckets]
}
