package cell

import (
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

const fuzzCell = "s/upstate/0"

// fuzzSeq is the sequence number of t1 at its entry.
var fuzzSeq = firstSeq(uint32(xxhash.Sum64String("a"))) + 1

// fuzzNode returns a router that is the dispatcher of a cell in which t1 runs and
// t2 waits. It is ready because takeoverTimeout has passed.
func fuzzNode(t testing.TB) (*Node, time.Time) {
	now := time.Unix(1000, 0)
	host := "r1"
	if newLayout(fuzzView(), DefaultMaxUpstreams, "").assignedHolder(fuzzCell) == "r2" {
		host = "r2"
	}
	n := NewNode(Config{Host: host, Region: "upstate", Incarnation: "a", Policy: dispatch.DefaultPolicy()})
	n.Step(now, ViewChanged{fuzzView()})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		n.Step(now, Tick{})
	}
	n.Step(now, Submit{ticket.Ticket{ID: "t1", Workspace: "w", Service: "s"}})
	n.Step(now, Submit{ticket.Ticket{ID: "t2", Workspace: "w", Service: "s"}})
	stats := n.Stats(now)
	require.Equal(t, []int{1, 1}, []int{stats.Running, stats.Waiting})
	require.Len(t, stats.Cells, 1)
	require.Equal(t, "t1", n.client.bySeq[fuzzSeq].ticket.ID)
	return n, now
}

func fuzzView() View {
	return View{
		Routers:   []Router{{Host: "r1", Region: "upstate"}, {Host: "r2", Region: "upstate"}},
		Upstreams: []objectapi.Host{{ID: "u1", Kind: objectapi.HostUpstream, Region: "upstate", Service: "s", Slots: 1}},
		Limits:    map[string]map[string]dispatch.Limits{"s": {"w": {Weight: 1}}},
	}
}

// fuzzSections returns sections that together contain every kind of message.
func fuzzSections() []section {
	work := wireTicket{Seq: 9, ID: "t9", Workspace: "w", PromptTokens: 10, RemainingMS: 1000}
	own := fuzzSeq
	return []section{
		{Claim: &claimMessage{Epoch: 5, Holder: "r2"}},
		{Handover: true, Counters: counters{"b": {"w": {Served: 7, Offset: 3}}}},
		{State: &stateMessage{Queued: []wireTicket{work}, Running: []runningMessage{{Ticket: work, Upstream: "u1"}}}},
		{Submits: []wireTicket{work}, Cancels: []uint64{9}, Declines: []uint64{1}, Waiting: []uint64{9, 1}},
		{Usages: []usageMessage{{Seq: 9, Used: ticket.Usage{GeneratedTokens: 4}}}, Finishes: []finishMessage{{Seq: 9}}, Progress: []int64{9, 4}},
		{Ack: &ackMessage{Finished: []uint64{own}, Unknown: []uint64{own}, NotHolder: true}},
		{Grants: []grantMessage{{Seq: own, Upstream: "u1"}}, Refusals: []refusalMessage{{Seq: own, Reason: ticket.ReasonQueueFull}}, Stops: []uint64{own}},
		{SenderCell: "s/midlands/0", Summary: &dispatch.Summary{FreeSlots: 1, Waiting: []dispatch.Waiting{{Workspace: "w", Tickets: 2, Cost: 5}}}},
		{SenderCell: "s/midlands/0", Pulls: []pullMessage{{Count: 3}}, Lends: []wireTicket{work}, Returns: []string{"t2"}, Decided: []string{"t2"}},
	}
}

// FuzzReceive guards against a message of another router that makes a Node panic,
// and against a malformed message that has any effect: a Node that received it
// must behave like one that did not.
func FuzzReceive(f *testing.F) {
	var all []section
	for _, s := range fuzzSections() {
		s.Cell, s.Epoch = fuzzCell, 1
		all = append(all, s)
		body, err := encode(envelope{Incarnation: 1, Sections: []section{s}})
		require.NoError(f, err)
		f.Add(body)
		f.Add(body[:len(body)-1])
	}
	body, err := encode(envelope{Incarnation: 1, Sections: append(all, section{})})
	require.NoError(f, err)
	f.Add(body)
	f.Fuzz(checkReceive)
}

// checkReceive delivers a body repeatedly. If it is malformed, the node must behave
// like one that did not receive it.
func checkReceive(t *testing.T, body []byte) {
	n, now := fuzzNode(t)
	untouched, _ := fuzzNode(t)
	from := map[string]string{"r1": "r2", "r2": "r1"}[n.cfg.Host]
	_, malformed := decode(body)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		got := n.Step(now, Receive{From: from, Body: body})
		if malformed == nil {
			n.Stats(now)
			continue
		}
		want := untouched.Step(now, Tick{})
		require.Equal(t, want.Decisions, got.Decisions)
		require.Equal(t, want.Send, got.Send)
		require.Len(t, got.Events, len(want.Events)+1)
		require.Equal(t, untouched.Stats(now), n.Stats(now))
	}
}

// FuzzReceiveValues guards against values in well-formed messages that make a
// Node panic or overflow its arithmetic. It mutates values because mutated bytes
// rarely pass the decoder. The bits of kinds select the sections of the message.
func FuzzReceiveValues(f *testing.F) {
	for kinds := range uint16(1) << 3 {
		f.Add(kinds<<6|kinds<<3|kinds, fuzzSeq, int64(5), int64(3), "t2", "w")
	}
	f.Add(uint16(0xffff), uint64(math.MaxUint64), int64(math.MaxInt64), int64(math.MinInt64), "", "r2")
	f.Add(uint16(0xffff), uint64(0), int64(maxUnits), maxTokens, "t1", "u1")
	f.Fuzz(func(t *testing.T, kinds uint16, seq uint64, a, b int64, id, name string) {
		usage := ticket.Usage{PromptTokens: a, CachedTokens: b, GeneratedTokens: a, PlainCalls: b}
		work := wireTicket{
			Seq: seq, ID: id, Workspace: name, Hint: ticket.Units(a), PromptTokens: b, BodyBytes: a,
			RemainingMS: b, WaitedMS: a, Stops: int(b), PriorUsage: &usage, PrefixHash: seq,
		}
		sample := sampleMessage{FirstToken: a, PerToken: b, Failed: kinds&1 != 0}
		counted := counters{id: {name: {Served: ticket.Units(a), Offset: ticket.Units(b)}}}
		waiting := []dispatch.Waiting{{Workspace: name, Tickets: int(a), Cost: ticket.Units(b)}, {Workspace: "w", Tickets: int(a)}}
		sections := []section{
			{Claim: &claimMessage{Epoch: seq, Holder: name}},
			{Handover: true, Counters: counted},
			{State: &stateMessage{Queued: []wireTicket{work}, Running: []runningMessage{{Ticket: work, Upstream: name, Used: usage}}}},
			{Submits: []wireTicket{work}, Cancels: []uint64{seq}, Declines: []uint64{seq}, Waiting: []uint64{seq, uint64(a)}},
			{Usages: []usageMessage{{Seq: seq, Used: usage, Sample: sample}}, Finishes: []finishMessage{{Seq: seq, Used: usage, Sample: sample, Outcome: dispatch.Outcome(b & 7)}}},
			{Progress: []int64{a, b, b, a}},
			{Ack: &ackMessage{Finished: []uint64{seq}, Unknown: []uint64{seq}, NotHolder: a > b}},
			{Grants: []grantMessage{{Seq: seq, Upstream: name}}, Stops: []uint64{seq}},
			{Refusals: []refusalMessage{{Seq: seq, Reason: ticket.RefusalReason(name), RetryAfter: a}}},
			{SenderCell: name, Summary: &dispatch.Summary{FreeSlots: int(b), Waiting: waiting, Counters: counted}},
			{SenderCell: name, Pulls: []pullMessage{{Workspace: id, Count: int(a)}, {Count: int(b)}}},
			{SenderCell: name, Lends: []wireTicket{work}, Returns: []string{id}, Decided: []string{id}},
		}
		e := envelope{Incarnation: uint32(seq >> seqBits)}
		for i, s := range sections {
			if kinds>>i&1 != 0 {
				s.Cell, s.Epoch = fuzzCell, seq
				e.Sections = append(e.Sections, s)
			}
		}
		body, err := encode(e)
		require.NoError(t, err)
		checkReceive(t, body)
	})
}
