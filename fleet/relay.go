package fleet

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/quarantine"
)

const (
	// maxDirectRouters is the largest fleet in which each router reports to all
	// others. In a larger one relays sum up the reports of a data centre, because
	// the messages of a router would otherwise grow with the fleet.
	maxDirectRouters = 16
	// relaysPerDataCentre is the number of relays that receive the reports of a
	// data centre. The first live one forwards the sums; the next one takes over
	// when it falls silent.
	relaysPerDataCentre = 2
	// maxMembersPerInterval is the number of members that a relay serves within a
	// ReportInterval. Members of larger data centres exchange messages with their
	// relays less often, so that the messages of a relay do not grow with the fleet.
	maxMembersPerInterval = 16
	// relayTimeout is the silence after which the next relay takes over.
	relayTimeout = 4 * ReportInterval
	// resyncInterval is the time between two requests to begin a stream of digests
	// again.
	resyncInterval = 2 * ReportInterval
)

// usesRelays reports whether reports go through relays. Routers that were not heard
// from yet count towards the size of the fleet; otherwise all routers of a starting
// fleet would connect to each other before they know how many they are.
func (t *Table) usesRelays(now time.Time) bool {
	size := 1
	for _, m := range t.members {
		if t.isLive(now, m) || now.Sub(later(m.lastHeard(), m.firstSeenAt)) < recentWindow {
			size++
		}
	}
	return size > maxDirectRouters
}

// relays returns the relays of a data centre.
func (t *Table) relays(now time.Time, dataCentre string) []string {
	var relays []string
	for _, r := range t.Live(now) {
		if r.DataCentre == dataCentre && r.State != Leaving && len(relays) < relaysPerDataCentre {
			relays = append(relays, r.Host)
		}
	}
	return relays
}

// isActiveRelay reports whether this router is the relay that forwards sums.
func (t *Table) isActiveRelay(now time.Time, relays []string) bool {
	for _, host := range relays {
		if host == t.self.Host {
			return true
		}
		if m := t.members[host]; m != nil && now.Sub(m.reportedAt) < relayTimeout {
			return false
		}
	}
	return false
}

// pace returns the time between two messages of a relay to a member of a data
// centre, and between two reports of a member.
func (t *Table) pace(dataCentre string) time.Duration {
	return max(t.paces[dataCentre], ReportInterval)
}

// countPaces computes the pace of each data centre from its live routers.
func (t *Table) countPaces(now time.Time) {
	counts := map[string]int{}
	for _, r := range t.Live(now) {
		counts[r.DataCentre]++
	}
	clear(t.paces)
	for dataCentre, count := range counts {
		t.paces[dataCentre] = ReportInterval * time.Duration((count+maxMembersPerInterval-1)/maxMembersPerInterval)
	}
}

// due reports whether a message that is sent once per pace is due. Ticks are a
// ReportInterval apart, and a triggered one may come just before a regular one.
func due(now, last time.Time, pace time.Duration) bool { return now.Sub(last) >= pace-ReportInterval/2 }

// Messages completes this router's report and returns the messages to send.
func (t *Table) Messages(now time.Time, own *Report) []Message {
	t.stamp(own)
	interest, suspects := own.Interest, own.Suspects
	own.Interest, own.Suspects = nil, nil
	if !t.usesRelays(now) {
		if t.sequence%knownInterval == 1 {
			t.addKnown(own)
		}
		return []Message{{To: t.recipients(now), Kind: KindReport, Envelope: Envelope{Report: t.withRepeated(own, suspects, suspectsRepeat)}}}
	}
	relays := t.relays(now, t.self.DataCentre)
	active := t.isActiveRelay(now, relays)
	messages := t.resyncRequests(now, own)
	if t.reportDue(now, own, slices.Contains(relays, t.self.Host)) {
		t.reported, t.reportedAt = own.versions(), now
		own.Interest = t.announceInterest(interest)
		messages = append(messages, Message{To: t.otherHosts(relays), Kind: KindReport, Envelope: Envelope{Report: t.withRepeated(own, suspects, suspectsToRelaysRepeat)}})
	}
	messages = append(messages, t.introductions(now, own, active)...)
	if active {
		messages = append(messages, Message{To: t.dueProbes(now), Kind: KindProbe, Envelope: Envelope{Report: own}})
	}
	if active && t.settled(now) && (due(now, t.digestsAt, t.pace(t.self.DataCentre)) || t.digestVersions != own.versions() || t.digestSuspects.repeating(own.SuspectsRevision)) {
		t.digestsAt, t.digestVersions = now, own.versions()
		messages = append(messages, t.digestMessages(now, own, suspects)...)
	}
	return messages
}

// withRepeated returns a copy of a report that contains the leaving upstreams and the
// evidence against parts of prompts only if that is due.
func (t *Table) withRepeated(own *Report, suspects []quarantine.Suspect, repeat int) *Report {
	report := withSuspects(own, t.suspects.next(suspects, own.SuspectsRevision, repeat))
	report.Leaving = t.leaving.next(own.Leaving)
	return report
}

// withSuspects returns a copy of a report that contains evidence against parts of
// prompts.
func withSuspects(r *Report, suspects []quarantine.Suspect) *Report {
	report := *r
	report.Suspects = suspects
	return &report
}

// reportDue reports whether the relays are due for a report. Relays report to each
// other at each interval, because silence makes the next one take over.
func (t *Table) reportDue(now time.Time, own *Report, isRelay bool) bool {
	return isRelay || t.reported != own.versions() || t.suspects.repeating(own.SuspectsRevision) || due(now, t.reportedAt, t.pace(t.self.DataCentre))
}

// resyncRequests asks relays whose digests were lost to begin their streams again.
func (t *Table) resyncRequests(now time.Time, own *Report) []Message {
	var messages []Message
	for host, s := range t.streams {
		if s.contiguous || now.Sub(s.askedAt) < resyncInterval || now.Sub(s.receivedAt) > reportLifetime {
			continue
		}
		s.askedAt = now
		messages = append(messages, Message{To: []string{host}, Kind: KindResync, Envelope: Envelope{Report: own, Resync: s.epoch}})
	}
	return messages
}

// resync begins the stream of digests to a router again, if it has the given epoch.
func (t *Table) resync(host string, epoch uint64) {
	if m := t.members[host]; m != nil && m.digests != nil && m.digests.epoch == epoch {
		m.digests = nil
	}
	if t.dataCentreDigests != nil && t.dataCentreDigests.epoch == epoch {
		t.dataCentreDigests = nil
	}
}

// otherHosts returns hosts without the one of this router.
func (t *Table) otherHosts(hosts []string) []string {
	var otherHosts []string
	for _, host := range hosts {
		if host != t.self.Host {
			otherHosts = append(otherHosts, host)
		}
	}
	return otherHosts
}

// digestMessages returns the changes of the sums of this data centre for the relays
// of the others, and for each member of this data centre the changes of the sums
// over all other routers.
func (t *Table) digestMessages(now time.Time, own *Report, suspects []quarantine.Suspect) []Message {
	localTotals := NewTotals()
	localTotals.AddReport(own, 0, 1)
	var members []*member
	for _, m := range t.members {
		if m.record.DataCentre == t.self.DataCentre && t.hasFreshReport(now, m) {
			localTotals.AddReport(m.report, now.Sub(m.reportedAt), 1)
			members = append(members, m)
		}
	}
	fleetTotals := NewTotals()
	fleetTotals.Add(localTotals)
	t.addRemoteDigests(now, fleetTotals)
	// The digests already include this router's own loads, tokens and retries.
	withoutLoads := withSuspects(own.withoutLoads(), t.digestSuspects.next(suspects, own.SuspectsRevision, suspectsRepeat))
	remote := t.remoteRelays(now)
	recipients := len(members) + len(remote)
	messages := t.dataCentreMessages(now, withoutLoads, localTotals, remote, recipients)
	live := t.Live(now)
	doubted, ended := t.doubted(now, live), t.endedLately(now)
	for _, m := range members {
		if m.digests == nil {
			m.digests = t.newDigestWriter()
		}
		totals := fleetTotals.restrictedTo(m.interest)
		totals.AddReport(m.report, now.Sub(m.reportedAt), -1)
		report := withoutLoads
		if m.digests.number < suspectsAtOnce {
			report = withSuspects(withoutLoads, suspects) // the member may have just started
		}
		digest := m.digests.next("", digestContent{totals: totals, members: live, doubted: doubted, ended: ended, interest: m.interest}, recipients)
		messages = append(messages, Message{To: []string{m.record.Host}, Kind: KindMemberDigest, Envelope: Envelope{Report: report, Digest: digest}})
	}
	return messages
}

// dataCentreMessages returns the message with the sums of this data centre. All
// relays receive the same stream, which begins again when there is a new one.
// recipients is the number of routers that this one sends digests to.
func (t *Table) dataCentreMessages(now time.Time, own *Report, localTotals *Totals, relays []string, recipients int) []Message {
	for _, host := range relays {
		if !slices.Contains(t.digestRecipients, host) {
			t.dataCentreDigests = nil
		}
	}
	t.digestRecipients = relays
	if len(relays) == 0 {
		return nil
	}
	if t.dataCentreDigests == nil {
		t.dataCentreDigests = t.newDigestWriter()
	}
	var members []Record
	for _, r := range t.Live(now) {
		if r.DataCentre == t.self.DataCentre {
			members = append(members, r)
		}
	}
	digest := t.dataCentreDigests.next(t.self.DataCentre, digestContent{totals: localTotals, members: members, doubted: t.doubted(now, members), ended: t.endedLately(now)}, recipients)
	return []Message{{To: relays, Kind: KindDataCentreDigest, Envelope: Envelope{Report: own, Digest: digest}}}
}

func (t *Table) newDigestWriter() *digestWriter {
	t.epochs++
	return newDigestWriter(t.epochs)
}

// remoteRelays returns the relays of the other data centres.
func (t *Table) remoteRelays(now time.Time) []string {
	var remote []string
	perDataCentre := map[string]int{}
	for _, r := range t.Live(now) {
		if r.DataCentre == t.self.DataCentre || r.State == Leaving || perDataCentre[r.DataCentre] >= relaysPerDataCentre {
			continue
		}
		perDataCentre[r.DataCentre]++
		remote = append(remote, r.Host)
	}
	return remote
}

// receiveDigest applies the digest of a relay.
func (t *Table) receiveDigest(now time.Time, sender Record, d *Digest) {
	s := t.streams[sender.Host]
	if s == nil {
		s = &stream{}
		t.streams[sender.Host] = s
	}
	goneMembers, newer := s.receive(now, sender.Incarnation, d)
	if !newer {
		return
	}
	for _, members := range []map[string]Record{s.usable().members, s.current.members} {
		for _, r := range members {
			if r.Host != sender.Host && !slices.Contains(d.Doubted, r.Host) {
				t.markSeen(now, r)
			}
		}
	}
	for _, gone := range goneMembers {
		t.markGone(now, gone)
	}
}

// markSeen records that a relay considers a router live.
func (t *Table) markSeen(now time.Time, r Record) {
	if r.Host == "" || r.Host == t.self.Host {
		return
	}
	t.Learn(now, []Record{r})
	m := t.members[r.Host]
	if r.Incarnation == m.record.Incarnation {
		r.State = max(r.State, m.record.State) // states only advance
		m.record, m.heardAt = r, now
	}
}

// markGone records that a relay no longer considers a router live.
func (t *Table) markGone(now time.Time, gone GoneMember) {
	if m := t.members[gone.Host]; m != nil && m.record.Incarnation <= gone.Incarnation {
		expired := now.Add(-t.relayedTimeout(m.record.DataCentre))
		if m.heardAt.After(expired) {
			m.heardAt = expired
		}
	}
}

// Totals returns the sums over the other routers. The result belongs to the caller:
// later messages do not change it.
func (t *Table) Totals(now time.Time) *Totals {
	usesRelays := t.usesRelays(now)
	if s := t.freshStream(now, ""); s != nil && usesRelays {
		return s.usable().totals.aged(now.Sub(s.receivedAt))
	}
	totals := NewTotals()
	for _, m := range t.members {
		// Reports of relays in other data centres are included in their digests.
		included := !usesRelays || m.record.DataCentre == t.self.DataCentre
		if included && t.hasFreshReport(now, m) {
			totals.AddReport(m.report, now.Sub(m.reportedAt), 1)
		}
	}
	if usesRelays {
		t.addRemoteDigests(now, totals)
	}
	return totals
}

// addRemoteDigests adds the sums of the other data centres.
func (t *Table) addRemoteDigests(now time.Time, totals *Totals) {
	for dataCentre := range t.paces {
		if dataCentre == t.self.DataCentre {
			continue
		}
		if s := t.freshStream(now, dataCentre); s != nil {
			totals.Add(s.usable().totals.aged(now.Sub(s.receivedAt)))
		}
	}
}

// freshStream returns the stream to use for the sums of a data centre, or for the
// sums over all other routers if dataCentre is empty. While one relay takes over
// from another there are two, each with all sums.
func (t *Table) freshStream(now time.Time, dataCentre string) *stream {
	var best *stream
	for _, s := range t.streams {
		if s.dataCentre != dataCentre || now.Sub(s.receivedAt) >= t.reportTimeout(dataCentre) {
			continue
		}
		if best == nil || s.complete() != best.complete() && s.complete() || s.complete() == best.complete() && s.receivedAt.After(best.receivedAt) {
			best = s
		}
	}
	return best
}
