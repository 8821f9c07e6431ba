package fleet

import "time"

// WatchRank returns the position of this router among the live ones of its region
// that may watch the store on behalf of all of them: ready ones before starting ones,
// by host. The first one watches; the others take over when its confirmations become
// old.
func (t *Table) WatchRank(now time.Time) int {
	before := 0
	for _, r := range t.Live(now) {
		if r.Region != t.self.Region || r.Host == t.self.Host || r.State == Leaving {
			continue
		}
		if r.State > t.self.State || r.State == t.self.State && r.Host < t.self.Host {
			before++
		}
	}
	return before
}

// FollowEvacuations records that this router has to learn of evacuations.
func (t *Table) FollowEvacuations() { t.evacuations = true }

// KnownRank returns how many known routers of this one's region, live or not, come
// before it by host.
func (t *Table) KnownRank() int {
	before := 0
	for host, m := range t.members {
		if m.record.Region == t.self.Region && host < t.self.Host {
			before++
		}
	}
	return before
}

// Uptime returns the time since this router started.
func (t *Table) Uptime(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// StoreFailedAge returns how long ago a call of any other live router to the store
// failed after the last confirmation that it knew, or ForgetAfter if none did.
func (t *Table) StoreFailedAge(now time.Time) time.Duration {
	age := ForgetAfter
	for _, m := range t.members {
		if t.hasFreshReport(now, m) && m.report.StoreFailedMs > 0 {
			age = min(age, time.Duration(m.report.StoreFailedMs)*time.Millisecond+now.Sub(m.reportedAt))
		}
	}
	return age
}

// StoreAnswersSince returns since when the store has answered without an interruption, as
// the live router of this region says that has seen it for the longest time; zero if none
// has. Routers elsewhere cannot tell whether the upstreams of this region could reach the
// store.
func (t *Table) StoreAnswersSince(now time.Time) time.Time {
	var since time.Time
	for _, m := range t.members {
		if !t.hasFreshReport(now, m) || m.report.StoreAnswersMs == 0 || m.record.Region != t.self.Region {
			continue
		}
		if s := m.reportedAt.Add(-time.Duration(m.report.StoreAnswersMs) * time.Millisecond); since.IsZero() || s.Before(since) {
			since = s
		}
	}
	return since
}

// ConfirmedAge returns how long ago the store last confirmed its versions to any
// other live router. Changes before that reach this router through that router's
// reports. A router that follows evacuations counts only those that hold them too.
func (t *Table) ConfirmedAge(now time.Time) time.Duration {
	age := ForgetAfter
	for _, m := range t.members {
		if t.hasFreshReport(now, m) && (!t.evacuations || m.report.EvacuationsVersion > 0) {
			age = min(age, m.report.StoreAge()+now.Sub(m.reportedAt))
		}
	}
	return age
}
