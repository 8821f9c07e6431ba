package objectapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

const objectName = "intent/0 7"

func startObjects(t *testing.T, opts objectapi.Options) (*fake.Objects, *objectapi.Client) {
	t.Helper()
	objects := fake.NewObjects(1)
	server := httptest.NewServer(objects)
	t.Cleanup(server.Close)
	client := objectapi.NewClient(server.URL, opts)
	t.Cleanup(client.Close)
	return objects, client
}

// Guards against lost updates: a write based on an old version has to fail.
func TestConditionalUpdates(t *testing.T) {
	_, client := startObjects(t, objectapi.Options{})
	ctx := t.Context()
	_, err := client.Get(ctx, objectName)
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	first, err := client.Put(ctx, objectName, []byte("a"), 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Version)
	_, err = client.Put(ctx, objectName, []byte("b"), 0)
	require.ErrorIs(t, err, objectapi.ErrConflict)
	_, err = client.Put(ctx, objectName, []byte("b"), 1)
	require.NoError(t, err)
	got, err := client.Get(ctx, objectName)
	require.NoError(t, err)
	require.Equal(t, objectapi.Object{Name: objectName, Version: 2, Value: []byte("b")}, got)
	_, err = client.Put(ctx, objectName, make([]byte, objectapi.MaxValueBytes+1), 2)
	require.ErrorIs(t, err, objectapi.ErrTooLarge)
	_, err = client.Get(ctx, "a/../b")
	require.ErrorIs(t, err, objectapi.ErrInvalidName)
}

// Guards against reporting a write as failed when only its response was lost, and as
// possibly written when it was never sent.
func TestOutcomeOfFailedWrites(t *testing.T) {
	objects, client := startObjects(t, objectapi.Options{})
	ctx := t.Context()
	objects.SetFaults(func(f *fake.ObjectFaults) { f.LoseNext = 1 })
	_, err := client.Put(ctx, "x", []byte("a"), 0)
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	got, err := client.Get(ctx, "x")
	require.NoError(t, err)
	require.EqualValues(t, 1, got.Version)

	objects.SetFaults(func(f *fake.ObjectFaults) { f.Outage = true })
	_, err = client.Put(ctx, "x", []byte("b"), 1)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, err = client.Get(ctx, "x")
	require.ErrorIs(t, err, objectapi.ErrUnavailable)

	closed := httptest.NewServer(objects)
	closed.Close()
	refused := objectapi.NewClient(closed.URL, objectapi.Options{})
	_, err = refused.Put(ctx, "x", []byte("b"), 1)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, err = refused.Hosts(ctx)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// Guards against a hung platform that blocks its callers forever, and against
// reporting a write as failed when it was sent and then canceled by its caller.
func TestTimeoutAfterSend(t *testing.T) {
	release := make(chan struct{})
	sent := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		sent <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	client := objectapi.NewClient(server.URL, objectapi.Options{Timeout: time.Hour})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-sent
		cancel()
	}()
	_, err := client.Put(ctx, "x", nil, 0)
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	hasty := objectapi.NewClient(server.URL, objectapi.Options{Timeout: time.Millisecond, WatchTimeout: time.Millisecond})
	defer hasty.Close()
	_, err = hasty.Get(t.Context(), "x")
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
	_, err = hasty.Watch(t.Context(), "x", 0)
	require.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// Guards against missed changes, and against a watch that ends when a long poll ends
// instead of polling again.
func TestWatch(t *testing.T) {
	objects, client := startObjects(t, objectapi.Options{})
	_, err := client.Watch(t.Context(), "x", 0)
	require.ErrorIs(t, err, objectapi.ErrNotFound)
	_, err = client.Put(t.Context(), "x", []byte("a"), 0)
	require.NoError(t, err)
	type result struct {
		object objectapi.Object
		err    error
	}
	results := make(chan result)
	go func() {
		object, err := client.Watch(t.Context(), "x", 1)
		results <- result{object, err}
	}()
	require.Eventually(t, func() bool { return objects.Counters().PendingWatches == 1 }, 10*time.Second, time.Millisecond)
	_, err = client.Put(t.Context(), "x", []byte("b"), 1)
	require.NoError(t, err)
	got := <-results
	require.NoError(t, got.err)
	require.EqualValues(t, 2, got.object.Version)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Watch(ctx, "x", 2)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against ignoring the server's Retry-After, against ending a watch at an
// empty poll, against misjudging a write that got a gateway error, and against host
// lists that are not decoded correctly.
func TestStatusConversion(t *testing.T) {
	polls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/hosts":
			_, _ = w.Write([]byte(`[{"id":"r1","kind":"router","leaving":true}]`))
		case r.URL.Path == "/v1/objects/broken":
			w.WriteHeader(http.StatusBadGateway)
		case r.URL.Query().Get("watch") != "" && polls < 2:
			polls++
			w.WriteHeader(http.StatusNoContent)
		default:
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer server.Close()
	client := objectapi.NewClient(server.URL, objectapi.Options{})
	defer client.Close()
	_, err := client.Put(t.Context(), "x", nil, 0)
	require.ErrorIs(t, err, objectapi.ErrRateLimited)
	require.Equal(t, 2*time.Second, objectapi.RetryAfter(err, 0))
	_, err = client.Watch(t.Context(), "x", 0)
	require.ErrorIs(t, err, objectapi.ErrRateLimited)
	require.Equal(t, 2, polls)
	_, err = client.Put(t.Context(), "broken", nil, 0)
	require.ErrorIs(t, err, objectapi.ErrOutcomeUnknown)
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []objectapi.Host{{ID: "r1", Kind: objectapi.HostRouter, Leaving: true}}, hosts)
}
