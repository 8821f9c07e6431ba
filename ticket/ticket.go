// Package ticket defines the types that the scheduler works with: the ticket, which
// represents a request, the unit of service, and the usage that a request is charged
// for.
package ticket

import "time"

// Units is an amount of service in milli-units. One generated token costs 1,000
// milli-units.
type Units int64

// Prices of the kinds of work in milli-units. A generated token occupies a slot of an
// engine for one decoding step. A prompt token is processed about ten times faster,
// and a cached prompt token costs almost nothing.
const (
	GeneratedTokenPrice Units = 1_000
	PromptTokenPrice    Units = 100
	CachedTokenPrice    Units = 10
	PlainCallPrice      Units = 50_000
)

// Usage is the work that a request has used so far. All fields only grow.
type Usage struct {
	PromptTokens    int64 `cbor:"1,keyasint,omitempty" json:"prompt_tokens"`
	CachedTokens    int64 `cbor:"2,keyasint,omitempty" json:"cached_tokens"`
	GeneratedTokens int64 `cbor:"3,keyasint,omitempty" json:"generated_tokens"`
	PlainCalls      int64 `cbor:"4,keyasint,omitempty" json:"plain_calls"`
}

// Cost returns the price of u. PromptTokens includes CachedTokens.
func (u Usage) Cost() Units {
	cost := Units(u.GeneratedTokens) * GeneratedTokenPrice
	cost += Units(u.PromptTokens-u.CachedTokens) * PromptTokenPrice
	cost += Units(u.CachedTokens) * CachedTokenPrice
	cost += Units(u.PlainCalls) * PlainCallPrice
	return cost
}

// Add returns the sum of u and v.
func (u Usage) Add(v Usage) Usage {
	return Usage{
		PromptTokens:    u.PromptTokens + v.PromptTokens,
		CachedTokens:    u.CachedTokens + v.CachedTokens,
		GeneratedTokens: u.GeneratedTokens + v.GeneratedTokens,
		PlainCalls:      u.PlainCalls + v.PlainCalls,
	}
}

// Ticket represents one request in the scheduler. It belongs to the entry router,
// the router that received the request and keeps its body.
type Ticket struct {
	// ID is the request ID, unique in the fleet.
	ID        string
	Workspace string
	Service   string
	// Entry is the host ID of the entry router.
	Entry string
	// Hint is the caller's rough estimate of the cost, zero if unknown.
	Hint Units
	// PromptTokens is the estimated length of the prompt, zero for plain calls.
	PromptTokens int64
	// BodyBytes is the size of the body, which has to be sent again to run the
	// request in another region.
	BodyBytes int64
	// PrefixHash identifies the start of the prompt, zero if there is none.
	PrefixHash uint64
	// Idempotent permits retries and hedged requests.
	Idempotent bool
	// Arrived is when the scheduler first saw the ticket, by its own clock.
	Arrived time.Time
	// Deadline is when the response is no longer useful, zero for never. It is by
	// the local clock: messages carry the remaining time instead.
	Deadline time.Time
	// PriorUsage is the usage of earlier runs of a request that was stopped.
	PriorUsage Usage
	// Borrowed is set for a ticket that another cell handed over. It is returned if
	// it gets no slot here in time.
	Borrowed bool
	// Stops is the number of times the request was stopped (preempted) so that
	// others could run.
	Stops int
}

// RefusalReason is why a ticket was refused. A refused ticket has not run.
type RefusalReason string

// Reasons for a refusal.
const (
	ReasonQueueFull        RefusalReason = "queue_full"
	ReasonDeadline         RefusalReason = "deadline_unreachable" // not passed, but can no longer be met
	ReasonDeadlinePassed   RefusalReason = "deadline_passed"
	ReasonUnknownWorkspace RefusalReason = "unknown_workspace"
	ReasonNoUpstream       RefusalReason = "no_upstream"
)
