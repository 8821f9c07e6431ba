package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// benchmarkNext measures one scheduling cycle: Next, Finish, and an Enqueue that
// keeps the queue length constant.
func benchmarkNext(b *testing.B, workspaces, upstreams, tickets int) {
	policy := dispatch.DefaultPolicy()
	policy.MaxQueuedTotal = 2 * tickets
	policy.MaxQueuedDefault = tickets
	s := dispatch.New("c", "i", policy)
	for i := range workspaces {
		s.SetWorkspace(fmt.Sprintf("w%d", i), dispatch.Limits{Weight: 1 + float64(i%3)})
	}
	for i := range upstreams {
		s.SetUpstream(dispatch.Upstream{ID: fmt.Sprintf("u%d", i), Slots: 8})
	}
	now := time.Unix(1_800_000_000, 0)
	add := func(t ticket.Ticket) { s.Enqueue(now, t) }
	for i := range tickets {
		add(ticket.Ticket{
			ID:           fmt.Sprintf("t%d", i),
			Workspace:    fmt.Sprintf("w%d", i%workspaces),
			Hint:         ticket.Units(50+i*7919%2000) * ticket.GeneratedTokenPrice,
			PromptTokens: 100,
			PrefixHash:   uint64(i % 50),
			Deadline:     now.Add(time.Hour + time.Duration(i*7919%tickets)*time.Millisecond),
		})
	}
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		g, ok := s.Next(now)
		if !ok {
			b.Fatal("no grant")
		}
		s.Finish(now, g.Ticket.ID, ticket.Usage{GeneratedTokens: 100}, dispatch.OutcomeDone, dispatch.Sample{})
		add(g.Ticket)
	}
}

func BenchmarkNextTickets(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkNext(b, 140, 16, n) })
	}
}

func BenchmarkNextWorkspaces(b *testing.B) {
	for _, n := range []int{14, 140, 1_400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkNext(b, n, 16, 10_000) })
	}
}

func BenchmarkNextUpstreams(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkNext(b, 140, n, 10_000) })
	}
}
