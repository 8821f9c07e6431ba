package fleet

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// directLimit is the size of the fleet up to which each reports to all.
	// Beyond it the messages of a router would grow with the fleet, and relays add
	// the reports of a data centre up.
	directLimit = 16
	// relaysPerDataCentre get the reports of a data centre. The first one that is
	// live passes sums on, the next one takes over when it falls silent.
	relaysPerDataCentre = 2
	// relaySilence is the silence after which the next relay takes over.
	relaySilence = 4 * ReportInterval
	// recordsEvery is the number of digests between two that carry records; it has
	// to be well below LiveAfter in time.
	recordsEvery = 2
)

// Digest is the sum of many reports. Relays of data centres exchange those of
// their data centre, and send each member the sum over all others.
type Digest struct {
	// DataCentre is empty in the digest for a member.
	DataCentre string  `cbor:"1,keyasint,omitempty"`
	Totals     *Totals `cbor:"2,keyasint"`
	// Members are the live routers that the sums cover, in some digests only.
	Members []Sighting `cbor:"3,keyasint,omitempty"`
}

// Sighting is a router that was heard some time ago.
type Sighting struct {
	Record
	AgeMs int64 `cbor:"7,keyasint,omitempty"`
}

// Envelope is one message between routers: always the report of the sender, and a
// digest from relays.
type Envelope struct {
	Report *Report `cbor:"1,keyasint"`
	Digest *Digest `cbor:"2,keyasint,omitempty"`
}

// Encode returns the wire form of a message.
func (e *Envelope) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEnvelope reads a message. Errors: ErrMessage.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	if e.Report == nil || e.Report.Host == "" || e.Report.Sequence == 0 {
		return nil, eris.Wrap(ErrMessage, "no report with host and sequence")
	}
	if e.Digest != nil && e.Digest.Totals == nil {
		return nil, eris.Wrap(ErrMessage, "digest without sums")
	}
	return &e, nil
}

// Message is an envelope for one router or for several.
type Message struct {
	To       []string
	Envelope Envelope
}

// received is a digest and when it came.
type received struct {
	digest *Digest
	at     time.Time
}

// relayed tells whether reports travel by relays. Routers that were not heard yet
// count too, or all routers of a fleet that starts would connect to each other
// before they know how many they are.
func (t *Table) relayed(now time.Time) bool {
	size := 1
	for _, m := range t.members {
		if m.live(now) || now.Sub(latest(m.heard, m.firstSaw)) < recentlyKnown {
			size++
		}
	}
	return size > directLimit
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

// passesOn tells whether this router is the relay that passes sums on.
func (t *Table) passesOn(now time.Time) bool {
	for _, host := range t.relays(now, t.self.DataCentre) {
		if host == t.self.Host {
			return true
		}
		if m := t.members[host]; m != nil && now.Sub(m.reported) < relaySilence {
			return false
		}
	}
	return false
}

// Messages returns what to send with a report of this router.
func (t *Table) Messages(now time.Time, own *Report) []Message {
	t.complete(own)
	if !t.relayed(now) {
		if t.count%knownEvery == 1 {
			t.addKnown(own)
		}
		return []Message{{To: t.targets(now), Envelope: Envelope{Report: own}}}
	}
	relays := t.relays(now, t.self.DataCentre)
	messages := []Message{{To: t.others(relays), Envelope: Envelope{Report: own}}}
	if !t.passesOn(now) {
		return append(messages, t.welcome(now, own, relays)...)
	}
	messages = append(messages, Message{To: t.silent(now), Envelope: Envelope{Report: own}})
	return append(messages, t.digests(now, own)...)
}

// welcome tells routers that report to this one, although it passes nothing on,
// of all others. They have just started and know only their seeds.
func (t *Table) welcome(now time.Time, own *Report, relays []string) []Message {
	var newcomers []string
	for host, m := range t.members {
		isNew := now.Sub(m.firstSaw) < 2*probeInterval
		if isNew && m.report != nil && now.Sub(m.reported) < ReportInterval && !slices.Contains(relays, host) {
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

func (t *Table) others(hosts []string) []string {
	var others []string
	for _, host := range hosts {
		if host != t.self.Host {
			others = append(others, host)
		}
	}
	return others
}

// digests returns the sums of this data centre for the relays of the others, and
// for each member here the sums over all other routers.
func (t *Table) digests(now time.Time, own *Report) []Message {
	here := newTotals()
	here.addReport(own, 1)
	var members []*member
	for _, m := range t.members {
		if m.report != nil && now.Sub(m.reported) < LiveAfter && m.record.DataCentre == t.self.DataCentre {
			here.addReport(m.report, 1)
			members = append(members, m)
		}
	}
	t.digestCount++
	withRecords := t.digestCount%recordsEvery == 0
	digest := &Digest{DataCentre: t.self.DataCentre, Totals: here}
	all := newTotals()
	all.add(here)
	t.addFar(now, all)
	var everyone []Sighting
	if withRecords {
		everyone = t.sightings(now)
		for _, s := range everyone {
			if s.DataCentre == t.self.DataCentre {
				digest.Members = append(digest.Members, s)
			}
		}
	}
	// The sums hold this router's figures already.
	bare := *own
	bare.Loads, bare.Uses, bare.Repeats = nil, nil, nil
	messages := []Message{{To: t.farRelays(now), Envelope: Envelope{Report: &bare, Digest: digest}}}
	for _, m := range members {
		sums := newTotals()
		sums.add(all)
		sums.addReport(m.report, -1)
		messages = append(messages, Message{
			To:       []string{m.record.Host},
			Envelope: Envelope{Report: own, Digest: &Digest{Totals: sums, Members: everyone}},
		})
	}
	return messages
}

// farRelays returns the relays of the other data centres.
func (t *Table) farRelays(now time.Time) []string {
	var far []string
	seen := map[string]int{}
	for _, r := range t.Live(now) {
		if r.DataCentre == t.self.DataCentre || r.State == Leaving || seen[r.DataCentre] >= relaysPerDataCentre {
			continue
		}
		seen[r.DataCentre]++
		far = append(far, r.Host)
	}
	return far
}

// sightings returns the live routers with how long ago they were heard.
func (t *Table) sightings(now time.Time) []Sighting {
	sightings := []Sighting{{Record: t.self}}
	for _, m := range t.members {
		if m.live(now) {
			sightings = append(sightings, Sighting{Record: m.record, AgeMs: now.Sub(m.heard).Milliseconds()})
		}
	}
	return sightings
}

// receiveDigest takes the sums of a relay.
func (t *Table) receiveDigest(now time.Time, d *Digest) {
	t.digestsOf[d.DataCentre] = received{digest: d, at: now}
	for _, s := range d.Members {
		t.sight(now, s)
	}
}

// sight notes that another router has heard a router.
func (t *Table) sight(now time.Time, s Sighting) {
	if s.Host == "" || s.Host == t.self.Host {
		return
	}
	t.Learn(now, []Record{s.Record})
	m := t.members[s.Host]
	if s.Incarnation < m.record.Incarnation {
		return
	}
	if at := now.Add(-time.Duration(s.AgeMs) * time.Millisecond); at.After(m.heard) {
		m.heard, m.record = at, s.Record
	}
}

// Totals returns the sums over the other routers.
func (t *Table) Totals(now time.Time) *Totals {
	relayed := t.relayed(now)
	if r, ok := t.digestsOf[""]; ok && now.Sub(r.at) < LiveAfter && relayed {
		return r.digest.Totals
	}
	totals := newTotals()
	for _, m := range t.members {
		// The reports of far relays are in the digests of their data centres.
		counts := !relayed || m.record.DataCentre == t.self.DataCentre
		if counts && m.report != nil && now.Sub(m.reported) < LiveAfter {
			totals.addReport(m.report, 1)
		}
	}
	if relayed {
		t.addFar(now, totals)
	}
	return totals
}

// addFar adds the digests of the other data centres.
func (t *Table) addFar(now time.Time, totals *Totals) {
	for dataCentre, r := range t.digestsOf {
		if dataCentre != "" && dataCentre != t.self.DataCentre && now.Sub(r.at) < LiveAfter {
			totals.add(r.digest.Totals)
		}
	}
}
