package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// restoreChance is the part of the seeds in which the store comes back from a copy.
	restoreChance = 0.6
	// maxCopyAge is the largest age of the copy, and maxRewrite the longest time after
	// which runners and the operator write their objects again.
	maxCopyAge = 2500 * time.Millisecond
	maxRewrite = 1200 * time.Millisecond
	// rememberedTime is how long after a restore in calm conditions no request may reach a
	// runner that had left before.
	rememberedTime = 5 * time.Second
)

// restorer restores the store from copies. It draws from a sequence of its own, so that seeds
// inject the same other faults as before.
type restorer struct {
	d   *deployment
	rng *rand.Rand
	// active is false in seeds whose store is never restored and has no eras.
	active bool

	left                       *runner // had left before the restore in calm conditions
	killed                     *router // at that restore
	removedAt, restoredAt, end time.Time
}

// newRestorer draws whether the store is restored. A store that begins to state an era above
// 0 while routers run is to them one that was restored.
func newRestorer(d *deployment, seed uint64) *restorer {
	r := &restorer{d: d, rng: rand.New(rand.NewPCG(seed, 98))}
	r.active = r.rng.Float64() < restoreChance
	if r.active {
		d.store.UseEras(r.rng.Int64N(3))
	}
	return r
}

func (r *restorer) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// beside restores the store once while other faults are injected.
func (r *restorer) beside(f *injector, duration time.Duration) {
	if !r.active {
		return
	}
	at, age, killed := r.upTo(duration/2), r.upTo(maxCopyAge), r.d.routers[r.rng.IntN(len(r.d.routers))]
	f.injected = append(f.injected, fmt.Sprintf("%.1fs store restored from a copy %v old, router %d killed", (at+age).Seconds(), age, killed.index))
	rewrites := r.drawRewrites()
	f.pending.Go(func() {
		time.Sleep(at)
		c := r.d.store.TakeCopy()
		time.Sleep(age)
		f.pending.Go(func() {
			f.disturb(killed.CallerAddress(), func() { killed.restartAfter(syscall.SIGKILL, 200*time.Millisecond) })
		})
		r.restore(c, rewrites, nil)
	})
}

// rewrites are the times after which each runner and, last, the operator write again.
type rewrites []time.Duration

func (r *restorer) drawRewrites() rewrites {
	drawn := make(rewrites, len(r.d.runners)+1)
	for i := range drawn {
		drawn[i] = r.upTo(maxRewrite)
	}
	return drawn
}

// restore restores the store, and has all runners but one and the operator write again.
func (r *restorer) restore(c *site.Copy, after rewrites, silent *runner) {
	config := r.d.store.Spec("config", "main")
	r.d.store.Restore(c)
	restored := time.Now()
	for step := time.Duration(0); step < maxRewrite; step += 100 * time.Millisecond {
		for i, at := range after {
			switch {
			case at < step || at >= step+100*time.Millisecond:
			case i == len(r.d.runners):
				r.d.store.PutUnless("config", "main", config, func(current json.RawMessage) bool { return configVersion(current) >= configVersion(config) })
			case r.d.runners[i] != silent:
				r.d.runners[i].Renew()
			}
		}
		time.Sleep(time.Until(restored.Add(step)))
	}
}

func configVersion(spec json.RawMessage) int64 {
	var config struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(spec, &config); err != nil {
		panic(err) // a bug in the test
	}
	return config.Version
}

// inCalm restores the store while nothing else is disturbed, from a copy that lists a runner
// which has left since, and kills a router in the same second.
func (r *restorer) inCalm(f *injector) {
	if !r.active {
		return
	}
	r.left, r.killed = r.d.runners[r.rng.IntN(len(r.d.runners))], r.d.routers[r.rng.IntN(len(r.d.routers))]
	c := r.d.store.TakeCopy()
	r.d.store.Delete("servers", r.left.ID)
	r.removedAt = time.Now()
	time.Sleep(drainLimit)
	f.pending.Go(func() {
		f.disturb(r.killed.CallerAddress(), func() { r.killed.restartAfter(syscall.SIGKILL, 200*time.Millisecond) })
	})
	r.restoredAt = time.Now()
	f.injected = append(f.injected, fmt.Sprintf("store restored from a copy with %s, router %d killed", r.left.ID, r.killed.index))
	r.restore(c, r.drawRewrites(), r.left)
	time.Sleep(time.Until(r.restoredAt.Add(rememberedTime)))
	f.pending.Wait()
	r.end = time.Now()
	r.left.Restart()
}

// check checks that the runner that had left got no request from a router that knew.
func (r *restorer) check(t *testing.T, outcomes []site.Outcome) {
	if !r.active {
		return
	}
	router := map[string]string{}
	for _, o := range outcomes {
		router[o.ID] = o.Router
	}
	for _, a := range r.left.Arrivals() {
		if a.At.After(r.removedAt.Add(drainLimit)) && a.At.Before(r.end) && router[a.ID] != "" && router[a.ID] != r.killed.CallerAddress() {
			assert.Failf(t, "request to a runner that had left", "%s reached %s from %s %v after it was removed and %v after the restore",
				a.ID, r.left.ID, router[a.ID], a.At.Sub(r.removedAt), a.At.Sub(r.restoredAt))
		}
	}
	t.Logf("store restored to era %d", r.d.store.Era())
}
