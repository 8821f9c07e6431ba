package fleet

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
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
	// relayTimeout is the silence after which the next relay takes over.
	relayTimeout = 4 * ReportInterval
	// membersInterval is the number of digests after which one lists the members.
	// Sending that many must take much less time than LiveTimeout.
	membersInterval = 2
)

// Digest is the sum of several reports. Relays of different data centres exchange
// the digests of their data centres, and send each member of their own the sum over
// all other routers.
type Digest struct {
	// DataCentre is empty in the digest that a relay sends to a member.
	DataCentre string  `cbor:"1,keyasint,omitempty"`
	Totals     *Totals `cbor:"2,keyasint"`
	// Members lists the live routers that the sums cover; only some digests have
	// it.
	Members []LastSeen `cbor:"3,keyasint,omitempty"`
}

// LastSeen is a router and how long ago it was heard from.
type LastSeen struct {
	Record
	AgeMs int64 `cbor:"7,keyasint,omitempty"`
}

// Envelope is one message between routers: always the sender's report, and from
// relays also a digest.
type Envelope struct {
	Report *Report `cbor:"1,keyasint"`
	Digest *Digest `cbor:"2,keyasint,omitempty"`
}

// Encode returns the wire form of a message.
func (e *Envelope) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEnvelope decodes a message. Errors: ErrMessage.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	if e.Report == nil || e.Report.Host == "" || e.Report.Sequence == 0 {
		return nil, eris.Wrap(ErrMessage, "report has no host or no sequence number")
	}
	if e.Digest != nil && e.Digest.Totals == nil {
		return nil, eris.Wrap(ErrMessage, "digest has no totals")
	}
	return &e, nil
}

// Message is an envelope with its recipients.
type Message struct {
	To       []string
	Envelope Envelope
}

// receivedDigest is a digest with its time of arrival.
type receivedDigest struct {
	digest     *Digest
	receivedAt time.Time
}

// usesRelays reports whether reports go through relays. Routers that were not heard
// from yet count towards the size of the fleet; otherwise all routers of a starting
// fleet would connect to each other before they know how many they are.
func (t *Table) usesRelays(now time.Time) bool {
	size := 1
	for _, m := range t.members {
		if m.live(now) || now.Sub(later(m.heardAt, m.firstSeenAt)) < recentWindow {
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
func (t *Table) isActiveRelay(now time.Time) bool {
	for _, host := range t.relays(now, t.self.DataCentre) {
		if host == t.self.Host {
			return true
		}
		if m := t.members[host]; m != nil && now.Sub(m.reportedAt) < relayTimeout {
			return false
		}
	}
	return false
}

// Messages completes this router's report and returns the messages to send.
func (t *Table) Messages(now time.Time, own *Report) []Message {
	t.stamp(own)
	if !t.usesRelays(now) {
		if t.sequence%knownInterval == 1 {
			t.addKnown(own)
		}
		return []Message{{To: t.recipients(now), Envelope: Envelope{Report: own}}}
	}
	relays := t.relays(now, t.self.DataCentre)
	messages := []Message{{To: t.otherHosts(relays), Envelope: Envelope{Report: own}}}
	if !t.isActiveRelay(now) {
		return append(messages, t.newcomerMessages(now, own, relays)...)
	}
	messages = append(messages, Message{To: t.dueProbes(now), Envelope: Envelope{Report: own}})
	return append(messages, t.digestMessages(now, own)...)
}

// newcomerMessages sends the list of known routers to routers that report to this
// one although it is no relay: they have just started and know only their seeds.
func (t *Table) newcomerMessages(now time.Time, own *Report, relays []string) []Message {
	var newcomers []string
	for host, m := range t.members {
		isNew := now.Sub(m.firstSeenAt) < 2*probeInterval
		if isNew && m.report != nil && now.Sub(m.reportedAt) < ReportInterval && !slices.Contains(relays, host) {
			newcomers = append(newcomers, host)
		}
	}
	if len(newcomers) == 0 || slices.Contains(relays, t.self.Host) {
		return nil
	}
	known := *own
	t.addKnown(&known)
	return []Message{{To: newcomers, Envelope: Envelope{Report: &known}}}
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

// digestMessages returns the sums of this data centre for the relays of the others,
// and for each member of this data centre the sums over all other routers.
func (t *Table) digestMessages(now time.Time, own *Report) []Message {
	localTotals := NewTotals()
	localTotals.AddReport(own, 0, 1)
	var members []*member
	for _, m := range t.members {
		if m.report != nil && now.Sub(m.reportedAt) < LiveTimeout && m.record.DataCentre == t.self.DataCentre {
			localTotals.AddReport(m.report, now.Sub(m.reportedAt), 1)
			members = append(members, m)
		}
	}
	t.digestCount++
	withMembers := t.digestCount%membersInterval == 0
	digest := &Digest{DataCentre: t.self.DataCentre, Totals: localTotals}
	fleetTotals := NewTotals()
	fleetTotals.Add(localTotals)
	t.addRemoteDigests(now, fleetTotals)
	var liveRouters []LastSeen
	if withMembers {
		liveRouters = t.lastSeen(now)
		for _, s := range liveRouters {
			if s.DataCentre == t.self.DataCentre {
				digest.Members = append(digest.Members, s)
			}
		}
	}
	// The digest already includes this router's own loads, tokens and retries.
	withoutLoads := *own
	withoutLoads.Loads, withoutLoads.WorkspaceTokens, withoutLoads.Retries = nil, nil, nil
	messages := []Message{{To: t.remoteRelays(now), Envelope: Envelope{Report: &withoutLoads, Digest: digest}}}
	for _, m := range members {
		totals := NewTotals()
		totals.Add(fleetTotals)
		totals.AddReport(m.report, now.Sub(m.reportedAt), -1)
		messages = append(messages, Message{
			To:       []string{m.record.Host},
			Envelope: Envelope{Report: own, Digest: &Digest{Totals: totals, Members: liveRouters}},
		})
	}
	return messages
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

// lastSeen returns the live routers with how long ago they were heard from.
func (t *Table) lastSeen(now time.Time) []LastSeen {
	lastSeen := []LastSeen{{Record: t.self}}
	for _, m := range t.members {
		if m.live(now) {
			lastSeen = append(lastSeen, LastSeen{Record: m.record, AgeMs: now.Sub(m.heardAt).Milliseconds()})
		}
	}
	return lastSeen
}

// receiveDigest stores the digest of a relay.
func (t *Table) receiveDigest(now time.Time, d *Digest) {
	t.digests[d.DataCentre] = receivedDigest{digest: d, receivedAt: now}
	for _, s := range d.Members {
		t.markSeen(now, s)
	}
}

// markSeen records that another router has heard from a router.
func (t *Table) markSeen(now time.Time, s LastSeen) {
	if s.Host == "" || s.Host == t.self.Host {
		return
	}
	t.Learn(now, []Record{s.Record})
	m := t.members[s.Host]
	if s.Incarnation < m.record.Incarnation {
		return
	}
	if at := now.Add(-time.Duration(s.AgeMs) * time.Millisecond); at.After(m.heardAt) {
		m.heardAt, m.record = at, s.Record
	}
}

// Totals returns the sums over the other routers.
func (t *Table) Totals(now time.Time) *Totals {
	usesRelays := t.usesRelays(now)
	if r, ok := t.digests[""]; ok && now.Sub(r.receivedAt) < LiveTimeout && usesRelays {
		return r.digest.Totals.aged(now.Sub(r.receivedAt))
	}
	totals := NewTotals()
	for _, m := range t.members {
		// Reports of relays in other data centres are included in their digests.
		included := !usesRelays || m.record.DataCentre == t.self.DataCentre
		if included && m.report != nil && now.Sub(m.reportedAt) < LiveTimeout {
			totals.AddReport(m.report, now.Sub(m.reportedAt), 1)
		}
	}
	if usesRelays {
		t.addRemoteDigests(now, totals)
	}
	return totals
}

// addRemoteDigests adds the digests of the other data centres.
func (t *Table) addRemoteDigests(now time.Time, totals *Totals) {
	for dataCentre, r := range t.digests {
		if dataCentre != "" && dataCentre != t.self.DataCentre && now.Sub(r.receivedAt) < LiveTimeout {
			totals.Add(r.digest.Totals.aged(now.Sub(r.receivedAt)))
		}
	}
}
