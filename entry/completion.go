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
	c, tc, e := h.startCompletion(w, r, id, after)
	if e != nil {
		// A caller that has received events continues a request that has run.
		e.NotRun = e.NotRun && after == 0
		writeError(w, id, e)
		return
	}
	h.serveTracked(w, r, tc, after, c.fields.Stream)
}

// startCompletion starts a completion and returns it. If the caller continues an answer
// that this router still has, it returns that one's trackedCompletion and starts nothing.
func (h *Handler) startCompletion(w http.ResponseWriter, r *http.Request, id string, after int64) (*completion, *trackedCompletion, *Error) {
	req, plan, e := h.admit(w, r, id)
	if e != nil {
		return nil, nil, e
	}
	c, e := h.newCompletion(req, plan)
	if e != nil {
		req.release()
		return nil, nil, e
	}
	if tc := h.requestTracker.get(req.key()); tc != nil && after > 0 {
		req.release()
		return c, tc, nil
	}
	tc := h.trackCompletion(req, after)
	if tc == nil {
		req.release()
		return nil, nil, fail(http.StatusConflict, CodeDuplicateID, "a request with this id is in progress")
	}
	c.trackedCompletion = tc
	c.continued = after > 0
	h.runInBackground(tc, func(ctx context.Context) {
		defer req.release()
		c.run(ctx)
	})
	return c, tc, nil
}

func (h *Handler) newCompletion(req request, plan config.Plan) (*completion, *Error) {
	fields, all, e := parseCompletion(req.body)
	if e != nil {
		return nil, e
	}
	if e := h.admitService(&req, plan, fields.Model); e != nil {
		return nil, e
	}
	if kind, _ := h.Directory.ServiceKind(fields.Model); kind != objectapi.ServiceEngine {
		return nil, notRunError(http.StatusBadRequest, CodeWrongProtocol,
			fmt.Sprintf("%q is a plain service, use /v1/services/%s/", fields.Model, fields.Model))
	}
	t := req.ticket(h.Host)
	t.PromptTokens = int64(len(fields.Prompt) / bytesPerToken)
	t.Idempotent = true
	if fields.Prompt != "" {
		t.PrefixHash = xxhash.Sum64String(fields.Prompt[:min(len(fields.Prompt), prefixBytes)])
	}
	if t.Hint == 0 {
		t.Hint = ticket.Units(fields.MaxTokens) * ticket.GeneratedTokenPrice
	}
	return &completion{handler: h, request: req, fields: fields, body: all, ticket: t}, nil
}

// trackCompletion registers a completion for the request. It returns nil if the
// workspace has a request with this id in progress.
func (h *Handler) trackCompletion(req request, after int64) *trackedCompletion {
	ctx, cancel := context.WithCancel(context.Background())
	tc := &trackedCompletion{
		id:      req.id,
		key:     req.key(),
		log:     reply.NewLog(after),
		granted: make(chan struct{}),
		ended:   make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
	}
	if !h.requestTracker.add(tc) {
		cancel()
		return nil
	}
	return tc
}

// runInBackground executes work independently of the caller's connection. The completion
// counts as in progress meanwhile.
func (h *Handler) runInBackground(tc *trackedCompletion, work func(context.Context)) {
	end := h.requestTracker.begin()
	go func() {
		defer end()
		defer tc.cancel()
		work(tc.ctx)
		h.requestTracker.finish(tc, tc.log.Failed())
	}()
}

// serveTracked writes the answer of f to the caller while it is produced.
func (h *Handler) serveTracked(w http.ResponseWriter, r *http.Request, tc *trackedCompletion, after int64, stream bool) {
	defer tc.addReader()()
	select {
	case <-tc.granted:
	case <-tc.ended:
	case <-r.Context().Done():
		return
	}
	if e := h.errorBeforeRun(tc); e != nil {
		writeError(w, tc.id, e)
		return
	}
	token, waited := tc.currentRun()
	w.Header().Set(headerRequestID, tc.id)
	w.Header().Set(headerResume, token)
	w.Header().Set(headerWaited, strconv.FormatInt(waited.Milliseconds(), 10))
	if !stream {
		h.serveNonStreamed(w, r, tc)
		return
	}
	_ = reply.Stream(r.Context(), w, tc.log, after, func(err error) []byte {
		return toError(err).encode(tc.id)
	})
}

// errorBeforeRun returns the error of a completion that ended before its first
// run, and nil for any other completion.
func (h *Handler) errorBeforeRun(tc *trackedCompletion) *Error {
	select {
	case <-tc.granted:
		return nil
	default:
	}
	page, err := tc.log.Next(context.Background(), tc.log.Last())
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

func (h *Handler) serveNonStreamed(w http.ResponseWriter, r *http.Request, tc *trackedCompletion) {
	text, rest, err := reply.Text(r.Context(), tc.log)
	if err != nil {
		writeError(w, tc.id, toError(err))
		return
	}
	var t trailer
	_ = json.Unmarshal(rest, &t)
	usage, _ := json.Marshal(t.Usage)
	w.Header().Set("Content-Type", "application/json")
	setResponseDeadline(w)
	_ = json.NewEncoder(w).Encode(completionResponse{
		ID:      tc.id,
		Object:  "text_completion",
		Choices: []choice{{Text: text, FinishReason: "stop"}},
		Usage:   usage,
	})
}

// trailer is the last JSON document of a stream. Stops is the number of runs that were
// preempted.
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
