package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// errMalformed is returned for a body that is not a valid message.
var errMalformed = eris.New("malformed cell message")

// envelope is the body of one message: everything that a step sends to one
// router.
type envelope struct {
	// Incarnation is a hash of the sender's incarnation.
	Incarnation uint32    `cbor:"1,keyasint"`
	Sections    []section `cbor:"2,keyasint"`
}

// section holds the messages about one cell, by kind. Requests are identified by
// the sequence number that their entry assigned.
type section struct {
	Cell string `cbor:"1,keyasint"`
	// Epoch is the highest epoch of the cell that the sender knows.
	Epoch uint64 `cbor:"2,keyasint,omitempty"`

	// From any router.
	Claim *claimMessage `cbor:"3,keyasint,omitempty"`
	// Handover asks the receiver to claim the cell.
	Handover bool     `cbor:"4,keyasint,omitempty"`
	Counters counters `cbor:"5,keyasint,omitempty"`

	// From an entry to the dispatcher.
	State    *stateMessage   `cbor:"6,keyasint,omitempty"`
	Submits  []wireTicket    `cbor:"7,keyasint,omitempty"`
	Cancels  []uint64        `cbor:"8,keyasint,omitempty"`
	Declines []uint64        `cbor:"9,keyasint,omitempty"`
	Usages   []usageMessage  `cbor:"10,keyasint,omitempty"`
	Finishes []finishMessage `cbor:"11,keyasint,omitempty"`
	// Progress alternates the difference to the previous sequence number and
	// the number of generated tokens. It takes about five bytes per running
	// request.
	Progress []int64 `cbor:"12,keyasint,omitempty"`
	// Waiting lists the tickets that still wait for a decision, delta-encoded by
	// packSeqs.
	Waiting []uint64 `cbor:"23,keyasint,omitempty"`

	// From the dispatcher to an entry.
	Ack      *ackMessage      `cbor:"13,keyasint,omitempty"`
	Grants   []grantMessage   `cbor:"14,keyasint,omitempty"`
	Refusals []refusalMessage `cbor:"15,keyasint,omitempty"`
	Stops    []uint64         `cbor:"16,keyasint,omitempty"`

	// Between dispatchers. Cell names the receiver's cell.
	SenderCell string            `cbor:"17,keyasint,omitempty"`
	Summary    *dispatch.Summary `cbor:"18,keyasint,omitempty"`
	Pulls      []pullMessage     `cbor:"19,keyasint,omitempty"`
	Lends      []wireTicket      `cbor:"20,keyasint,omitempty"`
	Returns    []string          `cbor:"21,keyasint,omitempty"`
	// Decided lists the borrowed tickets that the borrower has granted or refused.
	Decided []string `cbor:"22,keyasint,omitempty"`
}

// counters holds the service counters of workspaces by the incarnation of the
// scheduler that counted and the workspace.
type counters map[string]map[string]dispatch.Counter

// claimMessage announces the dispatcher of a cell, or forwards an announcement.
// Without a holder it only tells that the epoch has been used.
type claimMessage struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// higherThan orders claims by epoch, then by host.
func (c claimMessage) higherThan(d claimMessage) bool {
	if c.Epoch != d.Epoch {
		return c.Epoch > d.Epoch
	}
	return c.Holder > d.Holder
}

// stateMessage holds all tickets that an entry has in a cell.
type stateMessage struct {
	Queued  []wireTicket     `cbor:"1,keyasint,omitempty"`
	Running []runningMessage `cbor:"2,keyasint,omitempty"`
}

// runningMessage is a running ticket with its usage so far.
type runningMessage struct {
	Ticket   wireTicket   `cbor:"1,keyasint"`
	Upstream string       `cbor:"2,keyasint"`
	Used     ticket.Usage `cbor:"3,keyasint"`
}

type usageMessage struct {
	Seq    uint64        `cbor:"1,keyasint"`
	Used   ticket.Usage  `cbor:"2,keyasint"`
	Sample sampleMessage `cbor:"3,keyasint,omitempty"`
}

type finishMessage struct {
	Seq     uint64           `cbor:"1,keyasint"`
	Used    ticket.Usage     `cbor:"2,keyasint"`
	Outcome dispatch.Outcome `cbor:"3,keyasint,omitempty"`
	Sample  sampleMessage    `cbor:"4,keyasint,omitempty"`
}

// sampleMessage is a dispatch.Sample with times in microseconds.
type sampleMessage struct {
	FirstToken int64 `cbor:"1,keyasint,omitempty"`
	PerToken   int64 `cbor:"2,keyasint,omitempty"`
	Failed     bool  `cbor:"3,keyasint,omitempty"`
}

// ackMessage acknowledges a section for which section.wantsAck holds.
type ackMessage struct {
	// Finished lists the tickets whose Finish the dispatcher has handled.
	Finished []uint64 `cbor:"1,keyasint,omitempty"`
	// Unknown lists the tickets in Waiting that the dispatcher does not know.
	Unknown []uint64 `cbor:"3,keyasint,omitempty"`
	// NotHolder is set by a router that is not the dispatcher of the cell.
	NotHolder bool `cbor:"2,keyasint,omitempty"`
}

type grantMessage struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

type refusalMessage struct {
	Seq    uint64               `cbor:"1,keyasint"`
	Reason ticket.RefusalReason `cbor:"2,keyasint"`
	// RetryAfter is in milliseconds, zero if unknown.
	RetryAfter int64 `cbor:"3,keyasint,omitempty"`
}

// pullMessage asks another cell to lend up to Count waiting tickets, of any
// workspace if Workspace is empty.
type pullMessage struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	Count     int    `cbor:"2,keyasint"`
}

// wireTicket is the wire form of a ticket. Times are relative, because the clocks
// of hosts differ.
type wireTicket struct {
	Seq          uint64       `cbor:"1,keyasint"`
	ID           string       `cbor:"2,keyasint"`
	Workspace    string       `cbor:"3,keyasint"`
	Hint         ticket.Units `cbor:"4,keyasint,omitempty"`
	PromptTokens int64        `cbor:"5,keyasint,omitempty"`
	BodyBytes    int64        `cbor:"6,keyasint,omitempty"`
	PrefixHash   uint64       `cbor:"7,keyasint,omitempty"`
	Idempotent   bool         `cbor:"8,keyasint,omitempty"`
	// RemainingMS is the time to the deadline in milliseconds. It is zero for no
	// deadline and negative for one that has passed.
	RemainingMS int64         `cbor:"9,keyasint,omitempty"`
	PriorUsage  *ticket.Usage `cbor:"10,keyasint,omitempty"`
	Stops       int           `cbor:"11,keyasint,omitempty"`
	// WaitedMS is the time since arrival in milliseconds.
	WaitedMS int64 `cbor:"12,keyasint,omitempty"`
	// Entry is the entry of the ticket, empty if it is the sender.
	Entry string `cbor:"13,keyasint,omitempty"`
}

// toWire returns the wire form of a ticket. The caller sets Entry if it is not the
// sender.
func toWire(now time.Time, seq uint64, t ticket.Ticket) wireTicket {
	w := wireTicket{
		Seq: seq, ID: t.ID, Workspace: t.Workspace, Hint: t.Hint,
		PromptTokens: t.PromptTokens, BodyBytes: t.BodyBytes, PrefixHash: t.PrefixHash,
		Idempotent: t.Idempotent, Stops: t.Stops,
	}
	if t.PriorUsage != (ticket.Usage{}) {
		w.PriorUsage = &t.PriorUsage
	}
	if !t.Arrived.IsZero() {
		w.WaitedMS = max(0, now.Sub(t.Arrived).Milliseconds())
	}
	if !t.Deadline.IsZero() {
		w.RemainingMS = t.Deadline.Sub(now).Milliseconds()
		if w.RemainingMS <= 0 {
			w.RemainingMS = -1
		}
	}
	return w
}

// ticket returns the ticket of a message received at now. The service is that of
// the cell.
func (w wireTicket) ticket(now time.Time, service, sender string) ticket.Ticket {
	t := ticket.Ticket{
		ID: w.ID, Workspace: w.Workspace, Service: service, Entry: w.Entry, Hint: w.Hint,
		PromptTokens: w.PromptTokens, BodyBytes: w.BodyBytes, PrefixHash: w.PrefixHash,
		Idempotent: w.Idempotent, Stops: w.Stops,
		Arrived: now.Add(-time.Duration(w.WaitedMS) * time.Millisecond),
	}
	if t.Entry == "" {
		t.Entry = sender
	}
	if w.PriorUsage != nil {
		t.PriorUsage = *w.PriorUsage
	}
	if w.RemainingMS != 0 {
		t.Deadline = now.Add(time.Duration(w.RemainingMS) * time.Millisecond)
	}
	return t
}

func toWireSample(s dispatch.Sample) sampleMessage {
	return sampleMessage{
		FirstToken: s.FirstToken.Microseconds(),
		PerToken:   s.PerToken.Microseconds(),
		Failed:     s.Failed,
	}
}

func (s sampleMessage) sample() dispatch.Sample {
	return dispatch.Sample{
		FirstToken: time.Duration(s.FirstToken) * time.Microsecond,
		PerToken:   time.Duration(s.PerToken) * time.Microsecond,
		Failed:     s.Failed,
	}
}

// Limits on what a malformed body can make the decoder allocate.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

var (
	encoder = mustMode(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = mustMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

// mustMode panics if the codec options, which are constant, are invalid.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(e envelope) ([]byte, error) {
	body, err := encoder.Marshal(e)
	if err != nil {
		return nil, eris.Wrap(err, "encode cell message")
	}
	return body, nil
}

// decode parses and validates a body. Any error wraps errMalformed.
func decode(body []byte) (envelope, error) {
	var e envelope
	if err := decoder.Unmarshal(body, &e); err != nil {
		return envelope{}, eris.Wrap(errMalformed, err.Error())
	}
	for i := range e.Sections {
		if !e.Sections[i].valid() {
			return envelope{}, eris.Wrapf(errMalformed, "section %d", i)
		}
	}
	return e, nil
}
