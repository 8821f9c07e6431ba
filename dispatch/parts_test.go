package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// newScheduler returns a scheduler with the workspaces a and b, of equal weight, and
// the given upstreams.
func newScheduler(policy dispatch.Policy, upstreams ...dispatch.Upstream) *dispatch.Scheduler {
	s := dispatch.New("c", "i", policy)
	for _, name := range []string{"a", "b"} {
		s.SetWorkspace(name, dispatch.Limits{Weight: 1})
	}
	for _, u := range upstreams {
		s.SetUpstream(u)
	}
	return s
}

func workspaceStats(t *testing.T, s *dispatch.Scheduler, now time.Time, name string) dispatch.WorkspaceStats {
	t.Helper()
	for _, w := range s.Stats(now).Workspaces {
		if w.Name == name {
			return w
		}
	}
	t.Fatalf("no workspace %s", name)
	return dispatch.WorkspaceStats{}
}

func upstreamStats(t *testing.T, s *dispatch.Scheduler, now time.Time, id string) dispatch.UpstreamStats {
	t.Helper()
	for _, u := range s.Stats(now).Upstreams {
		if u.ID == id {
			return u
		}
	}
	t.Fatalf("no upstream %s", id)
	return dispatch.UpstreamStats{}
}

// add queues tickets of one workspace.
func add(t *testing.T, s *dispatch.Scheduler, now time.Time, tickets ...ticket.Ticket) {
	t.Helper()
	for _, waiting := range tickets {
		require.Nil(t, s.Enqueue(now, waiting))
	}
}

// next returns the next grant and fails the test if there is none.
func next(t *testing.T, s *dispatch.Scheduler, now time.Time) dispatch.Grant {
	t.Helper()
	g, ok := s.Next(now)
	require.True(t, ok)
	return g
}

func done(s *dispatch.Scheduler, now time.Time, id string, used int64) {
	s.Finish(now, id, tokens(used), dispatch.OutcomeDone, dispatch.Sample{})
}

// Guards against a takeover that charges earlier usage twice, does not count the
// slot of an adopted run, or grants a ticket that is already running.
func TestAdopt(t *testing.T) {
	s := newScheduler(dispatch.DefaultPolicy(), dispatch.Upstream{ID: "u", Slots: 1})
	run := ticket.Ticket{ID: "t1", Workspace: "a", PromptTokens: 1}
	add(t, s, epoch, run)
	s.Adopt(epoch, run, "u", tokens(40))
	s.Adopt(epoch, run, "u", tokens(40))
	require.Nil(t, s.Enqueue(epoch, run), "a running ticket is not refused")
	stats := s.Stats(epoch)
	require.Equal(t, []int{0, 1, 0}, []int{stats.Waiting, stats.Running, stats.FreeSlots})
	require.Zero(t, s.Counters()["i"]["a"].Served)

	add(t, s, epoch, ticket.Ticket{ID: "t2", Workspace: "b", PromptTokens: 1})
	_, ok := s.Next(epoch)
	require.False(t, ok, "the adopted run holds the only slot")
	s.Progress(epoch.Add(time.Second), "t1", tokens(60))
	require.Equal(t, 20*ticket.GeneratedTokenPrice, s.Counters()["i"]["a"].Served)
	done(s, epoch.Add(time.Second), "t1", 70)
	require.Equal(t, 30*ticket.GeneratedTokenPrice, s.Counters()["i"]["a"].Served)
	require.Equal(t, "t2", next(t, s, epoch.Add(time.Second)).Ticket.ID)
}

// Guards against an upstream that gets new work, or is never removed, because a
// run on it was adopted after it had left.
func TestAdoptOnUnknownUpstream(t *testing.T) {
	s := newScheduler(dispatch.DefaultPolicy())
	s.Adopt(epoch, ticket.Ticket{ID: "t1", Workspace: "gone", PromptTokens: 1}, "left", tokens(5))
	add(t, s, epoch, ticket.Ticket{ID: "t2", Workspace: "a", PromptTokens: 1})
	_, ok := s.Next(epoch)
	require.False(t, ok)
	done(s, epoch, "t1", 6)
	require.Empty(t, s.Stats(epoch).Upstreams)
	require.NotNil(t, s.Enqueue(epoch, ticket.Ticket{ID: "t3", Workspace: "gone"}), "the workspace has no plan")
}

// learnSpeed runs one request on each upstream at 10 ms per token, so that the
// scheduler knows the normal speed.
func learnSpeed(t *testing.T, s *dispatch.Scheduler, now time.Time, count int) time.Time {
	t.Helper()
	ids := []string{}
	for i := range count {
		add(t, s, now, ticket.Ticket{ID: fmt.Sprintf("pace%d", i), Workspace: "a", PromptTokens: 1})
		ids = append(ids, next(t, s, now).Ticket.ID)
	}
	for step := range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range ids {
			s.Progress(now, id, tokens(int64(step+1)*10))
		}
	}
	for _, id := range ids {
		done(s, now, id, 200)
	}
	return now
}

// Guards against measuring the time per token from before the adoption. The usage
// report after a takeover may follow at once: 10 tokens in 1 ms would become the
// best time of the service and make all upstreams look slow. A time since the zero
// time would make the upstream of the run itself look slow.
func TestProgressAfterAdoptIsNoSample(t *testing.T) {
	ups := []dispatch.Upstream{{ID: "u1", Slots: 1}, {ID: "u2", Slots: 1}, {ID: "u3", Slots: 1}}
	s := newScheduler(dispatch.DefaultPolicy(), ups...)
	now := learnSpeed(t, s, epoch, len(ups))
	for i, u := range ups {
		s.Adopt(now, ticket.Ticket{ID: fmt.Sprintf("t%d", i), Workspace: "a", PromptTokens: 1}, u.ID, tokens(100))
	}
	s.Progress(now.Add(time.Millisecond), "t0", tokens(110))
	for step := range 30 {
		now = now.Add(100 * time.Millisecond)
		for i := range ups {
			s.Progress(now, fmt.Sprintf("t%d", i), tokens(110+int64(step+1)*10))
		}
		for _, u := range s.Stats(now).Upstreams {
			require.False(t, u.Slowed, "%s after %d reports", u.ID, step+1)
			require.Equal(t, 1, u.Limit, u.ID)
		}
	}
}

// pauseSim simulates two upstreams, one of which can be paused. Runs generate a
// token every 10 ms.
type pauseSim struct {
	t      *testing.T
	sched  *dispatch.Scheduler
	now    time.Time
	paused string // upstream without progress, empty for none
	runs   map[string]*pauseSimRun
	order  []string // ticket IDs in the order of their grants
	added  int      // tickets offered so far
}

type pauseSimRun struct {
	upstream        string
	generated, ends int64 // tokens so far and at the end
}

// step advances the simulation by 100 ms; if offer is set, one more ticket waits.
func (p *pauseSim) step(offer bool) {
	p.now = p.now.Add(100 * time.Millisecond)
	if offer {
		p.added++
		add(p.t, p.sched, p.now, ticket.Ticket{ID: fmt.Sprintf("offer%d", p.added), Workspace: "b", PromptTokens: 1})
	}
	p.grant(100)
	for _, id := range p.order {
		r := p.runs[id]
		if r == nil || r.upstream == p.paused {
			continue
		}
		r.generated += 10
		p.sched.Progress(p.now, id, tokens(r.generated))
		if r.generated >= r.ends {
			done(p.sched, p.now, id, r.generated)
			delete(p.runs, id)
		}
	}
}

// grant grants all tickets that can run now, with runs that end after the given
// number of tokens, and returns the upstream of the last one.
func (p *pauseSim) grant(ends int64) (upstream string) {
	for {
		g, ok := p.sched.Next(p.now)
		if !ok {
			return upstream
		}
		upstream = g.Upstream
		p.runs[g.Ticket.ID] = &pauseSimRun{upstream: upstream, ends: ends}
		p.order = append(p.order, g.Ticket.ID)
	}
}

// Guards against an upstream that stays out of rotation after a pause. It makes no
// progress for 8 s, reports once, and then serves probes at normal speed. The cases
// differ in whether a probe started during the pause, and in whether the runs of
// the upstream end with that one report, so that only new probes show its speed.
func TestUpstreamReturnsAfterPause(t *testing.T) {
	for i := range 4 {
		probed, ends := i&1 != 0, i&2 != 0
		t.Run(fmt.Sprintf("probed %t, runs end %t", probed, ends), func(t *testing.T) {
			s := newScheduler(dispatch.DefaultPolicy(), dispatch.Upstream{ID: "u1", Slots: 4}, dispatch.Upstream{ID: "u2", Slots: 4})
			p := &pauseSim{t: t, sched: s, now: learnSpeed(t, s, epoch, 2), runs: map[string]*pauseSimRun{}}
			add(t, s, p.now, ticket.Ticket{ID: "t0", Workspace: "a", PromptTokens: 1}, ticket.Ticket{ID: "t1", Workspace: "a", PromptTokens: 1})
			pausedID := p.grant(1000)
			p.step(false)
			p.paused = pausedID
			for range 80 {
				p.step(probed)
				s.Stats(p.now)
			}
			require.True(t, upstreamStats(t, s, p.now, pausedID).Slowed)
			resumed := p.now
			p.paused = ""
			for _, r := range p.runs {
				if r.upstream == pausedID && ends {
					r.ends = r.generated + 10
				}
			}
			for p.step(true); upstreamStats(t, s, p.now, pausedID).Slowed; p.step(true) {
				require.Less(t, p.now.Sub(resumed), 5*time.Second)
			}
			for range 50 {
				p.step(true)
				for _, u := range s.Stats(p.now).Upstreams {
					require.False(t, u.Slowed, u.ID)
				}
			}
			require.Equal(t, 4, upstreamStats(t, s, p.now, pausedID).Limit)
			t.Logf("back in rotation after %s", p.now.Sub(resumed)-5*time.Second)
		})
	}
}

// Guards against tickets of a removed workspace that stay queued, and against
// refusing tickets that have already run in part.
func TestRemoveWorkspace(t *testing.T) {
	s := newScheduler(dispatch.DefaultPolicy(), dispatch.Upstream{ID: "u", Slots: 1})
	add(t, s, epoch, ticket.Ticket{ID: "running", Workspace: "a", PromptTokens: 1})
	require.Equal(t, "running", next(t, s, epoch).Ticket.ID)
	stopped := ticket.Ticket{ID: "stopped", Workspace: "a", PromptTokens: 1, Stops: 1, PriorUsage: tokens(5)}
	add(t, s, epoch, ticket.Ticket{ID: "new", Workspace: "a", PromptTokens: 1}, stopped)
	s.RemoveWorkspace("a")
	s.RemoveWorkspace("unknown")
	require.Equal(t, epoch, s.Wake(epoch).In(epoch.Location()), "the refusal is due at once")
	refused := s.Refuse(epoch)
	require.Len(t, refused, 1)
	require.Equal(t, "new", refused[0].Ticket.ID)
	require.Equal(t, ticket.ReasonUnknownWorkspace, refused[0].Reason)
	require.Empty(t, s.Refuse(epoch))
	refusal := s.Enqueue(epoch, ticket.Ticket{ID: "late", Workspace: "a"})
	require.NotNil(t, refusal)
	require.Equal(t, ticket.ReasonUnknownWorkspace, refusal.Reason)
	done(s, epoch, "running", 10)
	require.Equal(t, "stopped", next(t, s, epoch).Ticket.ID)
	s.SetWorkspace("a", dispatch.Limits{Weight: 1})
	add(t, s, epoch, ticket.Ticket{ID: "again", Workspace: "a"})
}

// Guards against tickets that wait forever, or are refused at once, while a cell
// has no upstream.
func TestNoUpstreamGrace(t *testing.T) {
	policy := dispatch.DefaultPolicy()
	s := newScheduler(policy, dispatch.Upstream{ID: "u", Slots: 1})
	add(t, s, epoch, ticket.Ticket{ID: "t1", Workspace: "a", PromptTokens: 1})
	require.Empty(t, s.Refuse(epoch))
	s.SetUpstream(dispatch.Upstream{ID: "u", Slots: 1, Leaving: true})
	require.Empty(t, s.Refuse(epoch))
	end := epoch.Add(policy.NoUpstreamGrace)
	require.Equal(t, end, s.Wake(epoch))
	require.Empty(t, s.Refuse(end.Add(-time.Nanosecond)))

	// An upstream in the meantime restarts the grace period.
	s.SetUpstream(dispatch.Upstream{ID: "v", Slots: 1})
	require.Empty(t, s.Refuse(end))
	s.RemoveUpstream("v")
	require.Empty(t, s.Refuse(end))
	end = end.Add(policy.NoUpstreamGrace)
	require.Empty(t, s.Refuse(end.Add(-time.Nanosecond)))
	stopped := ticket.Ticket{ID: "stopped", Workspace: "a", PromptTokens: 1, Stops: 1, PriorUsage: tokens(5)}
	add(t, s, end, stopped)
	refused := s.Refuse(end)
	require.Len(t, refused, 1, "work that has run stays")
	require.Equal(t, ticket.ReasonNoUpstream, refused[0].Reason)
	require.Equal(t, policy.NoUpstreamGrace, refused[0].RetryAfter)
}

// Guards against prefix affinity that overrides fairness, that has no effect
// inside the window, or that lasts longer than the engine's cache.
func TestPrefixAffinityInsideWindow(t *testing.T) {
	policy := dispatch.DefaultPolicy()
	warmed := func(lead ticket.Units, after time.Duration) (*dispatch.Scheduler, time.Time) {
		s := newScheduler(policy, dispatch.Upstream{ID: "u1", Slots: 1}, dispatch.Upstream{ID: "u2", Slots: 1})
		add(t, s, epoch,
			ticket.Ticket{ID: "warm", Workspace: "a", PromptTokens: 1, PrefixHash: 7},
			ticket.Ticket{ID: "other", Workspace: "b", PromptTokens: 1})
		first, second := next(t, s, epoch), next(t, s, epoch)
		require.Equal(t, []string{"u1", "u2"}, []string{first.Upstream, second.Upstream})
		require.Equal(t, "warm", first.Ticket.ID)
		done(s, epoch, "warm", 10)
		done(s, epoch, "other", 10)
		s.MergeCounters(map[string]map[string]dispatch.Counter{"j": {"a": {Served: lead}}})
		now := epoch.Add(after)
		add(t, s, now,
			ticket.Ticket{ID: "b1", Workspace: "b", PromptTokens: 1, Hint: 10_000},
			ticket.Ticket{ID: "a1", Workspace: "a", PromptTokens: 1, Hint: 10_000, PrefixHash: 7})
		return s, now
	}
	s, now := warmed(0, time.Second)
	g := next(t, s, now)
	require.Equal(t, []string{"a1", "u1"}, []string{g.Ticket.ID, g.Upstream})
	s, now = warmed(policy.Window/2, time.Second)
	require.Equal(t, "a1", next(t, s, now).Ticket.ID, "the lead is inside the window")
	s, now = warmed(2*policy.Window, time.Second)
	require.Equal(t, "b1", next(t, s, now).Ticket.ID, "the lead is above the window")
	s, now = warmed(0, policy.PrefixTTL+time.Second)
	require.Equal(t, "b1", next(t, s, now).Ticket.ID, "the prefix is no longer cached")
}

// Guards against evicting a prefix in constant use in favour of prefixes that were
// used once.
func TestUsedPrefixIsKept(t *testing.T) {
	policy := dispatch.DefaultPolicy()
	policy.MaxPrefixes = 3
	s := newScheduler(policy, dispatch.Upstream{ID: "u1", Slots: 2}, dispatch.Upstream{ID: "u2", Slots: 2})
	// serve runs a request while the given upstream is the more loaded one, and
	// returns the upstream that got it.
	serve := func(id string, hash uint64, busy string) string {
		s.Adopt(epoch, ticket.Ticket{ID: "busy", Workspace: "b", PromptTokens: 1}, busy, ticket.Usage{})
		defer done(s, epoch, "busy", 10)
		add(t, s, epoch, ticket.Ticket{ID: id, Workspace: "a", PromptTokens: 1, PrefixHash: hash})
		g := next(t, s, epoch)
		done(s, epoch, id, 10)
		return g.Upstream
	}
	require.Equal(t, "u2", serve("first", 7, "u1"))
	for i := range uint64(10) {
		require.Equal(t, "u2", serve(fmt.Sprintf("once%d", i), 100+i, "u1"))
		require.Equal(t, "u2", serve(fmt.Sprintf("used%d", i), 7, "u2"), "after %d other prefixes", i+1)
	}
}

// Guards against a workspace that gets nothing until all others have caught up
// with the service that it received on the other side of a partition.
func TestMergedLeadIsLimited(t *testing.T) {
	policy := dispatch.DefaultPolicy()
	for _, lead := range []ticket.Units{policy.MaxLead / 2, 10 * policy.MaxLead} {
		s := newScheduler(policy, dispatch.Upstream{ID: "u", Slots: 1})
		now := epoch
		for i := range 500 {
			add(t, s, now,
				ticket.Ticket{ID: fmt.Sprintf("a%d", i), Workspace: "a", PromptTokens: 1},
				ticket.Ticket{ID: fmt.Sprintf("b%d", i), Workspace: "b", PromptTokens: 1})
		}
		s.MergeCounters(map[string]map[string]dispatch.Counter{"j": {"a": {Served: lead}}})
		served, granted := s.Counters()["j"]["a"].Served, 0
		require.Equal(t, lead, served)
		for granted = 0; ; granted++ {
			require.Less(t, granted, 500, "the leader got no grant")
			g := next(t, s, now)
			ahead := workspaceStats(t, s, now, "a").Service - workspaceStats(t, s, now, "b").Service
			require.LessOrEqual(t, ahead, float64(policy.MaxLead))
			if g.Ticket.Workspace == "a" {
				break
			}
			now = now.Add(time.Second)
			done(s, now, g.Ticket.ID, 100)
		}
		// The other workspace catches up by 100 tokens a run, until the leader is
		// inside the window.
		catchUp := int((min(lead, policy.MaxLead) - policy.Window) / (100 * ticket.GeneratedTokenPrice))
		require.InDelta(t, catchUp, granted, 3)
	}
}
