package soak

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// largeFleet is a number of routers that report to each other through relays.
	largeFleet         = 18
	largeFleetDuration = 8 * time.Second
	// largeFleetStart is the time in which the routers answer that they are ready, on a busy
	// machine.
	largeFleetStart = 20 * time.Second
	changeInterval  = 500 * time.Millisecond
)

// Routers of a fleet with relays crashed by themselves, as placement read sums that the next
// message changed.
func TestLargeFleetHasNoDataRaces(t *testing.T) {
	d := newDeployment(t, largeFleet, raceBinary)
	require.Eventually(t, d.allReady, largeFleetStart, 20*time.Millisecond)
	outcomes := &outcomeLog{}
	ctx, stop := context.WithTimeout(t.Context(), largeFleetDuration)
	defer stop()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { d.runCaller(ctx, outcomes, 1, i) })
	}
	for version := int64(2); ctx.Err() == nil; version++ {
		d.store.Put("config", "main", site.Config(version))
		time.Sleep(changeInterval)
	}
	callers.Wait()
	assert.NotEmpty(t, outcomes.all())
	assert.Eventually(t, d.allReady, largeFleetStart, 20*time.Millisecond, "a router has ended")
	d.checkProcesses()
}
