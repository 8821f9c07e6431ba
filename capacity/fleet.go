package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// One-way message delays and periods of the simulations.
const (
	intraRegionDelay = 500 * time.Microsecond
	interRegionDelay = 8 * time.Millisecond
	platformDelay    = 2 * time.Millisecond
	// watchPause and agePeriod have the same values as in package router, where
	// confirmPeriod is 500 ms.
	confirmPeriod = 700 * time.Millisecond // between two reads of the lists from the platform
	watchPause    = 200 * time.Millisecond // between two watches
	agePeriod     = 250 * time.Millisecond // between two ticks of a replica
	hostsPeriod   = 500 * time.Millisecond // between two reads of the host list
)

// Fleet is one measurement of membership and configuration distribution.
type Fleet struct {
	Nodes int `json:"nodes"`
	// Messages, Bytes and CPUSeconds are per node and second. Bytes counts message
	// bodies only.
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"body_bytes_per_second"`
	// MaxBytes is the value of the node that sent most.
	MaxBytes   float64 `json:"max_body_bytes_per_second"`
	CPUSeconds float64 `json:"cpu_seconds_per_second"`
	// StepMicros is the processor time of one step of the membership state machine.
	StepMicros float64 `json:"us_per_step"`
	// ConfigSeconds is the longest time until a change was in force on all nodes.
	// Fetches is the number of list transfers between routers per change, and
	// MaxServed the maximum that one node served for a change.
	ConfigSeconds float64 `json:"config_seconds"`
	Fetches       float64 `json:"fetches_per_change"`
	MaxServed     float64 `json:"most_fetches_served"`
	// LossSeconds is the time from the loss of a data centre until all live nodes
	// agree on the live nodes. LossBytes is the number of bytes per live node and
	// second in that time.
	LossSeconds float64 `json:"loss_seconds"`
	LossBytes   float64 `json:"loss_body_bytes_per_second"`
	// HeapBytes is the retained heap per node.
	HeapBytes float64 `json:"heap_bytes"`
}

// fleetSim simulates the membership and the configuration distribution of a fleet,
// with messages between the nodes.
type fleetSim struct {
	eventQueue
	rng        *rand.Rand
	hosts      []string
	nodes      map[string]*fleetNode
	hostList   []objectapi.Host
	version    int64  // latest version of the configuration
	configData []byte // encoded lists, the same in every version

	// Totals since the last reset. sent counts body bytes by sender, and served
	// counts fetches by the node that served them.
	messages, bytes, steps float64
	sent                   map[string]float64
	fetches                float64
	served                 map[string]float64
}

// fleetNode is one simulated router.
type fleetNode struct {
	self    member.Member
	node    *member.Node
	replica *config.Replica
	watch   bool // replica reads and watches the lists in the object API itself
	down    bool
	// changed is set while the config.Replica does not know the latest live routers.
	// The simulation passes them on with the next tick, package router on each change.
	changed bool
	// wake is when the member.Node gets its next tick.
	wake time.Time
}

func newFleetSim(seed uint64, t Target, configData []byte) *fleetSim {
	s := &fleetSim{
		rng: rand.New(rand.NewPCG(seed, 2)), nodes: map[string]*fleetNode{}, version: 1, configData: configData,
		sent: map[string]float64{}, served: map[string]float64{},
	}
	s.now = simStart
	for i := range t.Nodes {
		s.add(i, t)
	}
	for _, host := range s.hosts {
		s.startTimers(s.nodes[host])
	}
	return s
}

func (s *fleetSim) add(i int, t Target) {
	m := memberOf(i, t)
	n := &fleetNode{self: m, watch: true}
	n.node = member.NewNode(member.Config{Self: m}, s.rng.Uint64())
	n.replica = config.NewReplica(m.Host, m.Region)
	s.hosts = append(s.hosts, m.Host)
	s.nodes[m.Host] = n
	s.hostList = append(s.hostList, objectapi.Host{
		ID: m.Host, Kind: objectapi.HostRouter, Region: m.Region, DataCentre: m.DataCentre,
		Address: m.Address, PeerAddress: m.PeerAddress, AdminAddress: m.AdminAddress,
	})
}

// memberOf returns the i-th node. Nodes are distributed round-robin over data
// centres, and these over regions.
func memberOf(i int, t Target) member.Member {
	centre := i % t.DataCentres
	region := regionName(centre % t.Regions)
	ip := fmt.Sprintf("10.%d.%d.%d", centre, i/250, i%250+1)
	return member.Member{
		Host: fmt.Sprintf("%s-r%d", region, i+1), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, centre),
		Address: ip + ":7000", PeerAddress: ip + ":7001", AdminAddress: ip + ":7002",
		Incarnation: uint64(simStart.UnixMicro()),
	}
}

func regionName(i int) string { return fmt.Sprintf("region%d", i) }

// startTimers starts the periodic inputs of a node at random offsets.
func (s *fleetSim) startTimers(n *fleetNode) {
	randomOffset := func(period time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(period))) }
	s.after(randomOffset(hostsPeriod), func() {
		s.every(hostsPeriod, func() { s.step(n, member.HostList{Hosts: s.hostList}) })
	})
	s.after(randomOffset(agePeriod), func() { s.every(agePeriod, func() { s.tick(n) }) })
	s.after(randomOffset(confirmPeriod), func() { s.every(confirmPeriod, func() { s.readPlatform(n) }) })
}

// tick passes the live routers to the replica if they changed, or else a tick.
func (s *fleetSim) tick(n *fleetNode) {
	if n.changed {
		n.changed = false
		s.replica(n, routersOf(n.node.Live(s.now)))
		return
	}
	s.replica(n, config.ReplicaTick{})
}

// readPlatform reads the lists from the platform if the replica watches them.
func (s *fleetSim) readPlatform(n *fleetNode) {
	if n.watch && !n.down {
		started := s.now
		s.after(2*platformDelay, func() {
			s.replica(n, config.ObjectRead{Version: s.version, Data: s.configData, Started: started})
		})
	}
}

// publishChange publishes a new version of the configuration. Nodes with a pending
// watch learn of it immediately. One in eight nodes is between two watches and
// learns of it up to watchPause later.
func (s *fleetSim) publishChange() {
	s.version++
	for _, host := range s.hosts {
		n := s.nodes[host]
		delay := platformDelay
		if s.rng.IntN(8) == 0 {
			delay += time.Duration(s.rng.Int64N(int64(watchPause)))
		}
		if n.watch && !n.down {
			started := s.now
			s.after(delay, func() {
				s.replica(n, config.ObjectRead{Version: s.version, Data: s.configData, Started: started})
			})
		}
	}
}

// step passes an input to the member.Node of a node and acts on its output.
func (s *fleetSim) step(n *fleetNode, in member.Input) {
	if n.down {
		return
	}
	s.steps++
	out := n.node.Step(s.now, in)
	for _, m := range out.Send {
		s.send(n, m)
	}
	for _, r := range out.PeerConfigs {
		s.replica(n, config.PeerReport{Host: r.Host, Version: r.Version, ConfirmedAge: r.ConfirmedAge})
	}
	n.changed = n.changed || out.Changed
	s.wakeAt(n, out.Wake)
}

func routersOf(live []member.Member) config.Routers {
	var routers config.Routers
	for _, m := range live {
		routers.Live = append(routers.Live, config.Router{Host: m.Host, Region: m.Region})
	}
	return routers
}

// wakeAt schedules a tick of the member.Node, unless an earlier one is scheduled.
func (s *fleetSim) wakeAt(n *fleetNode, at time.Time) {
	if at.IsZero() || (n.wake.After(s.now) && !at.Before(n.wake)) {
		return
	}
	n.wake = at
	s.after(at.Sub(s.now), func() {
		if n.wake.Equal(at) {
			s.step(n, member.Tick{})
		}
	})
}

func (s *fleetSim) send(from *fleetNode, m member.Outgoing) {
	s.messages++
	s.bytes += float64(len(m.Body))
	s.sent[from.self.Host] += float64(len(m.Body))
	to := s.nodes[m.To]
	if to == nil {
		return
	}
	s.after(delayBetween(from.self.Region, to.self.Region), func() {
		s.step(to, member.Receive{From: from.self.Host, Body: m.Body})
	})
}

func delayBetween(a, b string) time.Duration {
	if a == b {
		return intraRegionDelay
	}
	return interRegionDelay
}

// replica passes an input to the config.Replica of a node and acts on its output.
func (s *fleetSim) replica(n *fleetNode, in config.ReplicaInput) {
	if n.down {
		return
	}
	out := n.replica.Step(s.now, in)
	n.watch = out.Watch
	if out.FetchFrom != "" {
		s.fetch(n, s.nodes[out.FetchFrom])
	}
	// Package router also passes on the age after every step of the config.Replica.
	_, version := n.replica.Current()
	s.step(n, member.ConfigInForce{Version: version, ConfirmedAge: n.replica.ConfirmedAge(s.now)})
}

// fetch transfers the lists from another node.
func (s *fleetSim) fetch(n, from *fleetNode) {
	s.fetches++
	s.served[from.self.Host]++
	delay := delayBetween(n.self.Region, from.self.Region)
	s.after(2*delay, func() {
		if from.down {
			s.replica(n, config.PeerFetchFailed{Host: from.self.Host})
			return
		}
		version, data := from.replica.Data()
		s.replica(n, config.PeerFetched{Host: from.self.Host, Version: version, Data: data})
	})
}
