// Package router composes the parts of the fleet into one router. It is the
// library behind the daemon lacewingd.
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
	ErrListen = eris.New("an address cannot be listened on")
	ErrKeys   = eris.New("keys cannot be loaded")
)

const (
	// eventsKept is the number of events in the time line of one process; at
	// about 250 bytes each this is 8 MB of the 256 MB a router may use.
	eventsKept = 32_768
	// acceptWhileLeaving is how long a leaving router takes new work, because
	// callers may keep the answer of /v1/entries that long.
	acceptWhileLeaving = entry.EntriesLifetime
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	closeTimeout       = 5 * time.Second
	maxHeaderBytes     = 32 << 10
)

// Router is one router of the fleet.
type Router struct {
	settings settings.Settings
	logger   *log.Logger
	events   *event.Log
	quic     *peer.QUIC
	objects  *objectapi.Client
	cells    *cells
	members  *members
	lists    *lists
	hosts    *hosts
	records  *intent.Store
	client   *upstream.Client
	handler  *entry.Handler
	caller   net.Listener
	admin    net.Listener
	started  time.Time
	leave    chan struct{}
	viewDue  chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
}

// New opens the listeners and builds the parts. Run starts them. Errors:
// ErrListen, ErrKeys.
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
		leave: make(chan struct{}, 1), viewDue: make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.events = event.NewLog(s.Host, eventsKept, event.NewClock(nil))
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
	if r.caller, err = net.Listen("tcp", r.settings.Listen.Caller); err != nil {
		socket.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	if r.admin, err = net.Listen("tcp", r.settings.Listen.Admin); err != nil {
		socket.Close()
		r.caller.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	return nil
}

func (r *Router) part(name string) *log.Logger { return r.logger.WithPrefix(name) }

// build creates the parts and connects them.
func (r *Router) build(secret []byte) {
	s := r.settings
	r.objects = objectapi.NewClient(s.Platform.ObjectsURL, objectapi.Options{})
	r.hosts = newHosts(objectapi.NewClient(s.Platform.HostsURL, objectapi.Options{}), r.part("hosts"))
	r.hosts.changed = r.hostsChanged
	r.buildMembers()
	r.lists = newLists(r.ctx, config.NewSpread(s.Host, s.Region), r.objects, r.quic, r.part("config"))
	r.lists.changed = r.refreshCells
	r.lists.aged = r.members.setConfig
	r.members.reached = func(reachable, known int) { r.lists.reach.Store(&reach{reachable, known}) }
	r.members.config = r.lists.report
	node := cell.NewNode(cell.Config{
		Host: s.Host, Region: s.Region, Incarnation: r.incarnation(), Policy: policy(s.Policy),
	})
	r.cells = newCells(r.ctx, node, r.quic, r.events, r.hosts.host)
	r.records = r.buildRecords()
	r.client = upstream.NewClient(net.ParseIP(s.DialFrom))
	r.handler = entry.NewHandler(entry.Options{
		Host:      s.Host,
		Region:    s.Region,
		Directory: &directory{lists: r.lists, hosts: r.hosts, members: r.members},
		Scheduler: r.cells,
		Records:   r.records,
		Client:    r.client,
		Sealer:    reply.NewSealer(secret),
		Events:    r.events,
		ReleaseAt: r.releaseAt,
	})
	r.quic.Handle(peer.PartCell, peer.Receiver{Message: r.cells.receive})
	r.quic.Handle(peer.PartMember, peer.Receiver{Message: r.members.receive})
	r.quic.Handle(peer.PartConfig, peer.Receiver{Request: r.lists.answer})
	r.quic.Handle(peer.PartIntent, peer.Receiver{Request: r.records.Handle})
	r.quic.Handle(peer.PartEntry, peer.Receiver{Request: r.answerRelease})
}

func policy(name string) dispatch.Policy {
	p := dispatch.DefaultPolicy()
	p.Kind = dispatch.Kind(name)
	return p
}

// incarnation orders the runs of this host.
func (r *Router) incarnation() string {
	return r.settings.Host + "/" + strconv.FormatInt(r.started.UnixMicro(), 36)
}

// memberIncarnation orders the runs of this host for the other routers, in
// milliseconds.
func (r *Router) memberIncarnation() uint64 { return uint64(r.started.UnixMilli()) }

func (r *Router) buildMembers() {
	s := r.settings
	node := member.NewNode(member.Config{Self: member.Member{
		Host: s.Host, Region: s.Region, DataCentre: s.DataCentre,
		Address: s.Advertise.Caller, PeerAddress: s.Advertise.Peer, AdminAddress: s.Advertise.Admin,
		Incarnation: r.memberIncarnation(),
	}}, uint64(r.started.UnixNano()))
	r.members = newMembers(r.ctx, node, r.quic, r.events)
	r.members.changed = r.membersChanged
	r.hosts.confirmed = r.members.setHosts
}

func (r *Router) hostsChanged(table *hostTable) {
	r.refreshAddresses()
	r.members.setHosts(table.all)
	r.refreshCells()
}

func (r *Router) membersChanged() {
	r.refreshAddresses()
	r.lists.setRouters(*r.members.live.Load())
	r.refreshCells()
}

// refreshAddresses tells the transport where peers listen. The members know
// incarnations, the host list seeds what the members do not know yet.
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

// refreshCells asks for a new view of the cells. It never blocks.
func (r *Router) refreshCells() {
	select {
	case r.viewDue <- struct{}{}:
	default:
	}
}

// viewPause lets changes that come together, such as the loss of a data centre,
// make one view. It is short against the 3.5 s in which a loss is noticed.
const viewPause = 20 * time.Millisecond

// runViews hands the latest members, upstreams and limits to the cells.
func (r *Router) runViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.viewDue:
		}
		_ = pause.For(ctx, viewPause)
		r.cells.setView(r.view())
	}
}

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

func (r *Router) releaseAt(ctx context.Context, host, request string) error {
	_, err := r.quic.Call(ctx, host, peer.PartEntry, []byte(request))
	return err
}

func (r *Router) answerRelease(_ context.Context, _ string, body []byte) ([]byte, error) {
	r.handler.Release(string(body))
	return nil, nil
}

// Drain asks the router to leave the fleet, as a canceled Run context does.
func (r *Router) Drain() {
	select {
	case r.leave <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends or Drain is called, then leaves the fleet: it is
// taken out of /v1/entries, hands its cells over, ends all requests in progress,
// and returns.
func (r *Router) Run(ctx context.Context) error {
	defer r.close()
	if err := r.quic.Start(); err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	group, running := errgroup.WithContext(r.ctx)
	group.Go(func() error { return r.cells.loop.run(running) })
	group.Go(func() error { return r.members.loop.run(running) })
	group.Go(func() error { return r.lists.loop.run(running) })
	group.Go(func() error { return r.lists.run(running) })
	group.Go(func() error { return r.lists.runWatch(running) })
	group.Go(func() error { return r.hosts.run(running) })
	group.Go(func() error { return r.runViews(running) })
	callers := newServer(r.handler)
	admins := newServer(r.adminHandler())
	group.Go(func() error { return serve(callers, r.caller) })
	group.Go(func() error { return serve(admins, r.admin) })
	r.part("router").Info("router started", "host", r.settings.Host, "caller", r.settings.Listen.Caller,
		"admin", r.settings.Listen.Admin, "peer", r.settings.Listen.Peer)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-r.leave:
		case <-running.Done():
			return nil
		}
		r.drain(callers, admins)
		return nil
	})
	return group.Wait()
}

// drain leaves the fleet and then stops the parts.
func (r *Router) drain(callers, admins *http.Server) {
	logger := r.part("router")
	logger.Info("router is leaving", "in_progress", r.handler.InProgress())
	r.members.leave(false)
	r.cells.leave()
	_ = pause.For(r.ctx, acceptWhileLeaving)
	_ = r.handler.Drain(r.ctx)
	r.flushRecords()
	logger.Info("all requests have ended")
	r.members.leave(true)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = callers.Shutdown(ctx)
	_ = admins.Shutdown(ctx)
	r.cancel()
}

func (r *Router) close() {
	r.cancel()
	r.caller.Close()
	r.admin.Close()
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
