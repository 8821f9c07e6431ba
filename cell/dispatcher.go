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
	n         *Node
	cellSpec  *cellSpec
	epoch     uint64
	sched     *dispatch.Scheduler
	jobs      map[string]*job
	byKey     map[ticketKey]*job
	upstreams map[string]dispatch.Upstream
	limits    map[string]dispatch.Limits
	// stateRequested holds when the state of each entry was last requested.
	stateRequested map[string]time.Time
	// dirty is set when the scheduler may have something new to decide.
	dirty bool
	// lastSchedule is when the scheduler last decided.
	lastSchedule time.Time
	nextCheck    time.Time
	// runningCount is the number of running tickets in jobs.
	runningCount int
	// noUpstreamSince is since when no cell of the service has an upstream that
	// accepts work, zero if one has.
	noUpstreamSince time.Time
	backup          backup
	takeover
	exchange
}

func newDispatcher(n *Node, p *cellSpec, epoch uint64) *dispatcher {
	d := &dispatcher{
		n:              n,
		cellSpec:       p,
		epoch:          epoch,
		sched:          n.newScheduler(p.name),
		jobs:           map[string]*job{},
		byKey:          map[ticketKey]*job{},
		upstreams:      map[string]dispatch.Upstream{},
		limits:         map[string]dispatch.Limits{},
		stateRequested: map[string]time.Time{},
		nextCheck:      n.now.Add(reportTimeout),
	}
	d.sched.MergeCounters(n.counters[p.name])
	delete(n.counters, p.name)
	d.configure()
	d.updateSiblings()
	d.startClaim()
	return d
}

// viewChanged applies a new view.
func (d *dispatcher) viewChanged() {
	if p := d.n.layout.byName[d.cellSpec.name]; p != nil {
		d.cellSpec = p
	}
	d.configure()
	for _, entry := range d.entries() {
		if !d.n.layout.isLive(entry) {
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
	limits := d.n.view.Limits[d.cellSpec.service]
	applyDiff(d.limits, limits, d.sched.SetWorkspace, d.sched.RemoveWorkspace)
	d.limits = limits
	switch {
	case d.n.layout.served(d.cellSpec.service):
		d.noUpstreamSince = time.Time{}
	case d.noUpstreamSince.IsZero():
		d.noUpstreamSince = d.n.now
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

func (d *dispatcher) drop(j *job) {
	d.end(j, j.used, dispatch.OutcomeCanceled, dispatch.Sample{})
	d.n.event("dropped", event.Event{
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
		d.sched.Finish(d.n.now, j.ticket.ID, used, outcome, s)
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
	at := d.sched.Wake(d.n.now)
	return d.lastSchedule.Before(d.n.now) && !at.IsZero() && !at.After(d.n.now)
}

// wake returns when the scheduler has to decide next if no message arrives.
func (d *dispatcher) wake() time.Time {
	if !d.ready {
		return time.Time{}
	}
	at := d.sched.Wake(d.n.now)
	if !at.IsZero() && !at.After(d.n.now) {
		return d.n.now.Add(overdueRetry)
	}
	return at
}

// schedule sends all refusals, grants and stops that the scheduler decides, and
// then exchanges tickets with the sibling cells.
func (d *dispatcher) schedule() {
	d.dirty = false
	d.lastSchedule = d.n.now
	for _, r := range d.sched.Refuse(d.n.now) {
		d.refuse(r)
	}
	for {
		g, ok := d.sched.Next(d.n.now)
		if !ok {
			break
		}
		d.grant(g)
	}
	for _, id := range d.sched.Stops(d.n.now) {
		if j := d.jobs[id]; j != nil {
			s := d.sectionFor(j.entry)
			s.Stops = append(s.Stops, j.seq)
		}
	}
	d.balance()
}

// sectionFor returns the message section for a router, with the epoch set.
func (d *dispatcher) sectionFor(host string) *section {
	s := d.n.out.sectionFor(host, d.cellSpec.name)
	s.Epoch = d.epoch
	return s
}

// grant records a grant of the scheduler and sends it to the entry.
func (d *dispatcher) grant(g dispatch.Grant) {
	j := d.jobs[g.Ticket.ID]
	if j == nil {
		d.sched.Finish(d.n.now, g.Ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		return
	}
	j.upstream = g.Upstream
	j.lastReport, j.lastCharge = d.n.now, d.n.now
	j.loanExpires = time.Time{}
	d.runningCount++
	d.countCrossRegion(j)
	d.sendTaken(j)
	d.sendGrant(j)
}

// countCrossRegion counts a grant to an entry in another region, and the bytes of
// the request body that will cross regions.
func (d *dispatcher) countCrossRegion(j *job) {
	if d.n.layout.region[j.entry] != d.cellSpec.region {
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
	d.sendTaken(j)
	d.remove(j)
	d.sendRefusal(j.ticketKey, r)
}

func (d *dispatcher) sendRefusal(key ticketKey, r dispatch.Refusal) {
	s := d.sectionFor(key.entry)
	s.Refusals = append(s.Refusals, refuseMessage{
		Seq: key.seq, Reason: r.Reason, RetryAfter: r.RetryAfter.Milliseconds(),
	})
}

func (d *dispatcher) runTimers() {
	d.runClaim()
	d.runExchange()
	d.runBackup()
	d.refuseUnserved()
	if !d.n.now.Before(d.nextCheck) {
		d.checkRunning()
	}
	d.n.wakeAt(d.nextCheck)
}

// refuseUnserved refuses all waiting tickets once the service has been without an
// upstream for the NoUpstreamGrace of the policy.
func (d *dispatcher) refuseUnserved() {
	if d.noUpstreamSince.IsZero() || d.waiting() == 0 {
		return
	}
	grace := d.n.cfg.Policy.NoUpstreamGrace
	if at := d.noUpstreamSince.Add(grace); d.n.now.Before(at) {
		d.n.wakeAt(at)
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

// checkRunning sends the grants of running tickets again that have not been
// reported for reportTimeout. The entry declines them if the Finish was lost or
// the entry has lost its state.
func (d *dispatcher) checkRunning() {
	d.nextCheck = d.n.now.Add(reportTimeout / 3)
	var silent []*job
	for _, j := range d.jobs {
		if j.running() && d.n.now.Sub(j.lastReport) >= reportTimeout {
			silent = append(silent, j)
		}
	}
	slices.SortFunc(silent, compareJobs)
	for _, j := range silent {
		d.sendGrant(j)
	}
}
