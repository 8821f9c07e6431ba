// Package fairshare computes the max-min fair share of a capacity in tokens among
// workspaces. Routers exchange what each workspace has asked for and received
// within a sliding window, so that each of them comes to the same shares up to
// the age of the reports.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buckets divide the window; a sum errs by at most one bucket.
const buckets = 16

// Use is what one workspace has asked for and received within the window, in
// tokens.
type Use struct {
	Asked    float64 `cbor:"1,keyasint,omitempty"`
	Received float64 `cbor:"2,keyasint,omitempty"`
	// Turned is what was refused although it was within the share.
	Turned float64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of u and v.
func (u Use) Add(v Use) Use {
	return Use{Asked: u.Asked + v.Asked, Received: u.Received + v.Received, Turned: u.Turned + v.Turned}
}

// Times returns u with each number multiplied by factor.
func (u Use) Times(factor float64) Use {
	return Use{Asked: factor * u.Asked, Received: factor * u.Received, Turned: factor * u.Turned}
}

// demand estimates what a workspace asked for without the requests that came back
// after a refusal. Callers come back about once, so of the requests that arrive
// one part is new and another, as large as the refused part of the new ones,
// has come back.
func (u Use) demand() float64 {
	if u.Asked <= 0 {
		return 0
	}
	refused := max(u.Asked-u.Received, 0) / u.Asked
	return u.Asked / (1 + refused)
}

// Meter counts the use of each workspace at one router. It is not safe for
// concurrent use.
type Meter struct {
	window time.Duration
	start  time.Time
	latest int64 // number of the newest bucket
	uses   map[string]*ring
}

// ring is the use of one workspace by bucket, and its sum.
type ring struct {
	buckets [buckets]Use
	sum     Use
}

// NewMeter returns an empty meter over a sliding window.
func NewMeter(window time.Duration, now time.Time) *Meter {
	return &Meter{window: window, start: now, uses: map[string]*ring{}}
}

// Ask counts tokens that a workspace has asked for.
func (m *Meter) Ask(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Use{Asked: tokens})
}

// Receive counts tokens that a workspace is given. A negative number takes back
// what was counted for a request that did not run.
func (m *Meter) Receive(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Use{Received: tokens})
}

// Turn counts tokens that were refused although they are within the share.
func (m *Meter) Turn(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Use{Turned: tokens})
}

// Sum returns the use of one workspace within the window.
func (m *Meter) Sum(now time.Time, workspace string) Use {
	m.advance(now)
	if r := m.uses[workspace]; r != nil {
		return r.sum
	}
	return Use{}
}

// Sums returns the use within the window by workspace. Workspaces without any
// are left out.
func (m *Meter) Sums(now time.Time) map[string]Use {
	m.advance(now)
	sums := make(map[string]Use, len(m.uses))
	for workspace, r := range m.uses {
		if r.buckets == ([buckets]Use{}) {
			delete(m.uses, workspace)
			continue
		}
		sums[workspace] = r.sum
	}
	return sums
}

func (m *Meter) add(now time.Time, workspace string, use Use) {
	m.advance(now)
	r := m.uses[workspace]
	if r == nil {
		r = &ring{}
		m.uses[workspace] = r
	}
	index := m.latest % buckets
	r.buckets[index] = r.buckets[index].Add(use)
	r.sum = r.sum.Add(use)
}

// advance clears the buckets that have left the window. Sums are added up anew, so
// that no rounding errors gather.
func (m *Meter) advance(now time.Time) {
	number := int64(now.Sub(m.start) / (m.window / buckets))
	if number <= m.latest {
		return
	}
	for _, r := range m.uses {
		for step := range min(number-m.latest, buckets) {
			r.buckets[(number-step)%buckets] = Use{}
		}
		r.sum = Use{}
		for _, use := range r.buckets {
			r.sum = r.sum.Add(use)
		}
	}
	m.latest = number
}

// Level returns the most that one workspace may have of capacity: workspaces that
// ask for less get what they ask for, the others get this level each. With
// capacity for all that is asked it is capacity itself.
func Level(asked []float64, capacity float64) float64 {
	sorted := slices.SortedFunc(slices.Values(asked), cmp.Compare)
	left := capacity
	for i, ask := range sorted {
		share := left / float64(len(sorted)-i)
		if ask > share {
			return share
		}
		left -= ask
	}
	return capacity
}

const (
	// turnedShare is the part of the received tokens from which turned ones show
	// that the real capacity is below the nominal one.
	turnedShare = 0.03
	// capacityMargin is how far the estimate of the capacity lies above what was
	// received, so that it can grow again.
	capacityMargin = 1.1
	// leastCapacity is the least part of the nominal capacity that is assumed.
	leastCapacity = 0.25
)

// Capacity estimates the tokens that the engines can really take within a window
// from what all workspaces received and were turned away with. With engines lost
// or slow it is below nominal, and shares of the nominal capacity would let the
// first comers take all of it.
func Capacity(nominal float64, uses map[string]Use) float64 {
	var sum Use
	for _, use := range uses {
		sum = sum.Add(use)
	}
	if sum.Turned <= turnedShare*sum.Received {
		return nominal
	}
	return min(nominal, max(capacityMargin*sum.Received, leastCapacity*nominal))
}

// Shares are the outcome of one computation over the uses of all workspaces.
type Shares struct {
	// Level is what one workspace may receive within the window, in tokens; 0 before
	// the first computation.
	Level float64
	// Lowest is the least usage among the workspaces that want more than they have
	// received.
	Lowest float64
}

const (
	// unmetShare is the part of what a workspace asked for that it must lack to
	// count as wanting more.
	unmetShare = 0.1
	// spareSlack is how far a workspace's usage may be above the lowest one when it
	// takes capacity beyond its share.
	spareSlack = 0.6
)

// Compute returns the shares of a nominal capacity within the window.
func Compute(nominal float64, uses map[string]Use) Shares {
	asked := make([]float64, 0, len(uses))
	for _, use := range uses {
		asked = append(asked, use.demand())
	}
	shares := Shares{Level: Level(asked, Capacity(nominal, uses)), Lowest: math.Inf(1)}
	for _, use := range uses {
		if use.Asked-use.Received > unmetShare*use.Asked {
			shares.Lowest = min(shares.Lowest, shares.Usage(use.Received, 0))
		}
	}
	return shares
}

// Usage returns what a workspace has received as a part of its share, counting
// half of a request with the given cost.
func (s Shares) Usage(received, cost float64) float64 {
	if s.Level <= 0 {
		return 0
	}
	return (received + cost/2) / s.Level
}

// MayExceed tells whether a workspace with the given usage may take capacity that
// is left over. It goes to those who have received least, so that a workspace does
// not get more of it by asking more often.
func (s Shares) MayExceed(usage float64) bool { return usage <= s.Lowest+spareSlack }
