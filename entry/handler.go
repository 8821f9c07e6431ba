// Package entry is the front of the request path: it listens to callers,
// authenticates them, checks their plans, and carries each request through
// ticket, dispatch, upstream and reply.
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

// Headers of the caller protocol.
const (
	headerRequestID = "Lacewing-Request-Id"
	headerDeadline  = "Lacewing-Deadline-Ms"
	headerCostHint  = "Lacewing-Cost-Hint"
	headerResume    = "Lacewing-Resume"
	headerWaited    = "Lacewing-Waited-Ms"
	headerEntry     = "Lacewing-Entry"
	headerLastEvent = "Last-Event-ID"
	headerKey       = "Idempotency-Key"
	// headerStored marks the stored outcome of an earlier call with the key, and
	// headerTruncated one whose body was too large to be stored.
	headerStored    = "Lacewing-Stored"
	headerTruncated = "Lacewing-Truncated"
)

// Decision is what the scheduler tells about a ticket.
type Decision struct {
	// Granted admits the ticket to Upstream.
	Granted  bool
	Upstream objectapi.Host
	// Refused ends the ticket, which has not run.
	Refused    bool
	Reason     ticket.RefusalReason
	RetryAfter time.Duration
	// Stop asks to end the run at a token boundary and to submit the rest again.
	Stop bool
}

// Scheduler admits tickets to upstreams. Implementations are safe for
// concurrent use and never block for long.
type Scheduler interface {
	// Submit queues a ticket. Decisions arrive on the channel until Finish or
	// Cancel is called for the id.
	Submit(t ticket.Ticket) <-chan Decision
	// Resume registers a run that another router had started. Nobody has to read
	// the decisions.
	Resume(t ticket.Ticket, upstream string, used ticket.Usage) <-chan Decision
	Progress(id string, used ticket.Usage, s dispatch.Sample)
	Finish(id string, used ticket.Usage, o dispatch.Outcome, s dispatch.Sample)
	Cancel(id string)
}

// Directory knows the configuration and the hosts. Implementations are safe for
// concurrent use.
type Directory interface {
	// Ready returns why the router may not take new work, nil when it may.
	Ready() *Error
	Lookup(key string) (config.Workspace, config.Plan, bool)
	// ServiceKind tells what kind of service name is, false when unknown.
	ServiceKind(name string) (objectapi.ServiceKind, bool)
	// Entries lists the routers that callers may use, nearest to region first.
	Entries(region string) []Address
}

// Address of a router for callers.
type Address struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	Host    string `json:"host"`
}

// Records guards calls that must not run twice. It is implemented by
// *intent.Store.
type Records interface {
	Begin(ctx context.Context, key intent.Key, digest []byte) (intent.Attempt, error)
}

// Options are the parts that the handler connects.
type Options struct {
	Host      string
	Region    string
	Directory Directory
	Scheduler Scheduler
	Records   Records
	Client    *upstream.Client
	Sealer    *reply.Sealer
	Events    *event.Log
	// ReleaseAt tells the router that started a run that the caller continues
	// elsewhere, so that it does not cancel the run. The request goes by its name
	// inside the fleet.
	ReleaseAt func(ctx context.Context, host, key string) error
}

const (
	// maxBody bounds a request body where the plan sets no lower bound, in bytes.
	maxBody = 1 << 20
	// bodyMemory bounds the bodies that a router holds, in bytes, well inside
	// the 256 MB that a router may use.
	bodyMemory = 64 << 20
	// EntriesLifetime is how long callers may keep the answer of /v1/entries.
	EntriesLifetime = 10 * time.Second
)

// ErrShutdown means that requests were still in progress when the context of
// Drain ended.
var ErrShutdown = eris.New("requests are still in progress")

// Handler serves callers.
type Handler struct {
	Options
	mux      *http.ServeMux
	flights  *flights
	memory   *semaphore.Weighted
	retries  *retryBudget
	draining atomic.Bool
	counts   counts
}

// NewHandler returns a handler over the given parts.
func NewHandler(o Options) *Handler {
	h := &Handler{
		Options: o,
		mux:     http.NewServeMux(),
		flights: newFlights(),
		memory:  semaphore.NewWeighted(bodyMemory),
		retries: newRetryBudget(),
	}
	h.mux.HandleFunc("GET /v1/entries", h.entries)
	h.mux.HandleFunc("POST /v1/completions", h.completions)
	h.mux.HandleFunc("GET /v1/requests/{id}/events", h.resume)
	h.mux.HandleFunc("/v1/services/{service}/{path...}", h.plain)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, "", refuse(http.StatusNotFound, CodeBadRequest, "there is no such path"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http keeps the write deadline of the last answer on a reused connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	w.Header().Set(headerEntry, h.Host)
	if r.RequestURI == "*" {
		// The mux would refuse this target without a code.
		writeError(w, "", refuse(http.StatusBadRequest, CodeBadRequest, "the target * names no path"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Drain refuses new work and waits for the requests in progress. Error:
// ErrShutdown when ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.draining.Store(true)
	if !h.flights.wait(ctx) {
		return ErrShutdown
	}
	return nil
}

// InProgress returns the number of requests that have not ended.
func (h *Handler) InProgress() int { return h.flights.count() }

// Release keeps the run of a request going although its caller left, because
// the caller continues at another router. It reports whether the request, by its
// name inside the fleet, is known here.
func (h *Handler) Release(key string) bool { return h.flights.release(key) }

// Counts returns how many requests were accepted, completed and so on, by the
// name of the event.
func (h *Handler) Counts() map[string]int64 { return h.counts.snapshot() }

func (h *Handler) record(name string, a admitted, upstream, detail string) {
	h.counts.add(name)
	h.Events.Add(event.Event{
		Part: "entry", Name: name, Request: a.id, Workspace: a.workspace.Name,
		Upstream: upstream, Detail: detail,
	})
}
