package cell

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Timing of a dispatcher.
const (
	// stateRequestInterval is the minimum time between two requests for the state
	// of one entry.
	stateRequestInterval = time.Second
	// reportTimeout is how long a running ticket may go without a usage report
	// before its grant is sent again. An entry that does not know the ticket
	// declines the grant.
	reportTimeout = 3 * time.Second
	// minChargeInterval is the minimum time between two usage reports of one
	// ticket that are passed to the scheduler. The scheduler derives the token rate
	// from them, and two reports in quick succession, as after a takeover, would
	// yield a rate that is far too high.
	minChargeInterval = 100 * time.Millisecond
	// overdueRetry is the delay until the next step when a timer of the scheduler
	// stays due, such as a probe of an upstream that no waiting ticket can use.
	overdueRetry = 20 * time.Millisecond
)

// ticketKey identifies a ticket by its entry and the sequence number at the entry.
type ticketKey struct {
	entry string
	seq   uint64
}

// job is a ticket known to a dispatcher.
type job struct {
	ticketKey
	ticket ticket.Ticket
	// upstream is where the ticket runs, empty while it waits.
	upstream string
	used     ticket.Usage
	// lastReport is when the entry last reported the ticket.
	lastReport time.Time
	// lastCharge is when usage was last passed to the scheduler.
	lastCharge time.Time
	// lender is the cell that a borrowed ticket came from, borrower the cell
	// that a lent ticket was sent to. The loan of a waiting ticket ends at
	// loanExpires.
	lender      string
	borrower    string
	loanExpires time.Time
}

func (j *job) running() bool { return j.upstream != "" }

// dispatcher grants tickets on the upstreams of one cell.
type dispatcher struct {
	node      *Node
	cellSpec  *cellSpec
	epoch     uint64
	sched     *dispatch.Scheduler
	jobs      map[string]*job // by request id
	byKey     map[ticketKey]*job
	upstreams map[string]dispatch.Upstream
	limits    map[string]dispatch.Limits
	// stateRequested holds when the state of each entry was last requested.
	stateRequested map[string]time.Time
	// dirty is set when the scheduler may have something new to decide.
	dirty bool
	// lastSchedule is when the scheduler last decided.
	lastSchedule time.Time
	// nextRunningCheck is when checkRunning is due.
	nextRunningCheck time.Time
	// runningCount is the number of running tickets in jobs.
	runningCount int
	// noUpstreamSince is since when no cell of the service has an upstream that
	// accepts work, zero if one has.
	noUpstreamSince time.Time
	backup          backup
	takeover
	exchange
}

func newDispatcher(node *Node, spec *cellSpec, epoch uint64) *dispatcher {
	d := &dispatcher{
		node:             node,
		cellSpec:         spec,
		epoch:            epoch,
		sched:            node.newScheduler(spec.name),
		jobs:             map[string]*job{},
		byKey:            map[ticketKey]*job{},
		upstreams:        map[string]dispatch.Upstream{},
		limits:           map[string]dispatch.Limits{},
		stateRequested:   map[string]time.Time{},
		nextRunningCheck: node.now.Add(reportTimeout),
	}
	d.sched.MergeCounters(node.counters[spec.name])
	delete(node.counters, spec.name)
	d.configure()
	d.updateSiblings()
	d.startClaim()
	return d
}

// viewChanged applies a new view.
func (d *dispatcher) viewChanged() {
	if spec := d.node.layout.byName[d.cellSpec.name]; spec != nil {
		d.cellSpec = spec
	}
	d.configure()
	for _, entry := range d.entries() {
		if !d.node.layout.isLive(entry) {
			d.dropEntry(entry)
		}
	}
	d.updateSiblings()
	d.claimToNewRouters()
	d.skipDeadRouters()
	d.dirty = true
}

// configure passes changes of upstreams and limits to the scheduler.
func (d *dispatcher) configure() {
	upstreams := map[string]dispatch.Upstream{}
	for _, u := range d.cellSpec.upstreams {
		upstreams[u.ID] = dispatch.Upstream{ID: u.ID, Slots: u.Slots, Leaving: u.Leaving}
	}
	applyDiff(d.upstreams, upstreams, func(_ string, u dispatch.Upstream) { d.sched.SetUpstream(u) }, d.sched.RemoveUpstream)
	d.upstreams = upstreams
	limits := d.node.view.Limits[d.cellSpec.service]
	applyDiff(d.limits, limits, d.sched.SetWorkspace, d.sched.RemoveWorkspace)
	d.limits = limits
	switch {
	case d.node.layout.served(d.cellSpec.service):
		d.noUpstreamSince = time.Time{}
	case d.noUpstreamSince.IsZero():
		d.noUpstreamSince = d.node.now
	}
}

// applyDiff calls set for each new or changed value and remove for each key that
// is missing in latest.
func applyDiff[V comparable](old, latest map[string]V, set func(string, V), remove func(string)) {
	for _, key := range sortedKeys(latest) {
		if was, ok := old[key]; !ok || was != latest[key] {
			set(key, latest[key])
		}
	}
	for _, key := range sortedKeys(old) {
		if _, ok := latest[key]; !ok {
			remove(key)
		}
	}
}

// entries returns the entries that have tickets at this dispatcher, sorted.
func (d *dispatcher) entries() []string {
	set := map[string]bool{}
	for _, j := range d.jobs {
		set[j.entry] = true
	}
	return sortedKeys(set)
}

// dropEntry ends all tickets of an entry that is no longer live.
func (d *dispatcher) dropEntry(entry string) {
	for _, id := range sortedKeys(d.jobs) {
		if j := d.jobs[id]; j.entry == entry {
			d.drop(j)
		}
	}
}

// dropOtherRuns ends the tickets of all runs of an entry except the given one.
// Tickets of the given run may already be known, because another cell can lend
// them before the first message of the entry arrives.
func (d *dispatcher) dropOtherRuns(entry string, incarnation uint32) {
	for _, id := range sortedKeys(d.jobs) {
		if j := d.jobs[id]; j.entry == entry && incarnationOf(j.seq) != incarnation {
			d.drop(j)
		}
	}
}

// drop ends a ticket whose entry is gone.
func (d *dispatcher) drop(j *job) {
	d.end(j, j.used, dispatch.OutcomeCanceled, dispatch.Sample{})
	d.node.event("dropped", event.Event{
		Request: j.ticket.ID, Workspace: j.ticket.Workspace, Detail: "entry " + j.entry + " is gone",
	})
}

func (d *dispatcher) add(j *job) {
	d.jobs[j.ticket.ID] = j
	d.byKey[j.ticketKey] = j
	d.dirty = true
	if j.running() {
		d.runningCount++
	}
}

func (d *dispatcher) remove(j *job) {
	delete(d.jobs, j.ticket.ID)
	delete(d.byKey, j.ticketKey)
	d.dirty = true
	switch {
	case j.running():
		d.runningCount--
	case j.borrower != "":
		d.lentCount--
	}
}

// end removes a running, waiting or lent ticket, also from the scheduler.
func (d *dispatcher) end(j *job, used ticket.Usage, outcome dispatch.Outcome, s dispatch.Sample) {
	switch {
	case j.running():
		d.sched.Finish(d.node.now, j.ticket.ID, used, outcome, s)
	case j.borrower == "":
		d.sched.Withdraw(j.ticket.ID)
	}
	d.remove(j)
}

// due reports whether the scheduler may have something to decide.
func (d *dispatcher) due() bool {
	if !d.ready {
		return false
	}
	if d.dirty {
		return true
	}
	at := d.sched.Wake(d.node.now)
	return d.lastSchedule.Before(d.node.now) && !at.IsZero() && !at.After(d.node.now)
}

// wake returns when the scheduler has to decide next if no message arrives.
func (d *dispatcher) wake() time.Time {
	if !d.ready {
		return time.Time{}
	}
	at := d.sched.Wake(d.node.now)
	if !at.IsZero() && !at.After(d.node.now) {
		return d.node.now.Add(overdueRetry)
	}
	return at
}

// schedule sends all refusals, grants and stops that the scheduler decides, and
// then exchanges tickets with the sibling cells.
func (d *dispatcher) schedule() {
	d.dirty = false
	d.lastSchedule = d.node.now
	for _, r := range d.sched.Refuse(d.node.now) {
		d.refuse(r)
	}
	for {
		g, ok := d.sched.Next(d.node.now)
		if !ok {
			break
		}
		d.grant(g)
	}
	for _, id := range d.sched.Stops(d.node.now) {
		if j := d.jobs[id]; j != nil {
			s := d.sectionFor(j.entry)
			s.Stops = append(s.Stops, j.seq)
		}
	}
	d.balance()
}

// sectionFor returns the message section for a router, with the epoch set.
func (d *dispatcher) sectionFor(host string) *section {
	s := d.node.out.sectionFor(host, d.cellSpec.name)
	s.Epoch = d.epoch
	return s
}

// grant records a grant of the scheduler and sends it to the entry.
func (d *dispatcher) grant(g dispatch.Grant) {
	j := d.jobs[g.Ticket.ID]
	if j == nil {
		d.sched.Finish(d.node.now, g.Ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		return
	}
	j.upstream = g.Upstream
	j.lastReport, j.lastCharge = d.node.now, d.node.now
	j.loanExpires = time.Time{}
	d.runningCount++
	d.countCrossRegion(j)
	d.sendDecided(j)
	d.sendGrant(j)
}

// countCrossRegion counts a grant to an entry in another region, and the bytes of
// the request body that will cross regions.
func (d *dispatcher) countCrossRegion(j *job) {
	if d.node.layout.region[j.entry] != d.cellSpec.region {
		d.stats.crossGrants++
		d.stats.crossBytes += j.ticket.BodyBytes
	}
}

func (d *dispatcher) sendGrant(j *job) {
	s := d.sectionFor(j.entry)
	s.Grants = append(s.Grants, grantMessage{Seq: j.seq, Upstream: j.upstream})
}

// refuse removes a waiting ticket and sends the refusal to its entry.
func (d *dispatcher) refuse(r dispatch.Refusal) {
	j := d.jobs[r.Ticket.ID]
	if j == nil {
		return
	}
	d.sendDecided(j)
	d.remove(j)
	d.sendRefusal(j.ticketKey, r)
}

func (d *dispatcher) sendRefusal(key ticketKey, r dispatch.Refusal) {
	s := d.sectionFor(key.entry)
	s.Refusals = append(s.Refusals, refusalMessage{
		Seq: key.seq, Reason: r.Reason, RetryAfter: r.RetryAfter.Milliseconds(),
	})
}

func (d *dispatcher) runTimers() {
	d.runClaim()
	d.runExchange()
	d.runBackup()
	d.refuseUnserved()
	if !d.node.now.Before(d.nextRunningCheck) {
		d.checkRunning()
	}
	d.node.wakeAt(d.nextRunningCheck)
}

// refuseUnserved refuses all waiting tickets once the service has been without an
// upstream for the NoUpstreamGrace of the policy.
func (d *dispatcher) refuseUnserved() {
	if d.noUpstreamSince.IsZero() || d.waiting() == 0 {
		return
	}
	grace := d.node.cfg.Policy.NoUpstreamGrace
	if at := d.noUpstreamSince.Add(grace); d.node.now.Before(at) {
		d.node.wakeAt(at)
		return
	}
	for _, id := range sortedKeys(d.jobs) {
		j := d.jobs[id]
		if !j.running() {
			d.sched.Withdraw(id)
			d.refuse(dispatch.Refusal{Ticket: j.ticket, Reason: ticket.ReasonNoUpstream, RetryAfter: grace})
		}
	}
}

// checkRunning repeats the grants of running tickets that have not been reported
// for reportTimeout. The entry declines them if the Finish was lost or
// the entry has lost its state.
func (d *dispatcher) checkRunning() {
	d.nextRunningCheck = d.node.now.Add(reportTimeout / 3)
	var silent []*job
	for _, j := range d.jobs {
		if j.running() && d.node.now.Sub(j.lastReport) >= reportTimeout {
			silent = append(silent, j)
		}
	}
	slices.SortFunc(silent, compareJobs)
	for _, j := range silent {
		d.sendGrant(j)
	}
}
