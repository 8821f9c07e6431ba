package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A router with most of the fleet's requests sends callers elsewhere, until it has
// its part: what happened on the grown Piedmont trouble-1, where one caller's
// connections brought a quarter of all requests to one of 67 routers.
func TestCallersAreSpread(t *testing.T) {
	assert.InDelta(t, 0.96, closingShare(800, 0.2, 1200, 20), 0.01)
	assert.Zero(t, closingShare(100, 0.4, 700, 2.8), "its part")
	assert.Zero(t, closingShare(20, 0.4, 0, 2.8), "few requests")
	assert.Zero(t, closingShare(800, 0, 1200, 20), "cores not known")
	assert.Zero(t, closingShare(800, 0.4, 0, 0), "the only router")
}

func TestArrivalsOfTheLatestSecond(t *testing.T) {
	start := time.Unix(1000, 0)
	b := &balance{cores: 1, start: start}
	for ms := range 1000 {
		b.arrived(start.Add(time.Duration(ms) * time.Millisecond))
	}
	assert.InDelta(t, 500, b.arrivals(start.Add(1500*time.Millisecond)), 1)
	assert.Zero(t, b.arrivals(start.Add(5*time.Second)))
}
