package dispatch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

var epoch = time.Unix(1_800_000_000, 0)

func tokens(n int64) ticket.Usage { return ticket.Usage{GeneratedTokens: n} }

// Guards against service that is not proportional to the weights.
func TestGrantsFollowWeights(t *testing.T) {
	s := dispatch.New("c", "i", dispatch.DefaultPolicy())
	s.SetWorkspace("a", dispatch.Limits{Weight: 1})
	s.SetWorkspace("b", dispatch.Limits{Weight: 3})
	s.SetUpstream(dispatch.Upstream{ID: "u", Slots: 4})
	for i := range 400 {
		for _, w := range []string{"a", "b"} {
			id := w + strconv.Itoa(i)
			require.Nil(t, s.Enqueue(epoch, ticket.Ticket{ID: id, Workspace: w, PromptTokens: 1}))
		}
	}
	granted := map[string]int{}
	now := epoch
	for range 400 {
		g, ok := s.Next(now)
		if !ok {
			t.Fatal("no grant although a slot is free")
		}
		granted[g.Ticket.Workspace]++
		now = now.Add(time.Millisecond)
		s.Finish(now, g.Ticket.ID, tokens(100), dispatch.OutcomeDone, dispatch.Sample{})
	}
	require.InDelta(t, 300, granted["b"], 6)
}

func engineTicket(id, workspace string) ticket.Ticket {
	return ticket.Ticket{ID: id, Workspace: workspace, PromptTokens: 10}
}

// fill grants n tickets of workspace a and returns the upstream of each ticket ID.
func fill(t *testing.T, s *dispatch.Scheduler, now time.Time, n int) map[string]string {
	placed := map[string]string{}
	for i := range n {
		require.Nil(t, s.Enqueue(now, engineTicket("f"+strconv.Itoa(i), "a")))
		g, ok := s.Next(now)
		require.True(t, ok)
		placed[g.Ticket.ID] = g.Upstream
	}
	return placed
}

// Guards against an upstream that is five times slower or silent and still gets
// new work after 2 s, and against one that never returns to rotation or gets two
// probes at once.
func TestSlowedUpstreamIsProbed(t *testing.T) {
	for name, slowTokens := range map[string]int64{"fivefold": 2, "silent": 0} {
		t.Run(name, func(t *testing.T) {
			s := dispatch.New("c", "i", dispatch.DefaultPolicy())
			s.SetWorkspace("a", dispatch.Limits{Weight: 1})
			s.SetUpstream(dispatch.Upstream{ID: "fast", Slots: 4})
			s.SetUpstream(dispatch.Upstream{ID: "slow", Slots: 4})
			placed := fill(t, s, epoch, 4)
			now := epoch
			for step := int64(1); step <= 8; step++ {
				now = now.Add(250 * time.Millisecond)
				for id, upstream := range placed {
					rate := map[string]int64{"fast": 10, "slow": slowTokens}[upstream]
					s.Progress(now, id, tokens(step*rate))
				}
			}
			require.True(t, s.Stats(now).Upstreams[1].Slowed, "slow upstream not detected within 2 s")
			now = now.Add(3 * time.Second)
			probes := 0
			for i := range 6 {
				s.Enqueue(now, engineTicket("p"+strconv.Itoa(i), "a"))
				if g, ok := s.Next(now); ok && g.Upstream == "slow" {
					probes++
					placed["probe"] = g.Ticket.ID
				}
			}
			require.Equal(t, 1, probes, "concurrent probes")
			good := dispatch.Sample{PerToken: 25 * time.Millisecond}
			for range 12 {
				s.Observe(now, "slow", good)
			}
			require.False(t, s.Stats(now).Upstreams[1].Slowed, "upstream not returned to rotation")
		})
	}
}

// Guards against counters that drift when messages are lost, repeated or
// reordered.
func TestCountersMergeByMaximum(t *testing.T) {
	a, b := dispatch.New("a", "ia", dispatch.DefaultPolicy()), dispatch.New("b", "ib", dispatch.DefaultPolicy())
	for _, s := range []*dispatch.Scheduler{a, b} {
		s.SetWorkspace("a", dispatch.Limits{Weight: 1})
		s.SetUpstream(dispatch.Upstream{ID: "u", Slots: 4})
	}
	fill(t, a, epoch, 1)
	a.Progress(epoch, "f0", tokens(10))
	old := a.Counters()
	a.Progress(epoch, "f0", tokens(30))
	b.MergeCounters(a.Counters())
	b.MergeCounters(old)
	b.MergeCounters(a.Counters())
	require.Equal(t, a.Counters()["ia"], b.Counters()["ia"])
	require.InDelta(t, 30_000, b.Stats(epoch).Workspaces[0].Service, 0.1)
}

// Guards against a flood that keeps other workspaces from queueing.
func TestFloodLeavesRoomForOthers(t *testing.T) {
	policy := dispatch.DefaultPolicy()
	policy.MaxQueuedTotal = 10
	s := dispatch.New("c", "i", policy)
	s.SetWorkspace("a", dispatch.Limits{Weight: 1})
	s.SetWorkspace("b", dispatch.Limits{Weight: 1})
	for i := range 20 {
		refusal := s.Enqueue(epoch, engineTicket("a"+strconv.Itoa(i), "a"))
		require.Equal(t, i >= 10, refusal != nil)
	}
	require.Nil(t, s.Enqueue(epoch, engineTicket("b", "b")))
	evicted := s.Refuse(epoch)
	require.Len(t, evicted, 1)
	require.Equal(t, ticket.ReasonQueueFull, evicted[0].Reason)
	require.Equal(t, 10, s.Stats(epoch).Waiting)
}
