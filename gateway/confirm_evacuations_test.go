package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// startGateways starts routers that follow evacuations, and returns them once they know
// each other.
func startGateways(t *testing.T, count int) []*Gateway {
	t.Helper()
	number, release, err := site.ClaimNetwork("127.20.%d.254", 1, 254)
	require.NoError(t, err)
	t.Cleanup(release)
	ip := func(host int) string { return fmt.Sprintf("127.20.%d.%d", number, host) }
	store, err := site.NewStore(ip(250) + ":8781")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	store.Put("config", "main", site.Config(1))
	var gateways []*Gateway
	for i := range count {
		r := site.Router{Name: fmt.Sprint("router-", i), IP: ip(i + 1), Seed: ip(1), Store: store.Address(), Grace: 3 * time.Second, EvacuateMs: 5000}
		settings, err := platform.ParseSettings([]byte(r.Settings()))
		require.NoError(t, err)
		g, err := New(settings, Options{}, log.New(io.Discard))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		exited := make(chan error, 1)
		go func() { exited <- g.Run(ctx) }()
		t.Cleanup(func() { cancel(); require.NoError(t, <-exited) })
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		require.Eventually(t, func() bool { return g.ready() && len(g.exchange.ready()) == count }, 5*time.Second, 10*time.Millisecond)
	}
	return gateways
}

// After a pause the set must be in force before requests are sent again. A router that
// took its versions for confirmed while it still fetched would send to a data centre that
// was evacuated in the pause.
func TestPausedRouterLearnsOfEvacuationsBeforeItServes(t *testing.T) {
	gateways := startGateways(t, 3)
	paused, other := gateways[0], gateways[1]
	h := paused.handler
	require.Empty(t, h.mustWait())
	paused.exchange.stepContact(time.Now(), true)
	require.Eventually(t, func() bool { return h.mustWait() == "" }, time.Second, time.Millisecond, "confirmed by another router")

	// The report with the new version has not been sent yet.
	version := other.evacuations.version() + 1
	for _, g := range gateways[1:] {
		g.evacuations.latest.Update(versioned.NewEvacuations("a"), version, versioned.Store, time.Now())
	}
	lostAt := time.Now()
	paused.exchange.stepContact(lostAt, true)
	for h.mustWait() != "" {
		if !assert.Less(t, time.Since(lostAt), time.Second) {
			return
		}
	}
	assert.True(t, paused.pools.evacuated.Has("a"))
}

// A router that does not follow evacuations, such as one of an earlier release, must not
// confirm them.
func TestOnlyRoutersWithEvacuationsConfirmThem(t *testing.T) {
	x := &exchange{evacuations: newEvacuations(time.Second, nil, nil, nil)}
	assert.ErrorIs(t, x.confirmEvacuationsVersion("host", 0), errNoEvacuations)
	assert.NoError(t, (&exchange{}).confirmEvacuationsVersion("host", 0))
}
