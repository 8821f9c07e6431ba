package fleet

import (
	"cmp"
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
	for host, m := range t.members {
		isNew := now.Sub(m.firstSeenAt) < 2*probeInterval
		receivesDigests := active && m.record.DataCentre == t.self.DataCentre
		if !isNew || receivesDigests || m.report == nil || now.Sub(m.reportedAt) >= ReportInterval || now.Sub(m.introducedAt) < probeInterval {
			continue
		}
		m.introducedAt = now
		introduction := *own
		introduction.Loads, introduction.WorkspaceTokens, introduction.Retries, introduction.Interest = nil, nil, nil, nil
		introduction.Known = t.likelyRelays(now, m.record.DataCentre)
		messages = append(messages, Message{To: []string{host}, Kind: KindIntroduction, Envelope: Envelope{Report: &introduction}})
	}
	return messages
}

// likelyRelays returns the first known routers of each data centre, live ones first,
// and a few more of the given one.
func (t *Table) likelyRelays(now time.Time, dataCentre string) []Record {
	byDataCentre := map[string][]*member{}
	for _, m := range t.members {
		byDataCentre[m.record.DataCentre] = append(byDataCentre[m.record.DataCentre], m)
	}
	var likely []Record
	for name, members := range byDataCentre {
		slices.SortFunc(members, func(a, b *member) int {
			if live := t.isLive(now, a); live != t.isLive(now, b) {
				if live {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.record.Host, b.record.Host)
		})
		count := relaysPerDataCentre
		if name == dataCentre {
			count += extraProbes
		}
		for _, m := range members[:min(len(members), count)] {
			likely = append(likely, m.record)
		}
	}
	return likely
}
