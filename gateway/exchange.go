package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/boottime"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/pause"
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
	// listDelay is the time that a starting router leaves to others to find it, before
	// it lists the store itself.
	listDelay = 2 * fleet.ReportInterval
	// takeoverStep is the time between the turns of two routers to list or watch the
	// store, and maxTakeover the longest time for which one waits for its turn.
	takeoverStep = 40 * time.Millisecond
	maxTakeover  = time.Second
	// maxAge is the largest reported age of the configuration and the upstreams.
	maxAge = time.Hour
)

// item is what a router fetches from another one.
type item string

// Items that a router can fetch.
const (
	itemConfig    item = "config"
	itemUpstreams item = "upstreams"
	// itemVersions asks for the versions that the other router holds. The response
	// was made after the request, which a report that arrives need not be.
	itemVersions item = "versions"
)

// fetchRequest is the wire form of a request for the newest version of an item.
type fetchRequest struct {
	Item item `cbor:"1,keyasint"`
	// Since is the version that the sender holds.
	Since int64 `cbor:"2,keyasint,omitempty"`
}

// upstreamsResponse is the wire form of a roster: what has changed since the version
// in the request, or all upstreams.
type upstreamsResponse struct {
	Version int64             `cbor:"1,keyasint"`
	Change  *versioned.Change `cbor:"2,keyasint,omitempty"`
	// Whole is the compressed encoding of all upstreams.
	Whole []byte `cbor:"3,keyasint,omitempty"`
}

// versionsResponse is the wire form of the versions that a router holds.
type versionsResponse struct {
	Config    int64 `cbor:"1,keyasint"`
	Upstreams int64 `cbor:"2,keyasint"`
}

// confirmTimeout bounds one question to another router after a pause.
const confirmTimeout = 300 * time.Millisecond

// exchange sends this router's reports to the other routers and processes theirs.
// It is safe for concurrent use.
type exchange struct {
	transport *peer.QUIC
	feed      *platform.Feed
	// dataCentre and region are those of this router.
	dataCentre, region string
	config             *versioned.Latest[platform.Config]
	upstreams          *versioned.Latest[*versioned.Roster]
	pools              *pools
	logger             *log.Logger
	reportNow          chan struct{} // see triggerReport
	sentBytes          func(kind fleet.Kind, to fleet.Distance, bytes int)
	ctx                context.Context

	guardMu sync.Mutex
	guard   pause.Guard

	mu       sync.Mutex
	table    *fleet.Table
	live     map[string]fleet.State // by host, as of the latest logMembership
	fetching map[item]bool
	history  versioned.History // of upstreams

	wholeMu sync.Mutex
	// wholeRoster and wholeConfig are compressed when they are first asked for.
	wholeRoster, wholeConfig compressed
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
	x.guardMu.Lock()
	paused := x.guard.Tick(boottime.Now())
	x.guardMu.Unlock()
	if paused {
		x.logger.Warn("process was paused, versions are confirmed before further requests")
		go x.confirmVersions()
	}
	report := &fleet.Report{ConfigVersion: x.config.Get().Version, UpstreamsVersion: x.upstreams.Get().Version}
	x.pools.fillReport(now, report)
	x.mu.Lock()
	x.table.Step(now)
	report.StoreAgeMs = min(x.storeAge(now), x.table.ConfirmedAge(now), maxAge).Milliseconds()
	messages := x.encode(x.table.Messages(now, report))
	addresses := x.table.Addresses()
	reports := x.table.Reports(now)
	totals := x.table.Totals(now)
	known := x.table.KnownRouters(now)
	x.logMembership(now)
	x.mu.Unlock()

	x.transport.SetAddresses(peerAddresses(addresses))
	for _, m := range messages {
		x.transport.Send(m.to, peer.PartFleet, m.body)
	}
	x.pools.setRemote(now, totals, known)
	// Of several routers with a newer version the first one is asked.
	slices.SortStableFunc(reports, func(a, b *fleet.Report) int { return x.distanceRank(a) - x.distanceRank(b) })
	for _, r := range reports {
		x.fetchNewer(now, r, true)
	}
}

// distanceRank orders reports by how far their senders are.
func (x *exchange) distanceRank(r *fleet.Report) int {
	switch {
	case r.DataCentre == x.dataCentre:
		return 0
	case r.Region == x.region:
		return 1
	default:
		return 2
	}
}

// encodedMessage is a message to one router.
type encodedMessage struct {
	to   string
	body []byte
}

// encode encodes messages, one for each recipient, and counts their bytes. The
// caller must hold mu.
func (x *exchange) encode(messages []fleet.Message) []encodedMessage {
	var encoded []encodedMessage
	for _, m := range messages {
		if len(m.To) == 0 {
			continue
		}
		body, err := m.Envelope.Encode()
		if err != nil {
			x.logger.Error("encoding a message failed", "kind", m.Kind, "err", err)
			continue
		}
		for _, host := range m.To {
			encoded = append(encoded, encodedMessage{host, body})
			x.sentBytes(m.Kind, x.table.Distance(host), len(body))
		}
	}
	return encoded
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

// mayAct reports whether requests may be handled with the versions that this router
// holds. After a pause they may have been replaced, or a key may have been revoked.
func (x *exchange) mayAct() bool {
	x.guardMu.Lock()
	defer x.guardMu.Unlock()
	return x.guard.MayAct(boottime.Now())
}

// confirmVersions asks a live router, the nearest one first, which versions it holds,
// and fetches newer ones from it.
func (x *exchange) confirmVersions() {
	x.mu.Lock()
	reports := x.table.Reports(time.Now())
	x.mu.Unlock()
	slices.SortStableFunc(reports, func(a, b *fleet.Report) int { return x.distanceRank(a) - x.distanceRank(b) })
	for _, r := range reports {
		err := x.confirmWith(r.Host)
		if err == nil {
			x.guardMu.Lock()
			x.guard.Confirm()
			x.guardMu.Unlock()
			x.logger.Info("versions confirmed after a pause", "host", r.Host, "config", x.config.Get().Version, "upstreams", x.upstreams.Get().Version)
			return
		}
		x.logger.Warn("confirming versions after a pause failed", "host", r.Host, "err", err)
	}
}

func (x *exchange) confirmWith(host string) error {
	body, err := x.callFetch(host, fetchRequest{Item: itemVersions}, confirmTimeout)
	if err != nil {
		return err
	}
	var held versionsResponse
	if err := cbor.Unmarshal(body, &held); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	if held.Config > x.config.Get().Version {
		if err := x.fetchFrom(host, itemConfig); err != nil {
			return err
		}
	}
	if held.Upstreams > x.upstreams.Get().Version {
		return x.fetchFrom(host, itemUpstreams)
	}
	return nil
}

// fetchNewer fetches newer versions from the sender of a report, unless this
// router's own watch is about to deliver them. periodic is false for a report that
// has just arrived; it triggers no fetch from another region, because a router of
// this region is likely to have the version soon.
func (x *exchange) fetchNewer(now time.Time, r *fleet.Report, periodic bool) {
	watching := x.storeAge(now) < freshWatch
	if !periodic && (watching || r.Region != x.region) {
		return
	}
	if r.ConfigVersion > x.config.Get().Version {
		x.fetch(r.Host, itemConfig)
	}
	if r.UpstreamsVersion > x.upstreams.Get().Version && !watching {
		x.fetch(r.Host, itemUpstreams)
	}
}

// fetch fetches an item in the background unless a fetch of it is in progress.
func (x *exchange) fetch(host string, what item) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching[what] || x.ctx.Err() != nil {
		return
	}
	x.fetching[what] = true
	go func() {
		if err := x.fetchFrom(host, what); err != nil {
			x.logger.Warn("fetching a newer version failed", "what", what, "host", host, "err", err)
		}
		x.mu.Lock()
		delete(x.fetching, what)
		x.mu.Unlock()
	}()
}

func (x *exchange) fetchFrom(host string, what item) error {
	if what == itemUpstreams {
		return x.fetchUpstreams(host)
	}
	body, err := x.callFetch(host, fetchRequest{Item: what}, fetchTimeout)
	if err != nil {
		return err
	}
	spec, err := decompress(body)
	if err != nil {
		return err
	}
	return x.feed.UpdateConfig(time.Now(), spec, versioned.Peer)
}

// fetchUpstreams fetches what has changed since this router's roster, and the whole
// roster if that does not fit.
func (x *exchange) fetchUpstreams(host string) error {
	current := x.upstreams.Get()
	response, err := x.callFetchUpstreams(host, current.Version)
	if err != nil {
		return err
	}
	if response.Change != nil && current.Value != nil {
		changed, err := current.Value.Apply(*response.Change)
		if err == nil {
			x.feed.UpdateUpstreams(time.Now(), changed, response.Version, versioned.Peer)
			return nil
		}
		x.logger.Warn("applying changed upstreams failed, fetching all", "host", host, "since", current.Version, "version", response.Version, "err", err)
		if response, err = x.callFetchUpstreams(host, 0); err != nil {
			return err
		}
	}
	encoded, err := decompress(response.Whole)
	if err != nil {
		return err
	}
	var all []catalog.Upstream
	if err := cbor.Unmarshal(encoded, &all); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	x.feed.UpdateUpstreams(time.Now(), versioned.NewRoster(all), response.Version, versioned.Peer)
	return nil
}

func (x *exchange) callFetchUpstreams(host string, since int64) (upstreamsResponse, error) {
	var response upstreamsResponse
	body, err := x.callFetch(host, fetchRequest{Item: itemUpstreams, Since: since}, fetchTimeout)
	if err != nil {
		return response, err
	}
	if err := cbor.Unmarshal(body, &response); err != nil {
		return response, eris.Wrap(fleet.ErrMessage, err.Error())
	}
	if response.Change == nil && response.Whole == nil {
		return response, eris.Wrap(fleet.ErrMessage, "response has no upstreams")
	}
	return response, nil
}

func (x *exchange) callFetch(host string, request fetchRequest, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	encoded, err := cbor.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode fetch request")
	}
	return x.transport.Call(ctx, host, peer.PartFleet, encoded)
}

// serveFetch answers other routers that fetch a newer version.
func (x *exchange) serveFetch(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(fleet.ErrMessage, err.Error())
	}
	switch request.Item {
	case itemConfig:
		current := x.config.Get()
		if current.Version == 0 {
			return nil, eris.New("no configuration known")
		}
		x.wholeMu.Lock()
		defer x.wholeMu.Unlock()
		return x.wholeConfig.get(current.Version, func() ([]byte, error) { return current.Value.Spec, nil })
	case itemUpstreams:
		return x.upstreamsResponse(request.Since)
	case itemVersions:
		return cbor.Marshal(versionsResponse{Config: x.config.Get().Version, Upstreams: x.upstreams.Get().Version})
	default:
		return nil, eris.Errorf("item %q is not known", request.Item)
	}
}

// upstreamsResponse returns the encoded changes of the upstreams since a version, or
// all upstreams if the history does not go back that far.
func (x *exchange) upstreamsResponse(since int64) ([]byte, error) {
	x.mu.Lock()
	roster, version := x.history.Latest()
	change, ok := x.history.Since(since)
	x.mu.Unlock()
	if roster == nil {
		return nil, eris.New("no upstreams known")
	}
	if ok {
		return cbor.Marshal(upstreamsResponse{Version: version, Change: &change})
	}
	x.wholeMu.Lock()
	defer x.wholeMu.Unlock()
	whole, err := x.wholeRoster.get(version, func() ([]byte, error) { return cbor.Marshal(roster.All()) })
	if err != nil {
		return nil, eris.Wrap(err, "encode upstreams")
	}
	return cbor.Marshal(upstreamsResponse{Version: version, Whole: whole})
}

// remember keeps a roster for upstreamsResponse.
func (x *exchange) remember(roster versioned.Snapshot[*versioned.Roster]) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.Record(roster.Value, roster.Version)
}

// StoreUnreachable implements platform.Watcher.
func (x *exchange) StoreUnreachable() bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	return min(x.table.ConfirmedAge(now), x.storeAge(now)) > staleAfter
}

// Watches implements platform.Watcher. A router without a configuration or upstreams
// lists them itself only if no other one does so before its turn: the lists of a large
// fleet that starts at once take the store many seconds.
func (x *exchange) Watches() bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.config.Get().Version == 0 || x.upstreams.Get().Value == nil {
		return x.table.Uptime(now) >= listDelay+time.Duration(x.table.KnownRank())*takeoverStep
	}
	rank := x.table.WatchRank(now)
	if rank == 0 {
		return true
	}
	takeover := staleAfter + min(time.Duration(rank-1)*takeoverStep, maxTakeover)
	return x.table.ConfirmedAge(now) > takeover
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
