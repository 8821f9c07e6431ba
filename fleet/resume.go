package fleet

import "time"

const (
	// minProcessPause is the gap between steps from which this process must have
	// been suspended.
	minProcessPause = 600 * time.Millisecond
	// minSettleTime and settlePaces set the time after a suspension within which each
	// live router is heard from again, even if some of its messages are lost.
	minSettleTime = 600 * time.Millisecond
	settlePaces   = 3
	// queuedMessages is the time after a suspension in which messages may still arrive
	// that were sent during it.
	queuedMessages = 300 * time.Millisecond
)

// resume records that this process was suspended. The silence of the others is not
// counted against them, but each has to be heard from again within the settle time: it
// may have ended meanwhile.
func (t *Table) resume(now time.Time, gap time.Duration) {
	t.resumedAt, t.pausedFor = now, gap
	for _, m := range t.members {
		settle := t.settleTime(m.record.DataCentre)
		if !m.heardAt.IsZero() {
			m.heardAt = earlier(m.heardAt.Add(gap), now.Add(settle-t.relayedTimeout(m.record.DataCentre)))
		}
		if !m.reportedAt.IsZero() {
			m.reportedAt = earlier(m.reportedAt.Add(gap), now.Add(settle-t.silenceTimeout(m.record.DataCentre)))
		}
	}
	for _, s := range t.streams {
		s.receivedAt = s.receivedAt.Add(gap)
		s.paused = s.paused || gap >= reportLifetime
	}
}

// settleTime returns the time after a suspension within which a live router of a data
// centre is heard from again.
func (t *Table) settleTime(dataCentre string) time.Duration {
	return max(settlePaces*max(t.pace(dataCentre), t.pace(t.self.DataCentre)), minSettleTime) + ReportInterval
}

// settled reports whether this router knows again who is live after a suspension in which
// others could have ended unnoticed, or after it was cut off. Until then it tells nobody
// who is live.
func (t *Table) settled(now time.Time) bool {
	settle := t.settleTime(t.self.DataCentre)
	resumed := t.pausedFor < reportLifetime || now.Sub(t.resumedAt) >= settle
	return resumed && (t.aloneAt.IsZero() || now.Sub(t.aloneAt) >= settle)
}

// noteAlone records whether no other router is live.
func (t *Table) noteAlone(now time.Time) {
	if len(t.members) > 0 && len(t.Live(now)) == 1 {
		t.aloneAt = now
	}
}

// Ready returns the routers to which callers may be sent: the live ready ones, including
// this one if it is, that were heard from since this process was last suspended. They are
// sorted by host.
func (t *Table) Ready(now time.Time) []Record {
	var ready []Record
	for _, r := range t.Live(now) {
		if r.State == Ready && (r.Host == t.self.Host || t.heardSinceResume(r.Host)) {
			ready = append(ready, r)
		}
	}
	return ready
}

// heardSinceResume reports whether a router was heard from after the latest suspension
// for which it could have ended unnoticed.
func (t *Table) heardSinceResume(host string) bool {
	m := t.members[host]
	return m != nil && (t.pausedFor < reportLifetime || m.lastHeard().After(t.resumedAt.Add(queuedMessages)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
