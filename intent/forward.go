package intent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/peer"
)

const (
	// avoidOwnerFor is how long an owner that did not respond gets no requests.
	avoidOwnerFor = time.Second
	// ownerTimerMargin allows for delayed timers at the owner.
	ownerTimerMargin = time.Second
)

// forwardRequest is the message that sends an op to the owner of its shard.
type forwardRequest struct {
	Kind         opKind        `cbor:"1,keyasint"`
	Record       record        `cbor:"2,keyasint"`
	Outcome      storedOutcome `cbor:"3,keyasint"`
	FirstVersion int64         `cbor:"4,keyasint,omitempty"`
	TimeoutMs    int64         `cbor:"5,keyasint"`
}

// forwardResponse is the owner's response to a forwardRequest. Code is zero if there
// is no error, codeDone for *Done, or else an index into errorCodes plus one.
type forwardResponse struct {
	Code    uint8          `cbor:"1,keyasint,omitempty"`
	Version int64          `cbor:"2,keyasint,omitempty"`
	Done    *storedOutcome `cbor:"3,keyasint,omitempty"`
	Detail  string         `cbor:"4,keyasint,omitempty"`
}

// errorCodes are the errors that an owner can report; the index is the code minus
// one.
var errorCodes = []error{ErrRunning, ErrOutcomeUnknown, ErrKeyReused, ErrUnavailable, ErrFull, ErrNotHeld}

// codeDone is the code for *Done.
const codeDone = 100

// owners remembers the owners that recently did not respond.
type owners struct {
	mu    sync.Mutex
	avoid map[string]time.Time // host to the time until which it gets no requests
}

func (o *owners) avoided(host string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.avoid[host])
}

func (o *owners) markUnresponsive(host string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.avoid == nil {
		o.avoid = make(map[string]time.Time)
	}
	o.avoid[host] = now.Add(avoidOwnerFor)
}

// Owner returns the router that should write a shard, chosen by rendezvous
// hashing, or "" if there are no routers.
func Owner(shard string, routers []string) string {
	if len(routers) == 0 {
		return ""
	}
	return slices.MaxFunc(routers, func(a, b string) int {
		return compareRank(rank(a, shard), rank(b, shard), a, b)
	})
}

func rank(host, shard string) uint64 { return xxhash.Sum64String(host + "\x00" + shard) }

func compareRank(rankA, rankB uint64, a, b string) int {
	switch {
	case rankA < rankB || (rankA == rankB && a < b):
		return -1
	case rankA == rankB && a == b:
		return 0
	default:
		return 1
	}
}

// owns reports whether this router should write the shard.
func (s *Store) owns(shard string) bool {
	if s.opts.Transport == nil || s.opts.Routers == nil {
		return true
	}
	return Owner(shard, s.opts.Routers()) == s.opts.Host
}

// forward runs an op at the owner of its shard. It returns false if the op has to
// be written directly; an owner that did not respond may still have written it.
func (a *attempt) forward(ctx context.Context, o *op, timeout time.Duration) (result, bool) {
	s := a.store
	if s.owns(a.shard.name) {
		return result{}, false
	}
	owner := Owner(a.shard.name, s.opts.Routers())
	started := time.Now()
	if owner == "" || s.owners.avoided(owner, started) {
		return result{}, false
	}
	r, err := s.callOwner(ctx, owner, o, timeout)
	if err == nil {
		return r, true
	}
	if !errors.Is(err, peer.ErrUnknownHost) && o.kind == opBegin {
		a.ownerMayWriteUntil = started.Add(timeout + s.opts.CallTimeout + ownerTimerMargin)
	}
	if ctx.Err() == nil {
		s.owners.markUnresponsive(owner, time.Now())
	}
	return result{}, false
}

// callOwner sends an op to the owner of its shard and waits for the result. After an
// error other than peer.ErrUnknownHost, the op may still take effect.
func (s *Store) callOwner(ctx context.Context, owner string, o *op, timeout time.Duration) (result, error) {
	body, err := cbor.Marshal(forwardRequest{
		Kind: o.kind, Record: o.record, Outcome: o.storedOutcome, FirstVersion: o.firstVersion, TimeoutMs: timeout.Milliseconds(),
	})
	if err != nil {
		return result{}, eris.Wrap(err, "encode forwarded op")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := s.opts.Transport.Call(ctx, owner, peer.PartIntent, body)
	if err != nil {
		return result{}, err
	}
	var decoded forwardResponse
	if err := cbor.Unmarshal(response, &decoded); err != nil {
		return result{}, eris.Wrap(err, "decode response of shard owner")
	}
	return decoded.result()
}

// result decodes a response. It returns an error if the code is not known.
func (r forwardResponse) result() (result, error) {
	switch {
	case r.Code == 0:
		return result{version: r.Version}, nil
	case r.Code == codeDone && r.Done != nil:
		return result{err: r.Done.done()}, nil
	case int(r.Code) <= len(errorCodes):
		return result{err: eris.Wrap(errorCodes[r.Code-1], r.Detail)}, nil
	default:
		return result{}, eris.Errorf("unknown response code %d", r.Code)
	}
}

// Handle serves requests of other routers (peer.PartIntent). An error means that
// the request was not valid or that its effect is unknown.
func (s *Store) Handle(ctx context.Context, from string, body []byte) ([]byte, error) {
	var r forwardRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode forwarded op")
	}
	if r.Record.Holder != from {
		return nil, eris.Errorf("request from %s has a record held by %s", from, r.Record.Holder)
	}
	if r.Kind < opBegin || r.Kind > opRelease {
		return nil, eris.Errorf("unknown request kind %d", r.Kind)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond)
	defer cancel()
	res := s.shards[shardOf(r.Record.Key)].do(ctx, s.forwardedOp(r))
	if errors.Is(res.err, errCallerGone) {
		return nil, res.err
	}
	return cbor.Marshal(res.forwardResponse())
}

func (s *Store) forwardedOp(r forwardRequest) *op {
	now := time.Now()
	r.Record.State = stateRunning
	r.Record.Outcome = nil
	o := &op{kind: r.Kind, record: r.Record, storedOutcome: r.Outcome, firstVersion: r.FirstVersion, forwarded: true, added: now, dueBy: now}
	if r.Kind != opBegin {
		o.dueBy = now.Add(s.opts.FinishDelay)
	}
	return o
}

func (r result) forwardResponse() forwardResponse {
	if r.err == nil {
		return forwardResponse{Version: r.version}
	}
	var done *Done
	if errors.As(r.err, &done) {
		return forwardResponse{Code: codeDone, Done: done.storedOutcome()}
	}
	for i, known := range errorCodes {
		if errors.Is(r.err, known) {
			return forwardResponse{Code: uint8(i + 1), Detail: r.err.Error()}
		}
	}
	return forwardResponse{Code: 4, Detail: r.err.Error()} // ErrUnavailable
}

func (d *Done) storedOutcome() *storedOutcome {
	stored := &storedOutcome{Status: d.Status, ContentType: d.Header.Get("Content-Type"), Body: d.Body}
	if d.Truncated {
		stored.BodyDigest = d.BodyDigest
		stored.BodyBytes = d.BodyBytes
		stored.Dropped = d.BodyDigest == nil
	}
	return stored
}
