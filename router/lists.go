package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/peer"
)

const (
	// confirmPeriod is how often a watching router reads the lists, to confirm
	// its version well within config.UnconfirmedAfter.
	confirmPeriod = 500 * time.Millisecond
	readTimeout   = time.Second
	watchPause    = 200 * time.Millisecond
	fetchTimeout  = time.Second
	// agePeriod is how often the age of the confirmation is handed on.
	agePeriod = 250 * time.Millisecond
)

// inForce is the configuration that this router serves with.
type inForce struct {
	lists   config.Lists
	limits  map[string]map[string]dispatch.Limits
	version int64
	data    []byte
}

// lists connects the spread of the configuration to the object API and the
// peers.
type lists struct {
	ctx       context.Context
	spread    *config.Spread
	loop      *loop[config.SpreadInput]
	objects   objectapi.Objects
	transport peer.Transport
	logger    *log.Logger
	current   atomic.Pointer[inForce]
	watch     atomic.Bool
	serving   atomic.Bool
	changed   func()
	aged      func(version int64, age time.Duration)
	// reach is the last count of reachable and known routers.
	reach atomic.Pointer[reach]
}

// reach counts the routers that this one reaches, and all that it knows of.
type reach struct{ reachable, known int }

func newLists(ctx context.Context, spread *config.Spread, objects objectapi.Objects, transport peer.Transport, logger *log.Logger) *lists {
	l := &lists{ctx: ctx, spread: spread, objects: objects, transport: transport, logger: logger}
	l.current.Store(&inForce{})
	l.reach.Store(&reach{reachable: 1, known: 1})
	l.watch.Store(true)
	l.loop = newLoop[config.SpreadInput](config.SpreadTick{}, l.step)
	return l
}

func (l *lists) step(now time.Time, in config.SpreadInput) time.Time {
	out := l.spread.Step(now, in)
	l.watch.Store(out.Watch)
	if out.Invalid != nil {
		l.logger.Error("received lists are not valid", "err", out.Invalid)
	}
	if out.Changed {
		l.publish()
	}
	if out.FetchFrom != "" {
		go l.fetch(out.FetchFrom)
	}
	count := l.reach.Load()
	l.serving.Store(l.spread.MayServe(now, count.reachable, count.known))
	l.aged(l.current.Load().version, l.spread.ConfirmedAge(now))
	return now.Add(agePeriod)
}

func (l *lists) publish() {
	current, version := l.spread.Current()
	_, data := l.spread.Data()
	l.current.Store(&inForce{lists: current, limits: current.Limits(), version: version, data: data})
	l.logger.Info("configuration is in force", "version", version)
	l.changed()
}

// run reads the lists while this router is one of the watchers.
func (l *lists) run(ctx context.Context) error {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		if l.watch.Load() {
			l.read(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runWatch waits for changes while this router is one of the watchers, so that
// a change is seen at once and not at the next read.
func (l *lists) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.watch.Load() && l.current.Load().version > 0 {
			started := time.Now()
			object, err := l.objects.Watch(ctx, config.ObjectName, l.current.Load().version)
			if err == nil {
				l.loop.send(ctx, config.PlatformRead{Version: object.Version, Data: object.Value, Started: started})
			}
		}
		_ = pause.For(ctx, watchPause)
	}
	return nil
}

func (l *lists) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	object, err := l.objects.Get(ctx, config.ObjectName)
	switch {
	case err == nil:
		l.loop.send(ctx, config.PlatformRead{Version: object.Version, Data: object.Value, Started: started})
	case eris.Is(err, objectapi.ErrNotFound):
		l.loop.send(ctx, config.PlatformRead{Started: started})
	default:
		l.loop.send(l.ctx, config.PlatformFailed{})
	}
}

// listsMessage carries the lists between routers.
type listsMessage struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Data    []byte
}

func (l *lists) fetch(host string) {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	body, err := l.transport.Call(ctx, host, peer.PartConfig, nil)
	var message listsMessage
	if err == nil {
		err = cbor.Unmarshal(body, &message)
	}
	if err != nil {
		l.loop.send(l.ctx, config.PeerFetchFailed{Host: host})
		return
	}
	l.loop.send(l.ctx, config.PeerFetched{Host: host, Version: message.Version, Data: message.Data})
}

// askVersion is the request for the version alone. An empty request asks for the
// lists.
const askVersion = "version"

// answer hands the lists in force, or their version, to another router.
func (l *lists) answer(_ context.Context, _ string, request []byte) ([]byte, error) {
	current := l.current.Load()
	if string(request) == askVersion {
		return cbor.Marshal(current.version)
	}
	return cbor.Marshal(listsMessage{Version: current.version, Data: current.data})
}

func (l *lists) report(r member.PeerConfig) {
	l.loop.send(l.ctx, config.PeerReport{
		Host: r.Host, Version: r.Version, ConfirmedAge: r.ConfirmedAge, Highest: r.Highest,
	})
}

func (l *lists) setRouters(live []member.Member) {
	routers := make([]config.Router, 0, len(live))
	for _, m := range live {
		routers = append(routers, config.Router{Host: m.Host, Region: m.Region})
	}
	l.loop.send(l.ctx, config.Routers{Live: routers})
}
