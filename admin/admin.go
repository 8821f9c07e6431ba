// Package admin serves the administration API of a router over HTTP. Operators use
// it to read and change the lists of workspaces and plans, to see the status and the
// timeline, and to drain the router.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Limits on requests.
const (
	// maxBodyBytes is larger than the size limit of the object API because requests
	// may contain indented lists, which are stored without indentation.
	maxBodyBytes = 4 * objectapi.MaxValueBytes
	// requestTimeout is long enough for a change whose outcome must be read back.
	requestTimeout = 15 * time.Second
	bodyTimeout    = 10 * time.Second
)

// Store reads and changes the lists. *config.Store implements it.
type Store interface {
	Get(ctx context.Context) (config.Lists, int64, error)
	Apply(ctx context.Context, lists config.Lists, ifVersion int64, author string) (int64, error)
	History(ctx context.Context) ([]config.Change, error)
	Version(ctx context.Context, version int64) (config.Lists, error)
}

// VersionStatus holds the live routers on which a version is in force.
type VersionStatus struct {
	Version int64    `json:"version"`
	Routers int      `json:"routers"`
	Hosts   []string `json:"hosts,omitempty"`
}

// ConfigStatus holds the versions that are in force on the live routers.
type ConfigStatus struct {
	// Highest is the highest version that is in force on any router.
	Highest  int64           `json:"highest"`
	Live     int             `json:"live"` // number of live routers
	Versions []VersionStatus `json:"versions"`
	// Lagging lists the hosts whose version is below Highest.
	Lagging []string `json:"lagging"`
}

// Status reports the status of the router, and of the fleet as the router sees
// it.
type Status interface {
	ConfigStatus(ctx context.Context) (ConfigStatus, error)
	// Status returns the status as a value to be encoded as JSON.
	Status(ctx context.Context) (any, error)
}

// Timeline returns recorded events. *event.Log implements it.
type Timeline interface {
	Select(f event.Filter) []event.Event
}

// Operator is a user of the API.
type Operator struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 hash of the operator's key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
}

// Options are the dependencies of the API.
type Options struct {
	Store     Store
	Status    Status
	Timeline  Timeline
	Operators []Operator
	// Drain starts a graceful shutdown of this router and returns at once.
	Drain func()
}

type handler struct{ Options }

// New returns the handler of the API. All requests need an operator key, except the
// check of lists.
func New(o Options) http.Handler {
	h := &handler{o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", h.requireOperator(h.getConfig))
	mux.HandleFunc("PUT /v1/config", h.requireOperator(h.putConfig))
	mux.HandleFunc("POST /v1/config/check", h.checkConfig)
	mux.HandleFunc("GET /v1/config/history", h.requireOperator(h.history))
	mux.HandleFunc("GET /v1/config/history/{version}", h.requireOperator(h.configVersion))
	mux.HandleFunc("GET /v1/config/status", h.requireOperator(h.configStatus))
	mux.HandleFunc("GET /v1/status", h.requireOperator(h.status))
	mux.HandleFunc("GET /v1/timeline", h.requireOperator(h.timeline))
	mux.HandleFunc("POST /v1/drain", h.requireOperator(h.drain))
	mux.HandleFunc("/", notFound)
	return limitRequests(mux)
}

// limitRequests limits the body size and the duration of each request.
func limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Some writers, such as httptest.ResponseRecorder, do not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorHandler handles a request of the named operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// requireOperator rejects requests without the key of an operator.
func (h *handler) requireOperator(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := h.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, apiError{Code: CodeUnauthorized, Message: "an operator key is needed"})
			return
		}
		next(w, r, name)
	}
}

// authenticate returns the name of the operator who sent the request. It compares
// every stored hash, so that the time it takes does not depend on the key.
func (h *handler) authenticate(r *http.Request) (string, bool) {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	wanted := hex.AppendEncode(nil, sum[:])
	name, found := "", false
	for _, operator := range h.Operators {
		if subtle.ConstantTimeCompare(wanted, []byte(strings.ToLower(operator.KeySHA256))) == 1 {
			name, found = operator.Name, true
		}
	}
	return name, found && bearer
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(w, http.StatusInternalServerError, apiError{Code: CodeInternal, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // fails if the client has disconnected
}

func notFound(w http.ResponseWriter, r *http.Request) {
	message := "no such resource: " + r.Method + " " + r.URL.Path
	writeError(w, http.StatusNotFound, apiError{Code: CodeNotFound, Message: message})
}
