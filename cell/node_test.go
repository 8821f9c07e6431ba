package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// TestGrantOnOneRouter guards against a single router that does not grant its own
// requests, or sends messages to itself over the network.
func TestGrantOnOneRouter(t *testing.T) {
	now := time.Unix(1000, 0)
	n := NewNode(Config{Host: "r1", Region: "upstate", Incarnation: "a", Policy: dispatch.DefaultPolicy()})
	n.Step(now, ViewChanged{View{
		Routers:   []Router{{Host: "r1", Region: "upstate"}},
		Upstreams: []objectapi.Host{{ID: "u1", Kind: objectapi.HostUpstream, Region: "upstate", Service: "s", Slots: 1}},
		Limits:    map[string]map[string]dispatch.Limits{"s": {"w": {Weight: 1}}},
	}})
	out := n.Step(now, Submit{ticket.Ticket{ID: "t1", Workspace: "w", Service: "s"}})
	require.Equal(t, []Decision{Granted{ID: "t1", Upstream: "u1", Cell: "s/upstate/0", Epoch: 1}}, out.Decisions)
	out = n.Step(now, Submit{ticket.Ticket{ID: "t2", Workspace: "w", Service: "s"}})
	require.Empty(t, out.Decisions)
	out = n.Step(now, Finish{ID: "t1", Used: ticket.Usage{GeneratedTokens: 3}})
	require.Equal(t, []Decision{Granted{ID: "t2", Upstream: "u1", Cell: "s/upstate/0", Epoch: 1}}, out.Decisions)
	require.Empty(t, out.Send)
}
