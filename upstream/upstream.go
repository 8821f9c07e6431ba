// Package upstream is the client of model engines and plain services. It sends them
// requests, reads the streams of engines and resumes those whose connection broke.
package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of this package. ErrNotSent guarantees that no byte of the request reached
// the upstream, and ErrRefused that the upstream states that it did not run the request.
// After any other error the request may have run.
var (
	ErrNotSent      = eris.New("upstream could not be reached")
	ErrRefused      = eris.New("upstream refused the request")
	ErrFailed       = eris.New("upstream failed the request")
	ErrResponseLost = eris.New("the answer of the upstream was lost")
	ErrStreamGone   = eris.New("upstream no longer has the stream")
	ErrTooLarge     = eris.New("response of the upstream is too large")
	ErrStalled      = eris.New("upstream sent no event within the stall timeout")
)

// headerNotRun is the header of a response in which the upstream states that it did not
// run the request. A status alone does not prove that.
const headerNotRun = "Lacewing-Not-Run"

const (
	dialTimeout = time.Second
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream,
	// enough for its slots.
	maxIdlePerUpstream = 16
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// MaxPlainResponse is the maximum size of a plain service's response body in
	// bytes.
	MaxPlainResponse = 4 << 20
	// maxChunk is the maximum length of a line of an engine's stream in bytes.
	maxChunk = 256 << 10
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client // keeps connections alive
	unpooled *http.Client // makes a new connection for each request
}

// NewClient returns a client that dials from the source IP dialFrom, or from any
// local IP if it is nil.
func NewClient(dialFrom net.IP) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if dialFrom != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: dialFrom}
	}
	return &Client{
		pooled:   &http.Client{Transport: transport(dialer, false), CheckRedirect: returnRedirect},
		unpooled: &http.Client{Transport: transport(dialer, true), CheckRedirect: returnRedirect},
	}
}

func transport(dialer *net.Dialer, unpooled bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// net/http retries a request with an Idempotency-Key header when a reused
		// connection breaks. Calls that must not be repeated get a new connection,
		// on which net/http never retries.
		DisableKeepAlives: unpooled,
	}
}

// returnRedirect makes the client return redirect responses instead of following
// them, because following one would send the request twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
