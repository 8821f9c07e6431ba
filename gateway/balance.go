package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// arrivalWindow is the time over which arrivals are counted.
	arrivalWindow = time.Second
	// fairMultiple is how far above its part of the fleet's requests a router may be
	// before it asks callers to connect elsewhere.
	fairMultiple = 1.5
	// quietArrivals is the number of requests a second and core below which a router
	// keeps all callers; a request takes well under a millisecond of a core.
	quietArrivals = 150
)

// balance spreads callers over the routers. Callers keep connections open and send
// all their requests on them, so one large caller can fill a router while others
// are idle. A router above its part closes some connections after the answer, and
// callers choose anew. It is safe for concurrent use.
type balance struct {
	cores float64
	start time.Time // of the seconds that are counted

	mu      sync.Mutex
	second  int64
	current int
	latest  int // arrivals in the second before
	closing float64
}

// arrived counts a request and tells whether its connection is to be closed after
// the answer.
func (b *balance) arrived(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.current++
	return b.closing > 0 && rand.Float64() < b.closing
}

// arrivals returns the requests within the latest second.
func (b *balance) arrivals(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	part := float64(now.Sub(b.start)%arrivalWindow) / float64(arrivalWindow)
	return float64(b.current) + (1-part)*float64(b.latest)
}

func (b *balance) advance(now time.Time) {
	second := int64(now.Sub(b.start) / arrivalWindow)
	switch second - b.second {
	case 0:
		return
	case 1:
		b.latest = b.current
	default:
		b.latest = 0
	}
	b.second, b.current = second, 0
}

// setOthers takes the requests and cores of the other routers.
func (b *balance) setOthers(now time.Time, arrivals, cores float64) {
	own := b.arrivals(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = closingShare(own, b.cores, arrivals, cores)
}

// closingShare returns the part of the answers after which connections are closed.
func closingShare(own, ownCores, others, otherCores float64) float64 {
	if ownCores <= 0 || otherCores <= 0 || own < quietArrivals*ownCores {
		return 0
	}
	fair := (own + others) * ownCores / (ownCores + otherCores)
	return math.Max(0, 1-fairMultiple*fair/own)
}
