// Package placement decides which upstream gets a request, and whether it is
// better refused. It is pure: time is passed in, nothing is read or sent. The
// types are not safe for concurrent use.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// Load is the work that one router has at one upstream. Routers exchange loads,
// so that each decides on the load of the whole fleet.
type Load struct {
	Upstream string `cbor:"1,keyasint,omitempty"`
	// WaitingTokens are prompt tokens of requests without a first event.
	WaitingTokens int `cbor:"2,keyasint,omitempty"`
	// Requests are those sent and not ended, MemoryTokens what they occupy.
	Requests     int `cbor:"3,keyasint,omitempty"`
	MemoryTokens int `cbor:"4,keyasint,omitempty"`
	// Failing tells that this router gives the upstream no work because requests
	// fail there.
	Failing bool `cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of l and factor times other.
func (l Load) Plus(other Load, factor int) Load {
	l.WaitingTokens += factor * other.WaitingTokens
	l.Requests += factor * other.Requests
	l.MemoryTokens += factor * other.MemoryTokens
	return l
}

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	NoUpstream Reason = "no upstream"
	Overloaded Reason = "overloaded"
	OverShare  Reason = "over its share"
)

// Place is where requests come from and upstreams are.
type Place struct{ DataCentre, Region string }

// Decision is the outcome for one request: an upstream or a refusal.
type Decision struct {
	// Upstream is empty if the request is refused.
	Upstream catalog.Upstream
	// Wait is the predicted time to the first byte of the answer.
	Wait time.Duration
	// Read is the number of prompt tokens that the upstream is expected to read.
	Read int
	// Rank is the place of the upstream in the order for the request's prefix.
	Rank int
	// Reason and RetryAfter describe a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// Refused tells whether the request got no upstream.
func (d Decision) Refused() bool { return d.Upstream.ID == "" }

// rendezvous returns the weight of an upstream for a key. All routers agree on
// it without messages.
func rendezvous(key uint64, upstream string) uint64 {
	var buffer [8]byte
	for i := range buffer {
		buffer[i] = byte(key >> (8 * i))
	}
	digest := xxhash.New()
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(upstream)
	return digest.Sum64()
}

// ewma moves average towards sample by weight.
func ewma(average, sample, weight float64) float64 { return average + weight*(sample-average) }

// Outcome tells how a request ended at an upstream.
type Outcome uint8

// Outcomes.
const (
	Succeeded   Outcome = iota + 1
	Failed              // an error, or an answer that cannot be used
	Rejected            // the upstream had no room
	Unreachable         // no connection
	Abandoned           // ended by the caller or this router
)

// ShortestReturn is the least time after which a refused caller may come back:
// about the time in which an engine ends a tenth of what it runs.
const ShortestReturn = 300 * time.Millisecond

// Spread returns a time between d and twice d, so that callers that were refused
// together do not come back together; point is uniform in [0, 1).
func Spread(d time.Duration, point float64) time.Duration {
	return d + time.Duration(point*float64(d))
}
