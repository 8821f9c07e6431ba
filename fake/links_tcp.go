package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
)

const (
	// segmentBytes is the maximum size of a read that is forwarded as one unit.
	segmentBytes = 16 << 10
	// tcpQueue is the maximum number of segments in flight in one direction of a
	// connection. A full queue stops reading, like a full receive window.
	tcpQueue = 256
	// retransmitDelay is added to a lost segment. It is the usual minimum
	// retransmission timeout.
	retransmitDelay = 200 * time.Millisecond
	dialTimeout     = 2 * time.Second
)

// tcpRelay forwards the connections to one TCP port of a host.
type tcpRelay struct {
	links    *Links
	host     LinkHost
	target   string
	listener net.Listener
}

func newTCPRelay(links *Links, host LinkHost, port int) (*tcpRelay, error) {
	text := strconv.Itoa(port)
	listener, err := net.Listen("tcp", net.JoinHostPort(host.RelayIP, text))
	if err != nil {
		return nil, err
	}
	return &tcpRelay{links: links, host: host, target: net.JoinHostPort(host.IP, text), listener: listener}, nil
}

// run accepts connections until ctx ends.
func (r *tcpRelay) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	for ctx.Err() == nil {
		conn, err := r.listener.Accept()
		if err != nil {
			// Do not spin if no file descriptors are left.
			_ = pause.For(ctx, 10*time.Millisecond)
			continue
		}
		go r.relay(ctx, conn.(*net.TCPConn))
	}
	return nil
}

// relay connects to the host and copies both directions. The caller's TCP
// handshake completes at the relay without latency, so relay waits for one round
// trip before it connects.
func (r *tcpRelay) relay(ctx context.Context, caller *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer caller.Close()
	from := r.links.hostAt(caller.RemoteAddr())
	forward, back := r.links.path(from, r.host), r.links.path(r.host, from)
	if r.links.waitUncut(ctx, forward) != nil || r.links.waitUncut(ctx, back) != nil {
		return
	}
	if sleepUntil(ctx, time.Now().Add(forward.latency+back.latency)) != nil {
		return
	}
	host, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = caller.SetLinger(0)
		return
	}
	defer host.Close()
	done := make(chan bool, 2)
	go func() { done <- r.links.copy(ctx, forward, caller, host.(*net.TCPConn)) }()
	go func() { done <- r.links.copy(ctx, back, host.(*net.TCPConn), caller) }()
	// EOF closes one direction only. An error closes both.
	for range 2 {
		select {
		case eof := <-done:
			if !eof {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// waitUncut waits until no rule cuts the path. Error: ctx.Err().
func (l *Links) waitUncut(ctx context.Context, p *path) error {
	for {
		v := l.conditions(p)
		if !v.cut {
			return nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// copy forwards one direction of a connection in order and with delay. It reports
// whether the direction ended with EOF.
func (l *Links) copy(ctx context.Context, p *path, from, to *net.TCPConn) bool {
	queue := make(chan delayedData, tcpQueue)
	eof := make(chan bool, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		eof <- l.readSegments(ctx, p, from, queue)
		close(queue)
	}()
	for segment := range queue {
		if sleepUntil(ctx, segment.due) != nil || l.waitUncut(ctx, p) != nil {
			return false
		}
		if _, err := to.Write(segment.data); err != nil {
			return false
		}
	}
	if !<-eof || sleepUntil(ctx, time.Now().Add(p.latency)) != nil {
		_ = to.SetLinger(0)
		return false
	}
	_ = to.CloseWrite()
	return true
}

// readSegments queues what it reads from a connection, and reports whether the
// connection ended with EOF.
func (l *Links) readSegments(ctx context.Context, p *path, from *net.TCPConn, queue chan<- delayedData) bool {
	buf := make([]byte, segmentBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- l.newSegment(p, buf[:n]):
			case <-ctx.Done():
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

func (l *Links) newSegment(p *path, data []byte) delayedData {
	p.tcpBytes.Add(int64(len(data)))
	v := l.conditions(p)
	if v.lost {
		v.delay += retransmitDelay
	}
	return delayedData{time.Now().Add(v.delay), append([]byte(nil), data...)}
}
