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
	viewDelay   = 3500 * time.Millisecond // from the last contact to the removal from a view
	viewPeriod  = 100 * time.Millisecond
	tokenTime   = 10 * time.Millisecond
	regionDelay = 500 * time.Microsecond
	linkDelay   = 8 * time.Millisecond
	// overLimitGrace is how long after a fault limits may be exceeded: viewDelay,
	// takeoverTimeout, linkDelay and viewPeriod, and half a second of margin.
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
	jobs          map[string]*simJob
	open          map[string]*simJob // jobs without a decision
	cuts          map[[2]string]bool
	loss          float64
	dup           float64
	jitter        time.Duration
	faultAt       time.Time // end of the last fault

	token       time.Duration
	chunk       int64            // tokens between two reports of a request to its entry
	bytes       map[string]int   // by sender
	served      map[string]int64 // tokens by workspace
	over        int              // most requests running above the slots of an upstream
	overLate    int              // the same, later than overLimitGrace after a fault
	claimed     map[string]time.Time
	maxTakeover time.Duration // longest time from a claim until the dispatcher is ready
	idle        map[string]time.Time
	maxIdle     time.Duration
	digest      *xxhash.Digest
	failures    []string
	nextID      int
	events      map[string]int
}

type simNode struct {
	host, region string
	node         *Node
	up, frozen   bool
	leaving      bool
	runs         int
	lastOK       map[string]time.Time
	view         string
	buffered     []Receive
	wake         time.Time
}

type simJob struct {
	ticket    ticket.Ticket
	entry     string
	tokens    int64
	done      int64
	upstream  string
	decided   bool
	submitted time.Time
	started   time.Time
	attempt   int
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
	w := &fleetSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		nodes: map[string]*simNode{}, running: map[string]map[string]bool{}, jobs: map[string]*simJob{},
		cuts: map[[2]string]bool{}, served: map[string]int64{}, idle: map[string]time.Time{},
		open: map[string]*simJob{}, digest: xxhash.New(), token: tokenTime, chunk: 10, bytes: map[string]int{}, claimed: map[string]time.Time{}, events: map[string]int{}, limits: map[string]map[string]dispatch.Limits{"s": {}},
	}
	for i := range 8 {
		w.limits["s"][fmt.Sprintf("w%d", i)] = dispatch.Limits{Weight: 1}
	}
	for region, count := range routers {
		for i := range count {
			host := fmt.Sprintf("r%d-%d", region, i)
			w.hosts = append(w.hosts, host)
			w.nodes[host] = &simNode{host: host, region: fmt.Sprint("region", region), lastOK: map[string]time.Time{}}
		}
		for i := range upstreams[region] {
			id := fmt.Sprintf("u%d-%d", region, i)
			w.running[id] = map[string]bool{}
			w.upstreamHosts = append(w.upstreamHosts, objectapi.Host{
				ID: id, Kind: objectapi.HostUpstream, Region: fmt.Sprint("region", region), Service: "s", Slots: slots,
			})
		}
	}
	for _, host := range w.hosts {
		w.boot(host)
	}
	w.refreshViews()
	w.every(5*time.Millisecond, w.sampleIdle)
	return w
}

func (w *fleetSim) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, task{at: w.now.Add(d), order: w.order, run: run})
}

func (w *fleetSim) every(d time.Duration, run func()) {
	w.after(d, func() { run(); w.every(d, run) })
}

func (w *fleetSim) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *fleetSim) fail(format string, args ...any) {
	if len(w.failures) < 20 {
		w.failures = append(w.failures, fmt.Sprintf("%7.3fs ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
	}
}

// boot starts a host with empty state.
func (w *fleetSim) boot(host string) {
	s := w.nodes[host]
	s.runs++
	s.up, s.leaving, s.view = true, false, ""
	s.node = NewNode(Config{
		Host: host, Region: s.region, Incarnation: fmt.Sprintf("%s/%d", host, s.runs), Policy: dispatch.DefaultPolicy(),
	})
	for _, other := range w.hosts {
		s.lastOK[other] = w.now
	}
}

// kill stops a host and ends the requests that arrived at it.
func (w *fleetSim) kill(host string) {
	w.nodes[host].up = false
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.entry == host && !j.ended {
			j.ended = true
			delete(w.open, id)
			if j.upstream != "" {
				delete(w.running[j.upstream], id)
			}
		}
	}
}

func (w *fleetSim) thaw(host string) {
	s := w.nodes[host]
	s.frozen = false
	for _, r := range s.buffered {
		w.step(host, r)
	}
	s.buffered = nil
	w.step(host, Tick{})
}

func (w *fleetSim) step(host string, in Input) {
	s := w.nodes[host]
	if !s.up || s.frozen {
		if r, ok := in.(Receive); ok && s.up {
			s.buffered = append(s.buffered, r)
		}
		return
	}
	out := s.node.Step(w.now, in)
	fmt.Fprint(w.digest, host, w.now.UnixNano(), len(out.Send), out.Decisions)
	for _, e := range out.Events {
		w.events[e.Name]++
		switch e.Name {
		case "claimed":
			w.claimed[host+strings.Fields(e.Detail)[0]] = w.now
		case "took_over":
			w.maxTakeover = max(w.maxTakeover, w.now.Sub(w.claimed[host+strings.Fields(e.Detail)[0]]))
		case "malformed", "encode_failed":
			w.fail("%s: %s %s", host, e.Name, e.Detail)
		}
	}
	for _, m := range out.Send {
		w.bytes[host] += len(m.Body)
		w.send(host, m)
	}
	for _, d := range out.Decisions {
		w.decide(host, d)
	}
	if !out.Wake.IsZero() && (s.wake.Before(w.now) || !s.wake.After(w.now) || out.Wake.Before(s.wake)) {
		s.wake = out.Wake
		run := s.runs
		w.after(max(0, out.Wake.Sub(w.now)), func() {
			if s.runs == run {
				w.step(host, Tick{})
			}
		})
	}
}

func (w *fleetSim) send(from string, m Outgoing) {
	copies := 1
	if w.rng.Float64() < w.loss {
		copies = 0
	} else if w.rng.Float64() < w.dup {
		copies = 2
	}
	to := w.nodes[m.To]
	if to == nil {
		w.fail("%s sent a message to unknown host %q", from, m.To)
		return
	}
	for range copies {
		delay := regionDelay
		if to.region != w.nodes[from].region {
			delay = linkDelay
		}
		if w.jitter > 0 {
			delay += time.Duration(w.rng.Int64N(int64(w.jitter)))
		}
		w.after(delay, func() {
			if !w.cuts[[2]string{from, m.To}] {
				w.step(m.To, Receive{From: from, Body: m.Body})
			}
		})
	}
}

// refreshViews updates the view of each node to the routers that it has had
// contact with in the last viewDelay, directly or through another router.
func (w *fleetSim) refreshViews() {
	for _, host := range w.hosts {
		s := w.nodes[host]
		if !s.up || s.frozen {
			continue
		}
		var v View
		for _, other := range w.hosts {
			if w.reaches(other, host) {
				s.lastOK[other] = w.now
			}
			if w.now.Sub(s.lastOK[other]) <= viewDelay {
				v.Routers = append(v.Routers, Router{Host: other, Region: w.nodes[other].region, Leaving: w.nodes[other].leaving})
			}
		}
		v.Upstreams, v.Limits = slices.Clone(w.upstreamHosts), w.limits
		if key := fmt.Sprint(v); key != s.view {
			s.view = key
			w.step(host, ViewChanged{v})
		}
	}
	w.after(viewPeriod, w.refreshViews)
}

func (w *fleetSim) reaches(from, to string) bool {
	s := w.nodes[from]
	if !s.up || s.frozen {
		return false
	}
	direct := func(a, b string) bool { return !w.cuts[[2]string{a, b}] && !w.cuts[[2]string{b, a}] }
	if from == to || direct(from, to) {
		return true
	}
	for _, via := range w.hosts {
		if n := w.nodes[via]; n.up && !n.frozen && direct(from, via) && direct(via, to) {
			return true
		}
	}
	return false
}

// submit adds a request of the given length in tokens.
func (w *fleetSim) submit(host, workspace string, tokens int64, deadline time.Duration) {
	s := w.nodes[host]
	if !s.up || s.frozen || s.leaving {
		return
	}
	w.nextID++
	j := &simJob{entry: host, tokens: tokens, submitted: w.now}
	j.ticket = ticket.Ticket{
		ID: fmt.Sprintf("%036d", w.nextID), Workspace: workspace, Service: "s",
		Hint: ticket.Units(tokens) * ticket.GeneratedTokenPrice, PromptTokens: 20, BodyBytes: 400, Idempotent: true,
	}
	if deadline > 0 {
		j.ticket.Deadline = w.now.Add(deadline)
	}
	w.jobs[j.ticket.ID], w.open[j.ticket.ID] = j, j
	w.step(host, Submit{j.ticket})
}

func (w *fleetSim) decide(host string, d Decision) {
	switch d := d.(type) {
	case Granted:
		j := w.jobs[d.ID]
		if j == nil || j.decided || j.entry != host {
			w.fail("unexpected grant of ticket %s at %s", d.ID, host)
			return
		}
		w.start(j, d)
	case Refused:
		j := w.jobs[d.ID]
		if j == nil || j.decided || j.entry != host {
			w.fail("unexpected refusal of ticket %s (%s)", d.ID, d.Reason)
			return
		}
		j.decided, j.ended, j.refused = true, true, d.Reason
		delete(w.open, d.ID)
	case Stop:
		w.stop(host, w.jobs[d.ID])
	}
}

func (w *fleetSim) start(j *simJob, d Granted) {
	j.decided, j.upstream, j.started = true, d.Upstream, w.now
	w.running[d.Upstream][d.ID] = true
	delete(w.open, d.ID)
	w.checkLimit(d.Upstream)
	w.generate(j, j.attempt)
}

func (w *fleetSim) checkLimit(upstream string) {
	slots := w.upstreamHosts[slices.IndexFunc(w.upstreamHosts, func(h objectapi.Host) bool { return h.ID == upstream })].Slots
	over := len(w.running[upstream]) - slots
	w.over = max(w.over, over)
	if over > slots {
		w.fail("upstream %s runs %d requests in %d slots, more than twice as many", upstream, over+slots, slots)
	}
	if over > 0 && w.now.After(w.faultAt.Add(overLimitGrace)) {
		w.overLate = max(w.overLate, over)
	}
}

// generate produces the tokens of a request chunk by chunk and reports them.
func (w *fleetSim) generate(j *simJob, attempt int) {
	step := min(w.chunk, j.tokens-j.done)
	w.after(time.Duration(step)*w.token, func() {
		if j.ended || j.attempt != attempt || j.upstream == "" {
			return
		}
		if w.nodes[j.entry].frozen {
			w.after(100*time.Millisecond, func() { w.generate(j, attempt) })
			return
		}
		j.done += step
		w.served[j.ticket.Workspace] += step
		used := ticket.Usage{PromptTokens: 20, GeneratedTokens: j.done - j.ticket.PriorUsage.GeneratedTokens}
		sample := dispatch.Sample{FirstToken: w.token, PerToken: w.token}
		if j.done < j.tokens {
			w.step(j.entry, Progress{ID: j.ticket.ID, Used: used})
			w.generate(j, attempt)
			return
		}
		j.ended = true
		delete(w.running[j.upstream], j.ticket.ID)
		w.step(j.entry, Finish{ID: j.ticket.ID, Used: used, Sample: sample})
	})
}

// stop stops a running request and submits it again.
func (w *fleetSim) stop(host string, j *simJob) {
	if j == nil || j.ended || j.upstream == "" {
		return
	}
	used := ticket.Usage{PromptTokens: 20, GeneratedTokens: j.done - j.ticket.PriorUsage.GeneratedTokens}
	delete(w.running[j.upstream], j.ticket.ID)
	j.attempt++
	j.upstream, j.decided, j.submitted = "", false, w.now
	w.step(host, Finish{ID: j.ticket.ID, Used: used, Outcome: dispatch.OutcomeStopped})
	j.ticket.PriorUsage = j.ticket.PriorUsage.Add(used)
	j.ticket.Stops++
	w.open[j.ticket.ID] = j
	w.step(host, Submit{j.ticket})
}

// sampleIdle measures how long a slot is free while requests of its region wait.
func (w *fleetSim) sampleIdle() {
	waiting := map[string]bool{}
	for _, j := range w.open {
		waiting[w.nodes[j.entry].region] = true
	}
	for _, u := range w.upstreamHosts {
		if !waiting[u.Region] || u.Leaving || len(w.running[u.ID]) >= u.Slots {
			delete(w.idle, u.ID)
			continue
		}
		if w.idle[u.ID].IsZero() {
			w.idle[u.ID] = w.now
		}
		w.maxIdle = max(w.maxIdle, w.now.Sub(w.idle[u.ID]))
	}
}
