package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/peer"
)

// members connects the membership state machine to the peers.
type members struct {
	ctx            context.Context
	node           *member.Node
	loop           *loop[member.Input]
	transport      peer.Transport
	events         *event.Log
	all            atomic.Pointer[[]member.Member]
	live           atomic.Pointer[[]member.Member] // as returned by member.Node.Live
	onChange       func()                          // called after the members have changed
	config         func(member.PeerConfig)         // called with a peer's report of its lists
	onReachability func(reachable, known int)      // called with the counts of routers after each step
}

func newMembers(ctx context.Context, node *member.Node, transport peer.Transport, events *event.Log) *members {
	m := &members{ctx: ctx, node: node, transport: transport, events: events}
	m.all.Store(&[]member.Member{})
	m.live.Store(&[]member.Member{})
	m.loop = newLoop[member.Input](member.Tick{}, m.step)
	return m
}

// step passes an input to the state machine and carries out its output.
func (m *members) step(now time.Time, in member.Input) time.Time {
	out := m.node.Step(now, in)
	if out.Changed {
		m.publish(now)
	}
	m.onReachability(m.node.Reachable(now))
	for _, message := range out.Send {
		m.transport.Send(message.To, peer.PartMember, message.Body)
	}
	for _, e := range out.Events {
		e.Part = "member"
		m.events.Add(e)
	}
	for _, report := range out.PeerConfigs {
		m.config(report)
	}
	return out.Wake
}

// publish stores snapshots of the members after a change.
func (m *members) publish(now time.Time) {
	all := m.node.Members()
	live := m.node.Live(now)
	m.all.Store(&all)
	m.live.Store(&live)
	m.onChange()
}

func (m *members) receive(from string, body []byte) {
	m.loop.send(m.ctx, member.Receive{From: from, Body: body})
}

func (m *members) setHosts(hosts []objectapi.Host) {
	m.loop.send(m.ctx, member.HostList{Hosts: hosts})
}

func (m *members) setConfig(version int64, age time.Duration) {
	m.loop.send(m.ctx, member.ConfigInForce{Version: version, ConfirmedAge: age})
}

// leave announces that this router is leaving or, if final is set, that it has left.
func (m *members) leave(final bool) { m.loop.send(m.ctx, member.Leave{Final: final}) }
