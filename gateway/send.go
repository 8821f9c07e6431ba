package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// Causes for which a router ends an attempt itself.
var (
	errSilent   = eris.New("upstream is silent")
	errDeadline = eris.New("time of the request is over")
)

const (
	// minSilence is the shortest silence after which a stream is taken elsewhere.
	minSilence = 1500 * time.Millisecond
	// silenceGaps and silenceTargets are that silence as multiples of the route's
	// targets. Callers wait longer before they leave.
	silenceGaps    = 5
	silenceTargets = 2.5
	// plainTargets is the time as a multiple of the target after which an
	// idempotent request is tried at another upstream.
	plainTargets = 2.5
	// minLeft is the least time in which a further attempt can succeed.
	minLeft = 60 * time.Millisecond
	// bufferLimit is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be replaced.
	bufferLimit = 64 << 10
)

// verdict is what follows from one attempt.
type verdict uint8

const (
	// answered: the caller has its answer, or has left.
	answered verdict = iota + 1
	// notRun: the upstream has not run the request.
	notRun
	// unknown: the upstream may have run the request.
	unknown
)

// result is the end of one attempt.
type result struct {
	verdict verdict
	outcome placement.Outcome
	reason  string
}

// dispatch tries upstreams until one has answered.
func (h *Handler) dispatch(w http.ResponseWriter, c *call) {
	out := newRelay(w)
	for {
		now := time.Now()
		if c.left(now) < minLeft {
			h.giveUp(out, c, http.StatusGatewayTimeout, "time is over", 0)
			return
		}
		if c.attempts > 0 && !h.mayRepeat(now, c) {
			h.giveUp(out, c, http.StatusBadGateway, "no further attempt allowed", notReadyRetry)
			return
		}
		a := h.pools.assign(now, c)
		if a.Refused() {
			h.giveUp(out, c, http.StatusServiceUnavailable, string(a.Reason), a.RetryAfter, "wait", a.Wait, "usage", a.usage)
			return
		}
		if c.attempts == 0 {
			h.pools.first(now, c.service.Name)
		}
		c.attempts++
		c.upstream = a.Upstream.ID
		c.tried = append(c.tried, a.Upstream.ID)
		r := h.attempt(out, c, &a)
		paused := h.pools.ended(time.Now(), c, &a, r.outcome, r.verdict != notRun)
		if paused {
			h.logger.Warn("upstream gets no work", "upstream", c.upstream, "request", c.facts.ID, "reason", r.reason)
		}
		if r.verdict == answered {
			h.log(c, "request ended", "reason", r.reason, "wait", a.Wait, "first", c.firstByte,
				"read", a.ReadTokens, "rank", a.Rank, "usage", a.usage, "events", out.events, "pause", out.pause)
			return
		}
		c.mayHaveRun = c.mayHaveRun || r.verdict == unknown
		h.metrics.attemptsFailed.Inc()
		h.log(c, "attempt failed", "reason", r.reason, "may_have_run", r.verdict == unknown, "wait", a.Wait)
		final := c.mayHaveRun && !c.route.Retryable() || out.started && c.route.Kind != catalog.Stream
		if final || r.outcome == placement.Abandoned {
			h.giveUp(out, c, http.StatusBadGateway, r.reason, 0)
			return
		}
	}
}

func (h *Handler) mayRepeat(now time.Time, c *call) bool {
	return c.attempts < c.route.MaxAttempts && h.pools.repeat(now, c.service.Name)
}

// giveUp ends a request without an upstream's answer. Only a request that cannot
// have run is refused with the promise that it has not.
func (h *Handler) giveUp(out *relay, c *call, status int, reason string, after time.Duration, details ...any) {
	if out.started {
		h.log(c, "request broken off", append([]any{"reason", reason, "events", out.events}, details...)...)
		h.metrics.broken.Inc()
		panic(http.ErrAbortHandler)
	}
	if c.request.Context().Err() != nil {
		h.log(c, "caller left", "reason", reason)
		panic(http.ErrAbortHandler)
	}
	if !c.mayHaveRun {
		h.refuse(out.w, c, after, reason, details...)
		return
	}
	if status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	h.fail(out.w, c, status, reason, details...)
}

// attempt sends the request to one upstream and relays its answer.
func (h *Handler) attempt(out *relay, c *call, a *assignment) result {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(errDeadline) })
	defer timer.Stop()
	watchdog := newWatchdog(c, cancel)
	defer watchdog.stop()

	var connected, wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { wrote.Store(true) },
	})
	pool := h.connections(c.service)
	response, err := pool.transport(c.route.Retryable()).RoundTrip(h.outgoing(ctx, out, c, a))
	if err != nil {
		return classify(ctx, err, connected.Load(), wrote.Load())
	}
	defer response.Body.Close()
	return h.relayAnswer(ctx, out, c, a, response, pool, watchdog)
}

// classify tells what a request without an answer means.
func classify(ctx context.Context, err error, connected, wrote bool) result {
	cause := context.Cause(ctx)
	v := unknown
	if !wrote {
		v = notRun
	}
	switch {
	case errors.Is(cause, errSilent):
		return result{v, placement.Failed, "upstream is silent"}
	case errors.Is(cause, errDeadline):
		return result{v, placement.Failed, "no answer in time"}
	case cause != nil:
		return result{v, placement.Abandoned, "caller left"}
	case !connected:
		return result{v, placement.Unreachable, "no connection: " + err.Error()}
	default:
		return result{v, placement.Failed, "no answer: " + err.Error()}
	}
}

// outgoing builds the request to the upstream.
func (h *Handler) outgoing(ctx context.Context, out *relay, c *call, a *assignment) *http.Request {
	send := platform.Send{
		Instance: a.Upstream.ID, Workspace: c.workspaceName(), Left: time.Until(c.deadline), LastEvent: out.lastEvent,
	}
	uri := target(c.request)
	request := &http.Request{
		Method: c.request.Method,
		URL:    &url.URL{Scheme: "http", Host: a.Upstream.Address, Opaque: uri},
		Host:   c.request.Host,
		Header: platform.UpstreamHeader(c.request.Header, send),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body:          onceBody(c.request.Method, c.body),
		ContentLength: int64(len(c.body)),
	}
	return request.WithContext(ctx)
}

// onceBody returns a body that net/http cannot read again, so that it repeats no
// request by itself. It would repeat a GET without a body, whatever its route.
func onceBody(method string, body []byte) io.ReadCloser {
	if len(body) == 0 && (method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch || method == http.MethodDelete) {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(body))
}

// relayAnswer checks an answer and passes it on.
func (h *Handler) relayAnswer(ctx context.Context, out *relay, c *call, a *assignment, response *http.Response, pool *connections, watchdog *watchdog) result {
	facts := platform.ReadUpstreamAnswer(response)
	pool.learn(facts.IdleTimeout)
	c.status = response.StatusCode
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case facts.RequestID != "" && facts.RequestID != c.facts.ID:
		return result{unknown, placement.Failed, "answer belongs to another request"}
	case facts.NotRun:
		return result{notRun, placement.Rejected, "upstream did not run the request"}
	case !facts.Sealed || facts.Encoded:
		return result{unknown, placement.Failed, "answer is not the upstream's own"}
	case !success && response.StatusCode >= 500 && c.route.Retryable() && h.canRepeat(c):
		return result{unknown, placement.Failed, "upstream failed"}
	case success && c.route.Kind == catalog.Stream:
		return h.relayStream(ctx, out, c, a, response, watchdog)
	}
	return h.relayWhole(ctx, out, c, a, response)
}

// canRepeat tells whether a further attempt is likely to be allowed.
func (h *Handler) canRepeat(c *call) bool {
	return c.attempts < c.route.MaxAttempts && c.left(time.Now()) > minLeft
}

// watchdog ends an attempt at an upstream that has gone silent, if the request can
// be taken elsewhere.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
}

func newWatchdog(c *call, cancel context.CancelCauseFunc) *watchdog {
	silence := time.Duration(plainTargets * float64(c.route.TargetLatency))
	if c.route.Kind == catalog.Stream {
		silence = max(minSilence, time.Duration(silenceTargets*float64(c.route.TargetLatency)), silenceGaps*c.route.TargetGap)
	}
	if !c.route.Retryable() || c.attempts >= c.route.MaxAttempts {
		return &watchdog{}
	}
	return &watchdog{timer: time.AfterFunc(silence, func() { cancel(errSilent) }), silence: silence}
}

func (w *watchdog) heard() {
	if w.timer != nil {
		w.timer.Reset(w.silence)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
