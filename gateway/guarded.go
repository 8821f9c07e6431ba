package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/ledger"
	"github.com/lacewingshift/lacewingshift/overload"
)

const (
	// sendBuffer is what the system holds of an answer that the caller has not read, in
	// bytes. The system reports room in it when a third is free, so that a large one would
	// make a caller that reads slowly look like one that does not read.
	sendBuffer = 128 << 10
	// writePiece is the number of bytes that a caller has to take within the write timeout.
	writePiece = 4 << 10
)

// connectionUsage is what each connection holds.
var connectionUsage = ledger.Usage{Bytes: ledger.ConnectionBytes, Descriptors: 1}

// errNoRoom ends a connection whose head does not fit or did not arrive in time.
var errNoRoom = eris.New("no room for the head of a request")

// Refusals of requests whose heads are not whole.
const (
	refusedTimeout = "HTTP/1.1 408 Request Timeout" + refusalFields + "head did not arrive in time\n"
	refusedNoRoom  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1" + refusalFields + "router is short of memory\n"
	refusalFields  = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
)

// callerConnection is a connection of a caller, or to a service of the router. It holds an
// intake slot until its first request is decided about. It tells the guard what it holds.
// net/http sets no time limits of its own for heads and idle connections; this type does, as
// they come from the configuration.
type callerConnection struct {
	*net.TCPConn
	listener *intakeListener // nil for a service of the router
	slot     *overload.Slot  // nil once it was freed; guarded by the listener's mutex
	guard    *guard          // nil if the connection is not bounded
	evicted  atomic.Bool     // reading fails from now on
	// headRefused is set when a refusal was sent in place of an answer of net/http.
	headRefused atomic.Bool

	// The fields below are guarded by the guard's mutex.
	account *ledger.Account // nil if the connection was not admitted
	head    ledger.Head     // of the request that is being read
	inHead  bool
	// answerSent is set when the last answer was sent, ended when the connection was closed.
	answerSent, ended bool
}

// Read implements net.Conn.
func (c *callerConnection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.guard == nil {
		return n, err
	}
	refusal, ended := c.received(p[:n], err)
	if refusal != "" {
		c.refuseHead(refusal)
	}
	if ended != nil {
		return 0, ended
	}
	return n, err
}

// refuseHead sends a refusal in place of any that net/http would send, which takes a head that
// is cut off for one that is malformed.
func (c *callerConnection) refuseHead(refusal string) {
	c.headRefused.Store(true)
	// Errors mean that the connection has ended or that the caller does not read.
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = io.WriteString(c.TCPConn, refusal)
}

// received accounts for what was read. If the connection has to end it returns an error, and
// a refusal of a request whose head is not whole.
func (c *callerConnection) received(p []byte, err error) (refusal string, ended error) {
	g, now := c.guard, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted.Load() {
		return "", os.ErrDeadlineExceeded
	}
	a := c.account
	if c.inHead && errors.Is(err, os.ErrDeadlineExceeded) {
		g.note(headTooSlow, a.Address, a.Used, now.Sub(a.Since))
		return refusedTimeout, err
	}
	if len(p) == 0 || a.Phase == ledger.Serving {
		return "", nil
	}
	if a.Phase == ledger.Waiting {
		c.head, c.inHead = ledger.Head{}, true
		g.ledger.Enter(now, a, ledger.Receiving)
		c.limitReading(now, g.timeouts().header)
	}
	g.ledger.Moved(now, a, int64(len(p)))
	if !c.inHead {
		return "", nil
	}
	c.head.Read(p)
	c.inHead = !c.head.Ended()
	holds := connectionUsage
	holds.Bytes += c.head.Cost()
	closed, reason := g.ledger.Hold(now, a, holds)
	g.end(now, closed)
	if reason == "" {
		return "", nil
	}
	g.note(noRoomForHead, a.Address, holds, 0, "reason", reason)
	return refusedNoRoom, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoRoom}
}

// limitReading sets the time that reading may take from now. The caller must hold the
// guard's mutex.
func (c *callerConnection) limitReading(now time.Time, d time.Duration) {
	if !c.evicted.Load() {
		_ = c.TCPConn.SetReadDeadline(now.Add(d)) // an error means that the connection has ended
	}
}

// SetReadDeadline implements net.Conn. net/http removes its own limits, which do not apply
// while a head is awaited.
func (c *callerConnection) SetReadDeadline(t time.Time) error {
	if c.guard == nil {
		return c.TCPConn.SetReadDeadline(t)
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.evicted.Load() || t.IsZero() && (c.inHead || c.account.Phase == ledger.Waiting) {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// begin records that the head of a request is whole.
func (c *callerConnection) begin(r *http.Request) {
	g, now := c.guard, time.Now()
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	holds := connectionUsage
	holds.Bytes += ledger.HeadCost(int64(fields), int64(headerBytes(r.Header)+len(r.RequestURI)))
	g.mu.Lock()
	defer g.mu.Unlock()
	c.inHead = false
	g.ledger.Enter(now, c.account, ledger.Receiving)
	g.end(now, g.ledger.Force(now, c.account, holds))
	if !c.evicted.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // an error means that the connection has ended
	}
}

// serve records that a request is whole and will be sent to an upstream. Without room it
// returns a reason.
func (c *callerConnection) serve() ledger.Reason {
	if c == nil || c.guard == nil {
		return ""
	}
	g, now := c.guard, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.evicted.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // an error means that the connection has ended
	}
	a := c.account
	more := ledger.Usage{Bytes: a.Used.Bytes + servingBytes, Descriptors: a.Used.Descriptors + servingFiles}
	closed, reason := g.ledger.Hold(now, a, more)
	g.end(now, closed)
	if reason == "" {
		g.ledger.Enter(now, a, ledger.Serving)
	}
	return reason
}

// assign records the workspace of a request.
func (c *callerConnection) assign(workspace string) {
	if c == nil || c.guard == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Assign(c.account, workspace)
}

// holdMore adds bytes to what the connection holds and reports whether there is room.
func (c *callerConnection) holdMore(bytes int64) bool {
	if c.guard == nil {
		return true
	}
	g, now := c.guard, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	closed, reason := g.ledger.Hold(now, c.account, ledger.Usage{Bytes: c.account.Used.Bytes + bytes, Descriptors: c.account.Used.Descriptors})
	g.end(now, closed)
	return reason == "" || bytes <= 0
}

// forceMore adds bytes that are held already.
func (c *callerConnection) forceMore(bytes int64) {
	if c.guard == nil {
		return
	}
	g, now := c.guard, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(now, g.ledger.Force(now, c.account, ledger.Usage{Bytes: c.account.Used.Bytes + bytes, Descriptors: c.account.Used.Descriptors}))
}

// answered bounds how long net/http reads the rest of a request before it sends the answer
// and afterwards.
func (c *callerConnection) answered(r *http.Request) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.account.Phase == ledger.Receiving && r.ContentLength != 0 {
		c.limitReading(time.Now(), drainTimeout)
	}
}

// wait records that the connection has no request.
func (c *callerConnection) wait() {
	g, now := c.guard, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Enter(now, c.account, ledger.Waiting)
	g.ledger.Assign(c.account, "")
	g.end(now, g.ledger.Force(now, c.account, connectionUsage))
	c.limitReading(now, g.timeouts().idle)
}

// Write implements net.Conn. A caller that does not take a piece in time is cut off, so that
// no upstream waits for it.
func (c *callerConnection) Write(p []byte) (int, error) {
	if c.guard == nil {
		return c.TCPConn.Write(p)
	}
	if c.headRefused.Load() {
		return 0, errNoRoom
	}
	written := 0
	for written < len(p) {
		timeout := c.guard.writeTimeout
		if c.evicted.Load() {
			timeout = lastWriteTimeout
		}
		if err := c.TCPConn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil {
			c.unread(err)
			return written, err
		}
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Moved(time.Now(), c.account, int64(written))
	return written, nil
}

// unread notes a caller that does not read its answer. Its connection ends with a reset, as
// an orderly end completes an answer to HTTP/1.0.
func (c *callerConnection) unread(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	_ = c.SetLinger(0) // an error means that the connection has ended
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.note(answerUnread, c.account.Address, c.account.Used, c.guard.writeTimeout)
}

// ReadFrom implements io.ReaderFrom by Write, which bounds the time.
func (c *callerConnection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *callerConnection) Close() error {
	c.freeSlot()
	err := c.TCPConn.Close()
	if c.guard != nil {
		c.guard.forget(c)
	}
	return err
}

// CloseWrite ends the sending side. net/http waits for the caller afterwards.
func (c *callerConnection) CloseWrite() error {
	if c.guard != nil {
		c.guard.mu.Lock()
		c.answerSent = true
		c.guard.mu.Unlock()
	}
	return c.TCPConn.CloseWrite()
}
