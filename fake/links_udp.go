package fake

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	maxPacketBytes = 64 << 10
	// flowQueue is the maximum number of packets in flight in one direction of a
	// flow. More are dropped, as by a full switch queue.
	flowQueue = 4096
	// socketBuffer is the size in bytes of the receive buffer of the relay's
	// sockets. The usual default of about 200 KB drops packets of QUIC bursts.
	socketBuffer = 4 << 20
	// flowIdle is the idle time after which a flow is closed.
	flowIdle = 60 * time.Second
)

// udpRelay forwards the packets to one UDP port of a host, and the replies.
type udpRelay struct {
	links    *Links
	host     LinkHost
	target   *net.UDPAddr
	listener *net.UDPConn

	mu    sync.Mutex
	flows map[string]*udpFlow
}

// udpFlow is the traffic between one sender address and the host. Each flow has
// its own socket to the host, as in NAT, so that the host can tell senders apart
// and reply to them.
type udpFlow struct {
	relay   *udpRelay
	key     string
	sender  net.Addr
	socket  *net.UDPConn
	forward *delayLine
	back    *delayLine
}

func newUDPRelay(links *Links, host LinkHost, port int) (*udpRelay, error) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host.RelayIP), Port: port})
	if err != nil {
		return nil, err
	}
	_ = listener.SetReadBuffer(socketBuffer)
	return &udpRelay{
		links:    links,
		host:     host,
		target:   &net.UDPAddr{IP: net.ParseIP(host.IP), Port: port},
		listener: listener,
		flows:    map[string]*udpFlow{},
	}, nil
}

// run forwards packets until ctx ends.
func (r *udpRelay) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	buf := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		n, sender, err := r.listener.ReadFrom(buf)
		if err != nil {
			continue
		}
		if flow := r.flow(ctx, sender); flow != nil {
			flow.forward.send(append([]byte(nil), buf[:n]...))
		}
	}
	return nil
}

func (r *udpRelay) flow(ctx context.Context, sender net.Addr) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sender.String()
	if flow := r.flows[key]; flow != nil {
		return flow
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	_ = socket.SetReadBuffer(socketBuffer)
	flow := &udpFlow{relay: r, key: key, sender: sender, socket: socket}
	from := r.links.hostAt(sender)
	flow.forward = newDelayLine(r.links, r.links.path(from, r.host), func(packet []byte) {
		_, _ = socket.Write(packet)
	})
	flow.back = newDelayLine(r.links, r.links.path(r.host, from), func(packet []byte) {
		_, _ = r.listener.WriteTo(packet, sender)
	})
	r.flows[key] = flow
	go flow.run(ctx)
	return flow
}

// run forwards the replies of the host until the flow is idle or ctx ends.
func (f *udpFlow) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.forward.run(ctx)
	go f.back.run(ctx)
	stop := context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	defer stop()
	buf := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		_ = f.socket.SetReadDeadline(time.Now().Add(flowIdle))
		n, err := f.socket.Read(buf)
		if err == nil {
			f.back.send(append([]byte(nil), buf[:n]...))
			continue
		}
		// Other errors, such as a refused packet while the host is down, do not
		// close the flow.
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && f.close() {
			return
		}
	}
}

// close removes the flow unless it was used within flowIdle, and reports whether
// it did.
func (f *udpFlow) close() bool {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	if f.forward.usedSince(time.Now().Add(-flowIdle)) {
		return false
	}
	delete(f.relay.flows, f.key)
	return true
}

// delayLine delivers the packets of a path in order after its latency.
type delayLine struct {
	links   *Links
	path    *path
	deliver func([]byte)
	queue   chan delayedData

	mu   sync.Mutex
	used time.Time // last call of send
}

// delayedData is a UDP packet or a TCP segment that is delivered at due.
type delayedData struct {
	due  time.Time
	data []byte
}

func newDelayLine(links *Links, p *path, deliver func([]byte)) *delayLine {
	return &delayLine{links: links, path: p, deliver: deliver, queue: make(chan delayedData, flowQueue), used: time.Now()}
}

// send queues a packet, or drops it if a rule says so or the queue is full.
func (d *delayLine) send(packet []byte) {
	now := time.Now()
	d.mu.Lock()
	d.used = now
	d.mu.Unlock()
	d.path.udpPackets.Add(1)
	d.path.udpBytes.Add(int64(len(packet)))
	v := d.links.conditions(d.path)
	if v.cut || v.lost {
		d.path.udpLost.Add(1)
		return
	}
	select {
	case d.queue <- delayedData{now.Add(v.delay), packet}:
	default:
		d.path.udpLost.Add(1)
	}
}

func (d *delayLine) usedSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used.After(at)
}

func (d *delayLine) run(ctx context.Context) {
	for {
		select {
		case packet := <-d.queue:
			if sleepUntil(ctx, packet.due) != nil {
				return
			}
			d.deliver(packet.data)
		case <-ctx.Done():
			return
		}
	}
}
