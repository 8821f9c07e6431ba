package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// A router that took over the watch long after an outage of the store brought upstreams
// that had been removed meanwhile back into the lists of all routers.
func TestTakeoverAfterAnOutageBringsNoRemovedUpstreamBack(t *testing.T) {
	s := newSite(t, 0, 2)
	watcher, next, third := s.start(true), s.start(true), s.start(true)
	s.store.SetHostFault(watcher.IP, site.Unavailable)
	time.Sleep(2 * versioned.StaleAfter) // until next has taken over and listed the upstreams
	s.store.SetHostFault(watcher.IP, site.NoFault)
	time.Sleep(versioned.StaleAfter)
	s.store.SetFault(site.Unavailable)
	time.Sleep(2 * versioned.StaleAfter) // until all routers have tried the store
	for _, r := range []*testRouter{next, third} {
		s.store.SetHostFault(r.IP, site.Unavailable)
	}
	s.store.SetFault(site.NoFault)
	time.Sleep(versioned.MissingGrace) // next and third learn of the store's return from watcher
	for _, r := range []*testRouter{next, third} {
		s.store.SetHostFault(r.IP, site.NoFault)
	}
	time.Sleep(versioned.MissingGrace)
	s.store.Delete("servers", s.plainRunners[0].ID)
	time.Sleep(500 * time.Millisecond)            // until all routers know
	s.store.Put("config", "main", site.Config(2)) // the store has a newer revision
	time.Sleep(500 * time.Millisecond)
	watcher.stop()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for _, r := range []*testRouter{next, third} {
			q := request{path: site.OrderPath + "1", id: newID()}
			require.Equal(t, http.StatusOK, r.ask(q).status)
			if !assert.Zero(t, s.plainRunners[0].Runs()[q.id], "request reached the removed upstream") {
				return
			}
		}
	}
}

// Upstreams whose entries expired in an outage of the store were to be used by all routers
// until they could have been renewed, and by none after that.
func TestUpstreamThatExpiredInAnOutageStaysInUseForAWhile(t *testing.T) {
	s := newSite(t, 0, 2)
	routers := []*testRouter{s.start(true), s.start(true), s.start(true)}
	time.Sleep(400 * time.Millisecond) // until the routers know each other
	s.store.SetFault(site.Unavailable)
	s.store.Delete("servers", s.plainRunners[0].ID)
	time.Sleep(2 * versioned.StaleAfter)
	s.store.SetFault(site.NoFault)
	time.Sleep(versioned.MissingGrace / 2) // until all routers have the new roster
	// used reports whether one of several requests at once reaches the upstream.
	used := func(r *testRouter) bool {
		var reached atomic.Bool
		var group errgroup.Group
		for range 12 {
			group.Go(func() error {
				q := request{path: site.OrderPath + "1", id: newID()}
				got := r.ask(q)
				assert.Equal(t, http.StatusOK, got.status, got.body)
				if s.plainRunners[0].Runs()[q.id] > 0 {
					reached.Store(true)
				}
				return nil
			})
		}
		require.NoError(t, group.Wait())
		return reached.Load()
	}
	for i, r := range routers {
		assert.True(t, used(r), "router %d after the outage", i)
	}
	time.Sleep(versioned.MissingGrace)
	for i, r := range routers {
		assert.False(t, used(r), "router %d after the grace period", i)
	}
}
