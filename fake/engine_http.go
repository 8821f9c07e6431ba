package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Finish reasons in the last chunk of a stream.
const (
	FinishLength  = "length"  // all tokens were generated
	FinishStopped = "stopped" // the run was canceled before that
)

// Chunk is the data of one stream event. Index counts tokens from 0 over all runs
// of a request. The event id is Index+1. Usage covers the current run only.
type Chunk struct {
	Index        int          `json:"index"`
	Token        string       `json:"token"`
	Usage        ticket.Usage `json:"usage"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.withFaults(e.serveCompletion))
	e.mux.HandleFunc("GET /v1/streams/{id}", e.withFaults(e.serveResume))
	e.mux.HandleFunc("POST /v1/streams/{id}/cancel", e.withFaults(e.serveCancel))
	e.mux.HandleFunc("GET /v1/load", e.withFaults(e.serveLoad))
	e.mux.HandleFunc("POST /v1/orders", e.withFaults(e.serveOrder))
	e.mux.HandleFunc("GET /control", e.serveStatus)
	e.mux.HandleFunc("POST /control", e.serveControl)
}

// withFaults applies the injected faults before it calls next.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.admit(w, r) {
			next(w, r)
		}
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if err := readJSON(r, &request); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if request.RequestID == "" || request.MaxTokens <= 0 || request.ResumeTokens < 0 {
		writeError(w, http.StatusBadRequest, "invalid_request",
			"request_id and a positive max_tokens are required, resume_tokens must not be negative")
		return
	}
	e.serveEvents(w, r, e.openStream(request), request.ResumeTokens)
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "stream is not known")
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		after = 0
	}
	e.serveEvents(w, r, s, max(after, s.request.ResumeTokens))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "stream is not known")
		return
	}
	next := s.cancel()
	writeJSON(w, http.StatusOK, map[string]any{"tokens": next, "usage": s.usage(next)})
}

// serveEvents streams the events of s, starting with the token at index next.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, s *stream, next int) {
	s.attach()
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, s: s, next: next}
	out.flush()
	for {
		if _, err := e.faults.waitUnfrozen(r.Context()); err != nil {
			return
		}
		faults, faultsChanged := e.faults.watch()
		if faults.Drop || s.dropOnce(out.written, faults.DropAfterTokens) {
			panic(http.ErrAbortHandler)
		}
		state := s.state()
		if out.next < state.next {
			out.writeToken()
			continue
		}
		if state.finished {
			out.writeEnd(state)
			return
		}
		select {
		case <-state.changed:
		case <-faultsChanged:
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter writes the chunks of a stream to one connection.
type eventWriter struct {
	w       http.ResponseWriter
	s       *stream
	next    int // index of the next token
	written int // events written to this connection
}

func (o *eventWriter) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

func (o *eventWriter) writeToken() {
	chunk := Chunk{Index: o.next, Token: Token(o.s.request.Seed, o.next), Usage: o.s.usage(o.next + 1)}
	o.next++
	o.written++
	if o.next == o.s.length {
		chunk.FinishReason = FinishLength
	}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", o.next, data)
	o.flush()
}

// writeEnd writes the end marker. For a stopped run it first writes a chunk
// without a token.
func (o *eventWriter) writeEnd(state streamState) {
	if state.stopped {
		chunk := Chunk{Index: o.next, Usage: o.s.usage(o.next), FinishReason: FinishStopped}
		data, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	}
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.flush()
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := millis(e.settings.LoadLagMillis)
	e.mu.Lock()
	report := e.meter.report(time.Now(), lag)
	e.mu.Unlock()
	report.TokenMillis = float64(e.settings.TokenTime(report.Running)) / float64(time.Millisecond)
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := readJSON(r, &order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	accepted := e.orders.accept(order, e.settings.ChecksFencing)
	e.mu.Unlock()
	if !accepted {
		writeError(w, http.StatusConflict, "stale_fence", "a higher fencing number was seen")
		return
	}
	if pause.For(r.Context(), millis(e.settings.OrderMillis)) != nil {
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	if err := e.faults.update(r.Body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.serveStatus(w, r)
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}
