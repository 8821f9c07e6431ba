package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// connectionOf returns the connection of a request, or nil if it is not known.
func connectionOf(r *http.Request) *callerConnection {
	c, _ := r.Context().Value(connectionKey{}).(*callerConnection)
	return c
}

// callerLeft reports whether the caller of a request has closed its connection. A
// router that is short of processor time reads requests late, and net/http detects
// a closed connection only some time after it has read the body.
func callerLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	connection, ok := r.Context().Value(connectionKey{}).(net.Conn)
	return ok && remoteClosed(connection)
}

// breakOff ends a request in such a way that its response does not look complete. A
// response to an HTTP/1.0 caller ends with its connection, which is therefore reset. It
// does not return.
func breakOff(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if connection := connectionOf(r); connection != nil {
			_ = connection.SetLinger(0) // an error means that the connection has ended
		}
	}
	panic(http.ErrAbortHandler)
}

// remoteClosed reports whether the remote side has closed a connection, even if it
// still holds unread bytes.
func remoteClosed(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	return pollEvents(raw, unix.POLLRDHUP)
}

// pollEvents reports whether a descriptor has any of the given poll events now. A
// closed one has all.
func pollEvents(raw syscall.RawConn, events int16) bool {
	found := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: events}}
		for {
			n, err := unix.Poll(poll, 0)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			found = err == nil && n > 0
			return
		}
	})
	return found || err != nil
}
