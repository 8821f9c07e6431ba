package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the set-up of a connection to an upstream. The longest
	// way between regions takes a few tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// keepIdle is how long idle connections are kept while an upstream has not
	// said how long it keeps them.
	keepIdle = 4 * time.Second
	// keepMargin is how much earlier than the upstream a router closes an idle
	// connection, so that no request meets a closing one.
	keepMargin = time.Second
	// freshIdle bounds the idle time of connections for requests that must not be
	// repeated, since one that the upstream has dropped leaves their outcome open.
	freshIdle = time.Second
	// idleShare is the part of an upstream's connections that all routers together
	// may keep idle, so that there is room for new ones.
	idleShare = 0.5
	// defaultIdle bounds the idle connections to an upstream without a limit.
	defaultIdle = 32
)

// connections are the HTTP connections to the upstreams of one service. It is
// safe for concurrent use.
type connections struct {
	perUpstream int // idle connections to one upstream

	mu       sync.Mutex
	idle     time.Duration
	reusable *http.Transport
	fresh    *http.Transport
}

// newConnections returns the connections to upstreams that accept limit of them
// from all routers.
func newConnections(limit, routers int) *connections {
	perUpstream := defaultIdle
	if limit > 0 {
		perUpstream = max(int(idleShare*float64(limit))/max(routers, 1), 1)
	}
	return &connections{
		perUpstream: perUpstream, idle: keepIdle,
		reusable: newTransport(keepIdle, perUpstream), fresh: newTransport(freshIdle, perUpstream),
	}
}

func newTransport(idle time.Duration, perUpstream int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: perUpstream,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// transport returns the transport for a request.
func (c *connections) transport(repeatable bool) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if repeatable {
		return c.reusable
	}
	return c.fresh
}

// learn takes over how long the upstreams keep idle connections.
func (c *connections) learn(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	idle := max(timeout-keepMargin, timeout/2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle == c.idle {
		return
	}
	old := c.reusable
	c.idle, c.reusable = idle, newTransport(idle, c.perUpstream)
	old.CloseIdleConnections()
}
