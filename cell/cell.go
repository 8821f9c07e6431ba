// Package cell distributes the scheduling of package dispatch over the routers
// of a fleet.
//
// A cell is a group of upstreams of one service in one region. One router at a
// time is the dispatcher of a cell: it decides which request runs on which
// upstream. The router that received a request is the entry of that request: it
// sends the dispatcher a ticket and waits for a grant or a refusal. Routers claim
// the role of dispatcher with an epoch; the claim with the highest epoch wins.
//
// A Node runs the entry side and the dispatcher side of one router as a state
// machine. It performs no I/O, reads no clock and starts no goroutine: a step
// takes the time and one input, and returns the messages to send, the decisions
// made and the time of the next step.
package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// DefaultMaxUpstreams is the default for Config.MaxUpstreams. Dispatching for
// more upstreams would exceed the control traffic budget of one router.
const DefaultMaxUpstreams = 16

// Config configures the Node of one router.
type Config struct {
	Host   string
	Region string
	// Incarnation identifies this run of the router process. It differs between
	// any two runs on the same host.
	Incarnation string
	Policy      dispatch.Policy
	// MaxUpstreams is the largest number of upstreams in a cell. Zero means
	// DefaultMaxUpstreams.
	MaxUpstreams int
}

// Router is a live router of the fleet.
type Router struct {
	Host    string
	Region  string
	Leaving bool
}

// View is the state of the fleet as known to one router. The Node retains the
// maps and slices; the caller must not modify them.
type View struct {
	// Routers are the live routers of all regions, this one included.
	Routers []Router
	// Upstreams are the upstreams of all regions. Hosts of another kind are
	// ignored.
	Upstreams []objectapi.Host
	// Limits holds the plan limits by service and workspace.
	Limits map[string]map[string]dispatch.Limits
}

// Input is an input of Node.Step.
type Input interface{ isInput() }

// ViewChanged replaces the view.
type ViewChanged struct{ View View }

// Submit adds a request that arrived at this router. A request that was stopped
// or has failed is submitted again under the same id after its Finish.
type Submit struct{ Ticket ticket.Ticket }

// Cancel withdraws a waiting request. It has no effect on a granted request,
// which ends with Finish.
type Cancel struct{ ID string }

// Progress reports the usage of a granted request so far.
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

// Resume makes this router the entry of a request that is already running because
// its former entry has failed.
type Resume struct {
	Ticket   ticket.Ticket
	Upstream string
	Used     ticket.Usage
}

// Receive delivers a message from another Node. The Node does not retain Body.
type Receive struct {
	From string
	Body []byte
}

// Tick runs the timers that are due. So does every other input.
type Tick struct{}

// Leave hands all cells of this router over to other routers. The Node claims no
// cell afterwards.
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

// Outgoing is a message to another router.
type Outgoing struct {
	To   string
	Body []byte
}

// Decision is the result of scheduling one request of this router.
type Decision interface{ isDecision() }

// Granted admits a request to an upstream.
type Granted struct {
	ID       string
	Upstream string
	Cell     string
	// Epoch is that of the dispatcher, zero if this router granted the request
	// without a dispatcher.
	Epoch uint64
}

// Refused rejects a waiting request.
type Refused struct {
	ID     string
	Reason ticket.RefusalReason
	// RetryAfter is zero if unknown.
	RetryAfter time.Duration
}

// Stop preempts a running request. The caller stops it at the next token
// boundary, reports Finish with OutcomeStopped and submits it again.
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
	// Wake is when the next Tick is due. The zero time means never.
	Wake time.Time
}
