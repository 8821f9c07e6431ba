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
	// bytesPerToken is used to estimate the number of tokens in a prompt.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed, so that
	// requests with the same prefix can be recognized.
	prefixBytes = 512
)

// completionFields are the fields of the body that the router reads. The engine
// gets all fields.
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
		return fields, nil, notRunError(http.StatusBadRequest, CodeBadRequest, "the body is not a JSON object")
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return fields, nil, notRunError(http.StatusBadRequest, CodeBadRequest, "the body has a field of a wrong type: "+err.Error())
	}
	if fields.Model == "" {
		return fields, nil, notRunError(http.StatusBadRequest, CodeBadRequest, "the field model is missing")
	}
	if fields.MaxTokens < 0 {
		return fields, nil, notRunError(http.StatusBadRequest, CodeBadRequest, "max_tokens is below zero")
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
	defer h.requestTracker.begin()()
	after, e := lastEventID(r)
	if e != nil {
		writeError(w, id, e)
		return
	}
	c, f, e := h.startCompletion(w, r, id, after)
	if e != nil {
		// A caller that has received events continues a request that has run.
		e.NotRun = e.NotRun && after == 0
		writeError(w, id, e)
		return
	}
	h.serveTracked(w, r, f, after, c.fields.Stream)
}

func (h *Handler) startCompletion(w http.ResponseWriter, r *http.Request, id string, after int64) (*completion, *trackedCompletion, *Error) {
	a, plan, e := h.admit(w, r, id)
	if e != nil {
		return nil, nil, e
	}
	c, e := h.newCompletion(a, plan)
	if e != nil {
		a.release()
		return nil, nil, e
	}
	if f := h.requestTracker.get(a.key()); f != nil && after > 0 {
		a.release()
		return c, f, nil
	}
	f := h.trackCompletion(a, after)
	if f == nil {
		a.release()
		return nil, nil, fail(http.StatusConflict, CodeDuplicateID, "a request with this id is in progress")
	}
	c.trackedCompletion = f
	c.continued = after > 0
	h.launch(f, func(ctx context.Context) {
		defer a.release()
		c.run(ctx)
	})
	return c, f, nil
}

func (h *Handler) newCompletion(a request, plan config.Plan) (*completion, *Error) {
	fields, all, e := parseCompletion(a.body)
	if e != nil {
		return nil, e
	}
	if e := h.admitService(&a, plan, fields.Model); e != nil {
		return nil, e
	}
	if kind, _ := h.Directory.ServiceKind(fields.Model); kind != objectapi.ServiceEngine {
		return nil, notRunError(http.StatusBadRequest, CodeWrongProtocol,
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
	return &completion{handler: h, request: a, fields: fields, body: all, ticket: t}, nil
}

// trackCompletion registers a completion for the request. It returns nil if the
// workspace has a request with this id in progress.
func (h *Handler) trackCompletion(a request, after int64) *trackedCompletion {
	ctx, cancel := context.WithCancel(context.Background())
	f := &trackedCompletion{
		id:      a.id,
		key:     a.key(),
		log:     reply.NewLog(after),
		granted: make(chan struct{}),
		ended:   make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	if !h.requestTracker.add(f) {
		cancel()
		return nil
	}
	return f
}

// launch executes work in the background, independent of the caller's connection.
func (h *Handler) launch(f *trackedCompletion, work func(context.Context)) {
	end := h.requestTracker.begin()
	go func() {
		defer end()
		defer f.cancel()
		work(f.ctx)
		h.requestTracker.finish(f, f.log.Failed())
	}()
}

// serveTracked writes the answer of f to the caller while it is produced.
func (h *Handler) serveTracked(w http.ResponseWriter, r *http.Request, f *trackedCompletion, after int64, stream bool) {
	defer f.addReader()()
	select {
	case <-f.granted:
	case <-f.ended:
	case <-r.Context().Done():
		return
	}
	if e := h.errorBeforeRun(f); e != nil {
		writeError(w, f.id, e)
		return
	}
	token, waited := f.currentRun()
	w.Header().Set(headerRequestID, f.id)
	w.Header().Set(headerResume, token)
	w.Header().Set(headerWaited, strconv.FormatInt(waited.Milliseconds(), 10))
	if !stream {
		h.serveNonStreamed(w, r, f)
		return
	}
	_ = reply.Stream(r.Context(), w, f.log, after, func(err error) []byte {
		return toError(err).encode(f.id)
	})
}

// errorBeforeRun returns the error of a completion that ended before its first
// run, and nil for any other completion.
func (h *Handler) errorBeforeRun(f *trackedCompletion) *Error {
	select {
	case <-f.granted:
		return nil
	default:
	}
	page, err := f.log.Next(context.Background(), f.log.Last())
	if err != nil || page.Err == nil {
		return nil
	}
	return toError(page.Err)
}

// completionResponse is the response to a completion that is not streamed.
type completionResponse struct {
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

func (h *Handler) serveNonStreamed(w http.ResponseWriter, r *http.Request, f *trackedCompletion) {
	text, rest, err := reply.Text(r.Context(), f.log)
	if err != nil {
		writeError(w, f.id, toError(err))
		return
	}
	var t trailer
	_ = json.Unmarshal(rest, &t)
	usage, _ := json.Marshal(t.Usage)
	w.Header().Set("Content-Type", "application/json")
	setResponseDeadline(w)
	_ = json.NewEncoder(w).Encode(completionResponse{
		ID:      f.id,
		Object:  "text_completion",
		Choices: []choice{{Text: text, FinishReason: "stop"}},
		Usage:   usage,
	})
}

// trailer is the last JSON document of a stream.
type trailer struct {
	RequestID string       `json:"request_id"`
	Usage     ticket.Usage `json:"usage"`
	Stops     int          `json:"stops,omitempty"`
}

func lastEventID(r *http.Request) (int64, *Error) {
	text := strings.TrimSpace(r.Header.Get(headerLastEvent))
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil || after < 0 {
		return 0, notRunError(http.StatusBadRequest, CodeBadRequest, headerLastEvent+" is not the id of an event")
	}
	return after, nil
}

func toError(err error) *Error {
	if e, ok := err.(*Error); ok {
		return e
	}
	return fail(http.StatusBadGateway, CodeUpstreamFailed, "the answer could not be completed").withRetryAfter(time.Second)
}
