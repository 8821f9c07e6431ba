package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

const (
	// readSize is the size of one read of a stream, that of net/http's own buffer. An
	// event has some hundred bytes, and every stream in progress holds one read.
	readSize = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// relay is the answer to a caller, over all attempts.
type relay struct {
	w         http.ResponseWriter
	flush     *http.ResponseController
	started   bool
	lastEvent string // id of the last event that was passed on
	events    int
	latest    time.Time     // of the last event
	pause     time.Duration // longest between two events
}

func newRelay(w http.ResponseWriter) *relay {
	return &relay{w: w, flush: http.NewResponseController(w)}
}

// relayWhole passes on an answer that is no stream. Short answers are read whole
// first.
func (h *Handler) relayWhole(ctx context.Context, out *relay, c *call, a *assignment, response *http.Response) result {
	if out.started {
		return result{unknown, placement.Failed, "upstream failed in the middle of a stream"}
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, bufferLimit))
	if err != nil {
		r := classify(ctx, err, true, true)
		r.reason = "answer broke off: " + r.reason
		return r
	}
	c.firstByte = time.Since(c.received)
	h.pools.firstEvent(time.Now(), a)
	platform.CopyAnswer(out.w.Header(), response.Header)
	if len(head) < bufferLimit && response.ContentLength < 0 && c.request.Method != http.MethodHead {
		// The whole body is known now, which a caller can check.
		response.ContentLength = int64(len(head))
	}
	out.started = true
	out.w.WriteHeader(response.StatusCode)
	if _, err := out.w.Write(head); err != nil {
		return result{answered, placement.Abandoned, "caller left"}
	}
	if len(head) == bufferLimit {
		if _, err := io.Copy(out.w, response.Body); err != nil {
			r := classify(ctx, err, true, true)
			r.reason = "answer broke off: " + r.reason
			return r
		}
	}
	h.metrics.answered(c)
	outcome := placement.Succeeded
	if response.StatusCode >= 500 {
		outcome = placement.Failed
	}
	return result{answered, outcome, "answered"}
}

// relayStream passes on a stream event by event. What an upstream leaves in the
// middle of an event is not passed on, so that the stream can continue elsewhere.
func (h *Handler) relayStream(ctx context.Context, out *relay, c *call, a *assignment, response *http.Response, watchdog *watchdog) result {
	var pending []byte
	chunk := make([]byte, readSize)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			watchdog.heard()
			pending = append(pending, chunk[:n]...)
			end := bytes.LastIndex(pending, eventEnd)
			if end >= 0 {
				if err := h.passOn(out, c, a, response, pending[:end+len(eventEnd)]); err != nil {
					return result{answered, placement.Abandoned, "caller left"}
				}
				pending = append(pending[:0], pending[end+len(eventEnd):]...)
			}
		}
		if errors.Is(err, io.EOF) {
			return h.endStream(out, c, a, response, pending)
		}
		if err != nil || len(pending) > maxEventBytes {
			r := classify(ctx, err, true, true)
			r.reason = "stream broke off: " + r.reason
			return r
		}
	}
}

// endStream passes on what follows the last event and ends the answer.
func (h *Handler) endStream(out *relay, c *call, a *assignment, response *http.Response, rest []byte) result {
	if err := h.passOn(out, c, a, response, rest); err != nil {
		return result{answered, placement.Abandoned, "caller left"}
	}
	h.metrics.answered(c)
	return result{answered, placement.Succeeded, "answered"}
}

// passOn sends whole events to the caller.
func (h *Handler) passOn(out *relay, c *call, a *assignment, response *http.Response, events []byte) error {
	now := time.Now()
	if !out.started {
		platform.CopyAnswer(out.w.Header(), response.Header)
		out.w.Header().Del("Content-Length")
		out.w.WriteHeader(response.StatusCode)
		out.started = true
		c.firstByte = now.Sub(c.received)
	}
	h.pools.firstEvent(now, a)
	out.note(events)
	if !out.latest.IsZero() && len(events) > 0 {
		pause := now.Sub(out.latest)
		out.pause = max(out.pause, pause)
		h.pools.pause(now, a, pause, c.route.TargetGap)
	}
	out.latest = now
	if _, err := out.w.Write(events); err != nil {
		return err
	}
	return out.flush.Flush()
}

// note remembers the id of the last event.
func (r *relay) note(events []byte) {
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			r.lastEvent = string(bytes.TrimSpace(rest))
			r.events++
		}
	}
}
