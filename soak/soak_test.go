// Package soak runs real router processes, injects external faults in a seeded
// random order, and checks the guarantees of the fleet as callers and upstreams
// observe them.
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
	defaultDuration = 8 * time.Second
	// recoveryLimit is the time after the last fault within which service must be
	// back.
	recoveryLimit = 12 * time.Second
	// drainLimit is the time after the store has acknowledged that a runner is
	// leaving within which routers must stop sending to it, in the absence of
	// faults.
	drainLimit = 2500 * time.Millisecond
)

// regressionSeeds are seeds that once failed, with the cause of the failure.
var regressionSeeds = []uint64{
	20,                 // pauses of a stopped router were counted as slowness of its engines
	38,                 // routers kept each other from retrying an upstream
	20261218, 20261250, // a crashed runner closed streams without framing between two events; it resets them now
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak runs LACEWING_SOAK_RUNS seeds starting at LACEWING_SOAK_SEED, after all
// regressionSeeds. It injects faults for LACEWING_SOAK_SECONDS per seed. With
// LACEWING_SOAK_RACE=1 the routers are built with the race detector, if the test is.
func TestSoak(t *testing.T) {
	first := envInt("LACEWING_SOAK_SEED", 1)
	duration := time.Duration(envInt("LACEWING_SOAK_SECONDS", int(defaultDuration/time.Second))) * time.Second
	seeds := regressionSeeds
	for i := range envInt("LACEWING_SOAK_RUNS", 2) {
		seeds = append(seeds, uint64(first+i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, duration)
		})
	}
}

func runSeed(t *testing.T, seed uint64, duration time.Duration) {
	router := binary
	if envInt("LACEWING_SOAK_RACE", 0) == 1 {
		router = raceBinary
	}
	d := newDeployment(t, routerCount, router)
	require.Eventually(t, d.allReady, 5*time.Second, 20*time.Millisecond)
	soundLog := &outcomeLog{}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { d.runCaller(ctx, soundLog, seed, i) })
	}
	deadlyLog := &outcomeLog{}
	deadlyCtx, stopDeadly := context.WithCancel(ctx)
	callers.Go(func() { d.runDeadlyCaller(deadlyCtx, deadlyLog, seed) })
	restorer := newRestorer(d, seed)
	injector := &injector{d: d, rng: rand.New(rand.NewPCG(seed, 99))}
	d.setDeadlyPart(deadlyPart)
	restorer.beside(injector, duration)
	injector.run(duration)
	d.setDeadlyPart("")
	stopDeadly()
	faultsEnded := time.Now()
	assert.Eventually(t, d.allReady, recoveryLimit, 50*time.Millisecond, "routers must be ready again")
	time.Sleep(2 * time.Second)
	restorer.inCalm(injector)
	injector.revoke()
	drained := injector.drain()
	stop()
	callers.Wait()
	checkOutcomes(t, d, injector.revocation.allowed(soundLog.all()), faultsEnded)
	injector.revocation.check(t, d, soundLog.all())
	checkRequests(t, d, soundLog.all(), injector.disturbed)
	restorer.check(t, soundLog.all())
	checkCrashes(t, d, deadlyLog.all(), injector.disturbed)
	for _, r := range drained {
		delay := r.LastStart().Sub(injector.drainedAt)
		assert.Less(t, delay, drainLimit, "runner %s received a request too long after it announced that it was leaving", r.ID)
	}
	d.checkProcesses()
	if t.Failed() {
		t.Logf("seed %d, faults: %v", seed, injector.injected)
		keepLogs(t, d, seed)
	}
}

// keepLogs copies the logs of a failed run to the folder LACEWING_SOAK_LOGS, if
// set.
func keepLogs(t *testing.T, d *deployment, seed uint64) {
	folder := os.Getenv("LACEWING_SOAK_LOGS")
	if folder == "" {
		return
	}
	into := fmt.Sprintf("%s/seed-%d", folder, seed)
	if err := os.CopyFS(into, os.DirFS(d.folder)); err != nil {
		t.Logf("cannot keep logs: %v", err)
	}
}

// injector injects random faults. Several may be active at the same time.
type injector struct {
	d         *deployment
	rng       *rand.Rand
	pending   sync.WaitGroup // active faults
	injected  []string       // time and name of each fault, for the test log
	version   int64          // last configuration version
	drainedAt time.Time      // when the runners started to leave

	revocation revocation

	mu        sync.Mutex
	disturbed []disturbance
}

const maxFaultMillis = 2500

// run injects faults for the given time, waits until all have ended, and restores
// the runners.
func (f *injector) run(duration time.Duration) {
	start := time.Now()
	f.version = 1
	for time.Since(start) < duration {
		f.injectOne(time.Since(start))
		time.Sleep(time.Duration(100+f.rng.IntN(700)) * time.Millisecond)
	}
	f.pending.Wait()
	for _, r := range f.d.runners {
		r.SetBehaviour(site.Healthy)
		r.proxy.setMode(modeOpen)
		r.Restart()
	}
}

func (f *injector) injectOne(at time.Duration) {
	router := f.d.routers[f.rng.IntN(len(f.d.routers))]
	runner := f.d.runners[f.rng.IntN(len(f.d.runners))]
	duration := time.Duration(300+f.rng.IntN(maxFaultMillis-300)) * time.Millisecond
	modes := []mode{modeSlow, modeStall, modeStallToServer, modeStallToClient, modeRefuse}
	m := modes[f.rng.IntN(len(modes))]
	behaviours := []site.Behaviour{site.Failing, site.Shedding, site.Hanging, site.Truncating, site.Unsealed, site.Misdirected, site.WrongRequestID,
		site.Unframed, site.UnframedCut, site.UnframedReset, site.UnframedEmpty, site.UnavailableAfterRun}
	b := behaviours[f.rng.IntN(len(behaviours))]
	wait := 1 + 3*f.rng.Float64()
	f.version += int64(1 + f.rng.IntN(5))
	version := f.version
	choices := []struct {
		name   string
		inject func()
	}{
		{fmt.Sprintf("restart router %d with SIGTERM", router.index), func() {
			f.disturb(router.CallerAddress(), func() { router.restartAfter(syscall.SIGTERM, 200*time.Millisecond) })
		}},
		{fmt.Sprintf("restart router %d with SIGKILL", router.index), func() {
			f.disturb(router.CallerAddress(), func() { router.restartAfter(syscall.SIGKILL, 200*time.Millisecond) })
		}},
		{fmt.Sprintf("stop router %d for %v", router.index, duration), func() {
			f.disturb(router.CallerAddress(), func() {
				router.signal(syscall.SIGSTOP)
				time.Sleep(duration)
				router.signal(syscall.SIGCONT)
			})
		}},
		{fmt.Sprintf("send SIGHUP to router %d", router.index), func() { router.signal(syscall.SIGHUP) }},
		{fmt.Sprintf("store proxy of router %d in mode %d for %v", router.index, m, duration), func() {
			router.store.setMode(m)
			time.Sleep(duration)
			router.store.setMode(modeOpen)
		}},
		{fmt.Sprintf("proxy of runner %s in mode %d for %v", runner.ID, m, duration), func() {
			f.disturb(runner.ID, func() {
				runner.proxy.setMode(m)
				time.Sleep(duration)
				runner.proxy.setMode(modeOpen)
			})
		}},
		{fmt.Sprintf("reset connections of %s", runner.ID), func() { f.disturb(runner.ID, runner.proxy.reset) }},
		{fmt.Sprintf("runner %s leaves for %v and starts again", runner.ID, leavingTime), func() {
			runner.SetLeaving(true)
			time.Sleep(leavingTime)
			runner.Restart()
		}},
		{fmt.Sprintf("runner %s asks for %.1f s for %v", runner.ID, wait, duration), func() {
			runner.SetRetryAfter(fmt.Sprintf("%.1f", wait))
			time.Sleep(duration)
			runner.SetRetryAfter("")
		}},
		{fmt.Sprintf("runner %s with behaviour %d for %v", runner.ID, b, duration), func() {
			runner.SetBehaviour(b)
			time.Sleep(duration)
			runner.SetBehaviour(site.Healthy)
		}},
		{fmt.Sprintf("store busy for %v", duration), func() {
			f.d.store.SetFault(site.Unavailable)
			time.Sleep(duration)
			f.d.store.SetFault(site.NoFault)
		}},
		{"store drops its event history", f.d.store.DropHistory},
		{"new configuration", func() { f.d.store.Put("config", "main", site.Config(version)) }},
	}
	choice := choices[f.rng.IntN(len(choices))]
	f.injected = append(f.injected, fmt.Sprintf("%.1fs %s", at.Seconds(), choice.name))
	f.pending.Go(choice.inject)
}

// drain makes one runner of each service leave, waits until they must not receive
// requests any more, and returns them.
func (f *injector) drain() []*runner {
	leaving := []*runner{f.d.runners[0], f.d.runners[engineCount]}
	f.drainedAt = time.Now()
	for _, r := range leaving {
		r.Drain()
	}
	time.Sleep(drainLimit + time.Second)
	return leaving
}

// checkOutcomes checks the outcomes of all requests, and that service is back
// after the faults.
func checkOutcomes(t *testing.T, d *deployment, outcomes []site.Outcome, faultsEnded time.Time) {
	runs := map[string]int{}
	for _, r := range d.runners {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	served, servedAfter, sentAfter := 0, 0, 0
	for _, o := range outcomes {
		checkOutcome(t, o, runs[o.ID])
		if o.Status == 200 && o.Complete {
			served++
		}
		if o.Sent.After(faultsEnded.Add(recoveryLimit)) || o.Sent.After(faultsEnded) && d.sentInLastSeconds(o, outcomes) {
			sentAfter++
			if o.Status == 200 && o.Complete {
				servedAfter++
			}
		}
	}
	t.Logf("%d requests, %d served; after the faults %d of %d served", len(outcomes), served, servedAfter, sentAfter)
	assert.Greater(t, len(outcomes), 100)
	assert.GreaterOrEqual(t, float64(servedAfter), 0.9*float64(sentAfter), "nine in ten requests after the faults must be served")
}

// sentInLastSeconds reports whether a request was sent in the last two seconds of
// the test.
func (d *deployment) sentInLastSeconds(o site.Outcome, outcomes []site.Outcome) bool {
	return outcomes[len(outcomes)-1].Ended.Sub(o.Sent) < 2*time.Second
}

// checkOutcome checks one response, and that the number of runs of its request is
// allowed by the status and the path.
func checkOutcome(t *testing.T, o site.Outcome, runs int) {
	switch o.Status {
	case 200:
		if !o.Complete {
			return
		}
		want := site.PlainBody(o.ID)
		if o.Path == site.StreamPath || o.Path == site.NonResumablePath {
			want = site.StreamBody(1, 8)
		}
		assert.Equal(t, want, o.Body, "response to %s", o.ID)
		assert.True(t, o.Sealed, "response to %s must have the runner's seal", o.ID)
	case 503, 429, 408, 421:
		assert.Zero(t, runs, "%s ran although its status means that it did not", o.ID)
	case 401, 404, 400, 413:
		assert.Failf(t, "valid request rejected", "%s got %d: %s", o.ID, o.Status, o.Body)
	}
	if o.Path == site.OrderPath || o.Path == site.NonResumablePath {
		assert.LessOrEqual(t, runs, 1, "%s must run at most once", o.ID)
	}
}
