package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds connecting to an upstream. The longest round trip between
	// regions takes a few tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long idle connections are kept until an upstream
	// states its own timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much earlier than the upstream a router closes an
	// idle connection, so that no request is sent on a connection that the upstream
	// is closing.
	idleTimeoutMargin = time.Second
	// maxIdleRatio is the fraction of an upstream's connection limit that all routers
	// together may keep idle, which leaves room for new connections.
	maxIdleRatio = 0.5
	// defaultMaxIdle bounds the idle connections to an upstream without a
	// connection limit.
	defaultMaxIdle = 32
)

// connections holds the HTTP transports for the upstreams of one service. It is
// safe for concurrent use.
type connections struct {
	maxIdle int // maximum number of idle connections to one upstream

	mu          sync.Mutex
	idleTimeout time.Duration   // of reusable
	reusable    *http.Transport // for requests that may be retried
	// fresh uses each connection once, for requests that must not be retried: an
	// upstream may have closed an idle connection, or send a second copy of the
	// answer before on it, and it is then unknown whether the request ran.
	fresh *http.Transport
}

// newConnections returns the connections to upstreams that each accept limit
// connections from all routers together; 0 means no limit.
func newConnections(limit, routers int) *connections {
	maxIdle := defaultMaxIdle
	if limit > 0 {
		maxIdle = max(int(maxIdleRatio*float64(limit))/max(routers, 1), 1)
	}
	fresh := newTransport(defaultIdleTimeout, maxIdle)
	fresh.DisableKeepAlives = true
	return &connections{
		maxIdle: maxIdle, idleTimeout: defaultIdleTimeout, reusable: newTransport(defaultIdleTimeout, maxIdle), fresh: fresh,
	}
}

func newTransport(idleTimeout time.Duration, maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err == nil && !hasPermission(ctx) {
				connection.Close()
				return nil, errWithheld
			}
			return connection, err
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// transport returns the transport for a request.
func (c *connections) transport(retryable bool) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if retryable {
		return c.reusable
	}
	return c.fresh
}

// setUpstreamTimeout adapts the idle timeout to timeout, the one that an upstream
// states; 0 or less changes nothing.
func (c *connections) setUpstreamTimeout(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	idleTimeout := max(timeout-idleTimeoutMargin, timeout/2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if idleTimeout == c.idleTimeout {
		return
	}
	old := c.reusable
	c.idleTimeout, c.reusable = idleTimeout, newTransport(idleTimeout, c.maxIdle)
	old.CloseIdleConnections()
}

// permissionKey is the context key of a function that reports whether a request may
// still be sent.
type permissionKey struct{}

// withPermission adds such a function to the context of a request.
func withPermission(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, permitted)
}

// hasPermission reports whether the request of a context may still be sent. Connecting
// takes time in which the permission may have ended.
func hasPermission(ctx context.Context) bool {
	permitted, ok := ctx.Value(permissionKey{}).(func() bool)
	return !ok || permitted()
}
