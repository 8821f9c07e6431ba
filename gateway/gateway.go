package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/overload"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/shutdown"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// ErrListen reports an address that cannot be listened on.
var ErrListen = eris.New("cannot listen on address")

const (
	// refuseAfterRatio and exitMargin divide the time given to a stopping router:
	// after refuseAfterRatio of it callers have learnt of other routers, and the
	// router exits exitMargin before it would be killed.
	refuseAfterRatio = 0.375
	exitMargin       = 600 * time.Millisecond
	// lastAnswersTimeout bounds the answers to requests that are being read or are in
	// progress when the router exits. It is part of exitMargin. Those that upstreams
	// still work on in the last giveUpTimeout of it are given up and answered.
	lastAnswersTimeout = 300 * time.Millisecond
	giveUpTimeout      = 150 * time.Millisecond
	lastAnswersPoll    = 2 * time.Millisecond
	// closeTimeout bounds closing the connections to other routers.
	closeTimeout = 100 * time.Millisecond
	// quietPeriod is the time without new requests after which an idle router exits
	// early.
	quietPeriod = 600 * time.Millisecond
	// stopPollInterval is the time between checks whether a stopping router may exit.
	stopPollInterval = 25 * time.Millisecond

	// Limits of the router's HTTP servers.
	// Those of the time to receive a head and between requests are the guard's.
	maxHeaderBytes = 64 << 10
)

// Options holds settings of a gateway that do not come from the platform.
type Options struct {
	// MetricsAddress is the listen address of /metrics; empty disables it.
	MetricsAddress string
	// AdmitLogLine reports whether one more log line about a request may be
	// written; nil admits all.
	AdmitLogLine func() bool
}

// Gateway is one router on the platform.
type Gateway struct {
	settings     platform.Settings
	logger       *log.Logger
	store        *platform.Store
	feed         *platform.Feed
	config       *versioned.Latest[platform.Config]
	upstreams    *versioned.Latest[*versioned.Roster]
	evacuations  *evacuations // nil without them
	pools        *pools
	exchange     *exchange
	regionFaults *regionFaults
	transport    *peer.QUIC
	handler      *Handler
	guard        *guard // of what callers hold
	listeners    []net.Listener
	intake       *intakeListener // one of listeners, for callers
	callerServer *http.Server
	otherServers []*http.Server // for readiness, lookups and metrics
	giveUp       func()         // ends the attempts in progress when the router exits

	mu              sync.Mutex
	machine         *shutdown.Machine
	openConnections atomic.Int64
	configured      atomic.Bool                           // placement has had a configuration and upstreams
	registration    atomic.Pointer[platform.Registration] // nil before the first one
}

// New creates a gateway and opens its listeners. Errors: ErrListen.
func New(s platform.Settings, options Options, logger *log.Logger) (*Gateway, error) {
	now := time.Now()
	g := &Gateway{
		settings: s, logger: logger,
		store:     platform.NewStore(s.StoreAddress),
		config:    versioned.NewLatest[platform.Config](),
		upstreams: versioned.NewLatest[*versioned.Roster](),
		machine: shutdown.New(shutdown.Timing{
			RefuseAfter: time.Duration(refuseAfterRatio * float64(s.Bounds.Grace)),
			ExitAfter:   s.Bounds.Grace - exitMargin,
			QuietPeriod: quietPeriod,
		}),
	}
	if options.AdmitLogLine == nil {
		options.AdmitLogLine = func() bool { return true }
	}
	location := placement.Location{DataCentre: s.DataCentre, Region: s.Region}
	retryLimits := budget.Limits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
	g.pools = newPools(location, s.Regions, retryLimits, s.Bounds.ShareWindow, now)
	g.regionFaults = &regionFaults{logger: logger.WithPrefix("regions"), deployed: g.pools.deployed}
	g.pools.cold = newColdUpstreams(s)
	metrics := newRequestMetrics()
	g.evacuations = newEvacuations(s.Bounds.Evacuate, s.Regions, g.pools, logger.WithPrefix("evacuation"))
	if err := g.buildExchange(now, metrics); err != nil {
		return nil, err
	}
	g.feed = platform.NewFeed(g.store, g.config, g.upstreams, g.exchange, logger.WithPrefix("store"))
	g.exchange.feed = g.feed
	exit, giveUp := context.WithCancel(context.Background())
	g.giveUp = giveUp
	timeouts := func() callerTimeouts { return timeoutsOf(g.config.Get().Value) }
	g.guard = newGuard(s, timeouts, metrics, logger.WithPrefix("callers"), options.AdmitLogLine)
	g.handler = &Handler{
		exit:   exit,
		config: g.config, pools: g.pools, logger: logger.WithPrefix("request"), admitLine: options.AdmitLogLine, metrics: metrics,
		stopState: g.state, requestArrived: g.requestArrived,
		routers: func() int { return len(g.exchange.ready()) }, manyConnections: g.manyConnections, mayAct: g.exchange.mayAct, evacuations: g.evacuations, triggerReport: g.exchange.triggerReport, upstreamConnections: map[string]*connections{}, gate: overload.NewGate(),
	}
	g.addGauges()
	g.evacuations.addGauge(metrics)
	return g, g.listen(options)
}

func (g *Gateway) addGauges() {
	m := g.handler.metrics
	m.gauge("lacewing_requests_in_progress", func() float64 { return float64(g.handler.inProgress.Load()) })
	m.gauge("lacewing_caller_connections", func() float64 { return float64(g.openConnections.Load()) })
	m.gauge("lacewing_callers_held_bytes", func() float64 { held, _ := g.guard.held(); return float64(held.Bytes) })
	m.gauge("lacewing_callers_held_descriptors", func() float64 { held, _ := g.guard.held(); return float64(held.Descriptors) })
	m.gauge("lacewing_config_version", func() float64 { return float64(g.config.Get().Version) })
	m.gauge("lacewing_store_calls", func() float64 { return float64(g.store.Calls()) })
	m.gauge("lacewing_store_era", func() float64 { return float64(g.feed.Era()) })
	m.gauge("lacewing_store_age_seconds", func() float64 { return g.exchange.storeAge(time.Now()).Seconds() })
	m.gauge("lacewing_parts_suspected", func() float64 { suspected, _ := g.pools.quarantineCounts(); return float64(suspected) })
	m.gauge("lacewing_parts_barred", func() float64 { _, barred := g.pools.quarantineCounts(); return float64(barred) })
	g.pools.addColdGauges(m)
	m.gauge("lacewing_region_faults", func() float64 { return float64(g.regionFaults.count.Load()) })
	m.gauge("lacewing_routers_ready", func() float64 { return float64(len(g.exchange.ready())) })
}

func (g *Gateway) buildExchange(now time.Time, metrics *requestMetrics) error {
	s := g.settings
	socket, err := net.ListenPacket("udp", s.PeerAddress)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	identity, err := peer.SelfSigned(s.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "create peer certificate")
	}
	self := fleet.Record{
		Host: s.PeerAddress, Incarnation: uint64(now.UnixMicro()), State: fleet.Starting,
		CallerAddress: s.CallerAddress, DataCentre: s.DataCentre, Region: s.Region,
	}
	g.transport = peer.NewQUIC(s.PeerAddress, identity, event.NewClock(nil), socket)
	g.exchange = &exchange{
		transport: g.transport, config: g.config, upstreams: g.upstreams, evacuations: g.evacuations, pools: g.pools,
		dataCentre: s.DataCentre, region: s.Region, logger: g.logger.WithPrefix("fleet"), reportNow: make(chan struct{}, 1), missingDropped: make(chan struct{}, 1), sentBytes: metrics.sentToRouter,
		table: fleet.NewTable(self, s.SeedAddresses, now), live: map[string]fleet.State{}, fetching: map[item]bool{},
	}
	g.transport.Handle(peer.PartFleet, peer.Handler{OnMessage: g.exchange.receive, OnRequest: g.exchange.serveFetch})
	return nil
}

// manyConnections reports whether callers hold a large part of the descriptors.
func (g *Gateway) manyConnections() bool {
	limit := openConnectionsRatio * float64(g.settings.FileLimit)
	return limit > 0 && float64(g.openConnections.Load()) > limit
}

func (g *Gateway) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.openConnections.Add(-1)
	}
}

// Run serves until ctx ends, then shuts down within the grace period of the
// settings.
func (g *Gateway) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.exchange.ctx = runCtx
	if err := g.transport.Start(); err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return g.exchange.run(runCtx) })
	group.Go(func() error { return g.feed.RunConfig(runCtx) })
	group.Go(func() error { return g.feed.RunUpstreams(runCtx) })
	g.followEvacuations(runCtx, group)
	group.Go(func() error { return g.applyUpdates(runCtx) })
	group.Go(func() error { return g.keepRegistered(runCtx) })
	group.Go(func() error { return g.exchange.keepBarredParts(runCtx) })
	group.Go(func() error { return g.permitKeeper().run(runCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.stop(runCtx)
		case <-runCtx.Done():
		}
		cancel()
		return nil
	})
	g.logger.Info("router started", "host", g.settings.Host, "caller", g.settings.CallerAddress,
		"peer", g.settings.PeerAddress, "store", g.settings.StoreAddress, "seeds", len(g.settings.SeedAddresses))
	err := group.Wait()
	g.logger.Info("router exits", "in_progress", g.handler.inProgress.Load())
	g.close()
	return err
}

// close closes listeners and connections. Routers that do not respond must not keep
// the process alive beyond its grace period.
func (g *Gateway) close() {
	g.closeCallers()
	for _, listener := range g.listeners {
		listener.Close()
	}
	for _, server := range g.otherServers {
		server.Close()
	}
	g.store.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if err := g.transport.Close(); err != nil {
			g.logger.Warn("closing the peer transport failed", "err", err)
		}
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
}

// closeCallers stops accepting connections, once those that wait have been accepted,
// and lets requests that are being read or are in progress end, all within
// lastAnswersTimeout.
func (g *Gateway) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	defer time.AfterFunc(lastAnswersTimeout-giveUpTimeout, g.giveUp).Stop()
	for g.intake.hasQueued() && ctx.Err() == nil {
		_ = pause.For(ctx, lastAnswersPoll)
	}
	g.intake.Close()
	g.callerServer.SetKeepAlivesEnabled(false) // closes idle connections
	for g.openConnections.Load() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, lastAnswersPoll)
	}
	if left := g.openConnections.Load(); left > 0 {
		g.logger.Warn("connections are closed at exit", "in_progress", g.handler.inProgress.Load(), "connections", left)
	}
	g.callerServer.Close()
}

// applyUpdates passes new versions of the configuration and the upstreams to
// placement.
func (g *Gateway) applyUpdates(ctx context.Context) error {
	for {
		configChanged, upstreamsChanged := g.config.Changed(), g.upstreams.Changed()
		config, upstreams := g.config.Get(), g.upstreams.Get()
		g.regionFaults.check(config.Value.Table)
		if config.Version > 0 && upstreams.Value != nil {
			now := time.Now()
			g.pools.configure(now, config.Value.Table, g.exchange.use(now, upstreams).Service)
			g.configured.Store(true)
			g.announceReady()
		}
		g.exchange.triggerReport()
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-upstreamsChanged:
		case <-g.exchange.missingDropped:
		}
	}
}

func (g *Gateway) state() shutdown.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.State(time.Now(), int(g.handler.inProgress.Load()), int(g.openConnections.Load()))
}

func (g *Gateway) requestArrived() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.RequestArrived(time.Now())
}

// stop takes the router out of the fleet and waits for requests in progress.
func (g *Gateway) stop(ctx context.Context) {
	g.mu.Lock()
	g.machine.Stop(time.Now())
	g.mu.Unlock()
	g.exchange.setState(fleet.Leaving)
	g.logger.Info("router stops", "in_progress", g.handler.inProgress.Load(), "connections", g.openConnections.Load())
	go g.unregister()
	refusing := false
	for state := g.state(); state != shutdown.Done && ctx.Err() == nil; state = g.state() {
		if state == shutdown.Refusing && !refusing {
			refusing = true
			g.callerServer.SetKeepAlivesEnabled(false)
			g.logger.Info("refusing new requests", "in_progress", g.handler.inProgress.Load(), "connections", g.openConnections.Load())
		}
		_ = pause.For(ctx, stopPollInterval)
	}
}
