package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// ReportInterval is the time between reports of a router. Placement works with
	// loads that are at most this old plus one way of the network.
	ReportInterval = 150 * time.Millisecond
	// LiveAfter is the silence after which a router no longer counts: several
	// reports may be lost or late in a row on a bad link.
	LiveAfter = 1200 * time.Millisecond
	// sightedAfter is that silence for routers that are heard of by relays, whose
	// word passes through two of them.
	sightedAfter = LiveAfter + 4*ReportInterval
	// knownEvery is the number of reports between two that carry known routers.
	knownEvery = 6
	// probeInterval is the time between reports to silent routers.
	probeInterval = time.Second
	// probesOfOthers is the number of silent routers of one data centre, beside the
	// likely relays, that are tried at once when relays are in use. One data centre
	// of the target size is through in half a minute.
	probesOfOthers = 2
	// recentlyKnown is how long a router that was learnt of or heard counts as one of
	// the fleet, whose size decides on relays and on the part of a budget.
	recentlyKnown = time.Minute
	// ForgetAfter is how long silent routers are probed. It exceeds the hour for
	// which regions may lose each other.
	ForgetAfter = 2 * time.Hour
	// pauseLimit is a gap between steps that can only be a pause of this process.
	pauseLimit = 600 * time.Millisecond
)

// Table is what one router knows of the others. It is not safe for concurrent
// use.
type Table struct {
	self    Record
	members map[string]*member
	seeds   map[string]time.Time // last probe
	last    time.Time
	count   uint64
	// digestsOf are the latest digests by data centre; the one for this router as a
	// member is under the empty name.
	digestsOf   map[string]received
	digestCount int
	began       time.Time
	probed      time.Time // latest time that a silent router was tried

	// liveNow is the result of Live at liveAt, nil after a change.
	liveNow []Record
	liveAt  time.Time
}

type member struct {
	record   Record
	report   *Report
	reported time.Time // latest report
	heard    time.Time // latest report here or at a relay, zero before the first
	firstSaw time.Time
	probed   time.Time
}

// NewTable returns a table of self and seeds to probe.
func NewTable(self Record, seeds []string, now time.Time) *Table {
	t := &Table{self: self, members: map[string]*member{}, seeds: map[string]time.Time{}, last: now, digestsOf: map[string]received{}, began: now}
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
	t.liveNow = nil
}

// Self returns the record of this router.
func (t *Table) Self() Record { return t.self }

// Learn takes records from the store or from another router's report. They tell
// whom to report to, not who is live.
func (t *Table) Learn(now time.Time, records []Record) {
	t.liveNow = nil
	for _, r := range records {
		if r.Host == "" || r.Host == t.self.Host {
			continue
		}
		m := t.members[r.Host]
		if m == nil {
			t.members[r.Host] = &member{record: r, firstSaw: now}
			continue
		}
		if r.Incarnation > m.record.Incarnation {
			m.record, m.report, m.heard, m.firstSaw = r, nil, time.Time{}, now
			m.reported = time.Time{}
		}
	}
}

// Receive takes a message and tells whether its report is newer than what is
// known.
func (t *Table) Receive(now time.Time, e *Envelope) (newer bool) {
	t.liveNow = nil
	if !t.receiveReport(now, e.Report) {
		return false
	}
	if e.Digest != nil {
		t.receiveDigest(now, e.Digest)
	}
	return true
}

func (t *Table) receiveReport(now time.Time, r *Report) (newer bool) {
	if r.Host == t.self.Host {
		return false
	}
	m := t.members[r.Host]
	if m == nil {
		m = &member{firstSaw: now}
		t.members[r.Host] = m
	}
	old := m.report
	if old != nil && (r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Sequence <= old.Sequence) {
		return false
	}
	m.record, m.report, m.reported, m.heard = r.Record, r, now, now
	t.Learn(now, r.Known)
	return true
}

// Step lets time pass. After a pause of this process the silence of the others
// was its own.
func (t *Table) Step(now time.Time) {
	t.liveNow = nil
	gap := now.Sub(t.last)
	t.last = now
	if gap > pauseLimit {
		for _, m := range t.members {
			if !m.heard.IsZero() {
				m.heard = m.heard.Add(gap)
				m.reported = m.reported.Add(gap)
			}
		}
	}
	for host, m := range t.members {
		if now.Sub(latest(m.heard, m.firstSaw)) > ForgetAfter {
			delete(t.members, host)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *member) live(now time.Time) bool {
	return !m.reported.IsZero() && now.Sub(m.reported) < LiveAfter || !m.heard.IsZero() && now.Sub(m.heard) < sightedAfter
}

// targets returns the hosts to send the next report to when each router reports to
// all: those that are live, and now and then those that are silent.
func (t *Table) targets(now time.Time) []string {
	hosts := t.silent(now)
	for host, m := range t.members {
		if m.live(now) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// silent returns the silent hosts whose turn it is to be tried again. In a large
// fleet these are a few of each data centre, since a connection costs several
// kilobytes and one relay that answers tells of all others: the first ones by host,
// which are the relays if they live, and those that were tried longest ago.
func (t *Table) silent(now time.Time) []string {
	var hosts []string
	for _, m := range t.toProbe(now) {
		if now.Sub(m.probed) >= probeInterval {
			m.probed, t.probed = now, now
			hosts = append(hosts, m.record.Host)
		}
	}
	for seed, probed := range t.seeds {
		if t.members[seed] == nil && now.Sub(probed) >= probeInterval {
			t.seeds[seed] = now
			hosts = append(hosts, seed)
		}
	}
	return hosts
}

// toProbe returns the silent routers that may be tried now.
func (t *Table) toProbe(now time.Time) []*member {
	relayed := t.relayed(now)
	if relayed && now.Sub(t.probed) < probeInterval {
		return nil
	}
	// At first the relay of the own data centre may only not have been heard yet.
	nearOnly := relayed && now.Sub(t.began) < probeInterval
	silent := map[string][]*member{} // by data centre
	for _, m := range t.members {
		dataCentre := m.record.DataCentre
		if !m.live(now) && (!nearOnly || dataCentre == t.self.DataCentre) {
			silent[dataCentre] = append(silent[dataCentre], m)
		}
	}
	var chosen []*member
	for _, members := range silent {
		if relayed {
			members = likelyRelays(members)
		}
		chosen = append(chosen, members...)
	}
	return chosen
}

// likelyRelays picks the first silent routers of a data centre by host and, of the
// rest, those that were tried longest ago.
func likelyRelays(silent []*member) []*member {
	slices.SortFunc(silent, func(a, b *member) int { return strings.Compare(a.record.Host, b.record.Host) })
	if len(silent) <= relaysPerDataCentre {
		return silent
	}
	rest := silent[relaysPerDataCentre:]
	slices.SortStableFunc(rest, func(a, b *member) int { return a.probed.Compare(b.probed) })
	return silent[:min(relaysPerDataCentre+probesOfOthers, len(silent))]
}

// Addresses returns every host that a report may go to.
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

// complete fills in the record and sequence of a report of this router.
func (t *Table) complete(r *Report) {
	t.count++
	r.Record = t.self
	r.Sequence = t.count
}

// addKnown adds all routers that this one knows of.
func (t *Table) addKnown(r *Report) {
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		r.Known = append(r.Known, t.members[host].record)
	}
}

// Live returns the routers that report, this one included, sorted by host. The
// caller must not change the result.
func (t *Table) Live(now time.Time) []Record {
	if t.liveNow != nil && t.liveAt.Equal(now) {
		return t.liveNow
	}
	live := []Record{t.self}
	for _, m := range t.members {
		if m.live(now) {
			live = append(live, m.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
	t.liveNow, t.liveAt = live, now
	return live
}

// Reports returns the latest report of each router that has sent one lately.
func (t *Table) Reports(now time.Time) []*Report {
	var reports []*Report
	for _, host := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[host]; m.report != nil && now.Sub(m.reported) < LiveAfter {
			reports = append(reports, m.report)
		}
	}
	return reports
}

// Heard returns how long ago a host's latest report arrived.
func (t *Table) Heard(now time.Time, host string) time.Duration {
	if m := t.members[host]; m != nil && !m.heard.IsZero() {
		return now.Sub(m.heard)
	}
	return ForgetAfter
}

// Known returns how many other routers have taken part lately, live or not.
func (t *Table) Known(now time.Time) int {
	count := 0
	for _, m := range t.members {
		if !m.heard.IsZero() && now.Sub(m.heard) < recentlyKnown && m.record.State != Leaving {
			count++
		}
	}
	return count
}

// WatchersPerRegion is how many routers of a region watch the store for all of
// them. One is enough while it lives; the others take over when its word is old.
const WatchersPerRegion = 1

// Watches tells whether this router is one of those that watch the store for
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

// ConfirmedAge returns how long ago the store last confirmed to some other live
// router that nothing has changed. What changed before reaches this router with
// that router's reports.
func (t *Table) ConfirmedAge(now time.Time) time.Duration {
	age := ForgetAfter
	for _, r := range t.Reports(now) {
		age = min(age, r.StoreAge()+now.Sub(t.members[r.Host].reported))
	}
	return age
}
