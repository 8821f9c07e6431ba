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
	// LiveTimeout is the silence after which a router no longer counts as live. On
	// a bad link several reports in a row may be lost or late.
	LiveTimeout = 1200 * time.Millisecond
	// relayedLiveTimeout is the same for routers heard of through relays, whose
	// reports pass through two of them.
	relayedLiveTimeout = LiveTimeout + 4*ReportInterval
	// knownInterval is the number of reports after which one lists the known
	// routers.
	knownInterval = 6
	// probeInterval is the time between reports to a silent router.
	probeInterval = time.Second
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
	// minProcessPause is the gap between steps from which this process must have
	// been suspended.
	minProcessPause = 600 * time.Millisecond
)

// Table is what one router knows of the others. It is not safe for concurrent use.
type Table struct {
	self     Record
	members  map[string]*member
	seeds    map[string]time.Time // last probe, by peer address
	lastStep time.Time
	sequence uint64 // of the latest report sent
	// digests holds the latest digest of each data centre. The empty key is the
	// digest for this router as a member.
	digests     map[string]receivedDigest
	digestCount int
	startedAt   time.Time
	probedAt    time.Time // last probe of any silent router

	// cachedLive is the result of Live at cachedLiveAt, nil after a change.
	cachedLive   []Record
	cachedLiveAt time.Time
}

// member is what is known of one other router.
type member struct {
	record      Record
	report      *Report
	reportedAt  time.Time // latest report received here
	heardAt     time.Time // latest report, received here or by a relay; zero before the first
	firstSeenAt time.Time
	probedAt    time.Time
}

// NewTable returns the table of the router self, which probes seeds.
func NewTable(self Record, seeds []string, now time.Time) *Table {
	t := &Table{self: self, members: map[string]*member{}, seeds: map[string]time.Time{}, lastStep: now, digests: map[string]receivedDigest{}, startedAt: now}
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
			m.record, m.report, m.heardAt, m.firstSeenAt = r, nil, time.Time{}, now
			m.reportedAt = time.Time{}
		}
	}
}

// Receive processes a message and reports whether it is newer than the sender's
// previous one.
func (t *Table) Receive(now time.Time, e *Envelope) (newer bool) {
	t.cachedLive = nil
	if !t.receiveReport(now, e.Report) {
		return false
	}
	if e.Digest != nil {
		t.receiveDigest(now, e.Digest)
	}
	return true
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
	m.record, m.report, m.reportedAt, m.heardAt = r.Record, r, now, now
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
		for _, m := range t.members {
			if !m.heardAt.IsZero() {
				m.heardAt = m.heardAt.Add(gap)
				m.reportedAt = m.reportedAt.Add(gap)
			}
		}
	}
	for host, m := range t.members {
		if now.Sub(later(m.heardAt, m.firstSeenAt)) > ForgetAfter {
			delete(t.members, host)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// live reports whether the router was heard from recently, directly or through
// relays.
func (m *member) live(now time.Time) bool {
	return !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < LiveTimeout || !m.heardAt.IsZero() && now.Sub(m.heardAt) < relayedLiveTimeout
}

// recipients returns the hosts to send the next report to when each router reports
// to all: the live ones and the silent ones that are due for a probe.
func (t *Table) recipients(now time.Time) []string {
	hosts := t.dueProbes(now)
	for host, m := range t.members {
		if m.live(now) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// dueProbes returns the silent hosts to probe now. In a large fleet these are a few
// of each data centre, because a connection costs several kilobytes and one relay
// that answers tells of all others: the first ones by host, which are the relays if
// they are live, and those probed longest ago.
func (t *Table) dueProbes(now time.Time) []string {
	var hosts []string
	for _, m := range t.probeCandidates(now) {
		if now.Sub(m.probedAt) >= probeInterval {
			m.probedAt, t.probedAt = now, now
			hosts = append(hosts, m.record.Host)
		}
	}
	for seed, probedAt := range t.seeds {
		if t.members[seed] == nil && now.Sub(probedAt) >= probeInterval {
			t.seeds[seed] = now
			hosts = append(hosts, seed)
		}
	}
	return hosts
}

// probeCandidates returns the silent routers that may be probed now.
func (t *Table) probeCandidates(now time.Time) []*member {
	usesRelays := t.usesRelays(now)
	if usesRelays && now.Sub(t.probedAt) < probeInterval {
		return nil
	}
	// Just after the start the relay of this data centre may simply not have been
	// heard yet.
	localOnly := usesRelays && now.Sub(t.startedAt) < probeInterval
	silent := map[string][]*member{} // by data centre
	for _, m := range t.members {
		dataCentre := m.record.DataCentre
		if !m.live(now) && (!localOnly || dataCentre == t.self.DataCentre) {
			silent[dataCentre] = append(silent[dataCentre], m)
		}
	}
	var chosen []*member
	for _, members := range silent {
		if usesRelays {
			members = likelyRelays(members)
		}
		chosen = append(chosen, members...)
	}
	return chosen
}

// likelyRelays returns the first silent routers of a data centre by host and, of
// the rest, those probed longest ago.
func likelyRelays(silent []*member) []*member {
	slices.SortFunc(silent, func(a, b *member) int { return strings.Compare(a.record.Host, b.record.Host) })
	if len(silent) <= relaysPerDataCentre {
		return silent
	}
	rest := silent[relaysPerDataCentre:]
	slices.SortStableFunc(rest, func(a, b *member) int { return a.probedAt.Compare(b.probedAt) })
	return silent[:min(relaysPerDataCentre+extraProbes, len(silent))]
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
	if t.cachedLive != nil && t.cachedLiveAt.Equal(now) {
		return t.cachedLive
	}
	live := []Record{t.self}
	for _, m := range t.members {
		if m.live(now) {
			live = append(live, m.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	t.cachedLive, t.cachedLiveAt = live, now
	return live
}

// Reports returns the latest report of each router that has sent one within
// LiveTimeout.
func (t *Table) Reports(now time.Time) []*Report {
	var reports []*Report
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[host]; m.report != nil && now.Sub(m.reportedAt) < LiveTimeout {
			reports = append(reports, m.report)
		}
	}
	return reports
}

// SinceHeard returns how long ago a host was last heard from, or ForgetAfter if it
// never was.
func (t *Table) SinceHeard(now time.Time, host string) time.Duration {
	if m := t.members[host]; m != nil && !m.heardAt.IsZero() {
		return now.Sub(m.heardAt)
	}
	return ForgetAfter
}

// KnownRouters returns how many other routers were heard from within recentWindow,
// live or not, without leaving ones.
func (t *Table) KnownRouters(now time.Time) int {
	count := 0
	for _, m := range t.members {
		if !m.heardAt.IsZero() && now.Sub(m.heardAt) < recentWindow && m.record.State != Leaving {
			count++
		}
	}
	return count
}

// WatchersPerRegion is how many routers of a region watch the store on behalf of
// all of them. One suffices while it is live; the others take over when its
// confirmations become old.
const WatchersPerRegion = 1

// Watches reports whether this router is one of those that watch the store for
// their region.
func (t *Table) Watches(now time.Time) bool {
	before := 0
	for _, r := range t.Live(now) {
		if r.Region == t.self.Region && r.State == Ready && r.Host < t.self.Host {
			before++
		}
	}
	return before < WatchersPerRegion
}

// ConfirmedAge returns how long ago the store last confirmed its versions to any
// other live router. Changes before that reach this router through that router's
// reports.
func (t *Table) ConfirmedAge(now time.Time) time.Duration {
	age := ForgetAfter
	for _, r := range t.Reports(now) {
		age = min(age, r.StoreAge()+now.Sub(t.members[r.Host].reportedAt))
	}
	return age
}
