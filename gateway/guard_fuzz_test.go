package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/ledger"
	"github.com/lacewingshift/lacewingshift/platform"
)

// fuzzBodyLimit is the limit in bytes of the bodies that are kept.
const fuzzBodyLimit = 32 << 10

// testGuard returns the guard of a router with the given memory in bytes.
func testGuard(memory int64) *guard {
	s := platform.Settings{MemoryLimit: memory}
	s.Callers.WriteTimeout = time.Second
	timeouts := func() callerTimeouts { return callerTimeouts{header: 5 * time.Second, idle: 5 * time.Second} }
	return newGuard(s, timeouts, newRequestMetrics(), log.New(io.Discard), func() bool { return false })
}

// guardedServer serves handler behind a guard and returns its address.
func guardedServer(tb testing.TB, g *guard, handler http.HandlerFunc) string {
	listener, err := listenIntake("127.0.0.1:0")
	require.NoError(tb, err)
	listener.guard = g
	server := &http.Server{Handler: g.handler(handler), ConnContext: withConnection, ConnState: g.stateChanged}
	go func() { _ = server.Serve(listener) }() // ends with Close
	tb.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// send sends bytes on a new connection and waits until the server closes it.
func send(tb testing.TB, address string, data []byte) {
	connection, err := net.Dial("tcp", address)
	require.NoError(tb, err)
	defer connection.Close()
	_, _ = connection.Write(data) // the server may have closed the connection
	_ = connection.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}

// requireNothingHeld checks that nothing is accounted for once all connections have ended.
func requireNothingHeld(tb testing.TB, g *guard) {
	require.Eventually(tb, func() bool {
		held, count := g.held()
		return held == ledger.Usage{} && count == 0
	}, 5*time.Second, time.Millisecond)
}

// A body in chunks must be read as what it contains, and nothing may stay accounted for,
// however the chunks are formed.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("1\r\na\r\n1;x=y\r\nb\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("ffffffffffffffff\r\n"))
	g := testGuard(0)
	bodies := make(chan []byte, 1)
	address := guardedServer(f, g, func(w http.ResponseWriter, r *http.Request) {
		held := heldMemory{connection: connectionOf(r)}
		defer held.release()
		body, err := io.ReadAll(&heldReader{body: http.MaxBytesReader(w, r.Body, fuzzBodyLimit), held: &held})
		w.Header().Set("Connection", "close")
		if err != nil {
			body = nil
		}
		select {
		case bodies <- body:
		default:
		}
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		send(t, address, append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), data...))
		requireNothingHeld(t, g)
		select {
		case body := <-bodies:
			want, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(bytes.NewReader(data)), fuzzBodyLimit))
			if err == nil && body != nil {
				require.Equal(t, want, body)
			}
		default:
		}
	})
}

// Any bytes in place of a head must leave nothing accounted for.
func FuzzConnection(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\nab"))
	f.Add(bytes.Repeat([]byte("a:b\n"), 5000))
	g := testGuard(1 << 20)
	address := guardedServer(f, g, func(_ http.ResponseWriter, r *http.Request) { connectionOf(r).serve() })
	f.Fuzz(func(t *testing.T, data []byte) {
		send(t, address, data)
		requireNothingHeld(t, g)
	})
}
