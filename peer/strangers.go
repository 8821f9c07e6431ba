package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// A stranger is a host whose address is none of a known peer: a router that has just started,
// or any other program. What strangers can make this host hold is bounded.
const (
	// maxStrangers is the number of connections from strangers that are open at once.
	maxStrangers = 96
	// strangerCalls and strangerStreams are the numbers of concurrent calls, and of streams
	// for one-way messages, on the connection of a stranger.
	strangerCalls   = 16
	strangerStreams = 4
	// strangerStreamWindow and strangerWindow are the numbers of bytes that a stranger may
	// send ahead on a stream and on its connection.
	strangerStreamWindow = 64 << 10
	strangerWindow       = 256 << 10
	// smallFrame is the size of messages from strangers that are not counted, and
	// maxStrangerBytes that of all others that are being read, in bytes. Such a message has
	// to arrive within strangerFrameTimeout.
	smallFrame           = 4 << 10
	maxStrangerBytes     = 8 << 20
	strangerFrameTimeout = 3 * time.Second
)

// errStrangersHold refuses a message because strangers send too many at once.
var errStrangersHold = eris.New("hosts that are not known send too much")

// configFor returns the limits of a connection that the peer at an address opens.
func (q *QUIC) configFor(info *quic.ClientInfo) (*quic.Config, error) {
	config := q.quicConfig()
	if q.isKnown(info.RemoteAddr) {
		return config, nil
	}
	config.MaxIncomingStreams, config.MaxIncomingUniStreams = strangerCalls, strangerStreams
	config.InitialStreamReceiveWindow, config.MaxStreamReceiveWindow = strangerStreamWindow, strangerStreamWindow
	config.InitialConnectionReceiveWindow, config.MaxConnectionReceiveWindow = strangerWindow, strangerWindow
	return config, nil
}

// isKnown reports whether a known peer has the IP address.
func (q *QUIC) isKnown(remote net.Addr) bool {
	ip, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, address := range q.addresses {
		if known, _, err := net.SplitHostPort(address.UDP); err == nil && known == ip {
			return true
		}
	}
	return false
}

// admitStranger reports whether a connection may stay open. It counts it until the connection
// has ended if it is that of a stranger.
func (q *QUIC) admitStranger(conn *quic.Conn) bool {
	if q.isKnown(conn.RemoteAddr()) {
		return true
	}
	if q.strangers.Add(1) > maxStrangers {
		q.strangers.Add(-1)
		return false
	}
	context.AfterFunc(conn.Context(), func() { q.strangers.Add(-1) })
	return true
}

// dropLink ends the link to a host that has closed its connection and is not known.
func (q *QUIC) dropLink(host string, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.links[host]
	if _, known := q.addresses[host]; known || l == nil {
		return
	}
	if l.uses(conn) {
		l.end()
		delete(q.links, host)
	}
}

// admitFrame returns what decides whether a message on a stream may be read. Errors of the
// decision: errStrangersHold.
func (q *QUIC) admitFrame(conn *quic.Conn, stream interface{ SetReadDeadline(time.Time) error }) func(size int64) (func(), error) {
	return func(size int64) (func(), error) {
		if size <= smallFrame || q.isKnown(conn.RemoteAddr()) {
			return func() {}, nil
		}
		if q.strangerBytes.Add(size) > maxStrangerBytes {
			q.strangerBytes.Add(-size)
			return nil, errStrangersHold
		}
		_ = stream.SetReadDeadline(time.Now().Add(strangerFrameTimeout)) // an error shows in the read
		return func() {
			_ = stream.SetReadDeadline(time.Time{}) // an error shows in the next read
			q.strangerBytes.Add(-size)
		}, nil
	}
}
