package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/placement"
)

// Upstreams of a service that state different idle timeouts must not close each other's
// connections.
func TestIdleTimeoutOfOneUpstreamIsNotAppliedToAnother(t *testing.T) {
	c := newConnections(0, 1)
	var made [3]atomic.Int64
	var addresses [3]string
	for i := range made {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				made[i].Add(1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		addresses[i] = server.Listener.Addr().String()
	}
	timeouts := [...]time.Duration{3 * time.Second, 10 * time.Second, 0} // as stated
	for range 10 {
		for i, address := range addresses {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
			require.NoError(t, err)
			response, err := c.transport(address, true).RoundTrip(request)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			response.Body.Close()
			c.setUpstreamTimeout(address, timeouts[i])
			time.Sleep(2 * time.Millisecond) // until the connection is idle
		}
	}
	for i := range made {
		// The first connection is idle in the transport with the default timeout.
		assert.LessOrEqual(t, made[i].Load(), int64(2), "upstream %d", i)
	}
}

// A request whose upstream leaves or asks to be left alone while the router connects to
// it must not be sent.
func TestPermissionThatEndsWhileConnectingWithholdsTheRequest(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	t.Cleanup(server.Close)
	c := newConnections(0, 1)
	address := server.Listener.Addr().String()
	for _, retryable := range []bool{true, false} {
		ctx := withPermission(t.Context(), func() bool { return false })
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		require.NoError(t, err)
		_, err = c.transport(address, retryable).RoundTrip(request)
		require.ErrorIs(t, err, errWithheld)
		r := classify(ctx, err, false, false)
		assert.Equal(t, notRun, r.attemptStatus)
		assert.Equal(t, placement.Withheld, r.outcome)
	}
	assert.Zero(t, arrived.Load())
}
