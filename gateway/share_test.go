package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	simWindow      = 4 * time.Second
	simCapacity    = 1_000_000.0 // tokens per second
	simEngines     = 16
	simReadRate    = 82.0 // prompt tokens that an engine reads per ms
	fairnessWindow = 6 * time.Second
	// maxServiceRatio is the target: over any fairnessWindow no backlogged workspace
	// gets more than this multiple of what another one gets.
	maxServiceRatio = 2.0
	// warmUp is the time after which reports and engines have reached a steady state.
	warmUp = 5 * time.Second
)

// shareLoad describes the requests of one workspace.
type shareLoad struct {
	workspace   string
	tokensPerMs float64
	routers     int     // number of routers that its callers use
	skew        float64 // part of the requests that go to the first of them
	from        time.Duration
}

// shareSim plays a load over the pools of many routers that exchange reports late,
// and engines that read prompts one after another.
type shareSim struct {
	rng        *rand.Rand
	now        time.Time
	pools      []*pools
	lag        int     // age of the reports that arrive, in report intervals
	loss       float64 // part of the reports that do not arrive
	reports    [][]*fleet.Report
	engines    map[string]*simulatedEngine
	events     simEvents
	workspaces map[string]*catalog.Workspace
	routes     map[string]*catalog.Route // by workspace; simRoute for those that are missing
	// granted holds tokens by workspace and step of a report interval.
	granted map[string][]float64
	// large and small count the requests of the workspace "wide" by size.
	large, small servedRequests
}

type servedRequests struct{ requested, granted int }

func (s servedRequests) ratio() float64 { return float64(s.granted) / float64(max(s.requested, 1)) }

type simulatedEngine struct{ busyUntil time.Time }

// simEvent is something that happens at an engine.
type simEvent struct {
	at   time.Time
	done func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var simService = &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 32, MemoryTokens: 623_735}}

var simRoute = &catalog.Route{Name: "r", TargetLatency: 800 * time.Millisecond, TargetGap: 400 * time.Millisecond, MaxAttempts: 1}

func newShareSim(seed uint64, routers int, reportAge time.Duration, loss float64) *shareSim {
	s := &shareSim{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), lag: max(int(reportAge/fleet.ReportInterval), 1), loss: loss,
		engines: map[string]*simulatedEngine{}, workspaces: map[string]*catalog.Workspace{}, granted: map[string][]float64{},
	}
	for i := range simEngines {
		s.engines[fmt.Sprint("e", i)] = &simulatedEngine{}
	}
	for range routers {
		s.addRouter()
	}
	return s
}

func (s *shareSim) addRouter() {
	var upstreams []catalog.Upstream
	for i := range simEngines {
		upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint("e", i), DataCentre: "a"})
	}
	table := catalog.NewTable(1, nil, []*catalog.Service{simService}, nil, catalog.Limits{TokensPerSecond: simCapacity}, false)
	p := newPools(placement.Location{DataCentre: "a"}, nil, budget.Limits{Window: time.Second}, simWindow, s.now.Add(time.Duration(len(s.pools))))
	p.configure(time.Now(), table, func(string) []catalog.Upstream { return upstreams })
	s.pools = append(s.pools, p)
}

// run plays loads for a duration.
func (s *shareSim) run(loads []shareLoad, duration time.Duration) {
	for elapsed := time.Duration(0); elapsed < duration; elapsed += time.Millisecond {
		if elapsed%fleet.ReportInterval == 0 {
			s.exchangeReports()
		}
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			event := heap.Pop(&s.events).(simEvent)
			event.done(event.at)
		}
		for _, load := range loads {
			if elapsed >= load.from {
				s.arrivals(load)
			}
		}
		s.now = s.now.Add(time.Millisecond)
	}
}

// exchangeReports delivers reports that are lag intervals old.
func (s *shareSim) exchangeReports() {
	reports := make([]*fleet.Report, len(s.pools))
	for i, p := range s.pools {
		reports[i] = &fleet.Report{}
		p.fillReport(s.now, reports[i])
	}
	s.reports = append(s.reports, reports)
	arrived := s.reports[max(len(s.reports)-1-s.lag, 0)]
	age := time.Duration(s.lag) * fleet.ReportInterval
	sum := fleet.NewTotals()
	for _, report := range arrived {
		sum.AddReport(report, age, 1)
	}
	for i, p := range s.pools {
		if s.rng.Float64() < s.loss {
			continue
		}
		others := fleet.NewTotals()
		others.Add(sum)
		if i < len(arrived) {
			others.AddReport(arrived[i], age, -1)
		}
		p.setRemote(s.now, others, len(s.pools)-1)
	}
	for workspace := range s.granted {
		s.granted[workspace] = append(s.granted[workspace], 0)
	}
}

// arrivals plays the requests of one millisecond.
func (s *shareSim) arrivals(load shareLoad) {
	const meanCost = 4470 // of the requests below
	for remaining := load.tokensPerMs / meanCost; s.rng.Float64() < remaining; remaining-- {
		headers := platform.CallerRequest{PromptTokens: 2368, OutputHint: 21}
		switch kind := s.rng.Float64(); {
		case kind < 0.25:
			headers = platform.CallerRequest{PromptTokens: 11992, OutputHint: 385}
		case kind < 0.55:
			headers = platform.CallerRequest{PromptTokens: 826, OutputHint: 294}
		}
		router := 0
		if s.rng.Float64() >= load.skew {
			router = s.rng.IntN(load.routers)
		}
		s.request(s.pools[router], load.workspace, headers)
	}
}

func (s *shareSim) request(p *pools, workspace string, headers platform.CallerRequest) {
	if s.workspaces[workspace] == nil {
		s.workspaces[workspace] = &catalog.Workspace{Name: workspace}
		s.granted[workspace] = make([]float64, len(s.reports))
	}
	route := simRoute
	if own := s.routes[workspace]; own != nil {
		route = own
	}
	c := &call{request: &http.Request{}, service: simService, workspace: s.workspaces[workspace], route: route, headers: headers}
	c.deadline = s.now.Add(15 * time.Second)
	a := p.assign(s.now, c)
	if workspace == "wide" {
		size := &s.small
		if headers.PromptTokens > 10_000 {
			size = &s.large
		}
		size.requested++
		if !a.Refused() {
			size.granted++
		}
	}
	if a.Refused() {
		return
	}
	s.granted[workspace][len(s.reports)-1] += a.cost
	e := s.engines[a.Upstream.ID]
	if e.busyUntil.Before(s.now) {
		e.busyUntil = s.now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(headers.PromptTokens) / simReadRate * float64(time.Millisecond)))
	heap.Push(&s.events, simEvent{at: e.busyUntil.Add(5 * time.Millisecond), done: func(now time.Time) { p.firstEvent(now, &a) }})
	heap.Push(&s.events, simEvent{at: e.busyUntil.Add(time.Second), done: func(now time.Time) {
		p.ended(now, c, &a, placement.Succeeded, true)
	}})
}

// serviceRatio returns the largest ratio between what two workspaces got within a
// fairnessWindow that begins after warmUp.
func (s *shareSim) serviceRatio(backlogged ...string) float64 {
	steps := int(fairnessWindow / fleet.ReportInterval)
	largest := 1.0
	for begin := int(warmUp / fleet.ReportInterval); begin+steps <= len(s.reports); begin++ {
		least, most := 0.0, 0.0
		for i, workspace := range backlogged {
			sum := 0.0
			for _, tokens := range s.granted[workspace][begin : begin+steps] {
				sum += tokens
			}
			if i == 0 || sum < least {
				least = sum
			}
			most = max(most, sum)
		}
		largest = max(largest, most/max(least, 1))
	}
	return largest
}

// used returns the part of the capacity that was granted after warmUp.
func (s *shareSim) used() float64 {
	begin, sum := int(warmUp/fleet.ReportInterval), 0.0
	for _, granted := range s.granted {
		for _, tokens := range granted[begin:] {
			sum += tokens
		}
	}
	return sum / (simCapacity * fleet.ReportInterval.Seconds() * float64(len(s.reports)-begin))
}

// A workspace on many routers must not get more than one that uses a single
// router. On grown Solas, mix with seed 119902450861, it got 3.3 times as much.
func TestShareDoesNotDependOnTheNumberOfRouters(t *testing.T) {
	for _, test := range []struct {
		routers   int
		reportAge time.Duration
		loss      float64
		skew      float64
	}{
		{routers: 1, reportAge: 100 * time.Millisecond},
		{routers: 8, reportAge: 300 * time.Millisecond},
		{routers: 72, reportAge: 300 * time.Millisecond},
		{routers: 72, reportAge: 600 * time.Millisecond},
		{routers: 72, reportAge: 600 * time.Millisecond, loss: 0.3},
		{routers: 72, reportAge: 600 * time.Millisecond, skew: 0.3},
		{routers: 72, reportAge: 2 * time.Second},
		{routers: 390, reportAge: 600 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d routers, reports %v old, loss %v, skew %v", test.routers, test.reportAge, test.loss, test.skew), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := newShareSim(seed, test.routers, test.reportAge, test.loss)
				s.run(backloggedLoads(test.routers, test.skew), 20*time.Second)
				ratio, used := s.serviceRatio("wide", "few", "narrow"), s.used()
				t.Logf("seed %d: largest ratio %.2f, used %.3f of the capacity", seed, ratio, used)
				assert.LessOrEqual(t, ratio, maxServiceRatio, "seed %d", seed)
				assert.GreaterOrEqual(t, used, 0.85, "seed %d", seed)
			}
		})
	}
}

// A request that is larger than its router's part of the share must be served as
// often as others.
func TestLargeRequestsPassOnManyRouters(t *testing.T) {
	for seed := range uint64(2) {
		s := newShareSim(seed, 390, 600*time.Millisecond, 0)
		s.run(backloggedLoads(390, 0), 20*time.Second)
		t.Logf("seed %d: large %+v, small %+v", seed, s.large, s.small)
		assert.GreaterOrEqual(t, s.large.ratio(), 0.5*s.small.ratio(), "seed %d", seed)
	}
}

// Routers that join begin without reports and must not grant a second share.
func TestShareWhileRoutersJoin(t *testing.T) {
	for seed := range uint64(2) {
		s := newShareSim(seed, 36, 600*time.Millisecond, 0)
		s.run(backloggedLoads(36, 0), 10*time.Second)
		for range 36 {
			s.addRouter()
		}
		s.run(backloggedLoads(72, 0), 10*time.Second)
		ratio, used := s.serviceRatio("wide", "few", "narrow"), s.used()
		t.Logf("seed %d: largest ratio %.2f, used %.3f of the capacity", seed, ratio, used)
		assert.LessOrEqual(t, ratio, maxServiceRatio, "seed %d", seed)
		assert.GreaterOrEqual(t, used, 0.85, "seed %d", seed)
	}
}

// backloggedLoads returns three workspaces that request more than their shares,
// from all, eight and one of the routers, and ten that request little.
func backloggedLoads(routers int, skew float64) []shareLoad {
	loads := []shareLoad{
		{workspace: "wide", tokensPerMs: 900, routers: routers, skew: skew},
		{workspace: "few", tokensPerMs: 600, routers: min(8, routers)},
		{workspace: "narrow", tokensPerMs: 600, routers: 1},
	}
	for i := range 10 {
		loads = append(loads, shareLoad{workspace: fmt.Sprint("light", i), tokensPerMs: 20, routers: routers})
	}
	return loads
}
