package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// load submits requests at each router of a region for the given time: mostly
// short ones and one in twenty that is ten times as long.
func (sim *fleetSim) load(region string, perSecond float64, duration time.Duration) {
	end := sim.now.Add(duration)
	for _, host := range sim.hosts {
		if sim.nodes[host].region != region {
			continue
		}
		var next func()
		next = func() {
			if sim.now.After(end) {
				return
			}
			tokens := int64(5 + sim.rng.IntN(30))
			if sim.rng.IntN(20) == 0 {
				tokens *= 10
			}
			workspace := "w" + string(rune('0'+sim.rng.IntN(8)))
			sim.submit(host, workspace, tokens, 0)
			sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
}

// checkDrained requires that every request has ended, that no dispatcher has a
// ticket left and that no other check has failed.
func (sim *fleetSim) checkDrained() {
	for _, id := range sortedKeys(sim.jobs) {
		if j := sim.jobs[id]; !j.ended {
			sim.fail("request %s of entry %s has not ended (decided %v)", id, j.entry, j.decided)
		}
	}
	for _, host := range sim.hosts {
		s := sim.nodes[host]
		if !s.up {
			continue
		}
		for name, d := range s.node.dispatchers {
			if len(d.jobs) > 0 {
				sim.fail("dispatcher of %s at %s still has %d tickets", name, host, len(d.jobs))
			}
		}
	}
	require.Empty(sim.t, sim.failures)
	sent := 0
	for _, b := range sim.sentBytes {
		sent += b
	}
	sim.t.Logf("requests %d, max above slots %d (late %d), longest idle slot %v, longest takeover %v, bytes sent %d, events %v",
		len(sim.jobs), sim.overLimit, sim.overLimitLate, sim.maxIdle, sim.maxTakeover, sent, sim.eventCounts)
}

// freeze suspends a host. Its requests keep running on their upstreams.
func (sim *fleetSim) freeze(host string) { sim.nodes[host].frozen = true }

// cut blocks or unblocks messages from the hosts of one list to those of the
// other.
func (sim *fleetSim) cut(from, to []string, blocked bool) {
	for _, a := range from {
		for _, b := range to {
			if blocked {
				sim.cuts[[2]string{a, b}] = true
			} else {
				delete(sim.cuts, [2]string{a, b})
			}
		}
	}
}

func (sim *fleetSim) hostsOf(region string) []string {
	var hosts []string
	for _, h := range sim.hosts {
		if sim.nodes[h].region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// dispatcherOf returns the first host that holds a cell, or "".
func (sim *fleetSim) dispatcherOf(cell string) string {
	for _, h := range sim.hosts {
		if s := sim.nodes[h]; s.up && s.node.dispatchers[cell] != nil {
			return h
		}
	}
	return ""
}

// TestFaultFree guards against slots that stay idle while requests wait, lost
// tickets and exceeded limits while nothing fails.
func TestFaultFree(t *testing.T) {
	sim := newFleetSim(t, 1, []int{3}, []int{3}, 4)
	sim.runFor(time.Second)
	sim.load("region0", 18, 20*time.Second)
	sim.runFor(40 * time.Second)
	sim.checkDrained()
	require.Zero(t, sim.overLimit)
	require.LessOrEqual(t, sim.maxIdle, 50*time.Millisecond)
}

// TestFaults guards against tickets that are lost or decided twice, exceeded
// limits and a fleet that does not recover, for each kind of fault.
func TestFaults(t *testing.T) {
	const cell = "s/region0/0"
	const seeds = 3
	faults := map[string]struct {
		routers, upstreams []int
		start, end         func(sim *fleetSim, victim string)
	}{
		"loss": {[]int{3}, []int{3}, func(sim *fleetSim, _ string) {
			sim.loss, sim.duplicated, sim.jitter = 0.05, 0.05, 20*time.Millisecond
		}, func(sim *fleetSim, _ string) { sim.loss, sim.duplicated, sim.jitter = 0, 0, 0 }},
		"kill": {[]int{4}, []int{3}, (*fleetSim).kill, (*fleetSim).boot},
		"restart": {[]int{4}, []int{3}, func(sim *fleetSim, victim string) {
			sim.kill(victim)
			sim.boot(victim)
		}, func(sim *fleetSim, victim string) {
			sim.kill(victim)
			sim.boot(victim)
		}},
		"kill two": {[]int{5}, []int{3}, func(sim *fleetSim, victim string) {
			sim.kill(victim)
			other := sim.hosts[0]
			if other == victim {
				other = sim.hosts[1]
			}
			sim.after(450*time.Millisecond, func() { sim.kill(other) })
			sim.after(12*time.Second, func() { sim.boot(other) })
		}, (*fleetSim).boot},
		"freeze": {[]int{4}, []int{3}, (*fleetSim).freeze, (*fleetSim).thaw},
		"cut to dispatcher": {[]int{4}, []int{3}, func(sim *fleetSim, victim string) {
			sim.cut(sim.hosts[:2], []string{victim}, true)
		}, func(sim *fleetSim, victim string) { sim.cut(sim.hosts[:2], []string{victim}, false) }},
		"cut from dispatcher": {[]int{4}, []int{3}, func(sim *fleetSim, victim string) {
			sim.cut([]string{victim}, sim.hosts[:2], true)
		}, func(sim *fleetSim, victim string) { sim.cut([]string{victim}, sim.hosts[:2], false) }},
		"isolated dispatcher": {[]int{4}, []int{3}, func(sim *fleetSim, victim string) {
			sim.cut([]string{victim}, sim.hosts, true)
			sim.cut(sim.hosts, []string{victim}, true)
		}, func(sim *fleetSim, victim string) {
			sim.cut([]string{victim}, sim.hosts, false)
			sim.cut(sim.hosts, []string{victim}, false)
		}},
		"region cut": {[]int{3, 3}, []int{3, 3}, func(sim *fleetSim, _ string) {
			sim.cut(sim.hostsOf("region0"), sim.hostsOf("region1"), true)
			sim.cut(sim.hostsOf("region1"), sim.hostsOf("region0"), true)
		}, func(sim *fleetSim, _ string) {
			sim.cut(sim.hostsOf("region0"), sim.hostsOf("region1"), false)
			sim.cut(sim.hostsOf("region1"), sim.hostsOf("region0"), false)
		}},
		"kill between regions": {[]int{3, 3}, []int{3, 3}, (*fleetSim).kill, (*fleetSim).boot},
	}
	for _, name := range sortedKeys(faults) {
		f := faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				sim := newFleetSim(t, seed, f.routers, f.upstreams, 4)
				sim.runFor(time.Second)
				sim.load("region0", 15, 16*time.Second)
				sim.load("region1", 6, 16*time.Second)
				sim.runFor(5 * time.Second)
				victim := sim.dispatcherOf(cell)
				sim.faultEnd = sim.now.Add(time.Hour)
				f.start(sim, victim)
				sim.runFor(8 * time.Second)
				f.end(sim, victim)
				sim.faultEnd = sim.now
				sim.runFor(45 * time.Second)
				sim.checkDrained()
				require.Zero(t, sim.overLimitLate)
			}
		})
	}
}

// injectFaults starts random faults one after the other. They last up to 6 s and
// may overlap.
func (sim *fleetSim) injectFaults(duration time.Duration) {
	end := sim.now.Add(duration)
	for sim.now.Before(end) {
		host := sim.hosts[sim.rng.IntN(len(sim.hosts))]
		other := sim.hosts[sim.rng.IntN(len(sim.hosts))]
		faultDuration := time.Duration(sim.rng.Int64N(int64(6 * time.Second)))
		s := sim.nodes[host]
		switch sim.rng.IntN(6) {
		case 0:
			if s.up {
				sim.thaw(host)
				sim.kill(host)
				sim.after(faultDuration, func() { sim.boot(host) })
			}
		case 1:
			if s.up && !s.frozen {
				sim.freeze(host)
				sim.after(faultDuration, func() { sim.thaw(host) })
			}
		case 2:
			sim.cut([]string{host}, []string{other}, host != other)
			sim.after(faultDuration, func() { sim.cut([]string{host}, []string{other}, false) })
		case 3:
			sim.cut(sim.hostsOf("region0"), sim.hostsOf("region1"), true)
			sim.after(faultDuration, func() { sim.cut(sim.hostsOf("region0"), sim.hostsOf("region1"), false) })
		case 4:
			sim.loss, sim.duplicated, sim.jitter = 0.1, 0.1, 30*time.Millisecond
			sim.after(faultDuration, func() { sim.loss, sim.duplicated, sim.jitter = 0, 0, 0 })
		case 5:
			if s.up && !s.frozen {
				sim.thaw(host)
				sim.kill(host)
				sim.boot(host)
			}
		}
		sim.runFor(time.Duration(sim.rng.Int64N(int64(3 * time.Second))))
	}
}

// runRandomFaults runs two regions under load through 25 s of random faults and
// requires that all requests end.
func runRandomFaults(t *testing.T, seed uint64) *fleetSim {
	sim := newFleetSim(t, seed, []int{4, 3}, []int{3, 2}, 4)
	sim.runFor(time.Second)
	sim.load("region0", 10, 40*time.Second)
	sim.load("region1", 6, 40*time.Second)
	sim.faultEnd = sim.now.Add(time.Hour)
	sim.injectFaults(25 * time.Second)
	sim.runFor(7 * time.Second)
	sim.faultEnd = sim.now
	sim.runFor(70 * time.Second)
	sim.checkDrained()
	return sim
}

// TestRandomFaults guards against failures that only combinations of faults
// cause, and against runs that differ under the same seed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			sim := runRandomFaults(t, seed)
			require.Zero(t, sim.overLimitLate)
			if seed == 0 {
				require.Equal(t, sim.digest.Sum64(), runRandomFaults(t, seed).digest.Sum64())
			}
		})
	}
}
