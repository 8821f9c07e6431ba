package intent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
)

// keyOwnedByOther returns a key whose shard is owned by a router other than host.
func keyOwnedByOther(f *fleet, host string) Key {
	for i := 0; ; i++ {
		k := Key{Workspace: "w", Key: fmt.Sprint(i)}
		if Owner(fmt.Sprintf("intent/%02d", shardOf(k.id())), f.routers()) != host {
			return k
		}
	}
}

// Guards against calls that hang or run twice when the owner of the shard is cut
// off, or when its response is lost after it wrote the record.
func TestOwnerUnreachable(t *testing.T) {
	runTwoRouters(t, true, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		k := keyOwnedByOther(f, "r0")
		f.lose = 1
		attempt, err := a.Begin(t.Context(), k, testRequest)
		require.NoError(t, err)
		require.NoError(t, attempt.Release(t.Context()))
		time.Sleep(10 * time.Second)
		f.lose = 0
		_, err = b.Begin(t.Context(), k, testRequest)
		require.NoError(t, err)

		k.Workspace = "v"
		f.cut["r0"], f.cut["r1"] = true, true
		start := time.Now()
		attempt, err = a.Begin(t.Context(), k, testRequest)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 2*DefaultForwardTimeout)
		require.NoError(t, attempt.Finish(t.Context(), testOutcome))
		f.cut["r0"], f.cut["r1"] = false, false
		var done *Done
		_, err = b.Begin(t.Context(), k, testRequest)
		require.ErrorAs(t, err, &done)
	})
}

// Guards against a record that blocks its key because the owner wrote it after the
// caller had been refused.
func TestOwnerWritesAfterRefusal(t *testing.T) {
	runTwoRouters(t, true, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		k := keyOwnedByOther(f, "r0")
		f.fault(func(o *fake.ObjectFaults) { o.LatencyMillis = 100 })
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		_, err := a.Begin(ctx, k, testRequest)
		require.ErrorIs(t, err, ErrUnavailable)
		time.Sleep(time.Second)
		_, err = b.Begin(t.Context(), k, testRequest)
		require.ErrorIs(t, err, ErrRunning)
		time.Sleep(10 * time.Second)
		_, err = b.Begin(t.Context(), k, testRequest)
		require.NoError(t, err)
	})
}

// Guards against a peer that writes records in the name of another router.
func TestHandleRefusesForeignHolder(t *testing.T) {
	runTwoRouters(t, true, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		body, err := cbor.Marshal(forwardRequest{Kind: opBegin, Record: record{Holder: "r1"}, TimeoutMs: 100})
		require.NoError(t, err)
		_, err = a.Handle(t.Context(), "r7", body)
		require.Error(t, err)
		_, err = a.Handle(t.Context(), "r1", []byte("x"))
		require.Error(t, err)
		require.Zero(t, f.objects.Counters().Writes)
	})
}

// measuredSeconds is the duration of one load in seconds.
const measuredSeconds = 10

// loadResult is the result of one load: calls, the total and the maximum latency of
// Begin, and calls to the object API. Rejected counts those that ended in a conflict or
// over the rate limit.
type loadResult struct {
	calls, refused          int
	beginTotal, beginMax    time.Duration
	writes, reads, rejected float64
}

// measureLoad runs Poisson arrivals of keyed calls of 300 ms through 8 routers.
func measureLoad(t *testing.T, perSecond int, forward bool) (m loadResult) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, forward, 3, Options{})
		stores := f.startAll(8)
		random := rand.New(rand.NewPCG(4, uint64(perSecond)))
		var wait sync.WaitGroup
		var mu sync.Mutex
		end := time.Now().Add(measuredSeconds * time.Second)
		for i := 0; time.Now().Before(end); i++ {
			store := stores[random.IntN(len(stores))]
			wait.Go(func() {
				start := time.Now()
				attempt, err := store.Begin(t.Context(), Key{Key: fmt.Sprint(i)}, testRequest)
				took := time.Since(start)
				mu.Lock()
				m.calls++
				m.beginTotal += took
				m.beginMax = max(m.beginMax, took)
				if err != nil {
					m.refused++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(300 * time.Millisecond)
					require.NoError(t, attempt.Finish(t.Context(), testOutcome))
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		}
		wait.Wait()
		c := f.objects.Counters()
		m.writes, m.reads = float64(c.Writes), float64(c.Reads)
		m.rejected = float64(c.Conflicts + c.RateLimited)
	})
	return m
}

// Guards against a store whose writes grow with the load: with forwarding, calls have
// to share writes, and 400 calls per second have to fit the rate limit of the object
// API.
func TestWritesPerCall(t *testing.T) {
	t.Log("calls/s owner  writes/call writes/s reads/call conflicts+limited/call begin mean  max   refused")
	for _, forward := range []bool{false, true} {
		for _, load := range []int{1, 10, 100, 400} {
			m := measureLoad(t, load, forward)
			calls := float64(m.calls)
			mean := m.beginTotal / time.Duration(m.calls)
			t.Logf("%7d %-6t %11.2f %8.1f %10.2f %22.2f %9.1f ms %5d ms %5d", load, forward, m.writes/calls,
				m.writes/measuredSeconds, m.reads/calls, m.rejected/calls, float64(mean.Microseconds())/1000, m.beginMax.Milliseconds(), m.refused)
			if forward {
				require.LessOrEqual(t, m.writes/calls, 2.2)
				require.Less(t, m.writes/measuredSeconds, float64(fake.DefaultWritesPerSecond))
				require.Zero(t, m.refused)
			}
		}
	}
}
