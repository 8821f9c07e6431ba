package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// ReportInterval is the time between reports of a router. Placement uses loads
	// that are at most this old plus one network delay.
	ReportInterval = 150 * time.Millisecond
	// reportLifetime is how long the loads and tokens of a report count.
	reportLifetime = 1200 * time.Millisecond
	// silentAfter is the silence after which a router that reports to this one no
	// longer counts as live. On a bad link several reports in a row may be lost or
	// late.
	silentAfter = reportLifetime + 4*ReportInterval
	// relayedSilentAfter is the same for routers heard of through relays. It is
	// longer, so that another relay can take over before those that the silent one
	// spoke for are considered silent as well.
	relayedSilentAfter = silentAfter + 4*ReportInterval
	// knownInterval is the number of reports after which one lists the known
	// routers.
	knownInterval = 6
	// probeInterval is the time between reports to a silent router.
	probeInterval = time.Second
	// seedInterval is the time between reports to seeds while no other router was
	// heard from.
	seedInterval = 300 * time.Millisecond
	// liveCacheTime is how long the list of live routers is kept if no message
	// arrives. It is much shorter than each silence after which one is not live.
	liveCacheTime = 50 * time.Millisecond
	// extraProbes is the number of silent routers of one data centre, besides the
	// likely relays, that are probed at a time when relays are in use. That covers
	// a data centre of the target size in half a minute.
	extraProbes = 2
	// recentWindow is how long a router counts towards the size of the fleet after
	// it was last heard from. The size decides whether relays are used and how a
	// retry budget is divided.
	recentWindow = time.Minute
	// ForgetAfter is how long silent routers are probed. It exceeds the longest
	// partition between regions, which is an hour.
	ForgetAfter = 2 * time.Hour
)

// Table is what one router knows of the others. It is not safe for concurrent use.
type Table struct {
	self      Record
	members   map[string]*member
	seeds     map[string]time.Time // last probe, by peer address
	lastStep  time.Time
	sequence  uint64 // of the latest report sent
	startedAt time.Time
	probedAt  time.Time // last probe of any silent router
	// seedProbedAt is the last probe of any seed.
	seedProbedAt time.Time
	// paces holds the pace of each data centre; see countPaces.
	paces map[string]time.Duration
	// reported and reportedAt belong to the latest report to the relays.
	reported   versions
	reportedAt time.Time
	interest   announcedInterest
	leaving    repeatedLeaving
	suspects   repeatedSuspects
	// resumedAt is when this process went on after its latest suspension, which took
	// pausedFor.
	resumedAt time.Time
	pausedFor time.Duration
	// aloneAt is when this router last heard of no other live one.
	aloneAt time.Time
	// evacuations is set if this router follows evacuations.
	evacuations bool

	// streams holds the digests received, by the host of the relay.
	streams map[string]*stream

	// The fields below belong to the digests that this router sends as a relay.
	epochs            uint64 // of streams so far
	digestsAt         time.Time
	digestVersions    versions
	dataCentreDigests *digestWriter // nil before the first one
	digestRecipients  []string      // of dataCentreDigests
	digestSuspects    repeatedSuspects

	// cachedLive is the result of Live at cachedLiveAt, nil after a message or a step.
	cachedLive   []Record
	cachedLiveAt time.Time
}

// member is what is known of one other router.
type member struct {
	record      Record
	report      *Report
	reportedAt  time.Time // latest report received here
	heardAt     time.Time // when a relay last listed the router as live; zero before the first time
	firstSeenAt time.Time
	probedAt    time.Time
	// introducedAt is when the router was last told of likely relays.
	introducedAt time.Time
	// interest holds the upstreams that the router needs; nil stands for all.
	interest map[string]bool
	// digests writes the digests for the router; nil before the first one.
	digests *digestWriter
}

// reset forgets what an earlier incarnation of the router has sent.
func (m *member) reset(now time.Time) {
	*m = member{record: m.record, firstSeenAt: now, probedAt: m.probedAt}
}

// NewTable returns the table of the router self, which probes seeds.
func NewTable(self Record, seeds []string, now time.Time) *Table {
	t := &Table{
		self: self, members: map[string]*member{}, seeds: map[string]time.Time{}, lastStep: now, startedAt: now,
		paces: map[string]time.Duration{}, streams: map[string]*stream{},
	}
	for _, seed := range seeds {
		if seed != self.Host {
			t.seeds[seed] = time.Time{}
		}
	}
	return t
}

// SetState changes the state of this router.
func (t *Table) SetState(s State) {
	t.self.State = s
	t.cachedLive = nil
}

// Self returns the record of this router.
func (t *Table) Self() Record { return t.self }

// Learn adds records from the store or from another router's report. They tell
// where to send reports, not who is live.
func (t *Table) Learn(now time.Time, records []Record) {
	t.cachedLive = nil
	for _, r := range records {
		if r.Host == "" || r.Host == t.self.Host {
			continue
		}
		m := t.members[r.Host]
		if m == nil {
			t.members[r.Host] = &member{record: r, firstSeenAt: now}
			continue
		}
		if r.Incarnation > m.record.Incarnation {
			m.record = r
			m.reset(now)
		}
	}
}

// Receive processes a message and reports whether it is newer than the sender's
// previous one.
func (t *Table) Receive(now time.Time, e *Envelope) (newer bool) {
	t.cachedLive = nil
	newer = t.receiveReport(now, e.Report)
	if e.Resync != 0 {
		t.resync(e.Report.Host, e.Resync)
	}
	if e.Digest != nil {
		t.receiveDigest(now, e.Report.Record, e.Digest)
	}
	return newer
}

// receiveReport stores the report of another router if it is newer than the stored
// one.
func (t *Table) receiveReport(now time.Time, r *Report) (newer bool) {
	if r.Host == t.self.Host {
		return false
	}
	m := t.members[r.Host]
	if m == nil {
		m = &member{firstSeenAt: now}
		t.members[r.Host] = m
	}
	old := m.report
	if old != nil && (r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Sequence <= old.Sequence) {
		return false
	}
	if r.Incarnation > m.record.Incarnation {
		m.reset(now)
	}
	m.record, m.report, m.reportedAt = r.Record, r, now
	m.addInterest(r.Interest)
	t.Learn(now, r.Known)
	return true
}

// Step advances the time. If this process was suspended, the silence of the other
// routers is not counted against them.
func (t *Table) Step(now time.Time) {
	t.cachedLive = nil
	gap := now.Sub(t.lastStep)
	t.lastStep = now
	if gap > minProcessPause {
		t.resume(now, gap)
	}
	for host, m := range t.members {
		if now.Sub(later(m.lastHeard(), m.firstSeenAt)) > ForgetAfter {
			delete(t.members, host)
		}
	}
	for host, s := range t.streams {
		if now.Sub(s.receivedAt) > recentWindow {
			delete(t.streams, host)
		}
	}
	t.countPaces(now)
	t.noteAlone(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isLive reports whether a router was heard from recently, directly or through
// relays.
func (t *Table) isLive(now time.Time, m *member) bool {
	dataCentre := m.record.DataCentre
	return !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < t.silenceTimeout(dataCentre) ||
		!m.heardAt.IsZero() && now.Sub(m.heardAt) < t.relayedTimeout(dataCentre)
}

// lastHeard returns when the router was last heard from, directly or through a relay.
func (m *member) lastHeard() time.Time { return later(m.heardAt, m.reportedAt) }

// hasFreshReport reports whether the latest report of a router still counts.
func (t *Table) hasFreshReport(now time.Time, m *member) bool {
	return m.report != nil && now.Sub(m.reportedAt) < t.reportTimeout(m.record.DataCentre)
}

// reportTimeout returns the silence after which the reports and digests of a data
// centre no longer count; the empty name stands for the one of this router.
func (t *Table) reportTimeout(dataCentre string) time.Duration {
	if dataCentre == "" {
		dataCentre = t.self.DataCentre
	}
	return reportLifetime + t.pace(dataCentre) - ReportInterval
}

// silenceTimeout returns the silence after which a router of a data centre that
// reports to this one no longer counts as live.
func (t *Table) silenceTimeout(dataCentre string) time.Duration {
	return silentAfter + t.pace(dataCentre) - ReportInterval
}

// relayedTimeout returns the time after which a router of a data centre that relays
// no longer mention does not count as live.
func (t *Table) relayedTimeout(dataCentre string) time.Duration {
	return relayedSilentAfter + t.pace(dataCentre) + t.pace(t.self.DataCentre) - 2*ReportInterval
}

// Addresses returns every host that a report may be sent to, with its incarnation
// or 0 for a seed.
func (t *Table) Addresses() map[string]uint64 {
	addresses := map[string]uint64{}
	for seed := range t.seeds {
		addresses[seed] = 0
	}
	for host, m := range t.members {
		addresses[host] = m.record.Incarnation
	}
	return addresses
}

// stamp sets the record and the sequence number of a report of this router.
func (t *Table) stamp(r *Report) {
	t.sequence++
	r.Record = t.self
	r.Sequence = t.sequence
}

// addKnown lists all routers that this one knows in a report.
func (t *Table) addKnown(r *Report) {
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		r.Known = append(r.Known, t.members[host].record)
	}
}

// Live returns the live routers, including this one, sorted by host. The caller
// must not change the result.
func (t *Table) Live(now time.Time) []Record {
	if age := now.Sub(t.cachedLiveAt); t.cachedLive != nil && age >= 0 && age < liveCacheTime {
		return t.cachedLive
	}
	live := []Record{t.self}
	for _, m := range t.members {
		if t.isLive(now, m) {
			live = append(live, m.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	t.cachedLive, t.cachedLiveAt = live, now
	return live
}

// Reports returns the latest report of each router that has sent one within
// its lifetime.
func (t *Table) Reports(now time.Time) []*Report {
	var reports []*Report
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[host]; t.hasFreshReport(now, m) {
			reports = append(reports, m.report)
		}
	}
	return reports
}

// SinceHeard returns how long ago a host was last heard from, or ForgetAfter if it
// never was.
func (t *Table) SinceHeard(now time.Time, host string) time.Duration {
	if m := t.members[host]; m != nil && !m.lastHeard().IsZero() {
		return now.Sub(m.lastHeard())
	}
	return ForgetAfter
}

// Distance says where a router is, seen from another one.
type Distance string

// Distances between routers.
const (
	SameDataCentre  Distance = "same_data_centre"
	SameRegion      Distance = "same_region"
	OtherRegion     Distance = "other_region"
	UnknownDistance Distance = "unknown"
)

// Distance returns where the router at a host is.
func (t *Table) Distance(host string) Distance {
	m := t.members[host]
	switch {
	case m == nil || m.record.DataCentre == "":
		return UnknownDistance
	case m.record.DataCentre == t.self.DataCentre:
		return SameDataCentre
	case m.record.Region == t.self.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// KnownRouters returns how many other routers were heard from within recentWindow,
// live or not, without leaving ones.
func (t *Table) KnownRouters(now time.Time) int {
	count := 0
	for _, m := range t.members {
		if !m.lastHeard().IsZero() && now.Sub(m.lastHeard()) < recentWindow && m.record.State != Leaving {
			count++
		}
	}
	return count
}
