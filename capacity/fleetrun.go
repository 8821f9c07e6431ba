package capacity

import (
	"time"

	"github.com/lacewingshift/lacewingshift/member"
)

const (
	// fleetWarmup is long enough for all nodes to join. fleetMeasureTime is the length
	// of the steady-state measurement after it.
	fleetWarmup      = 15 * time.Second
	fleetMeasureTime = 10 * time.Second
	// changesMeasured is the number of configuration changes, made one by one.
	changesMeasured = 10
	// changeLimit and lossLimit bound the simulated time to wait for a change to be in
	// force and for the nodes to agree after a loss.
	changeLimit  = 5 * time.Second
	lossLimit    = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// MeasureFleet simulates the membership and configuration distribution of a fleet:
// first in steady state, then with configuration changes, and then with the loss
// of one data centre.
func MeasureFleet(seed uint64, t Target) Fleet {
	lists := buildLists(2, 1, 2).Encode()
	var s *fleetSim
	heap := heapGrowth(func() any {
		s = newFleetSim(seed, t, lists)
		s.runFor(fleetWarmup)
		return s
	})
	f := Fleet{Nodes: t.Nodes, HeapBytes: heap / float64(t.Nodes)}
	s.measureSteadyState(&f)
	s.measureChanges(&f)
	s.measureLoss(&f, t)
	return f
}

func (s *fleetSim) reset() {
	s.messages, s.bytes, s.steps, s.fetches = 0, 0, 0, 0
	clear(s.sent)
	clear(s.served)
}

func (s *fleetSim) measureSteadyState(f *Fleet) {
	s.reset()
	before := cpuTime()
	s.runFor(fleetMeasureTime)
	cpu := (cpuTime() - before).Seconds()
	seconds := fleetMeasureTime.Seconds()
	perNode := float64(f.Nodes) * seconds
	f.Messages, f.Bytes = s.messages/perNode, s.bytes/perNode
	f.MaxBytes = maxValue(s.sent) / seconds
	f.CPUSeconds = cpu / perNode
	f.StepMicros = cpu / s.steps * 1e6
}

func maxValue(values map[string]float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most
}

func (s *fleetSim) measureChanges(f *Fleet) {
	s.reset()
	for range changesMeasured {
		s.publishChange()
		took := s.runUntil(changeLimit, s.changeInForce)
		f.ConfigSeconds = max(f.ConfigSeconds, took.Seconds())
		f.MaxServed = max(f.MaxServed, maxValue(s.served))
		clear(s.served)
		s.runFor(time.Duration(s.rng.Int64N(int64(time.Second))))
	}
	f.Fetches = s.fetches / changesMeasured
}

// runUntil runs until done returns true or limit has passed, and returns the
// simulated time it took.
func (s *fleetSim) runUntil(limit time.Duration, done func() bool) time.Duration {
	begin := s.now
	for !done() && s.now.Sub(begin) < limit {
		s.runFor(pollInterval)
	}
	return s.now.Sub(begin)
}

// changeInForce reports whether all live nodes use the current version.
func (s *fleetSim) changeInForce() bool {
	for _, n := range s.nodes {
		if _, version := n.replica.Current(); !n.down && version != s.version {
			return false
		}
	}
	return true
}

// measureLoss stops all nodes of one data centre at once.
func (s *fleetSim) measureLoss(f *Fleet, t Target) {
	s.reset()
	lost := memberOf(0, t).DataCentre
	live := 0
	for _, n := range s.nodes {
		n.down = n.self.DataCentre == lost
		if !n.down {
			live++
		}
	}
	took := s.runUntil(lossLimit, func() bool { return s.agreed(live) })
	f.LossSeconds = took.Seconds()
	f.LossBytes = s.bytes / float64(live) / took.Seconds()
}

// agreed reports whether all live nodes see the given number of live nodes.
func (s *fleetSim) agreed(live int) bool {
	for _, n := range s.nodes {
		if !n.down && countLive(n.node, s.now) != live {
			return false
		}
	}
	return true
}

func countLive(n *member.Node, now time.Time) int { return len(n.Live(now)) }
