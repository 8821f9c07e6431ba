package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

const (
	// streamReadSize is the buffer size for reading a stream, that of net/http's
	// own buffer. An event has a few hundred bytes, and every stream in progress
	// holds one buffer.
	streamReadSize = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// errEventTooLarge ends a stream whose event exceeds maxEventBytes, or for which the
// memory budget has no room.
var errEventTooLarge = eris.New("event is larger than the limit")

// reasonNotTheRest is the reason of attempts whose answer does not continue the stream that
// the caller has begun to receive.
const reasonNotTheRest = "answer is not the rest of the stream"

// callerResponse is the response to a caller, across all attempts.
type callerResponse struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	started     bool          // the headers have been sent
	lastEventID string        // id of the last event that was sent to the caller
	consecutive bool          // the ids of the events are numbers without gaps
	events      int           // number of events with an id that were sent
	unnumbered  bool          // something other than comments was sent before the first id
	lastEventAt time.Time     // when events were last sent
	eventGap    time.Duration // longest gap between two events
}

func newCallerResponse(w http.ResponseWriter) *callerResponse {
	return &callerResponse{w: w, controller: http.NewResponseController(w)}
}

// relayBuffered relays a response that is not a stream. A response up to
// bufferLimit is read whole before it is sent. Nothing can replace a larger one once its
// begin has been sent, however slowly the rest arrives.
func (h *Handler) relayBuffered(ctx context.Context, out *callerResponse, c *call, a *assignment, response *http.Response, watchdog *watchdog) result {
	if out.started {
		return result{maybeRan, placement.Failed, "upstream failed in the middle of a stream"}
	}
	buffered, err := io.ReadAll(io.LimitReader(response.Body, bufferLimit))
	held := heldMemory{connection: connectionOf(c.request)}
	held.force(int64(len(buffered)))
	defer held.release()
	watchdog.stop()
	if err == nil && len(buffered) == bufferLimit {
		err = ctx.Err() // the watchdog may have ended the attempt just before
	}
	if err != nil {
		c.progress.lost = isConnectionLost(err)
		r := classify(ctx, err, true, true)
		r.reason = "answer broke off: " + r.reason
		return r
	}
	c.firstByte = time.Since(c.received)
	h.pools.firstEvent(time.Now(), a)
	platform.CopyHeaders(out.w.Header(), response.Header)
	if len(buffered) < bufferLimit && response.ContentLength < 0 && c.request.Method != http.MethodHead {
		// The size of the body is known now; sending it lets the caller detect
		// truncation.
		response.ContentLength = int64(len(buffered))
	}
	out.started = true
	out.w.WriteHeader(response.StatusCode)
	if _, err := out.w.Write(buffered); err != nil {
		return result{answered, placement.Abandoned, "caller left"}
	}
	if len(buffered) == bufferLimit {
		if _, err := io.Copy(out.w, response.Body); err != nil {
			r := classify(ctx, err, true, true)
			r.reason = "answer broke off: " + r.reason
			return r
		}
	}
	h.noteTrailer(c, a, response)
	h.metrics.answered(c)
	outcome := placement.Succeeded
	if response.StatusCode >= 500 {
		outcome = placement.Failed
	} else if response.StatusCode < 300 {
		h.noteProgress(c)
	}
	return result{answered, outcome, "answered"}
}

// relayStream relays a stream in whole events. An incomplete event is dropped, so
// that the stream can continue at another upstream. Only events count as progress; an
// upstream that sends other bytes now and then has stalled.
func (h *Handler) relayStream(ctx context.Context, out *callerResponse, c *call, a *assignment, response *http.Response, watchdog *watchdog) result {
	if out.started && !isEventStream(response) {
		return result{maybeRan, placement.Failed, reasonNotTheRest}
	}
	var events eventBuffer
	held := heldMemory{connection: connectionOf(c.request)}
	defer held.release()
	eventsBefore := out.events
	chunk := make([]byte, streamReadSize)
	for {
		n, err := response.Body.Read(chunk)
		if whole := events.add(chunk[:n]); whole != nil {
			before := out.events
			if before == eventsBefore && !out.continuesWith(whole) {
				return result{maybeRan, placement.Failed, reasonNotTheRest}
			}
			if err := h.forward(out, c, a, response, whole); err != nil {
				return result{answered, placement.Abandoned, "caller left"}
			}
			switch {
			case !out.canContinue():
				watchdog.stop()
			case out.events > before:
				watchdog.reset()
			}
			if before == eventsBefore {
				c.progress.begunAt = time.Now()
			}
			if out.events-eventsBefore >= quarantine.ProvenEvents {
				h.noteProgress(c)
			}
		}
		c.unfinished = len(events.pending)
		if errors.Is(err, io.EOF) {
			return h.endStream(out, c, a, response, &events, out.events-eventsBefore)
		}
		if err == nil && (len(events.pending) > maxEventBytes || !held.set(int64(len(events.pending)))) {
			err = errEventTooLarge
		}
		if err != nil {
			c.progress.lost = isConnectionLost(err)
			r := classify(ctx, err, true, true)
			r.reason = "stream broke off: " + r.reason
			return r
		}
	}
}

// endStream ends the response after the last byte of a stream, or reports that the
// stream broke off. relayed is the number of events that this attempt has relayed.
func (h *Handler) endStream(out *callerResponse, c *call, a *assignment, response *http.Response, events *eventBuffer, relayed int) result {
	h.noteTrailer(c, a, response)
	if events.insideEvent() && (isEventStream(response) || c.framing == framedByConnection) {
		c.progress.lost = true
		return result{maybeRan, placement.Failed, "stream broke off: it ended inside an event"}
	}
	if c.framing == framedByConnection && relayed == 0 {
		c.progress.lost = true
		return result{maybeRan, placement.Failed, "stream broke off: it ended before the first event"}
	}
	if err := h.forward(out, c, a, response, events.pending); err != nil {
		return result{answered, placement.Abandoned, "caller left"}
	}
	h.metrics.answered(c)
	h.noteProgress(c)
	return result{answered, placement.Succeeded, "answered"}
}

// noteTrailer records what an upstream says about itself at the end of a response.
func (h *Handler) noteTrailer(c *call, a *assignment, response *http.Response) {
	if platform.TrailerSaysLeaving(response) {
		h.noteLeaving(time.Now(), c, a)
	}
}

// forward sends whole events to the caller.
func (h *Handler) forward(out *callerResponse, c *call, a *assignment, response *http.Response, events []byte) error {
	now := time.Now()
	if !out.started {
		platform.CopyHeaders(out.w.Header(), response.Header)
		out.w.Header().Del("Content-Length")
		out.w.WriteHeader(response.StatusCode)
		out.started = true
		c.firstByte = now.Sub(c.received)
	}
	h.pools.firstEvent(now, a)
	out.recordEvents(events)
	if !out.lastEventAt.IsZero() && len(events) > 0 {
		eventGap := now.Sub(out.lastEventAt)
		out.eventGap = max(out.eventGap, eventGap)
		h.pools.eventGap(now, a, eventGap, c.route.TargetGap)
	}
	out.lastEventAt = now
	if _, err := out.w.Write(events); err != nil {
		return err
	}
	return out.controller.Flush()
}
