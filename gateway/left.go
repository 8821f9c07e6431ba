package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
)

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

// withConnection makes a connection known to its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// hasLeft tells whether the caller has closed its connection. A router that is
// short of processor time reads requests late, and net/http notices only some time
// after the body was read that the caller has left.
func hasLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	connection, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return true // closed
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}
