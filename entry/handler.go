// Package entry serves the HTTP API for callers. It authenticates each request,
// checks it against the plan of its workspace, waits until the scheduler grants
// an upstream, runs the request there and returns the answer.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/ticket"
	"github.com/lacewingshift/lacewingshift/upstream"
)

// Headers of the API for callers.
const (
	headerRequestID      = "Lacewing-Request-Id"
	headerDeadline       = "Lacewing-Deadline-Ms"
	headerCostHint       = "Lacewing-Cost-Hint" // expected number of generated tokens
	headerResume         = "Lacewing-Resume"    // resume token
	headerWaited         = "Lacewing-Waited-Ms" // time until the grant
	headerEntry          = "Lacewing-Entry"     // host id of the router that answers
	headerLastEvent      = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
	// headerStored marks an answer that was stored by an earlier call with the
	// same idempotency key. headerTruncated marks a stored answer whose body was
	// too large to keep.
	headerStored    = "Lacewing-Stored"
	headerTruncated = "Lacewing-Truncated"
)

// Decision is a decision of the scheduler about a ticket.
type Decision struct {
	// Granted means that the request may run on Upstream.
	Granted  bool
	Upstream objectapi.Host
	// Refused means that the ticket was rejected for Reason and did not run.
	Refused    bool
	Reason     ticket.RefusalReason
	RetryAfter time.Duration
	// Stop preempts the run: it ends at a token boundary, and the rest of the
	// request is submitted again.
	Stop bool
}

// Scheduler assigns tickets to upstreams. Implementations are safe for
// concurrent use and never block for long.
type Scheduler interface {
	// Submit queues a ticket. Decisions arrive on the returned channel until
	// Finish or Cancel is called for the ticket's id.
	Submit(t ticket.Ticket) <-chan Decision
	// Resume registers a run that another router started. The caller may leave
	// the returned decisions unread.
	Resume(t ticket.Ticket, upstream string, used ticket.Usage) <-chan Decision
	// Progress reports the usage of a run so far.
	Progress(id string, used ticket.Usage, s dispatch.Sample)
	// Finish reports the end of a run and its usage.
	Finish(id string, used ticket.Usage, o dispatch.Outcome, s dispatch.Sample)
	// Cancel removes a ticket that waits for a grant.
	Cancel(id string)
}

// Directory looks up the configuration and the hosts. Implementations are safe
// for concurrent use.
type Directory interface {
	// CheckConfig returns nil if the router's configuration is known and confirmed,
	// so that it may accept new requests, and otherwise the error for the caller.
	CheckConfig() *Error
	// Lookup returns the workspace of a caller key and its plan.
	Lookup(key string) (config.Workspace, config.Plan, bool)
	// ServiceKind returns the kind of the named service. It reports false if the
	// service is unknown.
	ServiceKind(name string) (objectapi.ServiceKind, bool)
	// Entries lists the routers that callers can use, those of region first.
	Entries(region string) []Address
}

// Address is the address of a router for callers.
type Address struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	Host    string `json:"host"`
}

// Records keeps a record of each call with an idempotency key, so that the call
// runs at most once. *intent.Store implements it.
type Records interface {
	Begin(ctx context.Context, key intent.Key, digest []byte) (intent.Attempt, error)
}

// Options are the dependencies of a Handler.
type Options struct {
	Host      string
	Region    string
	Directory Directory
	Scheduler Scheduler
	Records   Records
	Client    *upstream.Client
	Signer    *reply.Signer
	Events    *event.Log
	// ReleaseAt tells host, which started the run of a request, that the caller
	// continues the request at this router, so that host does not cancel the run.
	// The key is the fleet-wide key of the request.
	ReleaseAt func(ctx context.Context, host, key string) error
}

const (
	// maxBodyBytes limits a request body if the plan sets no lower limit.
	maxBodyBytes = 1 << 20
	// maxBodyMemory limits the total size, in bytes, of the request bodies that a
	// router holds. A router may use 256 MB in all.
	maxBodyMemory = 64 << 20
	// EntriesLifetime is how long callers may cache the response of /v1/entries.
	EntriesLifetime = 10 * time.Second
)

// ErrShutdown is returned by Drain if its context ends while requests are in
// progress.
var ErrShutdown = eris.New("requests are still in progress")

// Handler serves the HTTP API for callers.
type Handler struct {
	Options
	mux            *http.ServeMux
	requestTracker *requestTracker
	bodyMemory     *semaphore.Weighted
	retries        *retryBudget
	draining       atomic.Bool
	eventCounts    eventCounts
}

// NewHandler returns a Handler with the given dependencies.
func NewHandler(o Options) *Handler {
	h := &Handler{
		Options:        o,
		mux:            http.NewServeMux(),
		requestTracker: newRequestTracker(),
		bodyMemory:     semaphore.NewWeighted(maxBodyMemory),
		retries:        newRetryBudget(),
	}
	h.mux.HandleFunc("GET /v1/entries", h.entries)
	h.mux.HandleFunc("POST /v1/completions", h.completions)
	h.mux.HandleFunc("GET /v1/requests/{id}/events", h.resume)
	h.mux.HandleFunc(servicesPath+"{service}/{path...}", h.plain)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, "", notRunError(http.StatusNotFound, CodeBadRequest, "there is no such path"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// On a reused connection, net/http keeps the write deadline that the previous
	// request set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	w.Header().Set(headerEntry, h.Host)
	if r.RequestURI == "*" {
		// http.ServeMux would reject this target without an error code in the body.
		writeError(w, "", notRunError(http.StatusBadRequest, CodeBadRequest, "the target * names no path"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Drain refuses new requests and waits for those in progress. It returns
// ErrShutdown if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.draining.Store(true)
	if !h.requestTracker.waitIdle(ctx) {
		return ErrShutdown
	}
	return nil
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int { return h.requestTracker.count() }

// Release hands a request over to another router, at which its caller continues:
// this router stops reading the run but does not cancel it at the engine. It
// reports whether this router has a request with the fleet-wide key.
func (h *Handler) Release(key string) bool { return h.requestTracker.release(key) }

// Counts returns how often each event, such as "accepted" or "completed",
// occurred.
func (h *Handler) Counts() map[string]int64 { return h.eventCounts.snapshot() }

func (h *Handler) recordEvent(name string, req request, upstream, detail string) {
	h.eventCounts.add(name)
	h.Events.Add(event.Event{
		Part: "entry", Name: name, Request: req.id, Workspace: req.workspace.Name,
		Upstream: upstream, Detail: detail,
	})
}
