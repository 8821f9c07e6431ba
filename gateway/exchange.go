package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	// fetchTimeout bounds the fetch of a newer version from another router.
	fetchTimeout = 800 * time.Millisecond
	// staleAfter is the age from which the confirmations of the watching routers
	// are too old to rely on: one watch, its slack and one report.
	staleAfter = 2200 * time.Millisecond
	// freshWatch is the age up to which this router's own watch will deliver a
	// change, so that there is no need to fetch it from another router.
	freshWatch = 1600 * time.Millisecond
	// maxAge is the largest reported age of the configuration and the upstreams.
	maxAge = time.Hour
)

// Requests with which a router fetches the newest version from another one.
const (
	requestConfig    = "config"
	requestUpstreams = "upstreams"
)

// upstreamsResponse is the wire form of a roster.
type upstreamsResponse struct {
	Version   int64              `cbor:"1,keyasint"`
	Upstreams []catalog.Upstream `cbor:"2,keyasint"`
}

// exchange sends this router's reports to the other routers and processes theirs.
// It is safe for concurrent use.
type exchange struct {
	transport *peer.QUIC
	feed      *platform.Feed
	config    *versioned.Latest[platform.Config]
	upstreams *versioned.Latest[*versioned.Roster]
	pools     *pools
	logger    *log.Logger
	reportNow chan struct{} // see triggerReport
	ctx       context.Context

	mu       sync.Mutex
	table    *fleet.Table
	live     map[string]fleet.State // by host, as of the latest logMembership
	fetching map[string]bool        // requestConfig, requestUpstreams
}

func (x *exchange) run(ctx context.Context) error {
	ticker := time.NewTicker(fleet.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-x.reportNow:
		}
		x.tick(time.Now())
	}
}

// triggerReport sends a report without waiting for the next interval, after a
// change that other routers wait for. It never blocks.
func (x *exchange) triggerReport() {
	select {
	case x.reportNow <- struct{}{}:
	default:
	}
}

// tick sends a report and applies what others have reported.
func (x *exchange) tick(now time.Time) {
	report := &fleet.Report{ConfigVersion: x.config.Get().Version, UpstreamsVersion: x.upstreams.Get().Version}
	x.pools.fillReport(now, report)
	x.mu.Lock()
	x.table.Step(now)
	report.StoreAgeMs = min(x.storeAge(now), x.table.ConfirmedAge(now), maxAge).Milliseconds()
	messages := x.table.Messages(now, report)
	addresses := x.table.Addresses()
	reports := x.table.Reports(now)
	totals := x.table.Totals(now)
	known := x.table.KnownRouters(now)
	x.logMembership(now)
	x.mu.Unlock()

	x.transport.SetAddresses(peerAddresses(addresses))
	for _, m := range messages {
		x.send(m)
	}
	x.pools.setRemote(now, totals, known)
	for _, r := range reports {
		x.fetchNewer(now, r, true)
	}
}

func (x *exchange) send(m fleet.Message) {
	if len(m.To) == 0 {
		return
	}
	encoded, err := m.Envelope.Encode()
	if err != nil {
		x.logger.Error("encoding a report failed", "err", err)
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

// storeAge returns the time since the store last confirmed the configuration or the
// upstreams, whichever is longer.
func (x *exchange) storeAge(now time.Time) time.Duration {
	return max(x.config.Age(now, maxAge), x.upstreams.Age(now, maxAge))
}

// logMembership logs routers that appear, disappear or change state.
func (x *exchange) logMembership(now time.Time) {
	live := map[string]fleet.State{}
	for _, r := range x.table.Live(now) {
		live[r.Host] = r.State
		if old, known := x.live[r.Host]; !known || old != r.State {
			x.logger.Info("router is live", "host", r.Host, "state", r.State, "incarnation", r.Incarnation)
		}
	}
	for host := range x.live {
		if _, known := live[host]; !known {
			x.logger.Warn("router is no longer live", "host", host, "heard", x.table.SinceHeard(now, host))
		}
	}
	x.live = live
}

// receive processes a message of another router.
func (x *exchange) receive(_ string, body []byte) {
	now := time.Now()
	e, err := fleet.DecodeEnvelope(body)
	if err != nil {
		x.logger.Warn("message of another router dropped", "err", err)
		return
	}
	x.mu.Lock()
	newer := x.table.Receive(now, e)
	x.mu.Unlock()
	if newer {
		x.fetchNewer(now, e.Report, false)
	}
}

// fetchNewer fetches newer versions from the sender of a report, unless this
// router's own watch is about to deliver them. periodic is false for a report that
// has just arrived.
func (x *exchange) fetchNewer(now time.Time, r *fleet.Report, periodic bool) {
	watching := x.storeAge(now) < freshWatch
	if watching && !periodic {
		return
	}
	if r.ConfigVersion > x.config.Get().Version {
		x.fetch(r.Host, requestConfig)
	}
	if r.UpstreamsVersion > x.upstreams.Get().Version && !watching {
		x.fetch(r.Host, requestUpstreams)
	}
}

// fetch fetches item, which is requestConfig or requestUpstreams, in the background
// unless a fetch of it is in progress.
func (x *exchange) fetch(host, item string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching[item] || x.ctx.Err() != nil {
		return
	}
	x.fetching[item] = true
	go func() {
		if err := x.fetchFrom(host, item); err != nil {
			x.logger.Warn("fetching a newer version failed", "what", item, "host", host, "err", err)
		}
		x.mu.Lock()
		delete(x.fetching, item)
		x.mu.Unlock()
	}()
}

func (x *exchange) fetchFrom(host, item string) error {
	ctx, cancel := context.WithTimeout(x.ctx, fetchTimeout)
	defer cancel()
	body, err := x.transport.Call(ctx, host, peer.PartFleet, []byte(item))
	if err != nil {
		return err
	}
	if item == requestConfig {
		return x.feed.UpdateConfig(time.Now(), body, versioned.Peer)
	}
	var response upstreamsResponse
	if err := cbor.Unmarshal(body, &response); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	x.feed.UpdateUpstreams(time.Now(), versioned.NewRoster(response.Upstreams), response.Version, versioned.Peer)
	return nil
}

// serveFetch answers other routers that fetch a newer version.
func (x *exchange) serveFetch(_ context.Context, _ string, request []byte) ([]byte, error) {
	switch string(request) {
	case requestConfig:
		current := x.config.Get()
		if current.Version == 0 {
			return nil, eris.New("no configuration known")
		}
		return current.Value.Spec, nil
	case requestUpstreams:
		current := x.upstreams.Get()
		if current.Value == nil {
			return nil, eris.New("no upstreams known")
		}
		return cbor.Marshal(upstreamsResponse{Version: current.Version, Upstreams: current.Value.All()})
	default:
		return nil, eris.Errorf("request %q is not known", request)
	}
}

// StoreUnreachable implements platform.Watcher.
func (x *exchange) StoreUnreachable() bool {
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
		x.triggerReport()
	}
}

func (x *exchange) learn(records []fleet.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Learn(time.Now(), records)
}

// ready returns the live routers that accept requests.
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
