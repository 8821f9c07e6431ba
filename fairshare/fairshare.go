// Package fairshare computes the max-min fair share of a token capacity among
// workspaces. Routers exchange what each workspace requested and was granted within
// a sliding window, so that all of them compute the same shares, up to the age of
// the reports.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// buckets is the number of buckets in the sliding window; a sum errs by the tokens
// of at most one of them.
const buckets = 16

// Tokens counts the tokens that one workspace requested and was granted within the
// window.
type Tokens struct {
	_         struct{} `cbor:",toarray"`
	Requested float64
	Granted   float64
	// Refused counts tokens that were refused for lack of capacity although the
	// workspace was within its share.
	Refused float64
}

// Add returns the sum of t and other.
func (t Tokens) Add(other Tokens) Tokens {
	return Tokens{Requested: t.Requested + other.Requested, Granted: t.Granted + other.Granted, Refused: t.Refused + other.Refused}
}

// Scale returns t with each number multiplied by factor.
func (t Tokens) Scale(factor float64) Tokens {
	return Tokens{Requested: factor * t.Requested, Granted: factor * t.Granted, Refused: factor * t.Refused}
}

// demand estimates how many tokens a workspace requested, not counting retries of
// refused requests. Each refused request is assumed to be retried once: if new
// requests for n tokens arrive and a fraction f of all requests is refused, n*(1+f)
// tokens are requested in total.
func (t Tokens) demand() float64 {
	if t.Requested <= 0 {
		return 0
	}
	refused := max(t.Requested-t.Granted, 0) / t.Requested
	return t.Requested / (1 + refused)
}

// Meter counts the tokens of each workspace at one router. It is not safe for
// concurrent use.
type Meter struct {
	window time.Duration
	start  time.Time        // start of bucket 0
	newest int64            // number of the newest bucket
	rings  map[string]*ring // by workspace
}

// ring holds the tokens of one workspace by bucket, and their sum.
type ring struct {
	buckets [buckets]Tokens
	sum     Tokens
}

// NewMeter returns an empty meter over a sliding window.
func NewMeter(window time.Duration, now time.Time) *Meter {
	return &Meter{window: window, start: now, rings: map[string]*ring{}}
}

// AddRequested counts tokens that a workspace has requested.
func (m *Meter) AddRequested(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Tokens{Requested: tokens})
}

// AddGranted counts tokens that a workspace is granted. A negative number takes
// back the tokens of a request that did not run.
func (m *Meter) AddGranted(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Tokens{Granted: tokens})
}

// AddRefused counts tokens that were refused although they are within the share.
func (m *Meter) AddRefused(now time.Time, workspace string, tokens float64) {
	m.add(now, workspace, Tokens{Refused: tokens})
}

// Sum returns the tokens of one workspace within the window.
func (m *Meter) Sum(now time.Time, workspace string) Tokens {
	m.advance(now)
	if r := m.rings[workspace]; r != nil {
		return r.sum
	}
	return Tokens{}
}

// RecentlyGranted returns the tokens that one workspace was granted within the last
// age, rounded up to whole buckets.
func (m *Meter) RecentlyGranted(now time.Time, workspace string, age time.Duration) float64 {
	m.advance(now)
	r := m.rings[workspace]
	if r == nil {
		return 0
	}
	bucketLength := m.window / buckets
	count := min(int64((age+bucketLength-1)/bucketLength)+1, buckets, m.newest+1)
	sum := 0.0
	for step := range count {
		sum += r.buckets[(m.newest-step)%buckets].Granted
	}
	return sum
}

// Sums returns the tokens within the window by workspace, without workspaces that
// have none.
func (m *Meter) Sums(now time.Time) map[string]Tokens {
	m.advance(now)
	sums := make(map[string]Tokens, len(m.rings))
	for workspace, r := range m.rings {
		if r.buckets == ([buckets]Tokens{}) {
			delete(m.rings, workspace)
			continue
		}
		sums[workspace] = r.sum
	}
	return sums
}

func (m *Meter) add(now time.Time, workspace string, tokens Tokens) {
	m.advance(now)
	r := m.rings[workspace]
	if r == nil {
		r = &ring{}
		m.rings[workspace] = r
	}
	index := m.newest % buckets
	r.buckets[index] = r.buckets[index].Add(tokens)
	r.sum = r.sum.Add(tokens)
}

// advance clears the buckets that have left the window. It recomputes the sums, so
// that rounding errors do not accumulate.
func (m *Meter) advance(now time.Time) {
	number := int64(now.Sub(m.start) / (m.window / buckets))
	if number <= m.newest {
		return
	}
	for _, r := range m.rings {
		for step := range min(number-m.newest, buckets) {
			r.buckets[(number-step)%buckets] = Tokens{}
		}
		r.sum = Tokens{}
		for _, tokens := range r.buckets {
			r.sum = r.sum.Add(tokens)
		}
	}
	m.newest = number
}

// MaxMinShare returns the most that one workspace may have of capacity: workspaces
// that request less get what they request, the others get this share each. It
// returns capacity itself if that suffices for all requests.
func MaxMinShare(demands []float64, capacity float64) float64 {
	sorted := slices.SortedFunc(slices.Values(demands), cmp.Compare)
	left := capacity
	for i, demand := range sorted {
		share := left / float64(len(sorted)-i)
		if demand > share {
			return share
		}
		left -= demand
	}
	return capacity
}

const (
	// minRefusedRatio is the ratio of refused to granted tokens above which the
	// real capacity is taken to be below the nominal one.
	minRefusedRatio = 0.03
	// capacityMargin is the factor by which the estimated capacity exceeds the
	// granted tokens, so that the estimate can grow again.
	capacityMargin = 1.1
	// minCapacity is the lowest estimate, as a fraction of the nominal capacity.
	minCapacity = 0.25
)

// Capacity estimates how many tokens the engines can process within a window from
// what all workspaces were granted and refused. When engines are lost or slow the
// estimate is below nominal; if shares were computed from the nominal capacity, the
// first requests to arrive would take all of the real one.
func Capacity(nominal float64, byWorkspace map[string]Tokens) float64 {
	var sum Tokens
	for _, tokens := range byWorkspace {
		sum = sum.Add(tokens)
	}
	if sum.Refused <= minRefusedRatio*sum.Granted {
		return nominal
	}
	return min(nominal, max(capacityMargin*sum.Granted, minCapacity*nominal))
}

// Shares is the result of Compute for the demand of all workspaces.
type Shares struct {
	// MaxMinShare is how many tokens one workspace may be granted within the
	// window; 0 before the first computation.
	MaxMinShare float64
	// LowestUsage is the lowest usage among the workspaces that were granted less
	// than they requested.
	LowestUsage float64
}

const (
	// unmetRatio is the fraction of its requested tokens that a workspace must lack
	// to count as having unmet demand.
	unmetRatio = 0.1
	// spareSlack is how far a workspace's usage may exceed the lowest one for it to
	// use capacity beyond its share.
	spareSlack = 0.3
)

// Compute returns the shares of a nominal capacity within the window.
func Compute(nominal float64, byWorkspace map[string]Tokens) Shares {
	demands := make([]float64, 0, len(byWorkspace))
	for _, tokens := range byWorkspace {
		demands = append(demands, tokens.demand())
	}
	shares := Shares{MaxMinShare: MaxMinShare(demands, Capacity(nominal, byWorkspace)), LowestUsage: math.Inf(1)}
	for _, tokens := range byWorkspace {
		if tokens.Requested-tokens.Granted > unmetRatio*tokens.Requested {
			shares.LowestUsage = min(shares.LowestUsage, shares.Usage(tokens.Granted, 0))
		}
	}
	return shares
}

// Usage returns what a workspace has been granted as a multiple of its share,
// counting half of the cost of the next request.
func (s Shares) Usage(granted, cost float64) float64 {
	if s.MaxMinShare <= 0 {
		return 0
	}
	return (granted + cost/2) / s.MaxMinShare
}

// MayExceed reports whether a workspace with the given usage may use left-over
// capacity. Only workspaces near the lowest usage may, so that a workspace does not
// get more of it by sending more often.
func (s Shares) MayExceed(usage float64) bool { return usage <= s.LowestUsage+spareSlack }
