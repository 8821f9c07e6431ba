package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// minStatus and maxStatus are the statuses that an answer may have. Those below are
	// interim ones, which net/http does not return, or none of HTTP.
	minStatus = 200
	maxStatus = 599
)

// notPassedOn returns why a response with the given request id is not an answer to a call, or
// "" if it is one.
func notPassedOn(response *http.Response, requestID string, c *call) string {
	switch {
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return "answer has no valid status"
	case requestID != c.headers.ID:
		return "answer belongs to another request"
	default:
		return ""
	}
}

// upstreamConnection is a connection to an upstream that tells a reset from an orderly end.
// The system reports a reset to one call only. If that is a write of the request, reads of
// the answer find an end, which completes an answer without a length.
type upstreamConnection struct {
	*net.TCPConn
}

// Read implements net.Conn. Errors: those of the connection, ECONNRESET in place of an end
// that is none.
func (c upstreamConnection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether the connection is closed in both directions although this side
// has not closed it.
func (c upstreamConnection) wasReset() bool {
	raw, err := c.SyscallConn()
	return err != nil || pollEvents(raw, unix.POLLHUP)
}
