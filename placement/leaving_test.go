package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// poolModel is what a pool must respect, kept beside it by the schedule.
type poolModel struct {
	pool      *PlainPool
	now       time.Time
	entries   map[string]catalog.Upstream // as the list of upstreams has them
	leftUntil map[string]int64            // StartedMs of the latest instance that leaves, by id
	aloneEnd  map[Instance]time.Time
	sent      []*Ticket // in progress
}

func (m *poolModel) list() {
	var list []catalog.Upstream
	for _, id := range slices.Sorted(maps.Keys(m.entries)) {
		list = append(list, m.entries[id])
	}
	m.pool.SetUpstreams(m.now, list)
}

// Whatever is mixed with it, an upstream that leaves must get no request before a later
// incarnation, and one that is left alone none before its time is over; afterwards
// requests must return a few at a time.
func TestLeavingAndLeftAloneOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{pool: NewPlainPool(DefaultPlainPolicy(), Location{"a", "r"}, map[string]string{"a": "r"}, 1), now: start, entries: map[string]catalog.Upstream{}, leftUntil: map[string]int64{}, aloneEnd: map[Instance]time.Time{}}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("p%d", rapid.IntRange(0, 2).Draw(t, "upstream")) })
		for i := range 3 {
			m.entries[fmt.Sprintf("p%d", i)] = catalog.Upstream{ID: fmt.Sprintf("p%d", i), DataCentre: "a", Slots: 6, StartedMs: 1}
		}
		m.list()
		leave := func(i Instance) {
			m.pool.MarkLeaving(m.now, i)
			m.leftUntil[i.Upstream] = max(m.leftUntil[i.Upstream], i.StartedMs)
		}
		takeTicket := func(t *rapid.T) *Ticket {
			if len(m.sent) == 0 {
				t.Skip("nothing in progress")
			}
			i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "ticket")
			ticket := m.sent[i]
			m.sent = append(m.sent[:i], m.sent[i+1:]...)
			return ticket
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"a request is sent": func(t *rapid.T) {
				d := m.pool.Place(m.now, PlainRequest{Remaining: time.Minute})
				if d.Refused() {
					assert.Positive(t, d.RetryAfter)
					return
				}
				u := d.Upstream
				require.Greater(t, u.StartedMs, m.leftUntil[u.ID], "%s leaves", u.ID)
				end := m.aloneEnd[instance(u)]
				require.False(t, m.now.Before(end), "%s is left alone", u.ID)
				m.sent = append(m.sent, m.pool.Sent(m.now, PlainRequest{}, u))
				assert.True(t, m.pool.MaySend(m.now, m.sent[len(m.sent)-1]))
			},
			"a request ends": func(t *rapid.T) {
				outcomes := []Outcome{Succeeded, Failed, Rejected, Unreachable, Abandoned, Deferred, Withheld}
				m.pool.Ended(m.now, takeTicket(t), rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			},
			"an answer asks to be left alone": func(t *rapid.T) {
				ticket := takeTicket(t)
				wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
				m.pool.LeaveAlone(m.now, ticket, wait)
				if entry, listed := m.entries[ticket.Upstream.ID]; listed && entry.SameInstance(ticket.Upstream) {
					i := instance(ticket.Upstream)
					if end := m.now.Add(wait); end.After(m.aloneEnd[i]) {
						m.aloneEnd[i] = end
					}
					assert.False(t, m.pool.MaySend(m.now, ticket))
				}
				m.pool.Ended(m.now, ticket, Deferred)
			},
			"an answer says that it leaves": func(t *rapid.T) {
				ticket := takeTicket(t)
				leave(instance(ticket.Upstream))
				if m.entries[ticket.Upstream.ID].StartedMs <= ticket.Upstream.StartedMs {
					assert.False(t, m.pool.MaySend(m.now, ticket))
				}
				m.pool.Ended(m.now, ticket, Succeeded)
			},
			"another router says that one leaves": func(t *rapid.T) {
				if u, listed := m.entries[id.Draw(t, "id")]; listed {
					leave(instance(u))
				}
			},
			"the list says that one drains": func(t *rapid.T) {
				if u, listed := m.entries[id.Draw(t, "id")]; listed {
					u.Draining = true
					m.entries[u.ID] = u
					m.list()
					m.leftUntil[u.ID] = max(m.leftUntil[u.ID], u.StartedMs)
				}
			},
			"an entry is written again as ready": func(t *rapid.T) {
				if u, listed := m.entries[id.Draw(t, "id")]; listed {
					u.Draining = false
					m.entries[u.ID] = u
					m.list()
				}
			},
			"an entry is missing": func(t *rapid.T) {
				delete(m.entries, id.Draw(t, "id"))
				m.list()
			},
			"an entry of some incarnation appears": func(t *rapid.T) {
				u := catalog.Upstream{ID: id.Draw(t, "id"), DataCentre: "a", Slots: 6, StartedMs: int64(rapid.IntRange(1, 6).Draw(t, "born"))}
				m.entries[u.ID] = u
				m.list()
			},
		})
	})
}

// Requests must return a few at a time to an upstream that was left alone.
func TestRequestsReturnAFewAtATime(t *testing.T) {
	p := plainPool(1)
	first := p.Sent(start, PlainRequest{}, p.Place(start, PlainRequest{Remaining: time.Minute}).Upstream)
	p.LeaveAlone(start, first, time.Second)
	p.Ended(start, first, Deferred)
	d := p.Place(start, PlainRequest{Remaining: time.Minute})
	assert.Equal(t, AllLeftAlone, d.Reason)
	assert.GreaterOrEqual(t, d.RetryAfter, time.Second)
	assert.Less(t, d.RetryAfter, time.Second+MinRetryAfter)
	now := start.Add(time.Second)
	for _, limit := range []int{1, 2, 4, 8, 16} {
		var tickets []*Ticket
		for {
			d := p.Place(now, PlainRequest{Remaining: time.Minute})
			if d.Refused() {
				assert.Equal(t, AllLeftAlone, d.Reason)
				break
			}
			tickets = append(tickets, p.Sent(now, PlainRequest{}, d.Upstream))
		}
		assert.Len(t, tickets, limit)
		now = now.Add(20 * time.Millisecond)
		p.Ended(now, tickets[0], Succeeded)
		for _, other := range tickets[1:] {
			p.Ended(now, other, Abandoned)
		}
	}
	assert.Equal(t, Available, p.states["p0"].health.state(now))
}

// A shorter time of a later answer must not end a longer one.
func TestLaterAnswersOnlyLengthenTheTime(t *testing.T) {
	var h health
	assert.Equal(t, 3*time.Second, h.leaveAlone(start, 3*time.Second))
	assert.Zero(t, h.leaveAlone(start.Add(time.Second), time.Second))
	assert.Equal(t, LeftAlone, h.state(start.Add(2900*time.Millisecond)))
	assert.Equal(t, time.Second, h.leaveAlone(start.Add(2*time.Second), 2*time.Second))
	assert.Equal(t, LeftAlone, h.state(start.Add(3900*time.Millisecond)))
	assert.Equal(t, Returning, h.state(start.Add(4*time.Second)))
}

// Upstreams that are left alone must not make the failing ones count as the majority,
// nor be used because most others fail.
func TestPanicModeDoesNotUseThoseLeftAlone(t *testing.T) {
	p := plainPool(3)
	for id, s := range p.states {
		if id == "p0" {
			s.health.leaveAlone(start, time.Second)
			continue
		}
		s.health.recordUnreachable(start)
	}
	for range 20 {
		d := p.Place(start, PlainRequest{Remaining: time.Minute})
		require.False(t, d.Refused())
		assert.NotEqual(t, "p0", d.Upstream.ID)
		assert.Equal(t, "p0", d.HeldBack.Upstream)
	}
}

// An instance that started by a clock that is behind must be used, unless one that
// started later by the clocks has said that it leaves.
func TestEarlierStartTimeIsUsedUnlessALaterOneLeft(t *testing.T) {
	entry := func(born int64) []catalog.Upstream {
		return []catalog.Upstream{{ID: "p0", DataCentre: "a", Slots: 6, StartedMs: born}}
	}
	p := plainPool(1)
	p.SetUpstreams(start, entry(5))
	p.SetUpstreams(start, entry(3))
	assert.False(t, p.Place(start, PlainRequest{Remaining: time.Minute}).Refused())
	p.SetUpstreams(start, entry(5))
	assert.True(t, p.MarkLeaving(start, Instance{Upstream: "p0", StartedMs: 5}))
	p.SetUpstreams(start, entry(3))
	assert.Equal(t, NoUpstream, p.Place(start, PlainRequest{Remaining: time.Minute}).Reason)
	p.SetUpstreams(start, entry(6))
	assert.False(t, p.Place(start, PlainRequest{Remaining: time.Minute}).Refused())
}
