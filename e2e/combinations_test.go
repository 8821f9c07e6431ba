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

// fault is one fault of a combination. It begins at and ends until the given times after
// the start of faultInjector.run.
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
	inj := &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 0xfa)), cuts: map[string]map[string]any{}}
	for _, r := range f.deploy.Routers {
		inj.routers = append(inj.routers, r.ID)
	}
	inj.random.Shuffle(len(inj.routers), func(i, j int) { inj.routers[i], inj.routers[j] = inj.routers[j], inj.routers[i] })
	return inj
}

// nextRouter returns a router that no other fault of the combination uses.
func (inj *faultInjector) nextRouter() string {
	id := inj.routers[0]
	inj.routers = inj.routers[1:]
	return id
}

// faultKinds are the kinds of faults that are combined.
var faultKinds = []struct {
	name string
	draw func(inj *faultInjector) fault
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

func (inj *faultInjector) killRouter() fault {
	id := inj.nextRouter()
	return fault{name: "kill " + id, begin: func() { inj.kill(id) }, end: func() { inj.startRouter(id) }}
}

func (inj *faultInjector) freezeRouter() fault {
	id := inj.nextRouter()
	return fault{
		name:  "freeze " + id,
		begin: func() { inj.signal(id, syscall.SIGSTOP) },
		end:   func() { inj.signal(id, syscall.SIGCONT) },
	}
}

// restartRouter shuts a router down gracefully and starts it again.
func (inj *faultInjector) restartRouter() fault {
	id := inj.nextRouter()
	return fault{
		name:  "restart " + id,
		begin: func() { inj.signal(id, syscall.SIGTERM) },
		end:   func() { inj.awaitExit(id); inj.startRouter(id) },
	}
}

func (inj *faultInjector) cutRegions() fault {
	order := inj.random.Perm(len(inj.deploy.Regions))
	return inj.cut(inj.deploy.Regions[order[0]], inj.deploy.Regions[order[1]], inj.random.IntN(2) == 0)
}

// cutRouter cuts a router off from all hosts and callers, in one or both directions.
func (inj *faultInjector) cutRouter() fault {
	id := inj.nextRouter()
	switch inj.random.IntN(3) {
	case 0:
		return inj.cut(id, "*", true)
	case 1:
		return inj.cut(id, "*", false)
	default:
		return inj.cut("*", id, false)
	}
}

func (inj *faultInjector) cut(from, to string, both bool) fault {
	name := fmt.Sprintf("cut %s to %s (both ways %t)", from, to, both)
	return fault{
		name: name,
		begin: func() {
			inj.cuts[name] = map[string]any{"from": from, "to": to, "both": both, "cut": true}
			inj.setCuts()
		},
		end: func() { delete(inj.cuts, name); inj.setCuts() },
	}
}

func (inj *faultInjector) setCuts() {
	rules := []map[string]any{}
	for _, rule := range inj.cuts {
		rules = append(rules, rule)
	}
	inj.control("http://"+inj.deploy.Links, map[string]any{"rules": rules}, nil)
}

// controlFault returns a fault of fake services that begins and ends with a request to
// their control URLs.
func (inj *faultInjector) controlFault(name string, urls []string, on, off map[string]any) fault {
	set := func(change map[string]any) func() {
		return func() {
			for _, url := range urls {
				inj.control(url, change, nil)
			}
		}
	}
	return fault{name: name, begin: set(on), end: set(off)}
}

func (inj *faultInjector) objectsOutage() fault {
	return inj.controlFault("object API outage", []string{inj.platformURL(9000)},
		map[string]any{"outage": true}, map[string]any{"outage": false})
}

func (inj *faultInjector) objectsLost() fault {
	return inj.controlFault("object API loses replies", []string{inj.platformURL(9000)},
		map[string]any{"lose_fraction": 0.5}, map[string]any{"lose_fraction": 0})
}

func (inj *faultInjector) objectsSlow() fault {
	return inj.controlFault("object API slow", []string{inj.platformURL(9000)},
		map[string]any{"latency_ms": 400, "jitter_ms": 800}, map[string]any{"latency_ms": 0, "jitter_ms": 0})
}

func (inj *faultInjector) hostsDown() fault {
	return inj.controlFault("host list down", []string{inj.platformURL(9001)},
		map[string]any{"down": true}, map[string]any{"down": false})
}

// engines returns the control URLs and the ids of count random engines.
func (inj *faultInjector) engines(count int) (urls []string, names string) {
	var ids []string
	for _, i := range inj.random.Perm(len(inj.deploy.Engines))[:count] {
		urls = append(urls, "http://"+inj.deploy.Engines[i].Control)
		ids = append(ids, inj.deploy.Engines[i].ID)
	}
	return urls, strings.Join(ids, " ")
}

func (inj *faultInjector) engineFrozen() fault {
	urls, names := inj.engines(1)
	return inj.controlFault("frozen "+names, urls, map[string]any{"freeze": true}, map[string]any{"freeze": false})
}

func (inj *faultInjector) enginesSlow() fault {
	urls, names := inj.engines(2)
	return inj.controlFault("slow "+names, urls, map[string]any{"slow_factor": 5}, map[string]any{"slow_factor": 1})
}

func (inj *faultInjector) plainLoses() fault {
	p := inj.deploy.Plains[inj.random.IntN(len(inj.deploy.Plains))]
	return inj.controlFault(p.ID+" loses answers", []string{"http://" + p.Control},
		map[string]any{"lose_answers": true}, map[string]any{"lose_answers": false})
}

// draw returns faults of the given kinds with random targets and times.
func (inj *faultInjector) draw(kinds []string) []fault {
	var faults []fault
	for _, kind := range faultKinds {
		if !slices.Contains(kinds, kind.name) {
			continue
		}
		drawn := kind.draw(inj)
		drawn.at = time.Duration(inj.random.Int64N(int64(maxFaultStart)))
		drawn.until = drawn.at + minFaultDuration + time.Duration(inj.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, drawn)
	}
	return faults
}

// run begins and ends the faults at their times. Nothing else may start or signal
// processes of the fleet meanwhile.
func (inj *faultInjector) run(faults []fault) {
	type step struct {
		at time.Duration
		do func()
	}
	var steps []step
	for _, drawn := range faults {
		inj.t.Logf("%s from %s to %s", drawn.name, drawn.at.Round(time.Millisecond), drawn.until.Round(time.Millisecond))
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

// numberFromEnv returns the number in an environment variable, or fallback if it is unset.
func numberFromEnv(t *testing.T, name string, fallback uint64) uint64 {
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
	first := numberFromEnv(t, seedVariable, 1)
	count := numberFromEnv(t, combinationsVariable, 0)
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
		inj := newFaultInjector(f, seed)
		faults := inj.draw(kinds)
		result := f.runWorkloadWith(combinationSettings(seed), func() { inj.run(faults) })
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
