package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// askAll sends requests through all routers one after another for a time, calls check with
// each answer, and returns how many of them have run at each upstream.
func (s *testSite) askAll(duration time.Duration, check func(answer)) map[string]int {
	s.t.Helper()
	runs := map[string]int{}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, r := range s.routers {
			q := request{path: site.OrderPath + "1", id: newID()}
			check(r.ask(q))
			for _, p := range s.plainRunners {
				runs[p.ID] += p.Runs()[q.id]
			}
			require.LessOrEqual(s.t, s.runs(q.id), 1, "a request that may not be repeated has run twice")
		}
	}
	return runs
}

func served(t *testing.T) func(answer) {
	return func(a answer) { assert.Equal(t, http.StatusOK, a.status, "%s %v", a.body, a.err) }
}

// A copy that lists an upstream which has left must not bring it back, neither at the router
// that watches the store nor at the others, until the upstream writes its entry again.
func TestRestoreBringsNoRemovedUpstreamBack(t *testing.T) {
	s := newSite(t, 0, 2)
	s.store.UseEras(1)
	for range 3 {
		s.start(true)
	}
	s.store.Put("config", "main", site.Config(2))
	c := s.store.TakeCopy()
	gone := s.plainRunners[0]
	s.store.Delete("servers", gone.ID)
	time.Sleep(600 * time.Millisecond) // until all routers know
	require.Zero(t, s.askAll(300*time.Millisecond, served(t))[gone.ID])

	s.store.Restore(c)
	s.plainRunners[1].Renew()
	require.Contains(t, s.store.Names("servers"), gone.ID)
	assert.Zero(t, s.askAll(2*versioned.MissingGrace, served(t))[gone.ID], "requests at the upstream that has left")

	gone.Renew()
	time.Sleep(600 * time.Millisecond)
	var group sync.WaitGroup
	for _, r := range s.routers {
		for range 8 {
			group.Go(func() { r.ask(request{path: site.OrderPath + "1", id: newID()}) })
		}
	}
	group.Wait()
	assert.NotEmpty(t, gone.Runs(), "requests at the upstream that has written its entry again")
}

// Upstreams that started after the copy must stay in use until they have written their
// entries again, and those that do not write them must be removed.
func TestUpstreamsThatTheCopyLacksStayInUse(t *testing.T) {
	s := newSite(t, 0, 0)
	s.store.UseEras(1)
	c := s.store.TakeCopy()
	for i := range 2 {
		s.plainRunners = append(s.plainRunners, s.runner(150+i, &site.Runner{ID: "late-" + string(rune('a'+i)), Service: site.PlainService, WorkTime: 5 * time.Millisecond}))
	}
	for range 3 {
		s.start(true)
	}
	s.store.Restore(c)
	require.Empty(t, s.store.Names("servers"))
	s.askAll(versioned.MissingGrace/2, served(t))
	s.plainRunners[0].Renew()
	s.askAll(versioned.MissingGrace, served(t))
	time.Sleep(time.Second) // the store confirms the end of the grace period
	assert.Zero(t, s.askAll(500*time.Millisecond, served(t))["late-b"])
}

// Records of routers and barred parts that a copy lacks must be written again: starting
// routers find others by them, and learn which parts crash upstreams.
func TestOwnRecordsAreWrittenAgain(t *testing.T) {
	s := newSite(t, 6, 0)
	s.store.UseEras(1)
	c := s.store.TakeCopy()
	for _, e := range s.engines {
		e.SetDeadlyPart(deadlyPart)
	}
	for range 3 {
		s.start(true)
	}
	hosts := func() []string { return s.store.Names("routers") }
	require.Eventually(t, func() bool { return len(hosts()) == 3 }, 3*time.Second, 10*time.Millisecond)
	barred := func() bool {
		got := s.routers[1].ask(promptWith("subject:50," + deadlyPart + ":100"))
		return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "crashes")
	}
	require.Eventually(t, barred, 20*time.Second, 50*time.Millisecond, "the part is barred")
	saved := func() bool { return slices.Contains(s.store.Names("quarantine"), "barred-parts") }
	require.Eventually(t, saved, 3*time.Second, 20*time.Millisecond)
	before := hosts()
	for range 2 {
		s.store.Restore(c)
		for _, e := range s.engines {
			e.Renew()
		}
		require.Empty(t, hosts())
		require.Eventually(t, func() bool { return saved() && slices.Equal(before, hosts()) }, 7*time.Second, 20*time.Millisecond)
	}
	s.routers[2].stop()
	assert.Eventually(t, func() bool { return len(hosts()) == 2 }, 2*time.Second, 20*time.Millisecond, "a stopped router removes its record")
}

// Callers must not notice restores: all upstreams live and write their entries within a
// second, the configuration in the copy is older, and the store is away for a while.
func TestCallersDoNotNoticeRestores(t *testing.T) {
	s := newSite(t, 0, 4)
	s.store.UseEras(0)
	for range 3 {
		s.start(true)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	for _, p := range s.plainRunners {
		background.Go(func() {
			for ctx.Err() == nil {
				p.Renew()
				time.Sleep(900 * time.Millisecond)
			}
		})
	}
	background.Go(func() {
		for version := int64(2); ctx.Err() == nil; version++ {
			c := s.store.TakeCopy()
			time.Sleep(700 * time.Millisecond)
			s.store.Put("config", "main", site.Config(version))
			time.Sleep(300 * time.Millisecond)
			s.store.SetFault(site.Unavailable)
			time.Sleep(200 * time.Millisecond)
			s.store.Restore(c)
			s.store.SetFault(site.NoFault)
			time.Sleep(500 * time.Millisecond)
		}
	})
	s.askAll(8*time.Second, served(t))
	cancel()
	background.Wait()
	assert.GreaterOrEqual(t, s.store.Era(), int64(4))
}

// An evacuation that the copy lacks must stay in force at all routers until it is written
// again, also at one that has started meanwhile.
func TestEvacuationOutlastsARestore(t *testing.T) {
	s := newSite(t, 0, 0)
	s.store.UseEras(1)
	s.zones, s.zone, s.evacuateMs = map[string]string{"a": "r", "b": "r"}, "a", 5000
	for i, zone := range []string{"a", "b"} {
		s.plainRunners = append(s.plainRunners, s.runner(150+i, &site.Runner{ID: "p-" + zone, Service: site.PlainService, Zone: zone, WorkTime: 5 * time.Millisecond}))
	}
	for range 3 {
		s.start(true)
	}
	c := s.store.TakeCopy()
	s.store.Put("evacuations", "a", map[string]any{})
	time.Sleep(time.Second) // until it is in force everywhere
	require.Zero(t, s.askAll(300*time.Millisecond, served(t))["p-a"])
	s.store.Restore(c)
	time.Sleep(500 * time.Millisecond) // until the routers know
	require.Empty(t, s.store.Names("evacuations"))
	s.start(true)
	assert.Zero(t, s.askAll(3*time.Second, served(t))["p-a"], "before it is written again")
	s.store.Put("evacuations", "a", map[string]any{})
	time.Sleep(500 * time.Millisecond)
	s.store.Delete("evacuations", "a")
	time.Sleep(time.Second)
	assert.NotZero(t, s.askAll(2*time.Second, served(t))["p-a"], "after it was withdrawn")
}
