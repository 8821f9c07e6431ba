package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// revokeLimit is the time after the store has acknowledged a configuration from
	// which no request may be handled as only the one before allows.
	revokeLimit = 2500 * time.Millisecond
	// pausesTime is the length of a series of pauses, maxPause that of one of them and
	// maxBetween the longest time between two.
	pausesTime = 2200 * time.Millisecond
	maxPause   = 1800 * time.Millisecond
	maxBetween = 300 * time.Millisecond
)

// revocation is the removal of a workspace with its key.
type revocation struct {
	key string
	at  time.Time // when the store acknowledged it
}

// revoke takes a key away in the middle of a series of pauses of every router.
func (f *injector) revoke() {
	f.version += 5
	config := site.Config(f.version)
	config["tenants"] = config["tenants"].([]any)[:1]
	var paused sync.WaitGroup
	for _, r := range f.d.routers {
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 1))
		paused.Go(func() { r.pauseRepeatedly(rng) })
	}
	time.Sleep(maxBetween)
	f.d.store.Put("config", "main", config)
	f.revocation = revocation{key: site.OtherKey, at: time.Now()}
	paused.Wait()
	f.injected = append(f.injected, fmt.Sprintf("key %s revoked during pauses", site.OtherKey))
	time.Sleep(time.Until(f.revocation.at.Add(revokeLimit)))
}

// pauseRepeatedly stops the process and lets it go on several times.
func (r *router) pauseRepeatedly(rng *rand.Rand) {
	for end := time.Now().Add(pausesTime); time.Now().Before(end); {
		r.signal(syscall.SIGSTOP)
		time.Sleep(min(time.Duration(rng.Int64N(int64(maxPause))), time.Until(end)))
		r.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(rng.Int64N(int64(maxBetween))))
	}
}

// uses reports whether a request needed the key and was sent after it was revoked.
func (v revocation) uses(o site.Outcome) bool {
	return o.Key == v.key && o.Ended.After(v.at) && (o.Path == site.StreamPath || o.Path == site.NonResumablePath)
}

// allowed returns the outcomes of requests that every configuration allows.
func (v revocation) allowed(outcomes []site.Outcome) []site.Outcome {
	var allowed []site.Outcome
	for _, o := range outcomes {
		if !v.uses(o) {
			allowed = append(allowed, o)
		}
	}
	return allowed
}

// check checks that no request with the revoked key ran later than revokeLimit.
func (v revocation) check(t *testing.T, d *deployment, outcomes []site.Outcome) {
	rejected := 0
	for _, o := range outcomes {
		if !v.uses(o) || !o.Sent.After(v.at.Add(revokeLimit)) {
			continue
		}
		for _, r := range d.runners {
			assert.Zero(t, r.Runs()[o.ID], "%s ran at %s %v after its key was revoked", o.ID, r.ID, o.Sent.Sub(v.at))
		}
		assert.NotEqual(t, 200, o.Status, o.ID)
		if o.Status == 401 {
			rejected++
		}
	}
	t.Logf("%d requests with a revoked key were rejected", rejected)
	assert.NotZero(t, rejected)
}
