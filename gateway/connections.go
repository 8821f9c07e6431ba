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
	// maxUpstreamTimeout bounds the timeouts that upstreams state, and so the number of
	// transports: they state whole seconds.
	maxUpstreamTimeout = time.Minute
	// maxIdleTimeouts bounds the upstreams whose timeouts are kept for one service.
	maxIdleTimeouts = 8192
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

	mu sync.Mutex
	// idleTimeouts is keyed by the address of an upstream that has stated one.
	idleTimeouts map[string]time.Duration
	// reusable holds the transports for requests that may be retried, by how long
	// they keep idle connections.
	reusable map[time.Duration]*http.Transport
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
		maxIdle: maxIdle, idleTimeouts: map[string]time.Duration{}, reusable: map[time.Duration]*http.Transport{}, fresh: fresh,
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
			if tcp, ok := connection.(*net.TCPConn); ok {
				return upstreamConnection{tcp}, err
			}
			return connection, err
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// transport returns the transport for a request to the upstream at an address.
func (c *connections) transport(address string, retryable bool) *http.Transport {
	if !retryable {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	idleTimeout, stated := c.idleTimeouts[address]
	if !stated {
		idleTimeout = defaultIdleTimeout
	}
	t := c.reusable[idleTimeout]
	if t == nil {
		t = newTransport(idleTimeout, c.maxIdle)
		c.reusable[idleTimeout] = t
	}
	return t
}

// setUpstreamTimeout sets the timeout that the upstream at an address states for its
// idle connections; 0 or less changes nothing. Connections that are idle in another
// transport are used no more and end by its timeout.
func (c *connections) setUpstreamTimeout(address string, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	timeout = min(timeout, maxUpstreamTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idleTimeouts) >= maxIdleTimeouts {
		clear(c.idleTimeouts) // most are of upstreams that are gone
	}
	c.idleTimeouts[address] = max(timeout-idleTimeoutMargin, timeout/2)
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
