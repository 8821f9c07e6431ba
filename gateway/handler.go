// Package gateway is the path of a request through a router: receive, resolve the
// route and the workspace, decide on an upstream, send, relay the answer.
package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/belief"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/overload"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/stopping"
)

const (
	// notReadyRetry is when a caller may come back to a router that knows no
	// configuration yet, or to another one instead of one that stops.
	notReadyRetry = 200 * time.Millisecond
	// slowBody is the time to read a body after which the caller may have left. The
	// bodies of most requests arrive together with their headers.
	slowBody = 20 * time.Millisecond
	// defaultPatience is assumed for callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
)

// Handler serves the callers.
type Handler struct {
	config *belief.Versioned[platform.Config]
	pools  *pools
	logger *log.Logger
	// admit tells whether a line about a request may be written.
	admit   func() bool
	metrics *requestMetrics
	// stopState tells what the router does with new requests.
	stopState func() stopping.State
	arrived   func()
	// routers is the number of routers that take part.
	routers func() int

	inProgress atomic.Int64
	mu         sync.Mutex
	gate       *overload.Gate
	services   map[string]*connections
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	h.arrived()
	c := &call{request: r, received: time.Now(), processorWait: overload.ProcessorWait()}
	h.metrics.processorWait.Update(c.processorWait.Seconds())
	state := h.stopState()
	if state != stopping.Serving {
		w.Header().Set("Connection", "close")
	}
	if !h.resolve(w, c) {
		return
	}
	if state >= stopping.Refusing {
		h.refuse(w, c, notReadyRetry, "router stops")
		return
	}
	h.leaveIfCallerHas(c)
	if !h.admitted(c) {
		h.pools.refused(c.received, c)
		after := placement.Jitter(placement.MinRetryAfter, rand.Float64())
		h.refuse(w, c, after, "router is short of processor time", "processor_wait", c.processorWait)
		return
	}
	began := time.Now()
	if !h.readBody(w, c) {
		return
	}
	if time.Since(began) > slowBody {
		h.leaveIfCallerHas(c)
	}
	h.dispatch(w, c)
}

// leaveIfCallerHas ends the request, without an answer, if its caller has left.
func (h *Handler) leaveIfCallerHas(c *call) {
	if hasLeft(c.request) {
		h.metrics.left.Inc()
		h.log(c, "caller left", "reason", "before the request was sent on", "processor_wait", c.processorWait)
		panic(http.ErrAbortHandler)
	}
}

// admitted tells whether the router has the processor time for a request.
func (h *Handler) admitted(c *call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Admit(c.received, c.workspaceName(), c.processorWait)
}

// resolve finds route and workspace, and answers the request itself if there is
// none.
func (h *Handler) resolve(w http.ResponseWriter, c *call) bool {
	held := h.config.Get()
	facts, err := platform.ReadCallerRequest(c.request.Header)
	c.facts, c.version = facts, held.Version
	if held.Version == 0 {
		h.refuse(w, c, notReadyRetry, "no configuration known")
		return false
	}
	if err != nil {
		h.reject(w, c, http.StatusBadRequest, err.Error())
		return false
	}
	if headerBytes(c.request.Header) > held.Value.Limits.HeaderBytes {
		h.reject(w, c, http.StatusRequestHeaderFieldsTooLarge, "headers are larger than the limit")
		return false
	}
	patience := facts.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	c.route = held.Value.Match(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		h.reject(w, c, http.StatusNotFound, "no route matches host and path")
		return false
	}
	c.deadline = c.received.Add(min(patience, c.route.Timeout))
	c.workspace = held.Value.Workspace(facts.Key)
	if c.workspace == nil && held.Value.NeedsKey(c.route) {
		h.reject(w, c, http.StatusUnauthorized, "key is not known")
		return false
	}
	c.service = held.Value.Service(c.route.PickService(rand.Float64()))
	if c.service == nil {
		h.refuse(w, c, time.Second, "route has no service")
		return false
	}
	return true
}

// readBody reads the whole body, since an attempt at another upstream needs it
// again.
func (h *Handler) readBody(w http.ResponseWriter, c *call) bool {
	limit := h.config.Get().Value.Limits.BodyBytes
	var body bytes.Buffer
	body.Grow(int(min(max(c.request.ContentLength, 0), limit)) + bytes.MinRead)
	_, err := body.ReadFrom(http.MaxBytesReader(w, c.request.Body, limit))
	if err == nil {
		c.body = body.Bytes()
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.reject(w, c, http.StatusRequestEntityTooLarge, "body is larger than the limit")
		return false
	}
	w.Header().Set("Connection", "close")
	h.reject(w, c, http.StatusBadRequest, "body cannot be read: "+err.Error())
	return false
}

// refuse answers that the request has not run and when to come back.
func (h *Handler) refuse(w http.ResponseWriter, c *call, after time.Duration, reason string, details ...any) {
	c.status = http.StatusServiceUnavailable
	platform.OwnAnswer(w.Header(), c.facts.ID, after)
	h.answer(w, c.status, reason)
	h.metrics.refused.Inc()
	h.log(c, "request refused", append([]any{"reason", reason, "retry_after", after}, details...)...)
}

// reject answers a request that is not proper.
func (h *Handler) reject(w http.ResponseWriter, c *call, status int, reason string) {
	c.status = status
	platform.OwnAnswer(w.Header(), c.facts.ID, 0)
	h.answer(w, status, reason)
	h.metrics.rejected.Inc()
	h.log(c, "request rejected", "reason", reason)
}

// fail answers that the outcome of the request is unknown or that it failed.
func (h *Handler) fail(w http.ResponseWriter, c *call, status int, reason string, details ...any) {
	c.status = status
	platform.OwnAnswer(w.Header(), c.facts.ID, 0)
	h.answer(w, status, reason)
	h.metrics.failed.Inc()
	h.log(c, "request failed", append([]any{"reason", reason}, details...)...)
}

func (h *Handler) answer(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the caller has left.
	_, _ = io.WriteString(w, reason+"\n")
}

// log writes one line about a request with the inputs that all decisions share.
func (h *Handler) log(c *call, message string, details ...any) {
	if !h.admit() {
		return
	}
	fields := []any{
		"request", c.facts.ID, "status", c.status, "config", c.version,
		"took", time.Since(c.received).Round(time.Millisecond / 10),
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "workspace", c.workspaceName())
	}
	if c.upstream != "" {
		fields = append(fields, "upstream", c.upstream, "attempts", c.attempts)
	}
	h.logger.Info(message, append(fields, details...)...)
}

func (h *Handler) connections(service *catalog.Service) *connections {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.services[service.Name]
	if c == nil {
		c = newConnections(service.MaxConnections, h.routers())
		h.services[service.Name] = c
	}
	return c
}

// headerBytes is the size of a request's headers on the wire.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// target is the request target as the caller sent it.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
