package fleet

import (
	"slices"
	"time"
)

// goneRepeat is the number of digests that name a router that is no longer live. A
// recipient that misses fewer in a row learns of it all the same.
const goneRepeat = 4

// repeatedGone is a router that is no longer live, and the number of digests that are
// still to name it.
type repeatedGone struct {
	GoneMember
	left int
}

// nextGone returns the routers that the next digest has to name as gone, without those
// that are live again.
func (w *digestWriter) nextGone(live map[string]bool) []GoneMember {
	var gone []GoneMember
	w.gone = slices.DeleteFunc(w.gone, func(g repeatedGone) bool { return g.left == 0 || live[g.Host] })
	for i := range w.gone {
		w.gone[i].left--
		gone = append(gone, w.gone[i].GoneMember)
	}
	return gone
}

// endedLately returns the hosts of the routers that were live lately.
func (t *Table) endedLately(now time.Time) []string {
	var ended []string
	for host, m := range t.members {
		if !m.lastHeard().IsZero() && now.Sub(m.lastHeard()) < recentWindow && !t.isLive(now, m) {
			ended = append(ended, host)
		}
	}
	return ended
}

// doubtPaces is the number of messages in a row that a router has to miss of another one
// before it does not confirm any more that the other one is live.
const doubtPaces = 2

// doubted returns those live routers that this one has not heard from for some time. It
// does not confirm them to others, since every relay on the way would otherwise add the
// silence after which it considers them ended itself.
func (t *Table) doubted(now time.Time, live []Record) []string {
	var doubted []string
	for _, r := range live {
		m := t.members[r.Host]
		if m == nil {
			continue
		}
		pace := max(t.pace(r.DataCentre), t.pace(t.self.DataCentre))
		if now.Sub(m.lastHeard()) > doubtPaces*pace+ReportInterval {
			doubted = append(doubted, r.Host)
		}
	}
	return doubted
}
