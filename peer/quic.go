package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/event"
)

const (
	protocolName = "lacewing-peer/1"
	// idleTimeout is how long a connection without traffic stays open.
	idleTimeout = 60 * time.Second
	// handshakeTimeout bounds a handshake, and also one write of queued messages.
	handshakeTimeout = 3 * time.Second
	// redialInterval is the minimum time between two dials of one peer, so that
	// an unreachable peer does not cost a handshake per message.
	redialInterval = 250 * time.Millisecond
	// coalesceTime is the minimum time between two writes to one peer, so that
	// messages queued within a millisecond share a packet.
	coalesceTime = time.Millisecond
	// queueLength is the number of messages that can wait for one peer. Further
	// messages are dropped.
	queueLength = 1024
	// maxStreams is the number of concurrent calls that one peer can make.
	maxStreams = 256
)

// Identity holds the certificate of this host and the certificate authority of the
// fleet. Without an authority, connections are encrypted but the host id in the
// certificate of a peer is not verified. Use that only in networks that nothing but
// routers can reach.
type Identity struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// Address is the address at which a peer listens, and the incarnation of the peer.
// When the incarnation changes, connections to the old one are closed.
type Address struct {
	UDP         string
	Incarnation uint64
}

// keepsConnections reports whether connections to old remain valid for a. An
// incarnation of zero is not known yet, as for a router that is in the host list but
// has not been heard.
func (a Address) keepsConnections(old Address) bool {
	return a.UDP == old.UDP && (old.Incarnation == 0 || a.Incarnation == old.Incarnation)
}

// QUIC is a Transport over QUIC. Peers authenticate by a certificate that was issued
// by the fleet's authority and has the host id as DNS name. See Identity for
// transports without an authority.
type QUIC struct {
	host          string
	identity      Identity
	clock         *event.Clock
	countedSocket *countingConn
	transport     *quic.Transport
	handlers      map[Part]Handler
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	// sent counts the body bytes of one-way messages by part.
	sent [len(partNames)]atomic.Int64

	strangers     atomic.Int64 // connections of strangers
	strangerBytes atomic.Int64 // of large messages of strangers that are being read

	mu        sync.Mutex
	addresses map[string]Address // by host id
	links     map[string]*link   // by host id
}

// NewQUIC returns a transport for host that uses socket. It exchanges no messages
// before Start.
func NewQUIC(host string, identity Identity, clock *event.Clock, socket net.PacketConn) *QUIC {
	counted := &countingConn{PacketConn: socket}
	ctx, cancel := context.WithCancel(context.Background())
	return &QUIC{
		host:          host,
		identity:      identity,
		clock:         clock,
		countedSocket: counted,
		transport:     &quic.Transport{Conn: counted},
		handlers:      map[Part]Handler{},
		ctx:           ctx,
		cancel:        cancel,
		addresses:     map[string]Address{},
		links:         map[string]*link{},
	}
}

// Handle registers the handler of a part. It must be called before Start.
func (q *QUIC) Handle(part Part, h Handler) { q.handlers[part] = h }

// Start starts to accept connections, until Close.
func (q *QUIC) Start() error {
	listener, err := q.transport.Listen(q.serverTLS(), &quic.Config{GetConfigForClient: q.configFor, HandshakeIdleTimeout: handshakeTimeout})
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	q.wg.Go(func() { q.accept(listener) })
	return nil
}

// Close closes all connections and waits until their goroutines have ended.
func (q *QUIC) Close() error {
	q.cancel()
	q.mu.Lock()
	for _, l := range q.links {
		l.close()
	}
	q.mu.Unlock()
	err := q.transport.Close()
	q.countedSocket.Close()
	q.wg.Wait()
	return err
}

// Traffic returns the traffic of the socket so far.
func (q *QUIC) Traffic() Traffic { return q.countedSocket.traffic() }

// SentByPart returns the body bytes of the one-way messages passed to Send so far,
// by part. They include messages that were dropped because a queue was full, but not
// those to unknown hosts.
func (q *QUIC) SentByPart() map[string]int64 {
	bytes := make(map[string]int64, len(partNames))
	for part, name := range partNames {
		if name != "" {
			bytes[name] = q.sent[part].Load()
		}
	}
	return bytes
}

// SetAddresses replaces the addresses of the known peers, by host id. It closes
// connections to hosts that were removed, moved or restarted.
func (q *QUIC) SetAddresses(addresses map[string]Address) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for host, old := range q.addresses {
		if current, ok := addresses[host]; ok && current.keepsConnections(old) {
			continue
		}
		if l := q.links[host]; l != nil {
			l.reset()
		}
	}
	q.addresses = addresses
}

// Send implements Transport.
func (q *QUIC) Send(to string, part Part, body []byte) {
	if l := q.link(to); l != nil {
		q.sent[part].Add(int64(len(body)))
		l.enqueue(frame{Part: part, Body: body})
	}
}

// Call implements Transport.
func (q *QUIC) Call(ctx context.Context, to string, part Part, request []byte) ([]byte, error) {
	l := q.link(to)
	if l == nil {
		return nil, ErrUnknownHost
	}
	conn, err := l.connection(ctx)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	answer, err := q.exchange(ctx, conn, frame{Part: part, At: q.clock.Now(), Body: request})
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if answer.Failed {
		return nil, eris.Wrap(ErrUnreachable, string(answer.Body))
	}
	return answer.Body, nil
}

// exchange sends a request on a new stream of conn and reads the answer.
func (q *QUIC) exchange(ctx context.Context, conn *quic.Conn, request frame) (frame, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return frame{}, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	encoded, err := appendFrame(nil, request)
	if err != nil {
		return frame{}, err
	}
	if _, err := stream.Write(encoded); err != nil {
		return frame{}, err
	}
	if err := stream.Close(); err != nil {
		return frame{}, err
	}
	answer, err := readFrame(bufio.NewReader(stream))
	if err != nil {
		return frame{}, err
	}
	q.clock.Observe(answer.At)
	return answer, nil
}

// link returns the link to a host, creating it if necessary. It returns nil if the
// host has no link yet and its address is unknown or the transport is closed.
func (q *QUIC) link(host string) *link {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.links[host]; l != nil {
		return l
	}
	if _, known := q.addresses[host]; !known || q.ctx.Err() != nil {
		return nil
	}
	return q.newLink(host)
}

// newLink creates and starts the link to a host. The caller must hold mu.
func (q *QUIC) newLink(host string) *link {
	ctx, end := context.WithCancel(q.ctx)
	l := &link{quic: q, host: host, queue: make(chan frame, queueLength), end: end}
	q.links[host] = l
	q.wg.Go(func() { l.run(ctx) })
	return l
}

// accept accepts connections and makes the links to their hosts use them.
func (q *QUIC) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(q.ctx)
		if err != nil {
			return
		}
		host := peerHost(conn)
		if host == "" {
			_ = conn.CloseWithError(0, "certificate names no host")
			continue
		}
		if !q.admitStranger(conn) {
			_ = conn.CloseWithError(0, "too many hosts that are not known")
			continue
		}
		q.mu.Lock()
		l := q.links[host]
		if l == nil && q.ctx.Err() == nil {
			l = q.newLink(host)
		}
		q.mu.Unlock()
		if l != nil {
			l.adopt(conn)
		}
		q.wg.Go(func() {
			q.serve(host, conn)
			q.dropLink(host, conn)
		})
	}
}

// serve handles the streams that the peer opens on conn: bidirectional ones carry a
// request each, unidirectional ones carry one-way messages.
func (q *QUIC) serve(host string, conn *quic.Conn) {
	q.wg.Go(func() {
		for {
			stream, err := conn.AcceptStream(q.ctx)
			if err != nil {
				return
			}
			q.wg.Go(func() { q.answer(host, conn, stream) })
		}
	})
	for {
		stream, err := conn.AcceptUniStream(q.ctx)
		if err != nil {
			return
		}
		q.wg.Go(func() { q.receive(host, conn, stream) })
	}
}

func (q *QUIC) receive(host string, conn *quic.Conn, stream *quic.ReceiveStream) {
	reader := bufio.NewReader(stream)
	for {
		f, err := readAdmittedFrame(reader, q.admitFrame(conn, stream))
		if err != nil {
			stream.CancelRead(0)
			return
		}
		q.clock.Observe(f.At)
		if handler := q.handlers[f.Part]; handler.OnMessage != nil {
			handler.OnMessage(host, f.Body)
		}
	}
}

// answer reads one request and sends the answer of its handler.
func (q *QUIC) answer(host string, conn *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	request, err := readAdmittedFrame(bufio.NewReader(stream), q.admitFrame(conn, stream))
	if err != nil {
		stream.CancelRead(0)
		return
	}
	q.clock.Observe(request.At)
	answer := frame{Part: request.Part}
	if handler := q.handlers[request.Part]; handler.OnRequest != nil {
		answer.Body, err = handler.OnRequest(stream.Context(), host, request.Body)
	} else {
		err = eris.Errorf("no receiver for part %d", request.Part)
	}
	if err != nil {
		answer.Failed = true
		answer.Body = []byte(err.Error())
	}
	answer.At = q.clock.Now()
	if encoded, err := appendFrame(nil, answer); err == nil {
		_, _ = stream.Write(encoded)
	}
}

func (q *QUIC) quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   maxStreams,
		DisablePathMTUDiscovery: true,
	}
}

func (q *QUIC) serverTLS() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{q.identity.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    q.identity.Authority,
		NextProtos:   []string{protocolName},
	}
	if q.identity.Authority == nil {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	return c
}

func (q *QUIC) clientTLS(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{q.identity.Certificate},
		RootCAs:      q.identity.Authority,
		ServerName:   host,
		NextProtos:   []string{protocolName},
		// Without an authority there is nothing to verify the peer against.
		InsecureSkipVerify: q.identity.Authority == nil,
	}
}

// peerHost returns the host id in the certificate of the peer, or "". Self-signed
// certificates have it as common name, because their host id is an address and not
// a DNS name.
func peerHost(conn *quic.Conn) string {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	if names := certificates[0].DNSNames; len(names) > 0 {
		return names[0]
	}
	return certificates[0].Subject.CommonName
}
