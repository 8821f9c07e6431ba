package e2e

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
)

const (
	raceRounds = 8
	// propagationLimit is the time from the acceptance of a change until it must be in
	// force on all routers (P8).
	propagationLimit = 3 * time.Second
)

// versionMonitor records the versions that one router reports for all routers, and the
// routers whose version decreases.
type versionMonitor struct {
	highest   map[string]int64
	decreased []string
	reads     int
}

// read reads the status and compares it with the earlier ones. Version zero stands for a
// router that did not answer.
func (m *versionMonitor) read(f *fleet, key, id string) {
	status, ok := f.configStatus(key, id)
	if !ok {
		return
	}
	m.reads++
	for _, v := range status.Versions {
		for _, host := range v.Hosts {
			if v.Version > 0 && v.Version < m.highest[host] {
				m.decreased = append(m.decreased, host)
			}
			m.highest[host] = max(m.highest[host], v.Version)
		}
	}
}

// watchVersions polls the status through every router until the returned function is
// called, which requires that no version has decreased.
func (f *fleet) watchVersions(key string) (check func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	monitors := make([]versionMonitor, len(f.deploy.Routers))
	for i, r := range f.deploy.Routers {
		monitors[i].highest = map[string]int64{}
		wg.Go(func() {
			for ctx.Err() == nil {
				monitors[i].read(f, key, r.ID)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	f.t.Cleanup(func() { cancel(); wg.Wait() })
	return func() {
		cancel()
		wg.Wait()
		for i, r := range f.deploy.Routers {
			require.NotZero(f.t, monitors[i].reads, "%s never reported a status", r.ID)
			require.Empty(f.t, monitors[i].decreased, "hosts whose version decreased, as reported by %s", r.ID)
		}
	}
}

// race lets two operators change the same version through two routers at once. It
// requires that one change is accepted and the other one is rejected as a conflict. It
// returns the time from the acceptance until the change is in force on all routers.
func (f *fleet) race(key string, operators [2]string, round int) time.Duration {
	lists, base := f.lists(key, operators[0])
	var answers [2]reply
	var accepted [2]time.Time
	var weights [2]float64
	var wg sync.WaitGroup
	for i, id := range operators {
		// The changes differ, so that the stored lists show which one was accepted.
		weights[i] = 2 + float64(2*round+i)/100
		changed := lists
		changed.Plans = append(changed.Plans[:0:0], lists.Plans...)
		changed.Plans[0].Weight = weights[i]
		body := string(changed.Encode())
		wg.Go(func() {
			answers[i] = f.adminRequest(key, "PUT", id, "/v1/config", body, base)
			accepted[i] = time.Now()
		})
	}
	wg.Wait()
	winner := 0
	if answers[1].status == http.StatusOK {
		winner = 1
	}
	won, other := answers[winner], answers[1-winner]
	require.Equal(f.t, http.StatusOK, won.status, "round %d: %+v", round, answers)
	require.Equal(f.t, http.StatusPreconditionFailed, other.status, "round %d: %+v", round, answers)
	require.Contains(f.t, other.text, `"code":"conflict"`)
	require.Equal(f.t, base+1, won.version(), "round %d", round)
	for _, r := range f.deploy.Routers {
		f.awaitAgreement(key, r.ID, won.version(), accepted[winner])
	}
	took := time.Since(accepted[winner])
	require.Less(f.t, took, propagationLimit, "version %d", won.version())
	kept, version := f.lists(key, operators[1-winner])
	require.Equal(f.t, won.version(), version)
	require.Equal(f.t, weights[winner], kept.Plans[0].Weight, "the rejected change was stored")
	return took
}

// awaitAgreement requires that the router reports the version as in force on all routers
// within propagationLimit of the acceptance.
func (f *fleet) awaitAgreement(key, id string, version int64, accepted time.Time) {
	for {
		status, ok := f.configStatus(key, id)
		if ok && f.agrees(status, version) {
			return
		}
		require.Less(f.t, time.Since(accepted), propagationLimit, "version %d is not in force: %s reports %+v", version, id, status)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOperatorsRace lets two operators change the lists at the same time. It guards
// against two accepted changes of one version, a lost change, a change that takes longer
// than promised, and a router that returns to an old version (P8). If replies of the
// object API are lost, the routers must read the lists back to learn whose change was
// accepted.
func TestOperatorsRace(t *testing.T) {
	for name, lost := range map[string]float64{"all replies arrive": 0, "half of the replies are lost": 0.5} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			f := startFleet(t)
			key := f.operatorKey()
			check := f.watchVersions(key)
			f.control(f.platformURL(9000), map[string]any{"lose_fraction": lost}, nil)
			routers := f.deploy.Routers
			var longest time.Duration
			for round := range raceRounds {
				first, second := routers[round%len(routers)], routers[(round+3)%len(routers)]
				longest = max(longest, f.race(key, [2]string{first.ID, second.ID}, round))
			}
			var state struct{ Counters fake.ObjectCounters }
			f.control(f.platformURL(9000), map[string]any{"lose_fraction": 0}, &state)
			require.Equal(t, lost > 0, state.Counters.Lost > 0, "%d replies were lost", state.Counters.Lost)
			check()
			t.Logf("%d rounds, %d replies lost, in force everywhere within %s",
				raceRounds, state.Counters.Lost, longest.Round(time.Millisecond))
		})
	}
}
