package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a fleet size to test.
type fleet struct {
	name                        string
	count, regions, dataCentres int
}

// startedSim returns a sim in which all routers have joined.
func startedSim(t *testing.T, seed uint64, count, regions, dataCentres int) *sim {
	t.Helper()
	s := newSim(seed, count, regions, dataCentres)
	s.startAll(time.Second)
	s.run(time.Second)
	took, problem := s.settle(10*time.Second, s.hosts, s.hosts)
	require.Empty(t, problem)
	t.Logf("seed %d: %d routers joined %s after the last start", seed, count, took)
	return s
}

// TestFaultFreeFleet guards against members that are suspected without a fault, and
// against membership traffic above the budget of a node, which is 1500 B/s sent.
func TestFaultFreeFleet(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := startedSim(t, 1, f.count, f.regions, f.dataCentres)
			s.run(5 * time.Second)
			clear(s.sent)
			clear(s.received)
			since := s.now
			const period = 30 * time.Second
			s.run(period)
			require.Zero(t, s.count("suspect", since))
			require.Zero(t, s.count("dead", since))
			mostSent, total, mostTraffic := 0.0, 0.0, 0.0
			for _, host := range s.hosts {
				rate := float64(s.sent[host]) / period.Seconds()
				mostSent = max(mostSent, rate)
				total += rate
				mostTraffic = max(mostTraffic, rate+float64(s.received[host])/period.Seconds())
			}
			t.Logf("sent per node: mean %.0f B/s, max %.0f B/s; sent and received: max %.0f B/s",
				total/float64(f.count), mostSent, mostTraffic)
			require.Less(t, mostSent, 1500.0)
			longestSilence := time.Duration(0)
			for _, host := range s.hosts {
				for _, lastHeard := range s.routers[host].node.reach {
					longestSilence = max(longestSilence, s.now.Sub(lastHeard))
				}
			}
			t.Logf("longest time since a data centre was heard: %s", longestSilence)
			require.Less(t, longestSilence, reachTimeout)
		})
	}
}

// TestCrashDetection guards against a crash of a router or of a whole data centre
// that is not known everywhere within 4 s.
func TestCrashDetection(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := startedSim(t, 2, f.count, f.regions, f.dataCentres)
			for _, host := range []string{s.hosts[1], s.hosts[f.count/2], s.hosts[f.count-1]} {
				s.run(time.Duration(s.rng.Int64N(int64(5 * time.Second))))
				s.crash(host)
				took, problem := s.settle(4*time.Second, s.running(), s.running())
				require.Empty(t, problem)
				t.Logf("crash of %s known to all routers after %s", host, took)
			}
			region := s.hostList[0].Region
			begin := s.now
			for i, host := range s.hosts {
				if s.hostList[i].Region == region && i%f.dataCentres == 0 {
					s.crash(host)
				}
			}
			_, problem := s.settle(4*time.Second, s.running(), s.running())
			require.Empty(t, problem)
			t.Logf("crash of a data centre known to all routers after %s", s.now.Sub(begin))
		})
	}
}
