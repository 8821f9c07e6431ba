// Package fairshare computes the max-min fair share of a capacity in tokens among
// workspaces. Routers exchange what each workspace has asked for and received
// within a sliding window, so that each of them comes to the same shares up to
// the age of the reports.
package fairshare

import (
	"cmp"
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
}

// Add returns the sum of u and v.
func (u Use) Add(v Use) Use {
	return Use{Asked: u.Asked + v.Asked, Received: u.Received + v.Received}
}

// Meter counts the use of each workspace at one router. It is not safe for
// concurrent use.
type Meter struct {
	window time.Duration
	start  time.Time
	latest int64
	uses   map[string]*[buckets]Use
}

// NewMeter returns an empty meter over a sliding window.
func NewMeter(window time.Duration, now time.Time) *Meter {
	return &Meter{window: window, start: now, uses: map[string]*[buckets]Use{}}
}

// Ask counts tokens that a workspace has asked for.
func (m *Meter) Ask(now time.Time, workspace string, tokens float64) {
	m.bucket(now, workspace).Asked += tokens
}

// Receive counts tokens that a workspace is given. A negative number takes back
// what was counted for a request that did not run.
func (m *Meter) Receive(now time.Time, workspace string, tokens float64) {
	m.bucket(now, workspace).Received += tokens
}

// Sums returns the use within the window by workspace. Workspaces without any
// are left out.
func (m *Meter) Sums(now time.Time) map[string]Use {
	m.advance(now)
	sums := make(map[string]Use, len(m.uses))
	for workspace, ring := range m.uses {
		var sum Use
		for _, use := range ring {
			sum = sum.Add(use)
		}
		if sum == (Use{}) {
			delete(m.uses, workspace)
			continue
		}
		sums[workspace] = sum
	}
	return sums
}

func (m *Meter) bucket(now time.Time, workspace string) *Use {
	m.advance(now)
	ring := m.uses[workspace]
	if ring == nil {
		ring = &[buckets]Use{}
		m.uses[workspace] = ring
	}
	return &ring[m.latest%buckets]
}

// advance clears the buckets that have left the window.
func (m *Meter) advance(now time.Time) {
	number := int64(now.Sub(m.start) / (m.window / buckets))
	steps := min(number-m.latest, buckets)
	for step := range max(steps, 0) {
		index := (number - step) % buckets
		for _, ring := range m.uses {
			ring[index] = Use{}
		}
	}
	m.latest = max(m.latest, number)
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
