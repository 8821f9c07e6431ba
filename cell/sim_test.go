package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Parameters of the simulated fleet.
const (
	viewDelay        = 3500 * time.Millisecond // from the last contact to the removal from a view
	viewPeriod       = 100 * time.Millisecond
	tokenTime        = 10 * time.Millisecond
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 8 * time.Millisecond
	// overLimitGrace is how long after a fault limits may be exceeded: viewDelay,
	// takeoverTimeout, crossRegionDelay and viewPeriod, and half a second of margin.
	overLimitGrace = 4400 * time.Millisecond
)

// fleetSim simulates a fleet of Nodes with a seeded random network.
type fleetSim struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Time
	queue         taskQueue
	order         uint64
	hosts         []string
	nodes         map[string]*simNode
	upstreamHosts []objectapi.Host
	running       map[string]map[string]bool // request ids by upstream
	limits        map[string]map[string]dispatch.Limits
	jobs          map[string]*simJob // by request id
	undecided     map[string]*simJob // jobs without a decision
	cuts          map[[2]string]bool // blocked pairs of sender and receiver
	loss          float64            // fraction of the messages lost
	duplicated    float64            // fraction of the messages delivered twice
	jitter        time.Duration      // maximum additional delay of a message
	faultEnd      time.Time          // end of the last fault

	perToken      time.Duration        // time to generate one token
	chunkTokens   int64                // tokens between two reports of a request to its entry
	sentBytes     map[string]int       // by sender
	served        map[string]int64     // tokens by workspace
	overLimit     int                  // most requests running above the slots of an upstream
	overLimitLate int                  // the same, later than overLimitGrace after a fault
	claimedAt     map[string]time.Time // latest claim by host and cell
	maxTakeover   time.Duration        // longest time from a claim until the dispatcher is ready
	idleSince     map[string]time.Time // since when an upstream has a free slot while requests wait
	maxIdle       time.Duration        // longest such time
	digest        *xxhash.Digest       // of all steps, to compare two runs
	failures      []string
	nextID        int
	eventCounts   map[string]int // by event name
}

type simNode struct {
	host, region string
	node         *Node
	up, frozen   bool
	leaving      bool
	runs         int                  // starts so far
	lastContact  map[string]time.Time // by the other host, see refreshViews
	viewKey      string               // latest view as text, to detect changes
	buffered     []Receive            // messages that arrived while frozen
	wake         time.Time
}

type simJob struct {
	ticket    ticket.Ticket
	entry     string
	tokens    int64
	generated int64 // tokens so far
	upstream  string
	decided   bool
	submitted time.Time
	started   time.Time
	attempt   int // how often the request was stopped and submitted again
	ended     bool
	refused   ticket.RefusalReason
}

type task struct {
	at    time.Time
	order uint64
	run   func()
}

type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// newFleetSim returns a fleet with the given numbers of routers and of upstreams
// per region. Each upstream belongs to service "s" and has the given slots.
func newFleetSim(t *testing.T, seed uint64, routers, upstreams []int, slots int) *fleetSim {
	sim := &fleetSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		nodes: map[string]*simNode{}, running: map[string]map[string]bool{}, jobs: map[string]*simJob{},
		cuts: map[[2]string]bool{}, served: map[string]int64{}, idleSince: map[string]time.Time{},
		undecided: map[string]*simJob{}, digest: xxhash.New(), perToken: tokenTime, chunkTokens: 10, sentBytes: map[string]int{}, claimedAt: map[string]time.Time{}, eventCounts: map[string]int{}, limits: map[string]map[string]dispatch.Limits{"s": {}},
	}
	for i := range 8 {
		sim.limits["s"][fmt.Sprintf("w%d", i)] = dispatch.Limits{Weight: 1}
	}
	for region, count := range routers {
		for i := range count {
			host := fmt.Sprintf("r%d-%d", region, i)
			sim.hosts = append(sim.hosts, host)
			sim.nodes[host] = &simNode{host: host, region: fmt.Sprint("region", region), lastContact: map[string]time.Time{}}
		}
		for i := range upstreams[region] {
			id := fmt.Sprintf("u%d-%d", region, i)
			sim.running[id] = map[string]bool{}
			sim.upstreamHosts = append(sim.upstreamHosts, objectapi.Host{
				ID: id, Kind: objectapi.HostUpstream, Region: fmt.Sprint("region", region), Service: "s", Slots: slots,
			})
		}
	}
	for _, host := range sim.hosts {
		sim.boot(host)
	}
	sim.refreshViews()
	sim.every(5*time.Millisecond, sim.sampleIdle)
	return sim
}

func (sim *fleetSim) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, task{at: sim.now.Add(d), order: sim.order, run: run})
}

func (sim *fleetSim) every(d time.Duration, run func()) {
	sim.after(d, func() { run(); sim.every(d, run) })
}

func (sim *fleetSim) runFor(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(task)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *fleetSim) fail(format string, args ...any) {
	if len(sim.failures) < 20 {
		sim.failures = append(sim.failures, fmt.Sprintf("%7.3fs ", sim.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
	}
}

// boot starts a host with empty state.
func (sim *fleetSim) boot(host string) {
	s := sim.nodes[host]
	s.runs++
	s.up, s.leaving, s.viewKey = true, false, ""
	s.node = NewNode(Config{
		Host: host, Region: s.region, Incarnation: fmt.Sprintf("%s/%d", host, s.runs), Policy: dispatch.DefaultPolicy(),
	})
	for _, other := range sim.hosts {
		s.lastContact[other] = sim.now
	}
}

// kill stops a host and ends the requests that arrived at it.
func (sim *fleetSim) kill(host string) {
	sim.nodes[host].up = false
	for _, id := range sortedKeys(sim.jobs) {
		if j := sim.jobs[id]; j.entry == host && !j.ended {
			j.ended = true
			delete(sim.undecided, id)
			if j.upstream != "" {
				delete(sim.running[j.upstream], id)
			}
		}
	}
}

// thaw resumes a frozen host, which then handles the messages that arrived in the
// meantime.
func (sim *fleetSim) thaw(host string) {
	s := sim.nodes[host]
	s.frozen = false
	for _, r := range s.buffered {
		sim.step(host, r)
	}
	s.buffered = nil
	sim.step(host, Tick{})
}

func (sim *fleetSim) step(host string, in Input) {
	s := sim.nodes[host]
	if !s.up || s.frozen {
		if r, ok := in.(Receive); ok && s.up {
			s.buffered = append(s.buffered, r)
		}
		return
	}
	out := s.node.Step(sim.now, in)
	fmt.Fprint(sim.digest, host, sim.now.UnixNano(), len(out.Send), out.Decisions)
	for _, e := range out.Events {
		sim.eventCounts[e.Name]++
		switch e.Name {
		case "claimed":
			sim.claimedAt[host+strings.Fields(e.Detail)[0]] = sim.now
		case "took_over":
			sim.maxTakeover = max(sim.maxTakeover, sim.now.Sub(sim.claimedAt[host+strings.Fields(e.Detail)[0]]))
		case "malformed", "encode_failed":
			sim.fail("%s: %s %s", host, e.Name, e.Detail)
		}
	}
	for _, m := range out.Send {
		sim.sentBytes[host] += len(m.Body)
		sim.send(host, m)
	}
	for _, d := range out.Decisions {
		sim.decide(host, d)
	}
	if !out.Wake.IsZero() && (s.wake.Before(sim.now) || !s.wake.After(sim.now) || out.Wake.Before(s.wake)) {
		s.wake = out.Wake
		run := s.runs
		sim.after(max(0, out.Wake.Sub(sim.now)), func() {
			if s.runs == run {
				sim.step(host, Tick{})
			}
		})
	}
}

func (sim *fleetSim) send(from string, m Outgoing) {
	copies := 1
	if sim.rng.Float64() < sim.loss {
		copies = 0
	} else if sim.rng.Float64() < sim.duplicated {
		copies = 2
	}
	to := sim.nodes[m.To]
	if to == nil {
		sim.fail("%s sent a message to unknown host %q", from, m.To)
		return
	}
	for range copies {
		delay := sameRegionDelay
		if to.region != sim.nodes[from].region {
			delay = crossRegionDelay
		}
		if sim.jitter > 0 {
			delay += time.Duration(sim.rng.Int64N(int64(sim.jitter)))
		}
		sim.after(delay, func() {
			if !sim.cuts[[2]string{from, m.To}] {
				sim.step(m.To, Receive{From: from, Body: m.Body})
			}
		})
	}
}

// refreshViews updates the view of each node to the routers that it has had
// contact with in the last viewDelay, directly or through another router.
func (sim *fleetSim) refreshViews() {
	for _, host := range sim.hosts {
		s := sim.nodes[host]
		if !s.up || s.frozen {
			continue
		}
		var v View
		for _, other := range sim.hosts {
			if sim.reaches(other, host) {
				s.lastContact[other] = sim.now
			}
			if sim.now.Sub(s.lastContact[other]) <= viewDelay {
				v.Routers = append(v.Routers, Router{Host: other, Region: sim.nodes[other].region, Leaving: sim.nodes[other].leaving})
			}
		}
		v.Upstreams, v.Limits = slices.Clone(sim.upstreamHosts), sim.limits
		if key := fmt.Sprint(v); key != s.viewKey {
			s.viewKey = key
			sim.step(host, ViewChanged{v})
		}
	}
	sim.after(viewPeriod, sim.refreshViews)
}

// reaches reports whether router from is running and can exchange messages with
// router to, directly or through one other router.
func (sim *fleetSim) reaches(from, to string) bool {
	s := sim.nodes[from]
	if !s.up || s.frozen {
		return false
	}
	direct := func(a, b string) bool { return !sim.cuts[[2]string{a, b}] && !sim.cuts[[2]string{b, a}] }
	if from == to || direct(from, to) {
		return true
	}
	for _, via := range sim.hosts {
		if n := sim.nodes[via]; n.up && !n.frozen && direct(from, via) && direct(via, to) {
			return true
		}
	}
	return false
}

// submit adds a request of the given length in tokens.
func (sim *fleetSim) submit(host, workspace string, tokens int64, deadline time.Duration) {
	s := sim.nodes[host]
	if !s.up || s.frozen || s.leaving {
		return
	}
	sim.nextID++
	j := &simJob{entry: host, tokens: tokens, submitted: sim.now}
	j.ticket = ticket.Ticket{
		ID: fmt.Sprintf("%036d", sim.nextID), Workspace: workspace, Service: "s",
		Hint: ticket.Units(tokens) * ticket.GeneratedTokenPrice, PromptTokens: 20, BodyBytes: 400, Idempotent: true,
	}
	if deadline > 0 {
		j.ticket.Deadline = sim.now.Add(deadline)
	}
	sim.jobs[j.ticket.ID], sim.undecided[j.ticket.ID] = j, j
	sim.step(host, Submit{j.ticket})
}

func (sim *fleetSim) decide(host string, d Decision) {
	switch d := d.(type) {
	case Granted:
		j := sim.jobs[d.ID]
		if j == nil || j.decided || j.entry != host {
			sim.fail("unexpected grant of ticket %s at %s", d.ID, host)
			return
		}
		sim.start(j, d)
	case Refused:
		j := sim.jobs[d.ID]
		if j == nil || j.decided || j.entry != host {
			sim.fail("unexpected refusal of ticket %s (%s)", d.ID, d.Reason)
			return
		}
		j.decided, j.ended, j.refused = true, true, d.Reason
		delete(sim.undecided, d.ID)
	case Stop:
		sim.stop(host, sim.jobs[d.ID])
	}
}

func (sim *fleetSim) start(j *simJob, d Granted) {
	j.decided, j.upstream, j.started = true, d.Upstream, sim.now
	sim.running[d.Upstream][d.ID] = true
	delete(sim.undecided, d.ID)
	sim.checkLimit(d.Upstream)
	sim.generate(j, j.attempt)
}

// checkLimit records by how much an upstream is above its slots. More than twice
// its slots is a failure at any time.
func (sim *fleetSim) checkLimit(upstream string) {
	slots := sim.upstreamHosts[slices.IndexFunc(sim.upstreamHosts, func(h objectapi.Host) bool { return h.ID == upstream })].Slots
	overLimit := len(sim.running[upstream]) - slots
	sim.overLimit = max(sim.overLimit, overLimit)
	if overLimit > slots {
		sim.fail("upstream %s runs %d requests in %d slots, more than twice as many", upstream, overLimit+slots, slots)
	}
	if overLimit > 0 && sim.now.After(sim.faultEnd.Add(overLimitGrace)) {
		sim.overLimitLate = max(sim.overLimitLate, overLimit)
	}
}

// generate produces the tokens of a request chunk by chunk and reports them.
func (sim *fleetSim) generate(j *simJob, attempt int) {
	step := min(sim.chunkTokens, j.tokens-j.generated)
	sim.after(time.Duration(step)*sim.perToken, func() {
		if j.ended || j.attempt != attempt || j.upstream == "" {
			return
		}
		if sim.nodes[j.entry].frozen {
			sim.after(100*time.Millisecond, func() { sim.generate(j, attempt) })
			return
		}
		j.generated += step
		sim.served[j.ticket.Workspace] += step
		used := ticket.Usage{PromptTokens: 20, GeneratedTokens: j.generated - j.ticket.PriorUsage.GeneratedTokens}
		sample := dispatch.Sample{FirstToken: sim.perToken, PerToken: sim.perToken}
		if j.generated < j.tokens {
			sim.step(j.entry, Progress{ID: j.ticket.ID, Used: used})
			sim.generate(j, attempt)
			return
		}
		j.ended = true
		delete(sim.running[j.upstream], j.ticket.ID)
		sim.step(j.entry, Finish{ID: j.ticket.ID, Used: used, Sample: sample})
	})
}

// stop stops a running request and submits it again.
func (sim *fleetSim) stop(host string, j *simJob) {
	if j == nil || j.ended || j.upstream == "" {
		return
	}
	used := ticket.Usage{PromptTokens: 20, GeneratedTokens: j.generated - j.ticket.PriorUsage.GeneratedTokens}
	delete(sim.running[j.upstream], j.ticket.ID)
	j.attempt++
	j.upstream, j.decided, j.submitted = "", false, sim.now
	sim.step(host, Finish{ID: j.ticket.ID, Used: used, Outcome: dispatch.OutcomeStopped})
	j.ticket.PriorUsage = j.ticket.PriorUsage.Add(used)
	j.ticket.Stops++
	sim.undecided[j.ticket.ID] = j
	sim.step(host, Submit{j.ticket})
}

// sampleIdle measures how long a slot is free while requests of its region wait.
func (sim *fleetSim) sampleIdle() {
	waiting := map[string]bool{}
	for _, j := range sim.undecided {
		waiting[sim.nodes[j.entry].region] = true
	}
	for _, u := range sim.upstreamHosts {
		if !waiting[u.Region] || u.Leaving || len(sim.running[u.ID]) >= u.Slots {
			delete(sim.idleSince, u.ID)
			continue
		}
		if sim.idleSince[u.ID].IsZero() {
			sim.idleSince[u.ID] = sim.now
		}
		sim.maxIdle = max(sim.maxIdle, sim.now.Sub(sim.idleSince[u.ID]))
	}
}
