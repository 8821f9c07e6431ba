package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/ticket"
	"github.com/lacewingshift/lacewingshift/upstream"
)

// releaseTimeout limits the release call to the router that started a run. It is
// short because that router is usually dead.
const releaseTimeout = 300 * time.Millisecond

// resume serves GET /v1/requests/{id}/events: it continues an answer that this
// or another router started.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	defer h.requestTracker.begin()()
	id := r.PathValue("id")
	after, token, e := h.checkResume(r, id)
	if e != nil {
		writeError(w, id, e)
		return
	}
	tc, e := h.resumeCompletion(r.Context(), token, after)
	if e != nil {
		writeError(w, id, e)
		return
	}
	h.serveTracked(w, r, tc, after, true)
}

// checkResume authenticates a request for the rest of an answer. It returns the id of the
// last event that the caller has, and the resume token. Its errors never say that the
// request did not run.
func (h *Handler) checkResume(r *http.Request, id string) (int64, reply.Resume, *Error) {
	if e := h.Directory.CheckConfig(); e != nil {
		e.NotRun = false
		return 0, reply.Resume{}, e
	}
	workspace, _, e := h.authenticate(r)
	if e != nil {
		e.NotRun = false
		return 0, reply.Resume{}, e
	}
	after, e := lastEventID(r)
	if e != nil {
		e.NotRun = false
		return 0, reply.Resume{}, e
	}
	token, err := h.Signer.Verify(r.Header.Get(headerResume))
	if err != nil || token.Request != id || token.Workspace != workspace.Name {
		return 0, reply.Resume{}, fail(http.StatusForbidden, CodeBadResume,
			"the resume token does not belong to this request and workspace")
	}
	return after, token, nil
}

// resumeCompletion returns the completion if this router has it, and otherwise
// attaches to its run at the engine.
func (h *Handler) resumeCompletion(ctx context.Context, token reply.Resume, after int64) (*trackedCompletion, *Error) {
	key := requestKey(token.Request, token.Workspace)
	if tc := h.requestTracker.get(key); tc != nil {
		return tc, nil
	}
	req := request{id: token.Request, service: token.Service, arrived: time.Now()}
	req.workspace.Name = token.Workspace
	tc := h.trackCompletion(req, after)
	if tc == nil {
		return nil, fail(http.StatusConflict, CodeDuplicateID, "a request with this id is in progress")
	}
	if token.Entry != h.Host {
		releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		_ = h.ReleaseAt(releaseCtx, token.Entry, key)
		cancel()
	}
	token.Entry = h.Host
	signed, err := h.Signer.Sign(token)
	if err != nil {
		tc.cancel()
		h.requestTracker.remove(tc)
		return nil, fail(http.StatusInternalServerError, CodeBadResume, "the resume token could not be renewed")
	}
	tc.setRun(signed, 0)
	h.runInBackground(tc, func(ctx context.Context) { h.attach(ctx, req, tc, token) })
	return tc, nil
}

// attach streams the rest of a run that another router started, and reports its
// usage to the scheduler.
func (h *Handler) attach(ctx context.Context, req request, tc *trackedCompletion, token reply.Resume) {
	t := req.ticket(h.Host)
	t.Idempotent = true
	h.Scheduler.Resume(t, token.Upstream, ticket.Usage{})
	m := newUsageMeter(h.Scheduler, t.ID)
	run := upstream.Run{Address: token.Address, ID: token.Run, After: tc.log.Last(), StallTimeout: stallTimeout}
	h.recordEvent("resumed", req, token.Upstream, "")
	c := &completion{handler: h, request: req, trackedCompletion: tc, ticket: t}
	// Stop decisions are not read: continuing on another engine would need the
	// request's body, which only the first router had.
	err := h.Client.Attach(ctx, run, c.sink(m))
	c.ticket.PriorUsage = m.used
	switch {
	case err == nil:
		m.finish(dispatch.OutcomeDone)
		c.end(nil)
	case eris.Is(err, context.Canceled):
		if !tc.isReleased() {
			c.cancelRun(run)
		}
		m.finish(dispatch.OutcomeCanceled)
		c.end(fail(http.StatusServiceUnavailable, CodeCanceled, "the caller left"))
	default:
		m.fail()
		c.end(fail(http.StatusBadGateway, CodeStreamGone,
			"the engine no longer holds the stream, send the request again with its id and "+headerLastEvent))
	}
}
