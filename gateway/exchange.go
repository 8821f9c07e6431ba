package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/boottime"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	// fetchTimeout bounds the fetch of a newer version from another router.
	fetchTimeout = 800 * time.Millisecond
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
	// triggeredGap is the shortest time between a report and one that is triggered by
	// news. Each report costs processor time at its sender and at all recipients, which
	// may have news to pass on themselves.
	triggeredGap = 20 * time.Millisecond
	// maxAge is the largest reported age of the configuration and the upstreams.
	maxAge = time.Hour
)

// exchange sends this router's reports to the other routers and processes theirs.
// It is safe for concurrent use.
type exchange struct {
	transport *peer.QUIC
	feed      *platform.Feed
	// dataCentre and region are those of this router.
	dataCentre, region string
	config             *versioned.Latest[platform.Config]
	upstreams          *versioned.Latest[*versioned.Roster]
	evacuations        *evacuations // nil without them
	pools              *pools
	logger             *log.Logger
	reportNow          chan struct{} // see triggerReport
	missingDropped     chan struct{} // signals that missing upstreams are no longer in use
	sentBytes          func(kind fleet.Kind, to fleet.Distance, bytes int)
	ctx                context.Context
	tickedAt           time.Time // of the latest report; used by run only

	guardMu sync.Mutex
	guard   pause.Guard

	mu       sync.Mutex
	table    *fleet.Table
	live     map[string]fleet.State // by host, as of the latest logMembership
	fetching map[item]bool
	history  versioned.History // of upstreams
	// retention holds the upstreams in use, and departures those that have left.
	retention     versioned.Retention
	departures    versioned.Departures
	usedEra       int64     // era of the roster in use
	storeFailedAt time.Time // latest failed call of this router
	tookOverAt    time.Time // when this router last took over the watch of the store

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
			// News of several routers that arrive together are passed on together.
			if pause.For(ctx, triggeredGap-time.Since(x.tickedAt)) != nil {
				return nil
			}
		}
		x.tickedAt = time.Now()
		x.tick(x.tickedAt)
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
		x.pools.interruptCold(now)
		go x.confirmVersions()
	}
	report := &fleet.Report{ConfigVersion: x.config.Get().Version, UpstreamsVersion: x.upstreams.Get().Version, EvacuationsVersion: x.evacuations.version()}
	x.pools.fillReport(now, report)
	x.mu.Lock()
	x.table.Step(now)
	if paused {
		x.retention.Interrupt()
	}
	x.stepRetention(now)
	age := x.confirmedAge(now)
	report.StoreAgeMs, report.StoreFailedMs = age.Milliseconds(), x.storeFailedMs(now, age)
	report.StoreAnswersMs = min(x.retention.AnswersFor(now), maxAge).Milliseconds()
	messages := x.encode(x.table.Messages(now, report))
	addresses := x.table.Addresses()
	reports := x.table.Reports(now)
	totals := x.table.Totals(now)
	known := x.table.KnownRouters(now)
	x.logMembership(now)
	x.mu.Unlock()

	x.stepContact(now, paused)
	x.transport.SetAddresses(peerAddresses(addresses))
	for _, m := range messages {
		x.transport.Send(m.to, peer.PartFleet, m.body)
	}
	for _, upstream := range x.pools.setRemote(now, totals, known) {
		x.logger.Info("upstream leaves", "upstream", upstream, "source", versioned.Peer)
	}
	x.stepQuarantine(now)
	// Of several routers with a newer version the first one is asked.
	x.sortByDistance(reports)
	for _, r := range reports {
		x.fetchNewer(now, r, true)
	}
}

// sortByDistance sorts reports, those of the nearest routers first.
func (x *exchange) sortByDistance(reports []*fleet.Report) {
	slices.SortStableFunc(reports, func(a, b *fleet.Report) int { return x.distanceRank(a) - x.distanceRank(b) })
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

// storeAge returns the time since the store last confirmed the configuration, the
// upstreams or the evacuations, whichever is longest.
func (x *exchange) storeAge(now time.Time) time.Duration {
	return max(x.config.Age(now, maxAge), x.upstreams.Age(now, maxAge), x.evacuations.age(now, maxAge))
}

// confirmedAge returns the time since the store last confirmed its versions to any
// router. The caller must hold mu.
func (x *exchange) confirmedAge(now time.Time) time.Duration {
	return min(x.storeAge(now), x.table.ConfirmedAge(now), maxAge)
}

// storeFailedMs returns the value of that name in a report, in which the store's last
// confirmation has the given age. The caller must hold mu.
func (x *exchange) storeFailedMs(now time.Time, confirmedAge time.Duration) int64 {
	age := now.Sub(x.storeFailedAt)
	if age >= confirmedAge {
		return 0
	}
	return max(age.Milliseconds(), 1)
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
	if x.pools.mergeSuspects(now, e.Report.Suspects) {
		x.triggerReport()
	}
	if newer {
		x.fetchNewer(now, e.Report, false)
	}
}

// self returns the host of this router.
func (x *exchange) self() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Self().Host
}

// stepQuarantine logs which parts of prompts were barred or freed.
func (x *exchange) stepQuarantine(now time.Time) {
	var hosts []string
	for _, r := range x.ready() {
		hosts = append(hosts, r.Host)
	}
	for _, change := range x.pools.stepQuarantine(now, x.self(), hosts) {
		if change.Barred {
			x.logger.Warn("part of prompts is barred", "service", change.Service, "part", change.Part, "crashes", change.Crashes, "last_crash", change.LastCrash, "trials", change.Trials)
			continue
		}
		x.logger.Info("part of prompts is no longer barred", "service", change.Service, "part", change.Part, "trials", change.Trials)
	}
}

// mayAct reports whether requests may be handled with the versions that this router
// holds. After a pause they may have been replaced, or a key may have been revoked.
func (x *exchange) mayAct() bool {
	x.guardMu.Lock()
	defer x.guardMu.Unlock()
	return x.guard.MayAct(boottime.Now())
}

// StoreFailed implements platform.Watcher.
func (x *exchange) StoreFailed() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.storeFailedAt = time.Now()
}

// WatchTimeout implements platform.Watcher.
func (x *exchange) WatchTimeout(longest time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retention.WatchTimeout(time.Now(), longest)
}

// Watches implements platform.Watcher. A router without a configuration, upstreams or
// evacuations lists them itself only if no other one does so before its turn: the lists of a large
// fleet that starts at once take the store many seconds.
func (x *exchange) Watches() bool {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.config.Get().Version == 0 || x.upstreams.Get().Value == nil || x.evacuations != nil && x.evacuations.version() == 0 {
		return x.table.Uptime(now) >= listDelay+time.Duration(x.table.KnownRank())*takeoverStep
	}
	rank := x.table.WatchRank(now)
	if rank == 0 {
		return true
	}
	takeover := versioned.StaleAfter + min(time.Duration(rank-1)*takeoverStep, maxTakeover)
	takesOver := x.table.ConfirmedAge(now) > takeover
	if takesOver {
		x.tookOverAt = now
	}
	return takesOver
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
