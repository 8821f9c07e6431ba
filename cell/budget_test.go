package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestControlTraffic guards against control traffic above 7 KB/s per node. The
// load is 5.6 requests per second and node, of 500 tokens on average at 50 ms per
// token, which slightly exceeds the capacity of the fleet.
func TestControlTraffic(t *testing.T) {
	const (
		rate    = 5.6
		tokens  = 500
		nodes   = 6
		measure = 20 * time.Second
		budget  = 7000
	)
	running := rate * nodes * tokens * 0.05
	sim := newFleetSim(t, 1, []int{3, 3}, []int{3, 3}, int(running*0.97/6))
	sim.perToken, sim.chunkTokens = 50*time.Millisecond, 5
	sim.runFor(time.Second)
	end := sim.now.Add(70 * time.Second)
	for _, host := range sim.hosts {
		var next func()
		next = func() {
			if sim.now.Before(end) {
				sim.submit(host, "w"+string(rune('0'+sim.rng.IntN(8))), tokens/2+sim.rng.Int64N(tokens), 0)
				sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		next()
	}
	sim.runFor(50 * time.Second)
	clear(sim.sentBytes)
	sim.runFor(measure)
	total, most := 0, 0
	for _, b := range sim.sentBytes {
		total += b
		most = max(most, b)
	}
	seconds := int(measure.Seconds())
	t.Logf("mean %d B/s per node, max %d B/s, %d requests waiting", total/nodes/seconds, most/seconds, len(sim.undecided))
	require.LessOrEqual(t, total/nodes/seconds, budget)
	require.NotEmpty(t, sim.undecided)
	sim.runFor(60 * time.Second)
	sim.checkDrained()
}
