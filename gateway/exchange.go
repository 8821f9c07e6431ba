package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/belief"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// fetchTimeout bounds a call for a newer version at another router.
	fetchTimeout = 800 * time.Millisecond
	// staleAfter is the age from which the word of the watching routers is too old
	// to rely on: one watch, its slack, and a report.
	staleAfter = 2200 * time.Millisecond
	// freshStore is the age up to which the own watch will bring a change by
	// itself, so that no router needs to be asked.
	freshStore = 1600 * time.Millisecond
	// ageLimit is the largest age of a belief that is reported.
	ageLimit = time.Hour
)

// Requests that a router answers to others.
const (
	askConfig    = "config"
	askUpstreams = "upstreams"
)

// upstreamsAnswer is a roster on its way between routers.
type upstreamsAnswer struct {
	Version   int64              `cbor:"1,keyasint"`
	Upstreams []catalog.Upstream `cbor:"2,keyasint"`
}

// exchange tells the other routers what this one knows, and learns from them. It
// is safe for concurrent use.
type exchange struct {
	transport *peer.QUIC
	feed      *platform.Feed
	config    *belief.Versioned[platform.Config]
	upstreams *belief.Versioned[*belief.Roster]
	pools     *pools
	logger    *log.Logger
	urgent    chan struct{}
	ctx       context.Context

	mu       sync.Mutex
	table    *fleet.Table
	live     map[string]fleet.State
	fetching map[string]bool
}

func (x *exchange) run(ctx context.Context) error {
	ticker := time.NewTicker(fleet.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-x.urgent:
		}
		x.tick(time.Now())
	}
}

// hurry sends a report at once, because something has changed that others wait
// for. It never blocks.
func (x *exchange) hurry() {
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// tick sends a report and passes on what others have reported.
func (x *exchange) tick(now time.Time) {
	report := &fleet.Report{ConfigVersion: x.config.Get().Version, UpstreamsVersion: x.upstreams.Get().Version}
	x.pools.fill(now, report)
	x.mu.Lock()
	x.table.Step(now)
	report.StoreAgeMs = min(x.storeAge(now), x.table.ConfirmedAge(now), ageLimit).Milliseconds()
	messages := x.table.Messages(now, report)
	addresses := x.table.Addresses()
	reports := x.table.Reports(now)
	totals := x.table.Totals(now)
	known := x.table.KnownRouters(now)
	x.noteLive(now)
	x.mu.Unlock()

	x.transport.SetAddresses(peerAddresses(addresses))
	for _, m := range messages {
		x.send(m)
	}
	x.pools.setRemote(now, totals, known)
	for _, r := range reports {
		x.catchUp(now, r, true)
	}
}

func (x *exchange) send(m fleet.Message) {
	if len(m.To) == 0 {
		return
	}
	encoded, err := m.Envelope.Encode()
	if err != nil {
		x.logger.Error("report cannot be encoded", "err", err)
		return
	}
	for _, host := range m.To {
		x.transport.Send(host, peer.PartFleet, encoded)
	}
}

func peerAddresses(hosts map[string]uint64) map[string]peer.Address {
	addresses := make(map[string]peer.Address, len(hosts))
	for host, incarnation := range hosts {
		addresses[host] = peer.Address{UDP: host, Incarnation: incarnation}
	}
	return addresses
}

// storeAge is the age of the older of the two beliefs.
func (x *exchange) storeAge(now time.Time) time.Duration {
	return max(x.config.Age(now, ageLimit), x.upstreams.Age(now, ageLimit))
}

// noteLive logs routers that come, go or change their state.
func (x *exchange) noteLive(now time.Time) {
	live := map[string]fleet.State{}
	for _, r := range x.table.Live(now) {
		live[r.Host] = r.State
		if old, known := x.live[r.Host]; !known || old != r.State {
			x.logger.Info("router takes part", "host", r.Host, "state", r.State, "incarnation", r.Incarnation)
		}
	}
	for host := range x.live {
		if _, known := live[host]; !known {
			x.logger.Warn("router is silent", "host", host, "heard", x.table.SinceHeard(now, host))
		}
	}
	x.live = live
}

// receive takes a report of another router.
func (x *exchange) receive(_ string, body []byte) {
	now := time.Now()
	e, err := fleet.DecodeEnvelope(body)
	if err != nil {
		x.logger.Warn("report not taken", "err", err)
		return
	}
	x.mu.Lock()
	newer := x.table.Receive(now, e)
	x.mu.Unlock()
	if newer {
		x.catchUp(now, e.Report, false)
	}
}

// catchUp asks the sender of a report for what is newer there, unless the own
// watch is about to bring it.
func (x *exchange) catchUp(now time.Time, r *fleet.Report, settled bool) {
	watching := x.storeAge(now) < freshStore
	if watching && !settled {
		return
	}
	if r.ConfigVersion > x.config.Get().Version {
		x.fetch(r.Host, askConfig)
	}
	if r.UpstreamsVersion > x.upstreams.Get().Version && !watching {
		x.fetch(r.Host, askUpstreams)
	}
}

func (x *exchange) fetch(host, what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching[what] || x.ctx.Err() != nil {
		return
	}
	x.fetching[what] = true
	go func() {
		if err := x.fetchNow(host, what); err != nil {
			x.logger.Warn("newer version not fetched", "what", what, "host", host, "err", err)
		}
		x.mu.Lock()
		delete(x.fetching, what)
		x.mu.Unlock()
	}()
}

func (x *exchange) fetchNow(host, what string) error {
	ctx, cancel := context.WithTimeout(x.ctx, fetchTimeout)
	defer cancel()
	body, err := x.transport.Call(ctx, host, peer.PartFleet, []byte(what))
	if err != nil {
		return err
	}
	if what == askConfig {
		return x.feed.OfferConfig(time.Now(), body, belief.Peer)
	}
	var answer upstreamsAnswer
	if err := cbor.Unmarshal(body, &answer); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	x.feed.OfferUpstreams(time.Now(), belief.NewRoster(answer.Upstreams), answer.Version, belief.Peer)
	return nil
}

// answer serves other routers that fetch a newer version.
func (x *exchange) answer(_ context.Context, _ string, request []byte) ([]byte, error) {
	switch string(request) {
	case askConfig:
		held := x.config.Get()
		if held.Version == 0 {
			return nil, eris.New("no configuration known")
		}
		return held.Value.Spec, nil
	case askUpstreams:
		held := x.upstreams.Get()
		if held.Value == nil {
			return nil, eris.New("no upstreams known")
		}
		return cbor.Marshal(upstreamsAnswer{Version: held.Version, Upstreams: held.Value.All()})
	default:
		return nil, eris.Errorf("request %q is not known", request)
	}
}

// StoreAway implements platform.Watcher.
func (x *exchange) StoreAway() bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return min(x.table.ConfirmedAge(now), x.storeAge(now)) > staleAfter
}

// Watches implements platform.Watcher.
func (x *exchange) Watches() bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Watches(now) || x.table.ConfirmedAge(now) > staleAfter
}

func (x *exchange) setState(s fleet.State) {
	x.mu.Lock()
	changed := x.table.Self().State != s
	x.table.SetState(s)
	x.mu.Unlock()
	if changed {
		x.hurry()
	}
}

func (x *exchange) learn(records []fleet.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Learn(time.Now(), records)
}

// ready returns the live routers that take requests.
func (x *exchange) ready() []fleet.Record {
	x.mu.Lock()
	defer x.mu.Unlock()
	var ready []fleet.Record
	for _, r := range x.table.Live(time.Now()) {
		if r.State == fleet.Ready {
			ready = append(ready, r)
		}
	}
	return ready
}
