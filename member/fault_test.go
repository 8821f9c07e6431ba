package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFrozenRouterReturns guards against a router that was frozen and, once it
// runs again, declares its peers dead or remains dead for them.
func TestFrozenRouterReturns(t *testing.T) {
	s := startedSim(t, 3, 40, 3, 3)
	frozen := s.hosts[4]
	s.freeze(frozen)
	_, problem := s.settle(4*time.Second, s.running(), s.running())
	require.Empty(t, problem)
	s.run(20 * time.Second)
	since := s.now
	s.thaw(frozen)
	took, problem := s.settle(2*time.Second, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("live again on all routers after %s", took)
	s.run(5 * time.Second)
	require.Zero(t, s.count("dead", since))
}

// TestOneWayCut guards against suspecting a router because messages are lost in
// one direction between two neighbours.
func TestOneWayCut(t *testing.T) {
	s := startedSim(t, 4, 9, 3, 3)
	for _, to := range s.routers[s.hosts[0]].node.linkHosts {
		since := s.now
		s.cut = func(a, b string) bool { return a == s.hosts[0] && b == to }
		s.run(10 * time.Second)
		require.Zero(t, s.count("suspect", since), "messages to %s blocked", to)
	}
}

// TestDeafRouter guards against a router that can send but not receive, and makes
// the others declare each other dead.
func TestDeafRouter(t *testing.T) {
	s := startedSim(t, 5, 40, 3, 3)
	deaf := s.hosts[7]
	s.cut = func(_, to string) bool { return to == deaf }
	s.run(time.Minute)
	for _, v := range s.changes {
		// The others may declare the deaf router dead: after a while it considers
		// all of them dead and sends no more heartbeats.
		if strings.HasPrefix(v.event, "dead") && !strings.Contains(v.event, deaf) {
			require.Equal(t, deaf, v.viewer, v.event)
		}
	}
	reachable, known := s.routers[deaf].node.Reachable(s.now)
	require.LessOrEqual(t, 2*reachable, known)
	s.cut = func(string, string) bool { return false }
	took, problem := s.settle(15*time.Second, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("views agree %s after the end of the fault", took)
}

// TestRestart guards against a restarted router that is ignored in favour of its
// earlier incarnation, also if its clock was set back.
func TestRestart(t *testing.T) {
	for _, clockBack := range []bool{false, true} {
		s := startedSim(t, 6, 40, 3, 3)
		r := s.routers[s.hosts[3]]
		for _, pause := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			s.crash(r.member.Host)
			s.run(pause)
			r.clockBack = clockBack
			s.start(r.member.Host)
			took, problem := s.settle(3*time.Second, s.hosts, s.hosts)
			require.Empty(t, problem)
			t.Logf("clock set back %t, down for %s: joined after %s", clockBack, pause, took)
		}
	}
}

// TestFlapping guards against a router that repeatedly dies and returns, and makes
// cells move each time.
func TestFlapping(t *testing.T) {
	s := startedSim(t, 7, 9, 3, 3)
	flapping := s.hosts[2]
	others := append(append([]string{}, s.hosts[:2]...), s.hosts[3:]...)
	for range 4 {
		s.cut = func(from, to string) bool { return from == flapping || to == flapping }
		s.run(6 * time.Second)
		s.cut = func(string, string) bool { return false }
		s.run(6 * time.Second)
	}
	require.Empty(t, s.disagreement(others, others), "a flapping router must not be live")
	took, problem := s.settle(maxFlapHold, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("live again on all routers after %s", took)
}

// TestDeadAreForgotten guards against dead members that stay listed, or are added
// again from the records of other routers.
func TestDeadAreForgotten(t *testing.T) {
	s := startedSim(t, 8, 9, 3, 3)
	s.crash(s.hosts[0])
	s.run(9 * time.Minute)
	require.Len(t, s.routers[s.hosts[1]].node.Members(), 9)
	s.run(90 * time.Second)
	for _, host := range s.running() {
		require.Len(t, s.routers[host].node.Members(), 8)
	}
	s.run(time.Minute)
	require.Empty(t, s.disagreement(s.running(), s.running()))
}

// TestLeave guards against a router that leaves on purpose and is reported dead,
// or is not reported as leaving.
func TestLeave(t *testing.T) {
	s := startedSim(t, 9, 40, 3, 3)
	leaving, since := s.hosts[5], s.now
	s.step(s.routers[leaving], Leave{})
	s.run(time.Second)
	for _, host := range s.hosts {
		for _, m := range s.routers[host].node.Live(s.now) {
			require.Equal(t, m.Host == leaving, m.State == Leaving)
		}
	}
	s.step(s.routers[leaving], Leave{Final: true})
	s.crash(leaving)
	took, problem := s.settle(time.Second, s.running(), s.running())
	require.Empty(t, problem)
	t.Logf("known to have left on all routers after %s", took)
	s.run(10 * time.Second)
	require.Zero(t, s.count("dead", since))
}

// TestRegionCutForAnHour guards against a fleet that does not join again after a
// long partition, and against a minority that considers itself the majority
// during the partition.
func TestRegionCutForAnHour(t *testing.T) {
	s := startedSim(t, 10, 15, 3, 3)
	region := func(host string) string { return s.routers[host].member.Region }
	s.cut = func(from, to string) bool {
		return (region(from) == "region-0") != (region(to) == "region-0")
	}
	for range 60 {
		s.run(4 * time.Second)
		for _, host := range s.hosts {
			reachable, known := s.routers[host].node.Reachable(s.now)
			require.Equal(t, region(host) != "region-0", 2*reachable > known, "%s reaches %d of %d", host, reachable, known)
		}
		s.run(56 * time.Second)
	}
	since := s.now
	s.cut = func(string, string) bool { return false }
	took, problem := s.settle(10*time.Second, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("views agree %s after the end of the partition", took)
	require.Zero(t, s.count("dead", since))
}

// TestLossyNetwork guards against members that are declared dead because messages
// are lost, duplicated or delayed, and against views that do not converge
// afterwards.
func TestLossyNetwork(t *testing.T) {
	s := startedSim(t, 11, 60, 3, 3)
	since := s.now
	s.loss, s.duplicated, s.delayed = 0.05, 0.05, 0.05
	s.run(2 * time.Minute)
	t.Logf("60 routers, 2 min with 5%% of the messages lost, duplicated and delayed: %d changes to suspect, %d to dead",
		s.count("suspect", since), s.count("dead", since))
	require.Zero(t, s.count("dead", since))
	s.loss, s.duplicated, s.delayed = 0, 0, 0
	took, problem := s.settle(5*time.Second, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("views agree %s after the network is reliable again", took)
}

// runRandomFaults applies 60 random faults, ends them and requires that the views
// converge. It returns all state changes.
func runRandomFaults(t *testing.T, seed uint64) []stateChange {
	s := newSim(seed, 24, 3, 4)
	s.startAll(2 * time.Second)
	s.run(5 * time.Second)
	cuts := map[string]bool{}
	s.cut = func(from, to string) bool { return cuts[from+to] }
	s.loss, s.duplicated, s.delayed = 0.03, 0.03, 0.03
	for range 60 {
		host, other := s.hosts[s.rng.IntN(24)], s.hosts[s.rng.IntN(24)]
		switch s.rng.IntN(6) {
		case 0:
			s.crash(host)
		case 1:
			s.start(host)
		case 2:
			s.freeze(host)
		case 3:
			if s.routers[host].frozen {
				s.thaw(host)
			}
		case 4:
			cuts[host+other] = true
		case 5:
			clear(cuts)
		}
		s.run(time.Duration(s.rng.Int64N(int64(3 * time.Second))))
	}
	clear(cuts)
	s.loss, s.duplicated, s.delayed = 0, 0, 0
	for _, host := range s.hosts {
		if s.routers[host].frozen {
			s.thaw(host)
		}
	}
	took, problem := s.settle(maxFlapHold+20*time.Second, s.running(), s.running())
	require.Empty(t, problem, "seed %d", seed)
	t.Logf("seed %d: %d routers up, views agree after %s, %d state changes", seed, len(s.running()), took, len(s.changes))
	return s.changes
}

// TestRandomFaults guards against combinations of faults after which views differ
// permanently.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed)
		})
	}
}

// TestDeterministic guards against runs with the same seed that differ.
func TestDeterministic(t *testing.T) {
	require.Equal(t, runRandomFaults(t, 99), runRandomFaults(t, 99))
}
