// Package router assembles a router from its components: membership, scheduling
// cells, configuration, records, and the handlers for callers and operators.
// The daemon lacewingd runs it.
package router

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/entry"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/settings"
	"github.com/lacewingshift/lacewingshift/upstream"
)

// Errors of this package.
var (
	ErrListen = eris.New("cannot listen on address")
	ErrKeys   = eris.New("cannot load keys")
)

const (
	// maxEvents is the number of events that the timeline keeps. At about 250 bytes
	// each they take 8 MB of the 256 MB that a router may use.
	maxEvents = 32_768
	// acceptWhileLeaving is how long a leaving router still accepts new requests:
	// for that time, callers may have it in a cached response of /v1/entries.
	acceptWhileLeaving = entry.EntriesLifetime
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	closeTimeout       = 5 * time.Second
	maxHeaderBytes     = 32 << 10
)

// Router is one router of the fleet.
type Router struct {
	settings       settings.Settings
	logger         *log.Logger
	events         *event.Log
	quic           *peer.QUIC
	objects        *objectapi.Client
	cells          *cells
	members        *members
	lists          *lists
	hosts          *hosts
	records        *intent.Store
	client         *upstream.Client // for calls to upstreams
	handler        *entry.Handler
	callerListener net.Listener
	adminListener  net.Listener
	started        time.Time
	drainRequested chan struct{} // Drain was called
	viewRequested  chan struct{} // the cells need a new view

	ctx    context.Context
	cancel context.CancelFunc
}

// New opens the listeners and creates the components, which Run starts. Its errors
// are ErrListen and ErrKeys.
func New(s settings.Settings, logger *log.Logger) (*Router, error) {
	identity, err := s.Identity()
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	secret, err := s.ResumeSecret()
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	r := &Router{
		settings: s, logger: logger, started: time.Now(),
		drainRequested: make(chan struct{}, 1), viewRequested: make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.events = event.NewLog(s.Host, maxEvents, event.NewClock(nil))
	if err := r.listen(identity); err != nil {
		r.cancel()
		return nil, err
	}
	r.build(secret)
	return r, nil
}

func (r *Router) listen(identity peer.Identity) error {
	socket, err := net.ListenPacket("udp", r.settings.Listen.Peer)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	r.quic = peer.NewQUIC(r.settings.Host, identity, r.events.Clock(), socket)
	if r.callerListener, err = net.Listen("tcp", r.settings.Listen.Caller); err != nil {
		socket.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	if r.adminListener, err = net.Listen("tcp", r.settings.Listen.Admin); err != nil {
		socket.Close()
		r.callerListener.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	return nil
}

// partLogger returns the logger of a component.
func (r *Router) partLogger(name string) *log.Logger { return r.logger.WithPrefix(name) }

// build creates the components and connects them.
func (r *Router) build(secret []byte) {
	s := r.settings
	r.objects = objectapi.NewClient(s.Platform.ObjectsURL, objectapi.Options{})
	r.hosts = newHosts(objectapi.NewClient(s.Platform.HostsURL, objectapi.Options{}), r.partLogger("hosts"))
	r.hosts.onChange = r.hostsChanged
	r.buildMembers()
	r.lists = newLists(r.ctx, config.NewReplica(s.Host, s.Region), r.objects, r.quic, r.partLogger("config"))
	r.lists.onChange = r.requestView
	r.lists.onConfirmedAge = r.members.setConfig
	r.members.onReachability = func(reachable, known int) { r.lists.reachability.Store(&reachability{reachable, known}) }
	r.members.config = r.lists.report
	node := cell.NewNode(cell.Config{
		Host: s.Host, Region: s.Region, Incarnation: r.cellIncarnation(), Policy: policy(s.Policy),
	})
	r.cells = newCells(r.ctx, node, r.quic, r.events, r.hosts.lookup)
	r.records = r.buildRecords()
	r.client = upstream.NewClient(net.ParseIP(s.DialFrom))
	r.handler = entry.NewHandler(entry.Options{
		Host:      s.Host,
		Region:    s.Region,
		Directory: &directory{lists: r.lists, hosts: r.hosts, members: r.members},
		Scheduler: r.cells,
		Records:   r.records,
		Client:    r.client,
		Signer:    reply.NewSigner(secret),
		Events:    r.events,
		ReleaseAt: r.releaseAt,
	})
	r.quic.Handle(peer.PartCell, peer.Handler{OnMessage: r.cells.receive})
	r.quic.Handle(peer.PartMember, peer.Handler{OnMessage: r.members.receive})
	r.quic.Handle(peer.PartConfig, peer.Handler{OnRequest: r.lists.handleRequest})
	r.quic.Handle(peer.PartIntent, peer.Handler{OnRequest: r.records.Handle})
	r.quic.Handle(peer.PartEntry, peer.Handler{OnRequest: r.handleRelease})
}

func policy(name string) dispatch.Policy {
	p := dispatch.DefaultPolicy()
	p.Kind = dispatch.Kind(name)
	return p
}

// cellIncarnation returns the incarnation for the cells, which is unique among all runs
// of all hosts.
func (r *Router) cellIncarnation() string {
	return r.settings.Host + "/" + strconv.FormatInt(r.started.UnixMicro(), 36)
}

// memberIncarnation returns the incarnation number for the membership, which is the
// start time in milliseconds. A later run of this host has a higher one.
func (r *Router) memberIncarnation() uint64 { return uint64(r.started.UnixMilli()) }

func (r *Router) buildMembers() {
	s := r.settings
	node := member.NewNode(member.Config{Self: member.Member{
		Host: s.Host, Region: s.Region, DataCentre: s.DataCentre,
		Address: s.Advertise.Caller, PeerAddress: s.Advertise.Peer, AdminAddress: s.Advertise.Admin,
		Incarnation: r.memberIncarnation(),
	}}, uint64(r.started.UnixNano()))
	r.members = newMembers(r.ctx, node, r.quic, r.events)
	r.members.onChange = r.membersChanged
	r.hosts.onUnchanged = r.members.setHosts
}

func (r *Router) hostsChanged(table *hostTable) {
	r.refreshAddresses()
	r.members.setHosts(table.all)
	r.requestView()
}

func (r *Router) membersChanged() {
	r.refreshAddresses()
	r.lists.setRouters(*r.members.live.Load())
	r.requestView()
}

// refreshAddresses gives the transport the addresses of the peers. Those from the
// membership have incarnations and take precedence; the host list adds routers that
// the membership does not know yet.
func (r *Router) refreshAddresses() {
	addresses := map[string]peer.Address{}
	for _, h := range r.hosts.table.Load().all {
		if h.Kind == objectapi.HostRouter && h.PeerAddress != "" {
			addresses[h.ID] = peer.Address{UDP: h.PeerAddress}
		}
	}
	for _, m := range *r.members.all.Load() {
		if m.PeerAddress != "" {
			addresses[m.Host] = peer.Address{UDP: m.PeerAddress, Incarnation: m.Incarnation}
		}
	}
	delete(addresses, r.settings.Host)
	r.quic.SetAddresses(addresses)
}

// requestView requests a new view for the cells. It never blocks.
func (r *Router) requestView() {
	select {
	case r.viewRequested <- struct{}{}:
	default:
	}
}

// viewDelay is the wait before a new view is made, so that changes that come together,
// such as the loss of a data centre, result in one view. It is short compared with the
// 3.5 s until a loss is detected.
const viewDelay = 20 * time.Millisecond

// updateViews gives the cells a new view after changes, until ctx ends.
func (r *Router) updateViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.viewRequested:
		}
		_ = pause.For(ctx, viewDelay)
		r.cells.setView(r.view())
	}
}

// view returns the current members, upstreams and limits.
func (r *Router) view() cell.View {
	view := cell.View{
		Upstreams: r.hosts.table.Load().upstreams,
		Limits:    r.lists.current.Load().limits,
	}
	for _, m := range *r.members.live.Load() {
		view.Routers = append(view.Routers, cell.Router{
			Host: m.Host, Region: m.Region, Leaving: m.State == member.Leaving,
		})
	}
	return view
}

// releaseAt implements entry.Options.ReleaseAt.
func (r *Router) releaseAt(ctx context.Context, host, request string) error {
	_, err := r.quic.Call(ctx, host, peer.PartEntry, []byte(request))
	return err
}

// handleRelease handles the call of releaseAt on another router.
func (r *Router) handleRelease(_ context.Context, _ string, body []byte) ([]byte, error) {
	r.handler.Release(string(body))
	return nil, nil
}

// Drain makes the router leave the fleet, as does the end of the context of Run.
func (r *Router) Drain() {
	select {
	case r.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends or Drain is called, and then leaves the fleet: the router
// is removed from /v1/entries, hands its cells over, waits for the requests in
// progress and returns.
func (r *Router) Run(ctx context.Context) error {
	defer r.close()
	if err := r.quic.Start(); err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	group, groupCtx := errgroup.WithContext(r.ctx)
	group.Go(func() error { return r.cells.loop.run(groupCtx) })
	group.Go(func() error { return r.members.loop.run(groupCtx) })
	group.Go(func() error { return r.lists.loop.run(groupCtx) })
	group.Go(func() error { return r.lists.run(groupCtx) })
	group.Go(func() error { return r.lists.runWatch(groupCtx) })
	group.Go(func() error { return r.hosts.run(groupCtx) })
	group.Go(func() error { return r.updateViews(groupCtx) })
	callerServer := newServer(r.handler)
	adminServer := newServer(r.adminHandler())
	group.Go(func() error { return serve(callerServer, r.callerListener) })
	group.Go(func() error { return serve(adminServer, r.adminListener) })
	r.partLogger("router").Info("router started", "host", r.settings.Host, "caller", r.settings.Listen.Caller,
		"admin", r.settings.Listen.Admin, "peer", r.settings.Listen.Peer)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-r.drainRequested:
		case <-groupCtx.Done():
			return nil
		}
		r.drain(callerServer, adminServer)
		return nil
	})
	return group.Wait()
}

// drain leaves the fleet and then stops the components.
func (r *Router) drain(callerServer, adminServer *http.Server) {
	logger := r.partLogger("router")
	logger.Info("router is leaving the fleet", "in_progress", r.handler.InProgress())
	r.members.leave(false)
	r.cells.leave()
	_ = pause.For(r.ctx, acceptWhileLeaving)
	_ = r.handler.Drain(r.ctx)
	r.flushRecords()
	logger.Info("all requests have ended")
	r.members.leave(true)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = callerServer.Shutdown(ctx)
	_ = adminServer.Shutdown(ctx)
	r.cancel()
}

func (r *Router) close() {
	r.cancel()
	r.callerListener.Close()
	r.adminListener.Close()
	_ = r.quic.Close()
	r.client.Close()
	r.objects.Close()
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(ErrListen, err.Error())
	}
	return nil
}
