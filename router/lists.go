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
	// confirmPeriod is the interval at which a watcher reads the lists. It is well
	// below config.ConfirmationTimeout, so that the version stays confirmed.
	confirmPeriod = 500 * time.Millisecond
	readTimeout   = time.Second
	// watchPause is the pause between two watch calls. It limits the rate of calls
	// when they fail.
	watchPause   = 200 * time.Millisecond
	fetchTimeout = time.Second
	// ageReportPeriod is the longest time between two reports of the confirmation's age
	// to the membership.
	ageReportPeriod = 250 * time.Millisecond
)

// activeConfig is the configuration that this router serves with.
type activeConfig struct {
	lists   config.Lists
	limits  map[string]map[string]dispatch.Limits // by service and workspace
	version int64
	data    []byte // encoded lists, for peers
}

// lists connects the state machine config.Replica to the object API and the peers.
type lists struct {
	ctx            context.Context
	replica        *config.Replica
	loop           *loop[config.ReplicaInput]
	objects        objectapi.Objects
	transport      peer.Transport
	logger         *log.Logger
	current        atomic.Pointer[activeConfig]
	isWatcher      atomic.Bool                            // this router reads and watches the object API
	serving        atomic.Bool                            // new requests are accepted
	onChange       func()                                 // called after new lists are in force
	onConfirmedAge func(version int64, age time.Duration) // called after each step with the age of the confirmation
	// reachability holds the latest counts of reachable and known routers.
	reachability atomic.Pointer[reachability]
}

// reachability holds the number of routers that this one reaches and the number of
// all routers that it knows.
type reachability struct{ reachable, known int }

func newLists(ctx context.Context, replica *config.Replica, objects objectapi.Objects, transport peer.Transport, logger *log.Logger) *lists {
	l := &lists{ctx: ctx, replica: replica, objects: objects, transport: transport, logger: logger}
	l.current.Store(&activeConfig{})
	l.reachability.Store(&reachability{reachable: 1, known: 1})
	l.isWatcher.Store(true)
	l.loop = newLoop[config.ReplicaInput](config.ReplicaTick{}, l.step)
	return l
}

// step passes an input to the state machine and carries out its output.
func (l *lists) step(now time.Time, in config.ReplicaInput) time.Time {
	out := l.replica.Step(now, in)
	l.isWatcher.Store(out.Watch)
	if out.Invalid != nil {
		l.logger.Error("received configuration is not valid", "err", out.Invalid)
	}
	if out.Changed {
		l.publish()
	}
	if out.FetchFrom != "" {
		go l.fetch(out.FetchFrom)
	}
	count := l.reachability.Load()
	l.serving.Store(l.replica.MayServe(now, count.reachable, count.known))
	l.onConfirmedAge(l.current.Load().version, l.replica.ConfirmedAge(now))
	return now.Add(ageReportPeriod)
}

// publish makes the current lists of the state machine the active configuration.
func (l *lists) publish() {
	current, version := l.replica.Current()
	_, data := l.replica.Data()
	l.current.Store(&activeConfig{lists: current, limits: current.Limits(), version: version, data: data})
	l.logger.Info("new configuration is in force", "version", version)
	l.onChange()
}

// run reads the lists periodically while this router is a watcher.
func (l *lists) run(ctx context.Context) error {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		if l.isWatcher.Load() {
			l.read(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runWatch watches the lists while this router is a watcher, so that it gets a change
// at once and not with the next periodic read.
func (l *lists) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.isWatcher.Load() && l.current.Load().version > 0 {
			started := time.Now()
			object, err := l.objects.Watch(ctx, config.ObjectName, l.current.Load().version)
			if err == nil {
				l.loop.send(ctx, config.ObjectRead{Version: object.Version, Data: object.Value, Started: started})
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
		l.loop.send(ctx, config.ObjectRead{Version: object.Version, Data: object.Value, Started: started})
	case eris.Is(err, objectapi.ErrNotFound):
		l.loop.send(ctx, config.ObjectRead{Started: started})
	default:
		l.loop.send(l.ctx, config.ObjectReadFailed{})
	}
}

// listsMessage is the message with which a router sends the lists to another one.
type listsMessage struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Data    []byte
}

// fetch gets the lists from another router.
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

// versionRequest is the body of a request for the version only. An empty body
// requests the lists.
const versionRequest = "version"

// handleRequest handles the request of another router for the lists in force or their
// version.
func (l *lists) handleRequest(_ context.Context, _ string, request []byte) ([]byte, error) {
	current := l.current.Load()
	if string(request) == versionRequest {
		return cbor.Marshal(current.version)
	}
	return cbor.Marshal(listsMessage{Version: current.version, Data: current.data})
}

// report passes on a peer's report of its version, which the membership received.
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
