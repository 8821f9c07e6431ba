package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// load submits requests at each router of a region for the given time: mostly
// short ones and one in twenty that is ten times as long.
func (w *fleetSim) load(region string, perSecond float64, until time.Duration) {
	end := w.now.Add(until)
	for _, host := range w.hosts {
		if w.nodes[host].region != region {
			continue
		}
		var next func()
		next = func() {
			if w.now.After(end) {
				return
			}
			tokens := int64(5 + w.rng.IntN(30))
			if w.rng.IntN(20) == 0 {
				tokens *= 10
			}
			workspace := "w" + string(rune('0'+w.rng.IntN(8)))
			w.submit(host, workspace, tokens, 0)
			w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
}

// checkDrained requires that every request has ended, that no dispatcher has a
// ticket left and that no other check has failed.
func (w *fleetSim) checkDrained() {
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; !j.ended {
			w.fail("request %s of entry %s has not ended (decided %v)", id, j.entry, j.decided)
		}
	}
	for _, host := range w.hosts {
		s := w.nodes[host]
		if !s.up {
			continue
		}
		for name, d := range s.node.dispatchers {
			if len(d.jobs) > 0 {
				w.fail("dispatcher of %s at %s still has %d tickets", name, host, len(d.jobs))
			}
		}
	}
	require.Empty(w.t, w.failures)
	sent := 0
	for _, b := range w.bytes {
		sent += b
	}
	w.t.Logf("requests %d, max above slots %d (late %d), longest idle slot %v, longest takeover %v, bytes sent %d, events %v",
		len(w.jobs), w.over, w.overLate, w.maxIdle, w.maxTakeover, sent, w.events)
}

// freeze suspends a host. Its requests keep running on their upstreams.
func (w *fleetSim) freeze(host string) { w.nodes[host].frozen = true }

// cut blocks or unblocks messages from the hosts of one list to those of the
// other.
func (w *fleetSim) cut(from, to []string, blocked bool) {
	for _, a := range from {
		for _, b := range to {
			if blocked {
				w.cuts[[2]string{a, b}] = true
			} else {
				delete(w.cuts, [2]string{a, b})
			}
		}
	}
}

func (w *fleetSim) hostsOf(region string) []string {
	var hosts []string
	for _, h := range w.hosts {
		if w.nodes[h].region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// dispatcherOf returns the first host that holds a cell, or "".
func (w *fleetSim) dispatcherOf(cell string) string {
	for _, h := range w.hosts {
		if s := w.nodes[h]; s.up && s.node.dispatchers[cell] != nil {
			return h
		}
	}
	return ""
}

// TestFaultFree guards against slots that stay idle while requests wait, lost
// tickets and exceeded limits while nothing fails.
func TestFaultFree(t *testing.T) {
	w := newFleetSim(t, 1, []int{3}, []int{3}, 4)
	w.runFor(time.Second)
	w.load("region0", 18, 20*time.Second)
	w.runFor(40 * time.Second)
	w.checkDrained()
	require.Zero(t, w.over)
	require.LessOrEqual(t, w.maxIdle, 50*time.Millisecond)
}

// TestFaults guards against tickets that are lost or decided twice, exceeded
// limits and a fleet that does not recover, for each kind of fault.
func TestFaults(t *testing.T) {
	const cell = "s/region0/0"
	const seeds = 3
	faults := map[string]struct {
		routers, upstreams []int
		start, end         func(w *fleetSim, victim string)
	}{
		"loss": {[]int{3}, []int{3}, func(w *fleetSim, _ string) {
			w.loss, w.dup, w.jitter = 0.05, 0.05, 20*time.Millisecond
		}, func(w *fleetSim, _ string) { w.loss, w.dup, w.jitter = 0, 0, 0 }},
		"kill": {[]int{4}, []int{3}, (*fleetSim).kill, (*fleetSim).boot},
		"restart": {[]int{4}, []int{3}, func(w *fleetSim, victim string) {
			w.kill(victim)
			w.boot(victim)
		}, func(w *fleetSim, victim string) {
			w.kill(victim)
			w.boot(victim)
		}},
		"kill two": {[]int{5}, []int{3}, func(w *fleetSim, victim string) {
			w.kill(victim)
			other := w.hosts[0]
			if other == victim {
				other = w.hosts[1]
			}
			w.after(450*time.Millisecond, func() { w.kill(other) })
			w.after(12*time.Second, func() { w.boot(other) })
		}, (*fleetSim).boot},
		"freeze": {[]int{4}, []int{3}, (*fleetSim).freeze, (*fleetSim).thaw},
		"cut to dispatcher": {[]int{4}, []int{3}, func(w *fleetSim, victim string) {
			w.cut(w.hosts[:2], []string{victim}, true)
		}, func(w *fleetSim, victim string) { w.cut(w.hosts[:2], []string{victim}, false) }},
		"cut from dispatcher": {[]int{4}, []int{3}, func(w *fleetSim, victim string) {
			w.cut([]string{victim}, w.hosts[:2], true)
		}, func(w *fleetSim, victim string) { w.cut([]string{victim}, w.hosts[:2], false) }},
		"isolated dispatcher": {[]int{4}, []int{3}, func(w *fleetSim, victim string) {
			w.cut([]string{victim}, w.hosts, true)
			w.cut(w.hosts, []string{victim}, true)
		}, func(w *fleetSim, victim string) {
			w.cut([]string{victim}, w.hosts, false)
			w.cut(w.hosts, []string{victim}, false)
		}},
		"region cut": {[]int{3, 3}, []int{3, 3}, func(w *fleetSim, _ string) {
			w.cut(w.hostsOf("region0"), w.hostsOf("region1"), true)
			w.cut(w.hostsOf("region1"), w.hostsOf("region0"), true)
		}, func(w *fleetSim, _ string) {
			w.cut(w.hostsOf("region0"), w.hostsOf("region1"), false)
			w.cut(w.hostsOf("region1"), w.hostsOf("region0"), false)
		}},
		"kill between regions": {[]int{3, 3}, []int{3, 3}, (*fleetSim).kill, (*fleetSim).boot},
	}
	for _, name := range sortedKeys(faults) {
		f := faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				w := newFleetSim(t, seed, f.routers, f.upstreams, 4)
				w.runFor(time.Second)
				w.load("region0", 15, 16*time.Second)
				w.load("region1", 6, 16*time.Second)
				w.runFor(5 * time.Second)
				victim := w.dispatcherOf(cell)
				w.faultAt = w.now.Add(time.Hour)
				f.start(w, victim)
				w.runFor(8 * time.Second)
				f.end(w, victim)
				w.faultAt = w.now
				w.runFor(45 * time.Second)
				w.checkDrained()
				require.Zero(t, w.overLate)
			}
		})
	}
}

// injectFaults starts random faults one after the other. They last up to 6 s and
// may overlap.
func (w *fleetSim) injectFaults(length time.Duration) {
	end := w.now.Add(length)
	for w.now.Before(end) {
		host := w.hosts[w.rng.IntN(len(w.hosts))]
		other := w.hosts[w.rng.IntN(len(w.hosts))]
		lasts := time.Duration(w.rng.Int64N(int64(6 * time.Second)))
		s := w.nodes[host]
		switch w.rng.IntN(6) {
		case 0:
			if s.up {
				w.thaw(host)
				w.kill(host)
				w.after(lasts, func() { w.boot(host) })
			}
		case 1:
			if s.up && !s.frozen {
				w.freeze(host)
				w.after(lasts, func() { w.thaw(host) })
			}
		case 2:
			w.cut([]string{host}, []string{other}, host != other)
			w.after(lasts, func() { w.cut([]string{host}, []string{other}, false) })
		case 3:
			w.cut(w.hostsOf("region0"), w.hostsOf("region1"), true)
			w.after(lasts, func() { w.cut(w.hostsOf("region0"), w.hostsOf("region1"), false) })
		case 4:
			w.loss, w.dup, w.jitter = 0.1, 0.1, 30*time.Millisecond
			w.after(lasts, func() { w.loss, w.dup, w.jitter = 0, 0, 0 })
		case 5:
			if s.up && !s.frozen {
				w.thaw(host)
				w.kill(host)
				w.boot(host)
			}
		}
		w.runFor(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
	}
}

func runRandomFaults(t *testing.T, seed uint64) *fleetSim {
	w := newFleetSim(t, seed, []int{4, 3}, []int{3, 2}, 4)
	w.runFor(time.Second)
	w.load("region0", 10, 40*time.Second)
	w.load("region1", 6, 40*time.Second)
	w.faultAt = w.now.Add(time.Hour)
	w.injectFaults(25 * time.Second)
	w.runFor(7 * time.Second)
	w.faultAt = w.now
	w.runFor(70 * time.Second)
	w.checkDrained()
	return w
}

// TestRandomFaults guards against failures that only combinations of faults
// cause, and against runs that differ under the same seed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			w := runRandomFaults(t, seed)
			require.Zero(t, w.overLate)
			if seed == 0 {
				require.Equal(t, w.digest.Sum64(), runRandomFaults(t, seed).digest.Sum64())
			}
		})
	}
}
