// Package placement decides which upstream gets a request, or that the request is
// refused. It does no I/O and takes the time as an argument. The types are not safe
// for concurrent use.
package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// Load is the work that one router has in progress at one upstream. Routers
// exchange their loads, so that each one decides by the load of the whole fleet.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// WaitingTokens counts the prompt tokens of requests before their first event.
	WaitingTokens int
	// Requests counts requests that were sent and have not ended; MemoryTokens
	// counts the tokens that they occupy.
	Requests     int
	MemoryTokens int
	// Failing reports that this router has ejected the upstream.
	Failing bool
}

// Plus returns the sum of l and factor times other.
func (l Load) Plus(other Load, factor int) Load {
	l.WaitingTokens += factor * other.WaitingTokens
	l.Requests += factor * other.Requests
	l.MemoryTokens += factor * other.MemoryTokens
	return l
}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	NoUpstream Reason = "no upstream"
	Overloaded Reason = "overloaded"
	OverShare  Reason = "over its share"
	// RegionsFull: the same as Overloaded, for a request that only some regions may serve.
	RegionsFull Reason = "permitted regions are full"
	// AllLeftAlone: each upstream that is not failing or leaving asked for no requests
	// for a time.
	AllLeftAlone Reason = "upstreams ask to be left alone"
)

// Location is the data centre and region of a router.
type Location struct{ DataCentre, Region string }

// Decision is the result for one request: an upstream or a refusal.
type Decision struct {
	// Upstream is empty if the request is refused.
	Upstream catalog.Upstream
	// Wait is the predicted time to the first byte of the response.
	Wait time.Duration
	// ReadTokens is the number of prompt tokens that the upstream is expected to
	// read.
	ReadTokens int
	// Rank is the position of the upstream in the preference order for the
	// request's prefix.
	Rank int
	// Reason and RetryAfter describe a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// HeldBack is the upstream that was preferred but must not get the request.
	HeldBack HeldBack
}

// Refused reports whether the request was given no upstream.
func (d Decision) Refused() bool { return d.Upstream.ID == "" }

// rendezvous returns the rendezvous-hashing weight for a key of the upstream whose
// id has the given hash. It is the same at all routers.
func rendezvous(key, idHash uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], idHash)
	return xxhash.Sum64(buffer[:])
}

// ewma moves average towards sample by weight.
func ewma(average, sample, weight float64) float64 { return average + weight*(sample-average) }

// Outcome is how a request ended at an upstream.
type Outcome uint8

// Outcomes of requests.
const (
	Succeeded   Outcome = iota + 1
	Failed              // an error, or an unusable response
	Rejected            // the upstream had no capacity
	Unreachable         // no connection
	Abandoned           // cancelled by the caller or this router
	Deferred            // the upstream asked for no requests for a time
	Withheld            // not sent, as the upstream must not get it any more
)

// MinRetryAfter is the shortest time after which a refused caller may retry: about
// the time in which an engine finishes a tenth of its running requests.
const MinRetryAfter = 300 * time.Millisecond

// Jitter returns a time between d and 2d, so that callers that were refused
// together do not retry together; point is uniform in [0, 1).
func Jitter(d time.Duration, point float64) time.Duration {
	return d + time.Duration(point*float64(d))
}
