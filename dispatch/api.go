// Package dispatch is the scheduler of one cell: it decides which waiting ticket
// runs next and on which upstream. A cell is a group of upstreams of one service
// that share a dispatcher, and a ticket represents a request. The package does no
// I/O, starts no goroutines and reads no clock; callers pass the time. A Scheduler
// is not safe for concurrent use.
//
// Sharing between workspaces is weighted fair queueing. The virtual service of a
// workspace is the work charged to it plus the work reserved for its running
// tickets (the holds), divided by its weight, plus an offset that takes away the
// credit for idle time. The workspace with the lowest virtual service runs next,
// and Policy.Window allows small deviations for deadlines and cached prefixes.
package dispatch

import (
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// Limits are the limits of a workspace's plan on the service of this cell.
type Limits struct {
	// Weight is the share of the workspace relative to others. It is above zero.
	Weight float64
	// MaxRunning is the maximum number of running tickets in this cell; zero
	// means no limit.
	MaxRunning int
	// MaxQueued is the maximum number of waiting tickets; zero means
	// Policy.MaxQueuedDefault.
	MaxQueued int
}

// Upstream is the scheduler's configuration of one upstream.
type Upstream struct {
	ID string
	// Slots is the maximum number of concurrent requests. The scheduler uses
	// fewer while the upstream is slow.
	Slots int
	// Leaving is set while the upstream drains: its running requests continue,
	// and it gets no new ones.
	Leaving bool
}

// Grant assigns a ticket to an upstream, on which it may run now.
type Grant struct {
	Ticket   ticket.Ticket
	Upstream string
}

// Refusal reports that a ticket was removed from the queue without having run.
type Refusal struct {
	Ticket ticket.Ticket
	Reason ticket.RefusalReason
	// RetryAfter is the time after which a retry may succeed, zero if unknown.
	RetryAfter time.Duration
}

// Outcome is how the run of a granted ticket ended.
type Outcome uint8

// Outcomes of a granted ticket.
const (
	OutcomeDone     Outcome = iota // complete response
	OutcomeCanceled                // the caller disconnected
	OutcomeStopped                 // preempted by the scheduler; the ticket is queued again
	OutcomeFailed                  // the upstream failed
	OutcomeDeclined                // the entry router did not use the grant; nothing ran
)

// Sample is what an entry router measured of an upstream during one request.
type Sample struct {
	// FirstToken is the time from sending to the first token, zero if unknown.
	FirstToken time.Duration
	// PerToken is the mean time between tokens, zero if unknown.
	PerToken time.Duration
	// Failed is set when the upstream refused or closed the connection.
	Failed bool
}

// Counter is the service that one dispatcher incarnation has charged to one
// workspace. Both fields only grow, so two copies of a counter are merged by
// taking the maximum of each field.
type Counter struct {
	Served ticket.Units `cbor:"1,keyasint,omitempty"`
	// Offset is the virtual service, per unit of weight, that was added
	// when the workspace started to wait, so that idle time earns no credit.
	Offset ticket.Units `cbor:"2,keyasint,omitempty"`
}

// Waiting summarizes the queue of one workspace in one cell. Cost is the expected
// total cost of its tickets.
type Waiting struct {
	Workspace string       `cbor:"1,keyasint"`
	Tickets   int          `cbor:"2,keyasint"`
	Cost      ticket.Units `cbor:"3,keyasint"`
}

// Summary is the state that a cell sends to the other cells of its service.
type Summary struct {
	// FreeSlots is the number of slots that new requests could use now.
	FreeSlots int       `cbor:"1,keyasint,omitempty"`
	Waiting   []Waiting `cbor:"2,keyasint,omitempty"`
	// Counters maps dispatcher incarnation and workspace to the counter. Most
	// summaries carry only the counters that changed since the last one and those
	// of waiting workspaces (see Policy.FullSummaryEvery).
	Counters map[string]map[string]Counter `cbor:"3,keyasint,omitempty"`
}

// Pull asks another cell to hand over waiting tickets (work stealing).
type Pull struct {
	// Cell is the name of the cell that holds the tickets.
	Cell string
	// Workspace is the workspace whose tickets are wanted, empty for any.
	Workspace string
	// Count is the maximum number of tickets.
	Count int
}
