package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/lacewingshift/lacewingshift/ledger"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// defaultMemory is the memory in bytes of a host that states none.
	defaultMemory = 240 << 20
	// callerMemoryRatio and callerFileRatio are the parts of a router's memory and
	// descriptors that callers may hold. The rest is for connections between routers and
	// to the store, idle connections to upstreams, and garbage that is not collected yet.
	callerMemoryRatio = 0.25
	callerFileRatio   = 0.6
	// reserveRatio is what the router's own services may hold, as a part of what callers may
	// hold, and minReservedFiles its least number of descriptors.
	reserveRatio     = 0.2
	minReservedFiles = 8
	// addressPart and workspacePart are the largest parts that one address and one workspace
	// may hold. That of an address is larger, as many workspaces may call from one.
	addressPart   = 0.9
	workspacePart = 0.7
	// minStall is the time without minProgress bytes from which a connection may be closed
	// for others.
	minStall    = 250 * time.Millisecond
	minProgress = 1 << 10
	// servingBytes and servingFiles are the cost of a request while it is sent to an
	// upstream: the connection with its goroutines and buffers.
	servingBytes = 24 << 10
	servingFiles = 1
	// drainTimeout bounds reading the rest of a request that is answered already.
	drainTimeout = 500 * time.Millisecond
	// maxClosing is the number of connections that were closed for others and have not ended
	// from which new ones have to wait, at most for closingWait.
	maxClosing  = 16
	closingWait = 50 * time.Millisecond
	// lastWriteTimeout bounds the refusal that a connection gets which is closed for others.
	lastWriteTimeout = 200 * time.Millisecond
	// closedLinesPerSecond and closedLinesBurst bound the log lines about connections.
	closedLinesPerSecond = 5
	closedLinesBurst     = 20
)

// closeKind is why a connection of a caller is refused or closed.
type closeKind string

// Kinds, used in a metric and in log lines.
const (
	refusedAtAccept closeKind = "refused"
	noRoomForHead   closeKind = "no room for head"
	closedForOthers closeKind = "closed for others"
	headTooSlow     closeKind = "head not in time"
	bodyTooSlow     closeKind = "body not in time"
	answerUnread    closeKind = "answer not read"
)

// guard bounds what the connections of all listeners hold. A nil guard admits everything. It
// is safe for concurrent use.
type guard struct {
	writeTimeout time.Duration
	timeouts     func() callerTimeouts
	logger       *log.Logger
	admitLine    func() bool
	lines        *rate.Limiter
	count        func(closeKind)

	mu          sync.Mutex
	ledger      *ledger.Ledger
	connections map[*ledger.Account]*callerConnection
	closing     int           // connections that were closed for others and have not ended
	ended       chan struct{} // receives a value after one of them has ended
}

// callerTimeouts are the times that callers may take.
type callerTimeouts struct{ header, idle time.Duration }

// timeoutsOf returns the times of a configuration.
func timeoutsOf(config platform.Config) callerTimeouts {
	if config.Table == nil {
		return callerTimeouts{platform.DefaultHeaderTimeout, platform.DefaultIdleTimeout}
	}
	return callerTimeouts{config.Limits.HeaderTimeout, config.Limits.IdleTimeout}
}

// newGuard returns the guard of a router.
func newGuard(s platform.Settings, timeouts func() callerTimeouts, metrics *requestMetrics, logger *log.Logger, admitLine func() bool) *guard {
	return &guard{
		writeTimeout: s.Callers.WriteTimeout, timeouts: timeouts, logger: logger, admitLine: admitLine,
		lines: rate.NewLimiter(closedLinesPerSecond, closedLinesBurst), count: metrics.cutOff,
		ledger: ledger.New(callerLimits(s)), connections: map[*ledger.Account]*callerConnection{},
		ended: make(chan struct{}, 1),
	}
}

// callerLimits returns what callers may hold on a host with the given settings.
func callerLimits(s platform.Settings) ledger.Limits {
	memory := s.MemoryLimit
	if memory <= 0 {
		memory = defaultMemory
	}
	limits := ledger.Limits{AddressPart: addressPart, WorkspacePart: workspacePart, MinStall: minStall, MinProgress: minProgress}
	limits.Bytes = int64(callerMemoryRatio * float64(memory))
	if s.Callers.Memory > 0 {
		limits.Bytes = s.Callers.Memory
	}
	limits.Descriptors = int(callerFileRatio * float64(s.FileLimit))
	if s.Callers.Files > 0 {
		limits.Descriptors = s.Callers.Files
	}
	limits.Reserve.Bytes = int64(reserveRatio * float64(limits.Bytes))
	limits.Reserve.Descriptors = max(int(reserveRatio*float64(limits.Descriptors)), minReservedFiles)
	return limits
}

// listener returns a listener whose connections are those of a service of the router.
func (g *guard) listener(l net.Listener) net.Listener { return &serviceListener{Listener: l, guard: g} }

// serviceListener accepts connections to a service of the router.
type serviceListener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener.
func (l *serviceListener) Accept() (net.Conn, error) {
	for {
		tcp, err := acceptTCP(l.Listener)
		if err != nil {
			return nil, err
		}
		c := &callerConnection{TCPConn: tcp, guard: l.guard}
		if l.guard.admit(c, true) {
			return c, nil
		}
		c.Close()
	}
}

// admit opens the account of a new connection and reports whether there is room for it.
func (g *guard) admit(c *callerConnection, service bool) bool {
	if g == nil {
		return true
	}
	_ = c.TCPConn.SetWriteBuffer(sendBuffer) // an error means that the connection has ended
	address := callerAddress(c)
	fewClosing := g.awaitClosing()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !fewClosing {
		g.note(refusedAtAccept, address, ledger.Usage{}, 0)
		return false
	}
	account, closed, reason := g.ledger.Open(now, address, service, connectionUsage)
	g.end(now, closed)
	if reason != "" {
		g.note(refusedAtAccept, address, ledger.Usage{}, 0)
		return false
	}
	c.account = account
	g.connections[account] = c
	c.limitReading(now, g.timeouts().idle)
	return true
}

// awaitClosing waits until most connections that were closed for others have ended, as they
// hold descriptors and memory until then. It reports whether that is so.
func (g *guard) awaitClosing() bool {
	timer := time.NewTimer(closingWait)
	defer timer.Stop()
	for {
		g.mu.Lock()
		few := g.closing < maxClosing
		g.mu.Unlock()
		if few {
			return true
		}
		select {
		case <-g.ended:
		case <-timer.C:
			return false
		}
	}
}

// forget removes a connection that has ended.
func (g *guard) forget(c *callerConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.account == nil || c.ended {
		return
	}
	c.ended = true
	g.ledger.Close(c.account)
	delete(g.connections, c.account)
	if !c.evicted.Load() {
		return
	}
	g.closing--
	select {
	case g.ended <- struct{}{}:
	default:
	}
}

func callerAddress(c *callerConnection) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return c.RemoteAddr().String()
}

// end ends connections that were closed in the ledger. One whose request is being read gets a
// refusal, as its goroutine sees a timeout. The caller must hold mu.
func (g *guard) end(now time.Time, closed []*ledger.Account) {
	for _, a := range closed {
		c := g.connections[a]
		delete(g.connections, a)
		c.evicted.Store(true)
		g.closing++
		// Errors mean that the connection has ended.
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		_ = c.TCPConn.SetWriteDeadline(now.Add(lastWriteTimeout))
		if a.Phase == ledger.Waiting || c.inHead || c.answerSent {
			_ = c.TCPConn.Close()
		}
		g.note(closedForOthers, a.Address, a.Used, now.Sub(a.Since), "phase", a.Phase)
	}
}

// note counts a refused or closed connection and writes a log line, unless there are many.
func (g *guard) note(kind closeKind, address string, held ledger.Usage, idle time.Duration, details ...any) {
	g.count(kind)
	if g.lines.Allow() && g.admitLine() {
		g.logger.Warn("caller is cut off", append([]any{"kind", kind, "caller", address,
			"held_bytes", held.Bytes, "idle", idle.Round(time.Millisecond)}, details...)...)
	}
}

// stateChanged implements the hook ConnState of http.Server.
func (g *guard) stateChanged(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*callerConnection); ok && g != nil && state == http.StateIdle {
		c.wait()
	}
}

// handler returns a handler that accounts for the requests of next.
func (g *guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		if c == nil || c.guard == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.begin(r)
		next.ServeHTTP(w, r)
		c.answered(r)
	})
}

// held returns what all connections hold and their number.
func (g *guard) held() (ledger.Usage, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used()
}
