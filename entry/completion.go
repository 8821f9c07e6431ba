package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/ticket"
)

const (
	// bytesPerToken estimates the length of a prompt.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt identifies its prefix.
	prefixBytes = 512
)

// completionFields are the fields of the body that the router reads. All others
// pass through to the engine.
type completionFields struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func parseCompletion(body []byte) (completionFields, map[string]json.RawMessage, *Error) {
	var fields completionFields
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil || all == nil {
		return fields, nil, refuse(http.StatusBadRequest, CodeBadRequest, "the body is not a JSON object")
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return fields, nil, refuse(http.StatusBadRequest, CodeBadRequest, "the body has a field of a wrong type: "+err.Error())
	}
	if fields.Model == "" {
		return fields, nil, refuse(http.StatusBadRequest, CodeBadRequest, "the field model is missing")
	}
	if fields.MaxTokens < 0 {
		return fields, nil, refuse(http.StatusBadRequest, CodeBadRequest, "max_tokens is below zero")
	}
	return fields, all, nil
}

// completions serves POST /v1/completions.
func (h *Handler) completions(w http.ResponseWriter, r *http.Request) {
	id, e := requestID(r)
	if e != nil {
		writeError(w, "", e)
		return
	}
	defer h.flights.begin()()
	after, e := lastEvent(r)
	if e != nil {
		writeError(w, id, e)
		return
	}
	c, f, e := h.startCompletion(w, r, id, after)
	if e != nil {
		// A caller that has seen events continues a request that has run.
		e.NotRun = e.NotRun && after == 0
		writeError(w, id, e)
		return
	}
	h.serveFlight(w, r, f, after, c.fields.Stream)
}

func (h *Handler) startCompletion(w http.ResponseWriter, r *http.Request, id string, after int64) (*completion, *flight, *Error) {
	a, plan, e := h.admit(w, r, id)
	if e != nil {
		return nil, nil, e
	}
	c, e := h.newCompletion(a, plan)
	if e != nil {
		a.release()
		return nil, nil, e
	}
	if f := h.flights.get(a.key()); f != nil && after > 0 {
		a.release()
		return c, f, nil
	}
	f := h.newFlight(a, after)
	if f == nil {
		a.release()
		return nil, nil, fail(http.StatusConflict, CodeDuplicateID, "a request with this id is in progress")
	}
	c.flight = f
	c.continued = after > 0
	h.launch(f, func(ctx context.Context) {
		defer a.release()
		c.run(ctx)
	})
	return c, f, nil
}

func (h *Handler) newCompletion(a admitted, plan config.Plan) (*completion, *Error) {
	fields, all, e := parseCompletion(a.body)
	if e != nil {
		return nil, e
	}
	if e := h.admitService(&a, plan, fields.Model); e != nil {
		return nil, e
	}
	if kind, _ := h.Directory.ServiceKind(fields.Model); kind != objectapi.ServiceEngine {
		return nil, refuse(http.StatusBadRequest, CodeWrongProtocol,
			fmt.Sprintf("%q is a plain service, use /v1/services/%s/", fields.Model, fields.Model))
	}
	t := a.ticket(h.Host)
	t.PromptTokens = int64(len(fields.Prompt) / bytesPerToken)
	t.Idempotent = true
	if fields.Prompt != "" {
		t.PrefixHash = xxhash.Sum64String(fields.Prompt[:min(len(fields.Prompt), prefixBytes)])
	}
	if t.Hint == 0 {
		t.Hint = ticket.Units(fields.MaxTokens) * ticket.GeneratedTokenPrice
	}
	return &completion{handler: h, admitted: a, fields: fields, body: all, ticket: t}, nil
}

// newFlight registers a flight for the request, or returns nil when the id is
// taken.
func (h *Handler) newFlight(a admitted, after int64) *flight {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{
		id:      a.id,
		key:     a.key(),
		log:     reply.NewLog(after),
		granted: make(chan struct{}),
		ended:   make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	if !h.flights.add(f) {
		cancel()
		return nil
	}
	return f
}

// launch runs work for the flight independent of the caller's connection.
func (h *Handler) launch(f *flight, work func(context.Context)) {
	end := h.flights.begin()
	go func() {
		defer end()
		defer f.cancel()
		work(f.ctx)
		h.flights.finish(f, f.log.Failed())
	}()
}

// serveFlight answers the caller from the flight's log.
func (h *Handler) serveFlight(w http.ResponseWriter, r *http.Request, f *flight, after int64, stream bool) {
	defer f.join()()
	select {
	case <-f.granted:
	case <-f.ended:
	case <-r.Context().Done():
		return
	}
	if e := h.refusedBeforeRun(f); e != nil {
		writeError(w, f.id, e)
		return
	}
	token, waited := f.run()
	w.Header().Set(headerRequestID, f.id)
	w.Header().Set(headerResume, token)
	w.Header().Set(headerWaited, strconv.FormatInt(waited.Milliseconds(), 10))
	if !stream {
		h.serveWhole(w, r, f)
		return
	}
	_ = reply.Stream(r.Context(), w, f.log, after, func(err error) []byte {
		return asError(err).document(f.id)
	})
}

// refusedBeforeRun returns the error of a flight that ended without any run.
func (h *Handler) refusedBeforeRun(f *flight) *Error {
	select {
	case <-f.granted:
		return nil
	default:
	}
	page, err := f.log.Next(context.Background(), f.log.Last())
	if err != nil || page.Err == nil {
		return nil
	}
	return asError(page.Err)
}

// wholeAnswer is the answer to a completion that was not streamed.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

func (h *Handler) serveWhole(w http.ResponseWriter, r *http.Request, f *flight) {
	text, rest, err := reply.Text(r.Context(), f.log)
	if err != nil {
		writeError(w, f.id, asError(err))
		return
	}
	var t trailer
	_ = json.Unmarshal(rest, &t)
	usage, _ := json.Marshal(t.Usage)
	w.Header().Set("Content-Type", "application/json")
	limitWrite(w)
	_ = json.NewEncoder(w).Encode(wholeAnswer{
		ID:      f.id,
		Object:  "text_completion",
		Choices: []choice{{Text: text, FinishReason: "stop"}},
		Usage:   usage,
	})
}

// trailer is the last document of a stream.
type trailer struct {
	RequestID string       `json:"request_id"`
	Usage     ticket.Usage `json:"usage"`
	Stops     int          `json:"stops,omitempty"`
}

func lastEvent(r *http.Request) (int64, *Error) {
	text := strings.TrimSpace(r.Header.Get(headerLastEvent))
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil || after < 0 {
		return 0, refuse(http.StatusBadRequest, CodeBadRequest, headerLastEvent+" is not the id of an event")
	}
	return after, nil
}

func asError(err error) *Error {
	if e, ok := err.(*Error); ok {
		return e
	}
	return fail(http.StatusBadGateway, CodeUpstreamFailed, "the answer could not be completed").after(time.Second)
}
