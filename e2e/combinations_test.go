package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/load"
)

// Environment variables of TestFaultCombinations: the number of random combinations
// and the first seed.
const (
	combinationsVariable = "LACEWING_SOAK"
	seedVariable         = "LACEWING_SEED"
)

// A fault begins within maxFaultStart and lasts between minFaultDuration and
// maxFaultDuration. Other routers declare a silent router dead after 3.5 s, so some
// faults are shorter than that and some are longer.
const (
	maxFaultStart    = time.Second
	minFaultDuration = time.Second
	maxFaultDuration = 5 * time.Second
)

// fault is one fault of a combination.
type fault struct {
	name       string
	begin, end func()
	at, until  time.Duration
}

// faultInjector generates random faults from a seed and applies them to a fleet.
type faultInjector struct {
	*fleet
	random *rand.Rand
	// routers are the routers without a fault yet, in random order.
	routers []string
	// cuts are the current rules of the relay by the names of the faults. A change
	// sends all of them to the relay, which replaces its rules.
	cuts map[string]map[string]any
}

func newFaultInjector(f *fleet, seed uint64) *faultInjector {
	c := &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 0xfa)), cuts: map[string]map[string]any{}}
	for _, r := range f.deploy.Routers {
		c.routers = append(c.routers, r.ID)
	}
	c.random.Shuffle(len(c.routers), func(i, j int) { c.routers[i], c.routers[j] = c.routers[j], c.routers[i] })
	return c
}

// nextRouter returns a router that no other fault of the combination uses.
func (c *faultInjector) nextRouter() string {
	id := c.routers[0]
	c.routers = c.routers[1:]
	return id
}

// faultKinds are the kinds of faults that are combined.
var faultKinds = []struct {
	name string
	draw func(c *faultInjector) fault
}{
	{"kill", (*faultInjector).killRouter},
	{"freeze", (*faultInjector).freezeRouter},
	{"restart", (*faultInjector).restartRouter},
	{"cut-regions", (*faultInjector).cutRegions},
	{"cut-router", (*faultInjector).cutRouter},
	{"objects-outage", (*faultInjector).objectsOutage},
	{"objects-lost", (*faultInjector).objectsLost},
	{"objects-slow", (*faultInjector).objectsSlow},
	{"hosts-down", (*faultInjector).hostsDown},
	{"engine-frozen", (*faultInjector).engineFrozen},
	{"engines-slow", (*faultInjector).enginesSlow},
	{"plain-loses", (*faultInjector).plainLoses},
}

func (c *faultInjector) killRouter() fault {
	id := c.nextRouter()
	return fault{name: "kill " + id, begin: func() { c.kill(id) }, end: func() { c.startRouter(id) }}
}

func (c *faultInjector) freezeRouter() fault {
	id := c.nextRouter()
	return fault{
		name:  "freeze " + id,
		begin: func() { c.signal(id, syscall.SIGSTOP) },
		end:   func() { c.signal(id, syscall.SIGCONT) },
	}
}

// restartRouter shuts a router down gracefully and starts it again.
func (c *faultInjector) restartRouter() fault {
	id := c.nextRouter()
	return fault{
		name:  "restart " + id,
		begin: func() { c.signal(id, syscall.SIGTERM) },
		end:   func() { c.awaitExit(id); c.startRouter(id) },
	}
}

func (c *faultInjector) cutRegions() fault {
	order := c.random.Perm(len(c.deploy.Regions))
	return c.cut(c.deploy.Regions[order[0]], c.deploy.Regions[order[1]], c.random.IntN(2) == 0)
}

// cutRouter cuts a router off from all hosts and callers, in one or both directions.
func (c *faultInjector) cutRouter() fault {
	id := c.nextRouter()
	switch c.random.IntN(3) {
	case 0:
		return c.cut(id, "*", true)
	case 1:
		return c.cut(id, "*", false)
	default:
		return c.cut("*", id, false)
	}
}

func (c *faultInjector) cut(from, to string, both bool) fault {
	name := fmt.Sprintf("cut %s to %s (both ways %t)", from, to, both)
	return fault{
		name: name,
		begin: func() {
			c.cuts[name] = map[string]any{"from": from, "to": to, "both": both, "cut": true}
			c.setCuts()
		},
		end: func() { delete(c.cuts, name); c.setCuts() },
	}
}

func (c *faultInjector) setCuts() {
	rules := []map[string]any{}
	for _, rule := range c.cuts {
		rules = append(rules, rule)
	}
	c.control("http://"+c.deploy.Links, map[string]any{"rules": rules}, nil)
}

// controlFault returns a fault of fake services that begins and ends with a request to
// their control URLs.
func (c *faultInjector) controlFault(name string, urls []string, on, off map[string]any) fault {
	set := func(change map[string]any) func() {
		return func() {
			for _, url := range urls {
				c.control(url, change, nil)
			}
		}
	}
	return fault{name: name, begin: set(on), end: set(off)}
}

func (c *faultInjector) objectsOutage() fault {
	return c.controlFault("object API outage", []string{c.platform(9000)},
		map[string]any{"outage": true}, map[string]any{"outage": false})
}

func (c *faultInjector) objectsLost() fault {
	return c.controlFault("object API loses replies", []string{c.platform(9000)},
		map[string]any{"lose_fraction": 0.5}, map[string]any{"lose_fraction": 0})
}

func (c *faultInjector) objectsSlow() fault {
	return c.controlFault("object API slow", []string{c.platform(9000)},
		map[string]any{"latency_ms": 400, "jitter_ms": 800}, map[string]any{"latency_ms": 0, "jitter_ms": 0})
}

func (c *faultInjector) hostsDown() fault {
	return c.controlFault("host list down", []string{c.platform(9001)},
		map[string]any{"down": true}, map[string]any{"down": false})
}

// engines returns the control URLs and the ids of count random engines.
func (c *faultInjector) engines(count int) (urls []string, names string) {
	var ids []string
	for _, i := range c.random.Perm(len(c.deploy.Engines))[:count] {
		urls = append(urls, "http://"+c.deploy.Engines[i].Control)
		ids = append(ids, c.deploy.Engines[i].ID)
	}
	return urls, strings.Join(ids, " ")
}

func (c *faultInjector) engineFrozen() fault {
	urls, names := c.engines(1)
	return c.controlFault("frozen "+names, urls, map[string]any{"freeze": true}, map[string]any{"freeze": false})
}

func (c *faultInjector) enginesSlow() fault {
	urls, names := c.engines(2)
	return c.controlFault("slow "+names, urls, map[string]any{"slow_factor": 5}, map[string]any{"slow_factor": 1})
}

func (c *faultInjector) plainLoses() fault {
	p := c.deploy.Plains[c.random.IntN(len(c.deploy.Plains))]
	return c.controlFault(p.ID+" loses answers", []string{"http://" + p.Control},
		map[string]any{"lose_answers": true}, map[string]any{"lose_answers": false})
}

// draw returns faults of the given kinds with random targets and times.
func (c *faultInjector) draw(kinds []string) []fault {
	var faults []fault
	for _, kind := range faultKinds {
		if !slices.Contains(kinds, kind.name) {
			continue
		}
		drawn := kind.draw(c)
		drawn.at = time.Duration(c.random.Int64N(int64(maxFaultStart)))
		drawn.until = drawn.at + minFaultDuration + time.Duration(c.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, drawn)
	}
	return faults
}

// run begins and ends the faults at their times. Nothing else may start or signal
// processes of the fleet meanwhile.
func (c *faultInjector) run(faults []fault) {
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, drawn := range faults {
		c.t.Logf("%s from %s to %s", drawn.name, drawn.at.Round(time.Millisecond), drawn.until.Round(time.Millisecond))
		steps = append(steps, step{drawn.at, drawn.begin}, step{drawn.until, drawn.end})
	}
	slices.SortFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	start := time.Now()
	for _, s := range steps {
		time.Sleep(s.at - time.Since(start))
		s.do()
	}
}

// randomKinds returns two or three random kinds of faults.
func randomKinds(seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 0xfb))
	var kinds []string
	for _, i := range random.Perm(len(faultKinds))[:2+random.IntN(2)] {
		kinds = append(kinds, faultKinds[i].name)
	}
	return kinds
}

// environment returns the number in an environment variable, or fallback if it is unset.
func environment(t *testing.T, name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err, "%s is not a number", name)
	return value
}

// TestFaultCombinations guards against errors that occur only if several faults
// coincide: a call with an idempotency key that runs twice, a false "not run", a wrong
// answer, an accepted configuration that is lost, or a router that does not recover
// (P3, P4, P5, P8). With LACEWING_SOAK=N it runs N random combinations with seeds from
// LACEWING_SEED on. By default it runs two fixed ones, because each takes about 25 s.
func TestFaultCombinations(t *testing.T) {
	first := environment(t, seedVariable, 1)
	count := environment(t, combinationsVariable, 0)
	if count == 0 {
		runCombination(t, 1, []string{"kill", "objects-lost", "engines-slow"})
		runCombination(t, 2, []string{"freeze", "cut-regions", "plain-loses"})
		return
	}
	for seed := first; seed < first+count; seed++ {
		runCombination(t, seed, randomKinds(seed))
	}
}

func runCombination(t *testing.T, seed uint64, kinds []string) {
	t.Run(fmt.Sprintf("seed %d %s", seed, strings.Join(kinds, " ")), func(t *testing.T) {
		f := startFleet(t)
		version := f.changeWeight()
		c := newFaultInjector(f, seed)
		faults := c.draw(kinds)
		result := f.runWorkloadWith(combinationSettings(seed), func() { c.run(faults) })
		t.Logf("requests %d, complete %d, abandoned %d, others %v",
			result.Requests, result.Complete, result.Abandoned, result.Codes)
		f.checkRecovery(seed, version)
	})
}

// combinationSettings returns a workload that lasts some seconds longer than the faults.
func combinationSettings(seed uint64) load.Settings {
	s := workloadSettings(seed)
	s.Duration = 9 * time.Second
	return s
}

// changeWeight changes the weight of a plan and returns the new version of the lists. It
// does not wait until that is in force.
func (f *fleet) changeWeight() int64 {
	key, id := f.operatorKey(), f.deploy.Routers[0].ID
	lists, version := f.lists(key, id)
	lists.Plans[0].Weight++
	answer := f.adminRequest(key, "PUT", id, "/v1/config", string(lists.Encode()), version)
	require.Equal(f.t, http.StatusOK, answer.status, answer.text)
	return answer.version()
}

// checkRecovery requires that every router is ready and known to all others, that all
// routers serve with the same version of the lists, which is at least version, and that
// each runs a call with an idempotency key once.
func (f *fleet) checkRecovery(seed uint64, version int64) {
	start := time.Now()
	for _, r := range f.deploy.Routers {
		f.awaitReady(r.ID)
	}
	f.awaitEntries(len(f.deploy.Routers))
	key := f.operatorKey()
	for _, r := range f.deploy.Routers {
		f.eventually("same version of the lists on all routers, as reported by "+r.ID, func() bool {
			status, ok := f.configStatus(key, r.ID)
			return ok && f.agrees(status, version)
		})
	}
	f.t.Logf("all routers ready with the same lists %s after the workload", time.Since(start).Round(time.Millisecond))
	for _, r := range f.deploy.Routers {
		status, text := f.text("POST", r.Caller, "/v1/completions", f.completion(5, false), nil)
		require.Equal(f.t, http.StatusOK, status, "%s: %s", r.ID, text)
		call := fmt.Sprintf("combination-%d-%s", seed, r.ID)
		status, text = f.text("POST", r.Caller, "/v1/services/"+f.deploy.Plain+f.deploy.WritePath, `{"plates":1}`,
			map[string]string{"Idempotency-Key": call})
		require.Equal(f.t, http.StatusCreated, status, "%s: %s", r.ID, text)
		require.Equal(f.t, 1, f.runs(call))
	}
}
