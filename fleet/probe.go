package fleet

import (
	"slices"
	"strings"
	"time"
)

// recipients returns the hosts to send the next report to when each router reports
// to all: the live ones and the silent ones that are due for a probe.
func (t *Table) recipients(now time.Time) []string {
	hosts := t.dueProbes(now)
	for host, m := range t.members {
		if t.isLive(now, m) {
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
	if seed := t.dueSeed(now); seed != "" {
		t.seeds[seed], t.seedProbedAt = now, now
		hosts = append(hosts, seed)
	}
	return hosts
}

// dueSeed returns the seed to probe now, or "". Every starting router has the same
// few seeds, so each probes one at a time, and none while it hears of others.
func (t *Table) dueSeed(now time.Time) string {
	interval := probeInterval
	if len(t.Live(now)) == 1 {
		interval = seedInterval
		if len(t.members) > 0 && now.Sub(t.startedAt) < probeInterval {
			return "" // the routers that the store lists are probed first
		}
	}
	if now.Sub(t.seedProbedAt) < interval {
		return ""
	}
	var unknown []string
	for seed := range t.seeds {
		if t.members[seed] == nil {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return ""
	}
	return slices.MinFunc(unknown, func(a, b string) int { return t.seeds[a].Compare(t.seeds[b]) })
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
		if !t.isLive(now, m) && (!localOnly || dataCentre == t.self.DataCentre) {
			silent[dataCentre] = append(silent[dataCentre], m)
		}
	}
	var chosen []*member
	for _, members := range silent {
		if usesRelays {
			members = firstSilent(members)
		}
		chosen = append(chosen, members...)
	}
	return chosen
}

// firstSilent returns the first silent routers of a data centre by host, which are
// its relays if they are live, and, of the rest, those probed longest ago.
func firstSilent(silent []*member) []*member {
	slices.SortFunc(silent, func(a, b *member) int { return strings.Compare(a.record.Host, b.record.Host) })
	if len(silent) <= relaysPerDataCentre {
		return silent
	}
	rest := silent[relaysPerDataCentre:]
	slices.SortStableFunc(rest, func(a, b *member) int { return a.probedAt.Compare(b.probedAt) })
	return silent[:min(relaysPerDataCentre+extraProbes, len(silent))]
}

// introductions tells routers that have just started, and know only their seeds, of
// the routers that are likely to be relays.
func (t *Table) introductions(now time.Time, own *Report, active bool) []Message {
	var messages []Message
	var byDataCentre map[string][]Record // made for the first newcomer; a starting fleet has hundreds
	for host, m := range t.members {
		isNew := now.Sub(m.firstSeenAt) < 2*probeInterval
		receivesDigests := active && m.record.DataCentre == t.self.DataCentre
		if !isNew || receivesDigests || m.report == nil || now.Sub(m.reportedAt) >= ReportInterval || now.Sub(m.introducedAt) < probeInterval {
			continue
		}
		if byDataCentre == nil {
			byDataCentre = t.likelyRelays(now)
		}
		m.introducedAt = now
		introduction := own.withoutLoads()
		for dataCentre, likely := range byDataCentre {
			count := relaysPerDataCentre
			if dataCentre == m.record.DataCentre {
				count += extraProbes
			}
			introduction.Known = append(introduction.Known, likely[:min(len(likely), count)]...)
		}
		messages = append(messages, Message{To: []string{host}, Kind: KindIntroduction, Envelope: Envelope{Report: introduction}})
	}
	return messages
}

// likelyRelays returns the first known routers by data centre, live ones first.
func (t *Table) likelyRelays(now time.Time) map[string][]Record {
	live, silent := map[string][]Record{}, map[string][]Record{}
	for _, m := range t.members {
		group := silent
		if t.isLive(now, m) {
			group = live
		}
		group[m.record.DataCentre] = append(group[m.record.DataCentre], m.record)
	}
	likely := map[string][]Record{}
	for _, group := range []map[string][]Record{live, silent} {
		for dataCentre, records := range group {
			slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Host, b.Host) })
			likely[dataCentre] = append(likely[dataCentre], records[:min(len(records), relaysPerDataCentre+extraProbes)]...)
		}
	}
	return likely
}
