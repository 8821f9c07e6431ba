package fake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// The rate limits must hold per second, so that the fake is not faster than the
// platform.
func TestObjectRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := NewObjects(1)
		written, read := 0, 0
		for range 10_000 {
			if _, err := objects.Put(t.Context(), "x", nil, int64(written)); err == nil {
				written++
			}
			if _, err := objects.Get(t.Context(), "x"); err == nil {
				read++
			}
			time.Sleep(100 * time.Microsecond)
		}
		require.InDelta(t, DefaultWritesPerSecond, written, DefaultWritesPerSecond/10+1)
		require.InDelta(t, DefaultReadsPerSecond, read, DefaultReadsPerSecond/10+1)
	})
}

// Faults must work as documented, because other tests rely on them.
func TestObjectFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := NewObjects(1)
		ctx := t.Context()
		objects.SetFaults(func(f *ObjectFaults) { f.DropNext, f.DelayNext, f.DelayMillis, f.LatencyMillis = 1, 1, 500, 10 })
		_, err := objects.Put(ctx, "x", []byte("dropped"), 0)
		require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
		_, err = objects.Put(ctx, "x", []byte("late"), 0)
		require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
		_, err = objects.Get(ctx, "x")
		require.ErrorIs(t, err, objectapi.ErrNotFound)
		time.Sleep(time.Second)
		start := time.Now()
		got, err := objects.Get(ctx, "x")
		require.NoError(t, err)
		require.Equal(t, "late", string(got.Value))
		require.Equal(t, 10*time.Millisecond, time.Since(start))

		objects.SetFaults(func(f *ObjectFaults) { f.StaleNext = 1 })
		_, err = objects.Put(ctx, "x", []byte("new"), 1)
		require.NoError(t, err)
		got, err = objects.Get(ctx, "x")
		require.NoError(t, err)
		require.EqualValues(t, 1, got.Version)

		watched := make(chan error)
		go func() {
			_, err := objects.Watch(ctx, "x", 2)
			watched <- err
		}()
		time.Sleep(70 * time.Second)
		require.EqualValues(t, 3, objects.Counters().Watches, "each long poll is a call")
		objects.SetFaults(func(f *ObjectFaults) { f.Outage = true })
		require.ErrorIs(t, <-watched, objectapi.ErrUnavailable)
		require.Zero(t, objects.Counters().PendingWatches)
	})
}

// POST /control must not reset the faults that it does not contain.
func TestObjectControl(t *testing.T) {
	objects := NewObjects(1)
	post := func(body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		objects.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		return recorder
	}
	require.Equal(t, http.StatusOK, post(`{"outage":true}`).Code)
	require.Equal(t, http.StatusBadRequest, post(`{"no_such_fault":1}`).Code)
	answer := post(`{"latency_ms":5}`)
	require.Contains(t, answer.Body.String(), `"outage":true,"latency_ms":5`)
	require.Contains(t, answer.Body.String(), `"writes_per_second":400`)
}
