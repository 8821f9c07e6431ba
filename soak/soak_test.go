// Package soak runs the real routers as processes, injects faults from outside of
// them in a random order that follows from a seed, and checks the promises from
// what callers and upstreams see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	defaultLength = 8 * time.Second
	// recovery is the time after the last fault in which service is back.
	recovery = 12 * time.Second
	// drainBound and configBound are from a store's acknowledgement, without
	// disruption of the routers on the way.
	drainBound = 2500 * time.Millisecond
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{
	20, // long pauses of a stopped router were taken for the pace of its engines
	38, // routers kept each other from trying an upstream again
}

func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak plays LACEWING_SOAK_RUNS seeds from LACEWING_SOAK_SEED on, each for
// LACEWING_SOAK_SECONDS, and every seed that ever failed.
func TestSoak(t *testing.T) {
	first := number("LACEWING_SOAK_SEED", 1)
	length := time.Duration(number("LACEWING_SOAK_SECONDS", int(defaultLength/time.Second))) * time.Second
	seeds := regressions
	for i := range number("LACEWING_SOAK_RUNS", 2) {
		seeds = append(seeds, uint64(first+i))
	}
	for i, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, 1+i%200, length)
		})
	}
}

func soak(t *testing.T, seed uint64, network int, length time.Duration) {
	d := newDeployment(t, network)
	require.Eventually(t, d.allReady, 5*time.Second, 20*time.Millisecond)
	record := &record{}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { d.call(ctx, record, seed, i) })
	}
	faults := &faults{d: d, rng: rand.New(rand.NewPCG(seed, 99))}
	faults.run(length)
	quiet := time.Now()
	assert.Eventually(t, d.allReady, recovery, 50*time.Millisecond, "routers are ready again")
	time.Sleep(2 * time.Second)
	drained := faults.drain()
	stop()
	callers.Wait()
	check(t, d, record.all(), quiet)
	for _, r := range drained {
		late := r.Latest().Sub(faults.drainedAt)
		assert.Less(t, late, drainBound, "runner %s got work after it said that it leaves", r.ID)
	}
	if t.Failed() {
		t.Logf("seed %d, faults: %v", seed, faults.done)
		keepLogs(t, d, seed)
	}
}

// keepLogs copies the logs of a failed run to where LACEWING_SOAK_LOGS names.
func keepLogs(t *testing.T, d *deployment, seed uint64) {
	folder := os.Getenv("LACEWING_SOAK_LOGS")
	if folder == "" {
		return
	}
	into := fmt.Sprintf("%s/seed-%d", folder, seed)
	if err := os.CopyFS(into, os.DirFS(d.folder)); err != nil {
		t.Logf("logs not kept: %v", err)
	}
}

// faults draws faults and carries them out. Several may hold at the same time.
type faults struct {
	d         *deployment
	rng       *rand.Rand
	pending   sync.WaitGroup
	done      []string
	version   int64
	drainedAt time.Time
}

const longestFault = 2500

// run injects faults for a time and waits until all have ended.
func (f *faults) run(length time.Duration) {
	start := time.Now()
	f.version = 1
	for time.Since(start) < length {
		f.one(time.Since(start))
		time.Sleep(time.Duration(100+f.rng.IntN(700)) * time.Millisecond)
	}
	f.pending.Wait()
	for _, r := range f.d.runners {
		r.Behave(site.Sound)
		r.proxy.set(open)
	}
}

func (f *faults) one(at time.Duration) {
	router := f.d.routers[f.rng.IntN(len(f.d.routers))]
	runner := f.d.runners[f.rng.IntN(len(f.d.runners))]
	lasts := time.Duration(300+f.rng.IntN(longestFault-300)) * time.Millisecond
	modes := []mode{slow, silent, deafOut, deafIn, refuse}
	m := modes[f.rng.IntN(len(modes))]
	behaviours := []site.Behaviour{site.Failing, site.Shedding, site.Mute, site.CutOff, site.Unsealed, site.Misdirected, site.Foreign}
	b := behaviours[f.rng.IntN(len(behaviours))]
	f.version += int64(1 + f.rng.IntN(5))
	version := f.version
	choices := []struct {
		name string
		act  func()
	}{
		{fmt.Sprintf("term %d", router.index), func() { router.restartAfter(syscall.SIGTERM, 200*time.Millisecond) }},
		{fmt.Sprintf("kill %d", router.index), func() { router.restartAfter(syscall.SIGKILL, 200*time.Millisecond) }},
		{fmt.Sprintf("pause %d for %v", router.index, lasts), func() {
			router.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			router.signal(syscall.SIGCONT)
		}},
		{fmt.Sprintf("hup %d", router.index), func() { router.signal(syscall.SIGHUP) }},
		{fmt.Sprintf("store path of %d mode %d for %v", router.index, m, lasts), func() {
			router.store.set(m)
			time.Sleep(lasts)
			router.store.set(open)
		}},
		{fmt.Sprintf("runner path of %s mode %d for %v", runner.ID, m, lasts), func() {
			runner.proxy.set(m)
			time.Sleep(lasts)
			runner.proxy.set(open)
		}},
		{fmt.Sprintf("reset connections of %s", runner.ID), runner.proxy.reset},
		{fmt.Sprintf("runner %s behaves %d for %v", runner.ID, b, lasts), func() {
			runner.Behave(b)
			time.Sleep(lasts)
			runner.Behave(site.Sound)
		}},
		{fmt.Sprintf("store busy for %v", lasts), func() {
			f.d.store.SetFault(site.Busy)
			time.Sleep(lasts)
			f.d.store.SetFault(site.NoFault)
		}},
		{"store drops its history", f.d.store.DropHistory},
		{"new configuration", func() { f.d.store.Put("config", "main", site.Config(version)) }},
	}
	choice := choices[f.rng.IntN(len(choices))]
	f.done = append(f.done, fmt.Sprintf("%.1fs %s", at.Seconds(), choice.name))
	f.pending.Go(choice.act)
}

// drain lets a runner of each service leave, and waits until no work may come.
func (f *faults) drain() []*runner {
	leaving := []*runner{f.d.runners[0], f.d.runners[engineCount]}
	f.drainedAt = time.Now()
	for _, r := range leaving {
		r.Drain()
	}
	time.Sleep(drainBound + time.Second)
	return leaving
}

// check holds what callers saw against the promises.
func check(t *testing.T, d *deployment, outcomes []site.Outcome, quiet time.Time) {
	runs := map[string]int{}
	for _, r := range d.runners {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	served, late, total := 0, 0, 0
	for _, o := range outcomes {
		checkOne(t, o, runs[o.ID])
		if o.Status == 200 && o.Complete {
			served++
		}
		if o.Sent.After(quiet.Add(recovery)) || o.Sent.After(quiet) && d.allSentAfter(o, outcomes) {
			total++
			if o.Status == 200 && o.Complete {
				late++
			}
		}
	}
	t.Logf("%d requests, %d served; after the faults %d of %d", len(outcomes), served, late, total)
	assert.Greater(t, len(outcomes), 100)
	assert.GreaterOrEqual(t, float64(late), 0.9*float64(total), "service is back after the faults")
}

// allSentAfter tells whether a request belongs to the last two seconds.
func (d *deployment) allSentAfter(o site.Outcome, outcomes []site.Outcome) bool {
	return outcomes[len(outcomes)-1].Ended.Sub(o.Sent) < 2*time.Second
}

func checkOne(t *testing.T, o site.Outcome, runs int) {
	switch o.Status {
	case 200:
		if !o.Complete {
			return
		}
		want := site.PlainBody(o.ID)
		if o.Path == site.StreamPath || o.Path == site.OncePath {
			want = site.StreamBody(1, 8)
		}
		assert.Equal(t, want, o.Body, "answer to %s", o.ID)
		assert.True(t, o.Sealed, "answer to %s has the runner's seal", o.ID)
	case 503, 429, 408, 421:
		assert.Zero(t, runs, "%s was told that it has not run", o.ID)
	case 401, 404, 400, 413:
		assert.Failf(t, "proper request rejected", "%s got %d: %s", o.ID, o.Status, o.Body)
	}
	if o.Path == site.OrderPath || o.Path == site.OncePath {
		assert.LessOrEqual(t, runs, 1, "%s must not be repeated", o.ID)
	}
}
