// Package cell holds the state machines around the scheduling decision of
// package dispatch: the entry side, which owns the tickets of its requests, and
// the dispatcher side, which admits work to the upstreams of a cell. A Node runs
// both for one router. It performs no I/O, reads no clock and starts no
// goroutine: a step takes the time and one input and returns what to send, what
// was decided, and when to step again.
package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// DefaultMaxUpstreams is the number of upstreams at which a cell is split. More
// would exceed the control budget of one router.
const DefaultMaxUpstreams = 16

// Config describes one router to its Node.
type Config struct {
	Host   string
	Region string
	// Incarnation differs between two runs of the same host.
	Incarnation string
	Policy      dispatch.Policy
	// MaxUpstreams bounds the upstreams of a cell, zero for
	// DefaultMaxUpstreams.
	MaxUpstreams int
}

// Router is a live router of the fleet.
type Router struct {
	Host    string
	Region  string
	Leaving bool
}

// View is what a Node knows of the fleet. The Node keeps the maps and slices and
// expects them unchanged.
type View struct {
	// Routers are the live routers of all regions, this one included.
	Routers   []Router
	Upstreams []objectapi.Host
	// Limits maps service to workspace to plan limits.
	Limits map[string]map[string]dispatch.Limits
}

// Input is what a Node reacts to.
type Input interface{ isInput() }

// ViewChanged replaces the view.
type ViewChanged struct{ View View }

// Submit adds a request of this entry. A request that was stopped or has failed
// is submitted again under the same id after its Finish.
type Submit struct{ Ticket ticket.Ticket }

// Cancel withdraws a waiting request. A granted one ends with Finish.
type Cancel struct{ ID string }

// Progress reports what a granted request has used so far.
type Progress struct {
	ID     string
	Used   ticket.Usage
	Sample dispatch.Sample
}

// Finish ends a granted request.
type Finish struct {
	ID      string
	Used    ticket.Usage
	Outcome dispatch.Outcome
	Sample  dispatch.Sample
}

// Resume takes over a running request of an entry that is lost.
type Resume struct {
	Ticket   ticket.Ticket
	Upstream string
	Used     ticket.Usage
}

// Receive delivers a message of another Node. The body is not kept.
type Receive struct {
	From string
	Body []byte
}

// Tick lets timers run. Every other input runs them too.
type Tick struct{}

// Leave hands all cells over and takes no new ones.
type Leave struct{}

func (ViewChanged) isInput() {}
func (Submit) isInput()      {}
func (Cancel) isInput()      {}
func (Progress) isInput()    {}
func (Finish) isInput()      {}
func (Resume) isInput()      {}
func (Receive) isInput()     {}
func (Tick) isInput()        {}
func (Leave) isInput()       {}

// Outgoing is a message for another router.
type Outgoing struct {
	To   string
	Body []byte
}

// Decision is the outcome of scheduling for one request of this entry.
type Decision interface{ isDecision() }

// Granted admits a request to an upstream.
type Granted struct {
	ID       string
	Upstream string
	Cell     string
	Epoch    uint64
}

// Refused ends a request that has not run.
type Refused struct {
	ID     string
	Reason ticket.RefusalReason
	// RetryAfter is zero when unknown.
	RetryAfter time.Duration
}

// Stop asks for a running request to be stopped at the next token boundary,
// finished with OutcomeStopped and submitted again.
type Stop struct{ ID string }

func (Granted) isDecision() {}
func (Refused) isDecision() {}
func (Stop) isDecision()    {}

// Output is the result of a step.
type Output struct {
	// Send holds at most one message per destination.
	Send      []Outgoing
	Decisions []Decision
	Events    []event.Event
	// Wake is when the next Tick is due, zero for never.
	Wake time.Time
}
