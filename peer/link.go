package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/pause"
)

// link sends messages to one peer. It has a bounded queue and uses at most one
// connection at a time, which either side may have opened.
type link struct {
	quic  *QUIC
	host  string
	queue chan frame
	end   context.CancelFunc // ends run

	mu       sync.Mutex
	conn     *quic.Conn       // nil before the first connection and after reset
	stream   *quic.SendStream // carries one-way messages on conn, nil until opened
	lastDial time.Time        // start of the latest dial, zero after reset
	dialing  chan struct{}    // closed at the end of the dial in progress, nil without one
}

// enqueue queues a frame, or drops it if the queue is full.
func (l *link) enqueue(f frame) {
	select {
	case l.queue <- f:
	default:
		// The queue is full, so the peer does not keep up. Message delivery is
		// unreliable by contract (see Transport.Send), so the frame is dropped.
	}
}

// run writes queued messages until ctx ends. After an idle time a message is
// written at once, because it may delay the first token of a request. Messages
// that are queued within coalesceTime after a write share the next write.
func (l *link) run(ctx context.Context) {
	var written time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.queue:
			l.write(ctx, l.collect(ctx, first, written.Add(coalesceTime)))
			written = time.Now()
		}
	}
}

// collect encodes first and, at the given time, all messages queued until then. It
// stops adding messages once the result reaches MaxFrameBytes.
func (l *link) collect(ctx context.Context, first frame, until time.Time) []byte {
	buffer := l.encode(nil, first)
	if wait := time.Until(until); wait > 0 {
		_ = pause.For(ctx, wait)
	}
	for len(buffer) < MaxFrameBytes {
		select {
		case next := <-l.queue:
			buffer = l.encode(buffer, next)
		default:
			return buffer
		}
	}
	return buffer
}

// encode stamps a frame with the current time and appends it to buffer. It drops a
// frame that is too large.
func (l *link) encode(buffer []byte, f frame) []byte {
	f.At = l.quic.clock.Now()
	encoded, err := appendFrame(buffer, f)
	if err != nil {
		return buffer
	}
	return encoded
}

// write writes buffer to the current stream. If that fails, it tries once more on a
// new connection.
func (l *link) write(ctx context.Context, buffer []byte) {
	for range 2 {
		stream, err := l.sendStream(ctx)
		if err != nil {
			return
		}
		_ = stream.SetWriteDeadline(time.Now().Add(handshakeTimeout))
		if _, err := stream.Write(buffer); err == nil {
			return
		}
		l.reset()
	}
}

// sendStream returns the stream for one-way messages, opening it if necessary.
func (l *link) sendStream(ctx context.Context) (*quic.SendStream, error) {
	conn, err := l.connection(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream != nil && l.conn == conn {
		return l.stream, nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	l.stream = stream
	return stream, nil
}

// connection returns the open connection or dials a new one. Concurrent callers
// share one dial.
func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil && l.conn.Context().Err() == nil {
			conn := l.conn
			l.mu.Unlock()
			return conn, nil
		}
		if l.dialing != nil {
			dialed := l.dialing
			l.mu.Unlock()
			select {
			case <-dialed:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if time.Since(l.lastDial) < redialInterval {
			l.mu.Unlock()
			return nil, eris.New("peer not dialed: the last dial was less than the redial interval ago")
		}
		l.lastDial = time.Now()
		l.dialing = make(chan struct{})
		l.mu.Unlock()
		return l.dial(ctx)
	}
}

// dial opens a connection. The link uses it unless the peer has opened one in the
// meantime.
func (l *link) dial(ctx context.Context) (*quic.Conn, error) {
	conn, err := l.dialAddress(ctx)
	l.mu.Lock()
	close(l.dialing)
	l.dialing = nil
	if err == nil && (l.conn == nil || l.conn.Context().Err() != nil) {
		l.conn = conn
		l.stream = nil
	}
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	l.quic.wg.Go(func() { l.quic.serve(l.host, conn) })
	return conn, nil
}

func (l *link) dialAddress(ctx context.Context) (*quic.Conn, error) {
	l.quic.mu.Lock()
	address, known := l.quic.addresses[l.host]
	l.quic.mu.Unlock()
	if !known {
		return nil, ErrUnknownHost
	}
	udp, err := net.ResolveUDPAddr("udp", address.UDP)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve peer address of %s", l.host)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return l.quic.transport.Dial(ctx, udp, l.quic.clientTLS(l.host), l.quic.quicConfig())
}

// adopt makes the link use a connection that the peer opened. The newest connection
// is preferred, because a restarted peer opens a new one while the old one still
// seems to be open.
func (l *link) adopt(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.stream = nil
}

// uses reports whether the link has no connection other than conn.
func (l *link) uses(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil || l.conn == conn
}

// reset closes the connection. The next message dials a new one, without waiting for
// redialInterval.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "reset")
	}
	l.conn = nil
	l.stream = nil
	l.lastDial = time.Time{}
}

func (l *link) close() { l.reset() }
