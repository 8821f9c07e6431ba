package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// baselineNode returns router r1 of a fleet of three routers and two upstreams of
// two slots each. One upstream is in the region of r1, the other in a region
// without a router.
func baselineNode(kind dispatch.Kind, now time.Time) *Node {
	policy := dispatch.DefaultPolicy()
	policy.Kind = kind
	n := NewNode(Config{Host: "r1", Region: "upstate", Incarnation: "a", Policy: policy})
	n.Step(now, ViewChanged{View{
		Routers: []Router{{Host: "r1", Region: "upstate"}, {Host: "r2", Region: "upstate"}, {Host: "r3", Region: "lowcountry"}},
		Upstreams: []objectapi.Host{
			{ID: "u1", Kind: objectapi.HostUpstream, Region: "upstate", Service: "s", Slots: 2},
			{ID: "u2", Kind: objectapi.HostUpstream, Region: "midlands", Service: "s", Slots: 2},
		},
		Limits: map[string]map[string]dispatch.Limits{"s": {"w1": {Weight: 1}, "w2": {Weight: 1}}},
	}})
	return n
}

// testBaseline submits more requests than there are slots, among them three that
// have to be refused, and finishes them in the order of their grants. It returns
// the workspaces in the order of the grants.
func testBaseline(t *testing.T, kind dispatch.Kind) []string {
	now := time.Unix(1000, 0)
	n := baselineNode(kind, now)
	running := map[string]int{}
	upstreamOf := map[string]string{}
	workspaceOf := map[string]string{}
	decided := map[string]int{}
	refusals := map[string]ticket.RefusalReason{}
	var granted, workspaces []string
	step := func(in Input) {
		out := n.Step(now, in)
		require.Empty(t, out.Send)
		for _, d := range out.Decisions {
			switch d := d.(type) {
			case Granted:
				decided[d.ID]++
				granted = append(granted, d.ID)
				workspaces = append(workspaces, workspaceOf[d.ID])
				upstreamOf[d.ID] = d.Upstream
				running[d.Upstream]++
				require.LessOrEqual(t, running[d.Upstream], 2)
			case Refused:
				decided[d.ID]++
				refusals[d.ID] = d.Reason
			default:
				t.Fatalf("unexpected %T", d)
			}
		}
	}
	submit := func(id, workspace, service string, deadline time.Duration) {
		workspaceOf[id] = workspace
		tk := ticket.Ticket{ID: id, Workspace: workspace, Service: service}
		if deadline > 0 {
			tk.Deadline = now.Add(deadline)
		}
		step(Submit{tk})
	}
	for i := range 12 {
		submit(fmt.Sprintf("a%02d", i), "w1", "s", 0)
	}
	for i := range 4 {
		submit(fmt.Sprintf("b%02d", i), "w2", "s", 0)
	}
	submit("expired", "w2", "s", 50*time.Millisecond)
	submit("unknown workspace", "w9", "s", 0)
	submit("unknown service", "w1", "none", 0)
	require.Equal(t, map[string]int{"u1": 2, "u2": 2}, running)
	now = now.Add(time.Second)
	step(Tick{})
	step(Receive{From: "r2", Body: []byte{1}})
	for i := 0; i < len(granted); i++ {
		now = now.Add(100 * time.Millisecond)
		running[upstreamOf[granted[i]]]--
		step(Progress{ID: granted[i], Used: ticket.Usage{GeneratedTokens: 50}})
		step(Finish{ID: granted[i], Used: ticket.Usage{GeneratedTokens: 100}})
	}
	require.Len(t, granted, 16)
	require.Len(t, decided, len(workspaceOf))
	for id := range decided {
		require.Equal(t, 1, decided[id], id)
	}
	require.Equal(t, map[string]ticket.RefusalReason{
		"expired": ticket.ReasonDeadlinePassed, "unknown workspace": ticket.ReasonUnknownWorkspace, "unknown service": ticket.ReasonNoUpstream,
	}, refusals)
	stats := n.Stats(now)
	require.Zero(t, stats.Waiting+stats.Running+stats.PendingFinishes)
	return workspaces
}

// TestFIFO guards against a FIFO baseline that waits for a dispatcher, decides a
// ticket twice or never, or grants tickets out of order.
func TestFIFO(t *testing.T) {
	workspaces := testBaseline(t, dispatch.KindFIFO)
	require.NotContains(t, workspaces[:12], "w2")
}

// TestFairLocal guards against a local fair baseline that waits for a dispatcher,
// decides a ticket twice or never, or serves one workspace's backlog before the
// tickets of a workspace that arrives later.
func TestFairLocal(t *testing.T) {
	workspaces := testBaseline(t, dispatch.KindFairLocal)
	// Four tickets of w1 run before w2 arrives. Then the workspaces alternate until
	// w2 has no more work. Correcting the estimate of the first four from 150 to
	// 100 tokens gives w1 two more tickets before the first one of w2.
	first, last := slices.Index(workspaces, "w2"), len(workspaces)
	for workspaces[last-1] != "w2" {
		last--
	}
	require.LessOrEqual(t, first, 4+2)
	require.LessOrEqual(t, last-first, 2*4)
}

// TestBaselineWithoutUpstream guards against tickets that wait forever after the
// last upstream of their service has left, because they are not refused or no
// Tick is scheduled for the refusal.
func TestBaselineWithoutUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	n := baselineNode(dispatch.KindFIFO, now)
	view := n.view
	view.Upstreams = nil
	n.Step(now, ViewChanged{view})
	out := n.Step(now, Submit{ticket.Ticket{ID: "t1", Workspace: "w1", Service: "s"}})
	require.Empty(t, out.Decisions)
	require.Equal(t, now.Add(n.cfg.Policy.NoUpstreamGrace), out.Wake.In(now.Location()))
	out = n.Step(out.Wake, Tick{})
	require.Len(t, out.Decisions, 1)
	require.Equal(t, ticket.ReasonNoUpstream, out.Decisions[0].(Refused).Reason)
}
