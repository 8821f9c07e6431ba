package cell

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
)

// maxSettleRounds bounds the message exchange between the entry side and the
// dispatchers of one Node within a step, which takes a few rounds.
const maxSettleRounds = 64

// unlimitedGrace is a NoUpstreamGrace that is longer than any router runs.
const unlimitedGrace = 10 * 365 * 24 * time.Hour

// minWakeDelay is the minimum time to the next Tick, so that a timer that stays
// due does not make the caller spin.
const minWakeDelay = time.Millisecond

// Node runs the entry side of one router and the dispatchers of the cells that
// it holds. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	incarnation uint32
	now         time.Time
	leaving     bool
	// hasView is set by the first ViewChanged.
	hasView bool
	view    View
	layout  *layout
	// claims holds the highest known claim of each cell.
	claims map[string]claimMessage
	client *client
	// baseline replaces the dispatchers if the policy is a baseline, else it is
	// nil.
	baseline *baseline
	// dispatchers holds the dispatchers of the cells that this router holds.
	dispatchers map[string]*dispatcher
	holdDowns   map[string]*holdDown
	peers       map[string]*peerRecord
	// counters holds copies of the service counters of cells that other routers
	// hold. countersSentFor holds the claims whose holder was sent them.
	counters        map[string]counters
	countersSentFor map[string]claimMessage
	// out collects the messages of the current step, output its results.
	out    outbox
	output Output
	// nextWake is the earliest requested Tick, zero for none.
	nextWake time.Time
	// schedulers is the number of schedulers created so far. It gives each one a
	// unique incarnation for its service counters.
	schedulers int
}

// NewNode returns a Node without a view. It claims no cell before the first
// ViewChanged.
func NewNode(c Config) *Node {
	if c.MaxUpstreams <= 0 {
		c.MaxUpstreams = DefaultMaxUpstreams
	}
	n := &Node{
		cfg:             c,
		incarnation:     uint32(xxhash.Sum64String(c.Incarnation)),
		layout:          newLayout(View{}, c.MaxUpstreams, ""),
		claims:          map[string]claimMessage{},
		dispatchers:     map[string]*dispatcher{},
		holdDowns:       map[string]*holdDown{},
		peers:           map[string]*peerRecord{},
		counters:        map[string]counters{},
		countersSentFor: map[string]claimMessage{},
		out:             newOutbox(),
	}
	n.client = newClient(n)
	if isBaseline(c.Policy.Kind) {
		n.baseline = newBaseline(n)
	}
	return n
}

// Step handles one input at the given time and runs all timers that are due.
func (n *Node) Step(now time.Time, in Input) Output {
	n.beginStep(now)
	if n.baseline != nil {
		return n.baseline.step(in)
	}
	n.apply(in)
	n.settle()
	n.runTimers()
	n.settle()
	return n.endStep()
}

// beginStep starts a step. The time of a Node never decreases, even if the given
// time does.
func (n *Node) beginStep(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	n.output = Output{}
}

func (n *Node) apply(in Input) {
	switch in := in.(type) {
	case ViewChanged:
		n.setView(in.View)
	case Submit:
		n.client.submit(in.Ticket)
	case Cancel:
		n.client.cancel(in.ID)
	case Progress:
		n.client.progress(in)
	case Finish:
		n.client.finish(in)
	case Resume:
		n.client.resume(in)
	case Receive:
		n.receive(in.From, in.Body)
	case Leave:
		n.leave()
	case Tick:
	}
}

func (n *Node) setView(v View) {
	n.view = v
	n.hasView = true
	n.relayout()
	for _, name := range sortedKeys(n.dispatchers) {
		n.dispatchers[name].viewChanged()
	}
	n.client.viewChanged()
}

// relayout recomputes the cells and claims those that are newly assigned to this
// router.
func (n *Node) relayout() {
	excluded := ""
	if n.leaving {
		excluded = n.cfg.Host
	}
	n.layout = newLayout(n.view, n.cfg.MaxUpstreams, excluded)
	n.claimAssigned()
}

// settle delivers messages of this router to itself and lets the dispatchers
// decide, until nothing is left to do.
func (n *Node) settle() {
	for range maxSettleRounds {
		for _, s := range n.out.take(n.cfg.Host) {
			n.handle(n.cfg.Host, &s)
		}
		busy := false
		for _, name := range sortedKeys(n.dispatchers) {
			if d := n.dispatchers[name]; d != nil && d.due() {
				d.schedule()
				busy = true
			}
		}
		if !busy && len(n.out.sections[n.cfg.Host]) == 0 {
			return
		}
	}
}

func (n *Node) runTimers() {
	n.nextWake = time.Time{}
	n.claimAfterHoldDown()
	for _, name := range sortedKeys(n.dispatchers) {
		if d := n.dispatchers[name]; d != nil {
			d.runTimers()
		}
	}
	n.client.runTimers()
}

// wakeAt requests a Tick at the given time, unless an earlier one is already
// requested. It ignores the zero time.
func (n *Node) wakeAt(at time.Time) {
	if !at.IsZero() && (n.nextWake.IsZero() || at.Before(n.nextWake)) {
		n.nextWake = at
	}
}

// endStep encodes the messages and returns the result of the step.
func (n *Node) endStep() Output {
	for _, host := range n.out.hosts() {
		if host == n.cfg.Host {
			continue
		}
		e := envelope{Incarnation: n.incarnation, Sections: n.out.take(host)}
		if host == "" {
			// No live router can hold the cell, so there is no destination.
			continue
		}
		body, err := encode(e)
		if err != nil {
			n.event("encode_failed", event.Event{Detail: err.Error()})
			continue
		}
		n.output.Send = append(n.output.Send, Outgoing{To: host, Body: body})
	}
	for _, name := range sortedKeys(n.dispatchers) {
		n.wakeAt(n.dispatchers[name].wake())
	}
	if !n.nextWake.IsZero() && !n.nextWake.After(n.now) {
		n.nextWake = n.now.Add(minWakeDelay)
	}
	n.output.Wake = n.nextWake
	return n.output
}

func (n *Node) event(name string, e event.Event) {
	e.Part = "cell"
	e.Name = name
	n.output.Events = append(n.output.Events, e)
}

// newScheduler returns the scheduler of one cell.
func (n *Node) newScheduler(cell string) *dispatch.Scheduler {
	policy := n.cfg.Policy
	// Tickets of a cell without upstreams run in other cells. The dispatcher
	// refuses them when the service has no upstream anywhere.
	policy.NoUpstreamGrace = unlimitedGrace
	return n.newSchedulerWith(cell, policy)
}

// newSchedulerWith returns a scheduler with a unique incarnation, under which its
// service counters are kept.
func (n *Node) newSchedulerWith(name string, policy dispatch.Policy) *dispatch.Scheduler {
	n.schedulers++
	incarnation := fmt.Sprintf("%s.%d", n.cfg.Incarnation, n.schedulers)
	return dispatch.New(name, incarnation, policy)
}

// holder returns the router to address as the dispatcher of a cell: the one with
// the highest claim while it is live, else the assigned holder.
func (n *Node) holder(cell string) string {
	if c := n.claims[cell]; c.Holder != "" && n.layout.isLive(c.Holder) {
		return c.Holder
	}
	return n.layout.assignedHolder(cell)
}
