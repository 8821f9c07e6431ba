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
