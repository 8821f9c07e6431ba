package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/dispatch/reference"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// scheduler is the scheduler under simulation: that of package dispatch or the
// reference.
type scheduler interface {
	SetWorkspace(name string, l dispatch.Limits)
	SetUpstream(u dispatch.Upstream)
	Enqueue(now time.Time, t ticket.Ticket) *dispatch.Refusal
	Next(now time.Time) (dispatch.Grant, bool)
	Refuse(now time.Time) []dispatch.Refusal
	Stops(now time.Time) []string
	Progress(now time.Time, id string, used ticket.Usage)
	Finish(now time.Time, id string, used ticket.Usage, o dispatch.Outcome, s dispatch.Sample)
	Wake(now time.Time) time.Time
}

const (
	perToken       = 20 * time.Millisecond  // nominal time of one generated token
	perPromptToken = 200 * time.Microsecond // nominal time of one prompt token
	setupTime      = 30 * time.Millisecond  // before the prompt of a request
	reportEvery    = 250 * time.Millisecond // between two usage reports of a run
)

// job is one simulated request.
type job struct {
	ticket   ticket.Ticket
	cell     int
	at       time.Duration // arrival
	tokens   int64         // total to generate
	deadline time.Duration // after arrival, zero for none
	class    string

	done    int64 // tokens generated in earlier runs
	run     *simRun
	began   time.Duration // first grant
	ended   time.Duration
	grants  int
	refused ticket.RefusalReason
	charged ticket.Units // cost of the current run passed to gaps so far
}

// simRun is one run of a job on an upstream.
type simRun struct {
	job      *job
	upstream *simUpstream
	started  time.Duration
	advanced time.Duration // when progress was last updated
	progress time.Duration // work done, as time at normal speed
	first    time.Duration // when the first token came, zero before that
	version  int           // counts the calls of scheduleEnd; only the last one counts
}

type simUpstream struct {
	id       string
	cell     int
	slots    int
	slowdown float64 // factor by which runs take longer, 1 for normal speed
	runs     map[*simRun]bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim is a deterministic discrete-event simulation of cells, upstreams and
// requests. Its clock is the duration since epoch.
type sim struct {
	now        time.Duration
	events     eventHeap
	seq        int
	schedulers []scheduler             // by cell
	ups        map[string]*simUpstream // by ID
	upsInOrder []*simUpstream
	jobs       map[string]*job // by ticket ID
	jobList    []*job          // in the order in which they were added
	limits     map[string]dispatch.Limits
	gaps       *gapTracker
	busy       float64         // slot seconds
	wakes      []time.Duration // pending wake of each scheduler, -1 for none
	// exchange moves tickets between cells after each step; may be nil.
	exchange func(cell int)
	// check checks invariants after each step; may be nil.
	check func(cell int)
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func newSim(limits map[string]dispatch.Limits, ups []*simUpstream) *sim {
	s := &sim{ups: map[string]*simUpstream{}, upsInOrder: ups, jobs: map[string]*job{}, limits: limits}
	for _, u := range ups {
		u.runs = map[*simRun]bool{}
		s.ups[u.id] = u
	}
	s.gaps = newGapTracker(limits)
	return s
}

// upstreams returns n upstreams spread evenly over the cells.
func upstreams(n, slots, cells int) []*simUpstream {
	ups := []*simUpstream{}
	for i := range n {
		ups = append(ups, &simUpstream{id: fmt.Sprintf("u%02d", i), cell: i % cells, slots: slots, slowdown: 1})
	}
	return ups
}

func (s *sim) useScheduler(cells int, policy dispatch.Policy) []*dispatch.Scheduler {
	schedulers := []*dispatch.Scheduler{}
	for i := range cells {
		sched := dispatch.New(fmt.Sprintf("c%d", i), fmt.Sprintf("i%d", i), policy)
		schedulers = append(schedulers, sched)
		s.addScheduler(sched, i)
	}
	return schedulers
}

// useReference adds one global reference scheduler for all upstreams and jobs.
func (s *sim) useReference(policy dispatch.Policy) {
	s.addScheduler(reference.New(policy, reference.Knowledge{
		Cost: func(t ticket.Ticket) ticket.Units { return s.jobs[t.ID].cost() },
		RunTime: func(t ticket.Ticket) time.Duration {
			j := s.jobs[t.ID]
			return j.prefill() + time.Duration(j.tokens)*perToken
		},
		Slowed: func(id string) bool { return s.ups[id].slowdown >= 2 },
	}), -1)
	for _, u := range s.upsInOrder {
		u.cell = 0
	}
	for _, j := range s.jobList {
		j.cell = 0
	}
}

// addScheduler adds a scheduler with the upstreams of a cell, or with all upstreams
// if cell is negative.
func (s *sim) addScheduler(sched scheduler, cell int) {
	for _, name := range sortedKeys(s.limits) {
		sched.SetWorkspace(name, s.limits[name])
	}
	for _, u := range s.upsInOrder {
		if cell < 0 || u.cell == cell {
			sched.SetUpstream(dispatch.Upstream{ID: u.id, Slots: u.slots})
		}
	}
	s.schedulers = append(s.schedulers, sched)
	s.wakes = append(s.wakes, -1)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := []string{}
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (j *job) prefill() time.Duration {
	return setupTime + time.Duration(j.ticket.PromptTokens)*perPromptToken
}

func (j *job) cost() ticket.Units {
	return ticket.Usage{PromptTokens: j.ticket.PromptTokens, GeneratedTokens: j.tokens}.Cost()
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

// add schedules the arrival of jobs.
func (s *sim) add(jobs []*job) {
	for _, j := range jobs {
		s.jobs[j.ticket.ID] = j
		s.jobList = append(s.jobList, j)
		s.after(j.at-s.now, func() { s.arrive(j) })
	}
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.elapse(e.at)
		e.do()
	}
	s.elapse(end)
}

// elapse advances the clock and adds up the busy slots.
func (s *sim) elapse(to time.Duration) {
	for _, u := range s.upsInOrder {
		s.busy += float64(len(u.runs)) * (to - s.now).Seconds()
	}
	s.now = to
}

func (s *sim) arrive(j *job) {
	t := j.ticket
	t.Arrived = s.clock()
	if j.deadline > 0 {
		t.Deadline = s.clock().Add(j.deadline)
	}
	j.ticket = t
	s.enqueue(j, j.cell)
}

func (s *sim) enqueue(j *job, cell int) {
	s.gaps.waits(j.ticket.Workspace, 1)
	if refusal := s.schedulers[cell].Enqueue(s.clock(), j.ticket); refusal != nil {
		s.refuse(*refusal)
	}
	s.step(cell)
}

func (s *sim) refuse(r dispatch.Refusal) {
	j := s.jobs[r.Ticket.ID]
	if j.refused != "" || j.run != nil || (j.grants > 0 && j.ticket.Stops == 0) {
		panic("refused after a grant or twice: " + r.Ticket.ID)
	}
	j.refused = r.Reason
	s.gaps.waits(j.ticket.Workspace, -1)
}

// step lets one scheduler decide until it has no more grants, and executes its
// decisions.
func (s *sim) step(cell int) {
	sched := s.schedulers[cell]
	for _, r := range sched.Refuse(s.clock()) {
		s.refuse(r)
	}
	for g, ok := sched.Next(s.clock()); ok; g, ok = sched.Next(s.clock()) {
		s.begin(g, cell)
	}
	for _, id := range sched.Stops(s.clock()) {
		r := s.jobs[id].run
		s.after(perToken, func() { s.stop(r, cell) })
	}
	if s.exchange != nil {
		s.exchange(cell)
	}
	if s.check != nil {
		s.check(cell)
	}
	if wake := sched.Wake(s.clock()); !wake.IsZero() {
		s.wake(cell, max(wake.Sub(epoch), s.now+time.Millisecond))
	}
}

func (s *sim) wake(cell int, at time.Duration) {
	if s.wakes[cell] > s.now && s.wakes[cell] <= at {
		return
	}
	s.wakes[cell] = at
	s.after(at-s.now, func() {
		if s.wakes[cell] == at {
			s.wakes[cell] = -1
			s.step(cell)
		}
	})
}

func (s *sim) begin(g dispatch.Grant, cell int) {
	j, u := s.jobs[g.Ticket.ID], s.ups[g.Upstream]
	if j.refused != "" || j.run != nil || j.ended > 0 || (j.grants > 0 && j.grants != j.ticket.Stops) {
		panic("granted twice or after a refusal: " + g.Ticket.ID)
	}
	j.grants++
	if j.grants == 1 {
		j.began = s.now
	}
	s.gaps.waits(j.ticket.Workspace, -1)
	s.gaps.runs(j.ticket.Workspace, 1)
	r := &simRun{job: j, upstream: u, started: s.now, advanced: s.now}
	j.run = r
	u.runs[r] = true
	if len(u.runs) > u.slots {
		panic("more runs than slots on " + u.id)
	}
	s.scheduleEnd(r, cell)
	s.after(reportEvery, func() { s.report(r, cell) })
}

func (r *simRun) total() time.Duration {
	return r.job.prefill() + time.Duration(r.job.tokens-r.job.done)*perToken
}

func (r *simRun) usage() ticket.Usage {
	if r.progress < r.job.prefill() {
		return ticket.Usage{}
	}
	return ticket.Usage{
		PromptTokens:    r.job.ticket.PromptTokens,
		GeneratedTokens: int64((r.progress - r.job.prefill()) / perToken),
	}
}

func (s *sim) advance(r *simRun) {
	r.progress += time.Duration(float64(s.now-r.advanced) / r.upstream.slowdown)
	r.advanced = s.now
	if r.first == 0 && r.progress >= r.job.prefill() {
		r.first = s.now - time.Duration(float64(r.progress-r.job.prefill())*r.upstream.slowdown)
	}
}

// scheduleEnd schedules the end of a run at its present speed and replaces the end
// that was scheduled before.
func (s *sim) scheduleEnd(r *simRun, cell int) {
	r.version++
	version := r.version
	left := time.Duration(math.Ceil(float64(r.total()-r.progress) * r.upstream.slowdown))
	s.after(max(left, 0), func() {
		if r.version == version && r.job.run == r {
			s.end(r, cell, dispatch.OutcomeDone)
		}
	})
}

func (s *sim) report(r *simRun, cell int) {
	if r.job.run != r {
		return
	}
	s.advance(r)
	s.charge(r)
	s.schedulers[cell].Progress(s.clock(), r.job.ticket.ID, r.usage())
	s.after(reportEvery, func() { s.report(r, cell) })
	s.step(cell)
}

func (s *sim) charge(r *simRun) {
	cost := r.usage().Cost()
	s.gaps.serve(r.job.ticket.Workspace, cost-r.job.charged)
	r.job.charged = cost
}

func (s *sim) end(r *simRun, cell int, o dispatch.Outcome) {
	s.advance(r)
	s.charge(r)
	j := r.job
	used := r.usage()
	delete(r.upstream.runs, r)
	s.gaps.runs(j.ticket.Workspace, -1)
	j.run = nil
	j.charged = 0
	sample := dispatch.Sample{FirstToken: max(r.first-r.started, 0)}
	if used.GeneratedTokens > 0 {
		sample.PerToken = (s.now - r.first) / time.Duration(used.GeneratedTokens)
	}
	s.schedulers[cell].Finish(s.clock(), j.ticket.ID, used, o, sample)
	if o == dispatch.OutcomeDone {
		j.ended = s.now
		s.step(cell)
		return
	}
	j.done += used.GeneratedTokens
	j.ticket.PriorUsage = j.ticket.PriorUsage.Add(used)
	j.ticket.Stops++
	s.enqueue(j, cell)
}

func (s *sim) stop(r *simRun, cell int) {
	if r.job.run == r {
		s.end(r, cell, dispatch.OutcomeStopped)
	}
}

// setSlowdown changes the slowdown of an upstream; 1 is normal speed.
func (s *sim) setSlowdown(u *simUpstream, slowdown float64) {
	for _, r := range s.sortedRuns(u) {
		s.advance(r)
	}
	u.slowdown = slowdown
	for _, r := range s.sortedRuns(u) {
		s.scheduleEnd(r, u.cell)
	}
}

func (s *sim) sortedRuns(u *simUpstream) []*simRun {
	runs := []*simRun{}
	for r := range u.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int { return int(a.job.at - b.job.at) })
	return runs
}

// arrivals returns Poisson arrivals of one class during [from, to).
func arrivals(rng *rand.Rand, from, to time.Duration, rate float64, make func(i int) *job) []*job {
	jobs := []*job{}
	at := from
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return jobs
		}
		j := make(len(jobs))
		j.at = at
		jobs = append(jobs, j)
	}
}
