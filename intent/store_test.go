package intent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
)

var (
	key         = Key{Workspace: "bookplate", Service: "order-desk", Key: "k1"}
	testRequest = []byte("commit 1")
	testOutcome = Outcome{Status: 201, ContentType: "application/json", Body: []byte("{}")}
)

// runTwoRouters runs a test of two routers on the fake clock of a synctest
// bubble.
func runTwoRouters(t *testing.T, forward bool, options Options, test func(t *testing.T, f *fleet, a, b *Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, forward, 1, options)
		stores := f.startAll(2)
		test(t, f, stores[0], stores[1])
	})
}

func (f *fleet) fault(change func(*fake.ObjectFaults)) { f.objects.SetFaults(change) }

// Guards against a second run through another router while the call runs, after it
// finished and after its outcome was lost, and against accepting a reused key.
func TestSecondAttempt(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		ctx := t.Context()
		attempt, err := a.Begin(ctx, key, testRequest)
		require.NoError(t, err)
		_, err = b.Begin(ctx, key, testRequest)
		require.ErrorIs(t, err, ErrRunning)
		_, err = b.Begin(ctx, key, []byte("another request"))
		require.ErrorIs(t, err, ErrKeyReused)
		require.NoError(t, attempt.Finish(ctx, testOutcome))
		_, err = b.Begin(ctx, key, testRequest)
		var done *Done
		require.ErrorAs(t, err, &done)
		require.Equal(t, 201, done.Status)
		require.Equal(t, "application/json", done.Header.Get("Content-Type"))
		require.Equal(t, "{}", string(done.Body))

		lost, err := a.Begin(ctx, Key{Key: "lost"}, testRequest)
		require.NoError(t, err)
		require.NoError(t, lost.MarkUnknown(ctx))
		_, err = b.Begin(ctx, Key{Key: "lost"}, testRequest)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.ErrorIs(t, lost.Release(ctx), ErrNotHeld)
	})
}

// Guards against two attempts that both hold a key when it arrives at two routers at
// once.
func TestSameKeyAtOnce(t *testing.T) {
	for _, forward := range []bool{false, true} {
		runTwoRouters(t, forward, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
			var errs sync.Map
			var wait sync.WaitGroup
			for i, store := range []*Store{a, b, a, b} {
				wait.Go(func() {
					_, err := store.Begin(t.Context(), key, testRequest)
					errs.Store(i, err)
				})
			}
			wait.Wait()
			winners := 0
			errs.Range(func(_, err any) bool {
				if err == nil {
					winners++
				} else {
					require.ErrorIs(t, err.(error), ErrRunning)
				}
				return true
			})
			require.Equal(t, 1, winners)
		})
	}
}

// Guards against mistaking one's own write for that of another attempt when its
// response was lost, and against writing a finish a second time in that case.
func TestReplyLostAfterEffect(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		f.fault(func(o *fake.ObjectFaults) { o.LoseNext = 1 })
		attempt, err := a.Begin(t.Context(), key, testRequest)
		require.NoError(t, err)
		_, err = b.Begin(t.Context(), key, testRequest)
		require.ErrorIs(t, err, ErrRunning)
		f.fault(func(o *fake.ObjectFaults) { o.LoseNext = 1 })
		require.NoError(t, attempt.Finish(t.Context(), testOutcome))
		require.EqualValues(t, 2, f.objects.Counters().Writes)
	})
}

// Guards against a write that takes effect after its caller was refused: the record
// must not block the key, and a stale read must not hide it from the clean-up.
func TestLateWriteOfRefusedBegin(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		f.fault(func(o *fake.ObjectFaults) { o.DelayNext, o.DelayMillis = 1, 300; o.StaleNext = 2 })
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Millisecond)
		defer cancel()
		_, err := a.Begin(ctx, key, testRequest)
		require.ErrorIs(t, err, ErrUnavailable)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 1, f.objects.Counters().Delayed)
		second, err := b.Begin(t.Context(), key, testRequest)
		require.NoError(t, err)
		require.NoError(t, second.Release(t.Context()))
	})
}

// Guards against a refused call that holds its key: with the object API down, slow or
// rate limited, Begin either succeeds or leaves no record behind.
func TestObjectAPIFaults(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		f.fault(func(o *fake.ObjectFaults) { o.Outage = true })
		start := time.Now()
		_, err := a.Begin(t.Context(), key, testRequest)
		require.ErrorIs(t, err, ErrUnavailable)
		require.Less(t, time.Since(start), 2*time.Second)
		f.fault(func(o *fake.ObjectFaults) { o.Outage = false; o.LatencyMillis = 3000 })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = a.Begin(ctx, key, testRequest)
		require.ErrorIs(t, err, ErrUnavailable, "each call takes longer than its timeout")
		f.fault(func(o *fake.ObjectFaults) { o.LatencyMillis, o.JitterMillis = 2, 0; o.WritesPerSecond = 10 })
		time.Sleep(5 * time.Second)
		var wait sync.WaitGroup
		for i, k := range keysOfShard(7, 200) {
			store := []*Store{a, b}[i%2]
			wait.Go(func() {
				attempt, err := store.Begin(t.Context(), k, testRequest)
				if err == nil {
					require.NoError(t, attempt.Release(t.Context()))
					return
				}
				require.ErrorIs(t, err, ErrUnavailable)
			})
		}
		wait.Wait()
		f.fault(func(o *fake.ObjectFaults) { o.WritesPerSecond = 0 })
		for _, k := range append(keysOfShard(7, 200), key) {
			attempt, err := b.Begin(t.Context(), k, testRequest)
			require.NoError(t, err)
			go func() { _ = attempt.Release(t.Context()) }()
		}
	})
}

// Guards against a second run after a router died before, during or after the call,
// and against mistaking a restarted router for the old holder.
func TestKilledRouter(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		_, err := a.Begin(t.Context(), key, testRequest)
		require.NoError(t, err)
		finished, err := a.Begin(t.Context(), Key{Key: "after"}, testRequest)
		require.NoError(t, err)
		require.NoError(t, finished.Finish(t.Context(), testOutcome))
		f.fault(func(o *fake.ObjectFaults) { o.LatencyMillis = 100 })
		go func() { _, _ = a.Begin(t.Context(), Key{Key: "before"}, testRequest) }()
		time.Sleep(120 * time.Millisecond) // its read has ended and its write is in flight
		a.Close()
		restarted := f.start("r0")
		time.Sleep(time.Second)
		for _, store := range []*Store{b, restarted} {
			_, err = store.Begin(t.Context(), key, testRequest)
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			var done *Done
			_, err = store.Begin(t.Context(), Key{Key: "after"}, testRequest)
			require.ErrorAs(t, err, &done)
		}
		_, err = b.Begin(t.Context(), Key{Key: "before"}, testRequest)
		require.True(t, err == nil || errors.Is(err, ErrOutcomeUnknown), "%v", err)
	})
}

// Guards against a holder that is paused after Begin and sends its call too late.
func TestPausedHolder(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		attempt, err := a.Begin(t.Context(), key, testRequest)
		require.NoError(t, err)
		require.True(t, attempt.Valid(time.Now()))
		time.Sleep(DefaultValidFor)
		require.False(t, attempt.Valid(time.Now()))
		f.markDead("r0")
		_, err = b.Begin(t.Context(), key, testRequest)
		require.ErrorIs(t, err, ErrOutcomeUnknown, "the record of a dead holder is not taken over")
		require.NoError(t, attempt.Release(t.Context()))
		_, err = b.Begin(t.Context(), key, testRequest)
		require.NoError(t, err)
		require.False(t, Attempt{}.Valid(time.Now()))
	})
}

// Guards against records that grow without limit or never expire, and against a full
// shard that returns an error other than ErrFull or cannot finish its calls.
func TestBoundedSizeAndExpiry(t *testing.T) {
	runTwoRouters(t, false, Options{MaxShardBytes: 6 << 10}, func(t *testing.T, f *fleet, a, b *Store) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		full, finished := 0, 0
		large := Outcome{Status: 200, Body: []byte(strings.Repeat("x", DefaultMaxBodyBytes+1))}
		kept := Outcome{Status: 200, Body: large.Body[1:]}
		keys := keysOfShard(3, 400)
		for i, k := range keys {
			wait.Go(func() {
				time.Sleep(time.Duration(i/10) * time.Second)
				attempt, err := a.Begin(t.Context(), k, testRequest)
				if err == nil {
					err = attempt.Finish(t.Context(), []Outcome{large, kept}[i%2])
				}
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrFull) {
					full++
					return
				}
				require.NoError(t, err)
				finished++
			})
		}
		wait.Wait()
		require.Positive(t, full)
		require.Greater(t, finished, 150)
		stored, err := f.objects.Get(t.Context(), "intent/03")
		require.NoError(t, err)
		require.LessOrEqual(t, len(stored.Value), 6<<10)
		var done *Done
		_, err = b.Begin(t.Context(), keys[0], testRequest)
		require.ErrorAs(t, err, &done)
		require.True(t, done.Truncated)
		time.Sleep(DefaultExpiry + time.Minute)
		_, err = b.Begin(t.Context(), keys[0], testRequest)
		require.NoError(t, err)
		stored, err = f.objects.Get(t.Context(), "intent/03")
		require.NoError(t, err)
		require.Less(t, len(stored.Value), 300)
	})
}

// Guards against a second run, or a lost status, of a call whose outcome is too large
// to be stored or was compacted because of its age.
func TestOldOutcome(t *testing.T) {
	for _, forward := range []bool{false, true} {
		runTwoRouters(t, forward, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
			oldKeys := keysOfShard(3, 4)
			large := Outcome{Status: 200, Body: make([]byte, DefaultMaxBodyBytes+1)}
			finished, err := a.Begin(t.Context(), oldKeys[0], testRequest)
			require.NoError(t, err)
			long, err := a.Begin(t.Context(), oldKeys[1], testRequest)
			require.NoError(t, err)
			lost, err := b.Begin(t.Context(), oldKeys[2], testRequest)
			require.NoError(t, err)
			require.NoError(t, finished.Finish(t.Context(), large))
			require.NoError(t, lost.MarkUnknown(t.Context()))
			var done *Done
			_, err = b.Begin(t.Context(), oldKeys[0], testRequest)
			require.ErrorAs(t, err, &done)
			require.True(t, done.Truncated)
			require.Equal(t, len(large.Body), done.BodyBytes)
			require.Len(t, done.BodyDigest, 16)
			time.Sleep(DefaultKeepOutcome)
			require.NoError(t, long.Finish(t.Context(), testOutcome))
			_, err = a.Begin(t.Context(), oldKeys[3], testRequest)
			require.NoError(t, err)
			fresh := f.start("r2")
			_, err = fresh.Begin(t.Context(), oldKeys[0], testRequest)
			require.ErrorAs(t, err, &done)
			require.Equal(t, Done{Status: 200, Header: http.Header{}, Truncated: true}, *done)
			for _, store := range []*Store{a, b, fresh} {
				_, err = store.Begin(t.Context(), oldKeys[0], testRequest)
				require.ErrorAs(t, err, &done)
				require.Equal(t, 200, done.Status)
				_, err = store.Begin(t.Context(), oldKeys[0], []byte("other"))
				require.ErrorIs(t, err, ErrKeyReused)
				_, err = store.Begin(t.Context(), oldKeys[1], testRequest)
				require.ErrorAs(t, err, &done)
				require.False(t, done.Truncated, "the outcome is kept from the end of the call")
				_, err = store.Begin(t.Context(), oldKeys[2], testRequest)
				require.ErrorIs(t, err, ErrOutcomeUnknown)
			}
			require.NoError(t, finished.Finish(t.Context(), large), "a repeated finish")
			time.Sleep(DefaultExpiry)
			_, err = b.Begin(t.Context(), oldKeys[1], testRequest)
			require.NoError(t, err)
		})
	}
}

// Guards against overwriting a shard that cannot be read as if it were empty.
func TestUnreadableShard(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		k := keysOfShard(5, 1)[0]
		_, err := f.objects.Put(t.Context(), "intent/05", []byte("broken"), 0)
		require.NoError(t, err)
		_, err = a.Begin(t.Context(), k, testRequest)
		require.ErrorIs(t, err, ErrUnavailable)
		require.EqualValues(t, 1, f.objects.Counters().Writes)
		invalid := newStoredOutcome(Outcome{ContentType: "text/\xff"}, 10)
		_, err = decodeShard(encodeShard([]cbor.RawMessage{record{}.finished(invalid).encoded}, nil))
		require.NoError(t, err)
	})
}

// Guards against one write per call under load, and against losing a finish when its
// caller does not wait.
func TestGroupCommit(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		var wait sync.WaitGroup
		for _, k := range keysOfShard(9, 100) {
			wait.Go(func() {
				attempt, err := a.Begin(t.Context(), k, testRequest)
				require.NoError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				require.ErrorIs(t, attempt.Finish(ctx, testOutcome), ErrUnavailable)
			})
		}
		wait.Wait()
		require.NoError(t, a.Flush(t.Context()))
		require.LessOrEqual(t, f.objects.Counters().Writes, int64(3))
		for _, k := range keysOfShard(9, 100) {
			var done *Done
			_, err := b.Begin(t.Context(), k, testRequest)
			require.ErrorAs(t, err, &done)
		}
	})
}

// Guards against losing a record of either writer in a conflict.
func TestConflictingWriters(t *testing.T) {
	runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
		var wait sync.WaitGroup
		for i, k := range keysOfShard(11, 60) {
			store := []*Store{a, b}[i%2]
			wait.Go(func() {
				time.Sleep(time.Duration(i/2) * 37 * time.Millisecond)
				attempt, err := store.Begin(t.Context(), k, testRequest)
				require.NoError(t, err)
				require.NoError(t, attempt.Finish(t.Context(), testOutcome))
			})
		}
		wait.Wait()
		require.Positive(t, f.objects.Counters().Conflicts)
		stored, err := f.objects.Get(t.Context(), "intent/11")
		require.NoError(t, err)
		data, err := decodeShard(stored.Value)
		require.NoError(t, err)
		require.Len(t, data.records, 60)
		for _, r := range data.records {
			require.Equal(t, stateFinished, r.State)
		}
	})
}
