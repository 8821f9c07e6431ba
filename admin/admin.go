// Package admin is the administration HTTP API of a router: it reads and changes
// the lists, and shows status and timeline.
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

// Bounds of a request.
const (
	// maxBodyBytes leaves room for the indentation of lists, which are stored
	// without it.
	maxBodyBytes = 4 * objectapi.MaxValueBytes
	// requestTimeout covers a change whose outcome has to be read back.
	requestTimeout = 15 * time.Second
	bodyTimeout    = 10 * time.Second
)

// Store keeps the lists. *config.Store implements it.
type Store interface {
	Get(ctx context.Context) (config.Lists, int64, error)
	Apply(ctx context.Context, lists config.Lists, ifVersion int64, author string) (int64, error)
	History(ctx context.Context) ([]config.Change, error)
	Version(ctx context.Context, version int64) (config.Lists, error)
}

// VersionStatus tells on how many live routers a version is in force.
type VersionStatus struct {
	Version int64    `json:"version"`
	Routers int      `json:"routers"`
	Hosts   []string `json:"hosts,omitempty"`
}

// ConfigStatus tells which versions are in force in the fleet.
type ConfigStatus struct {
	// Highest is the highest version that is in force anywhere.
	Highest  int64           `json:"highest"`
	Live     int             `json:"live"`
	Versions []VersionStatus `json:"versions"`
	// Lagging are the hosts below Highest.
	Lagging []string `json:"lagging"`
}

// Status reports on the router and on the fleet as the router sees it.
type Status interface {
	ConfigStatus(ctx context.Context) (ConfigStatus, error)
	// Status returns a value that is encoded as JSON.
	Status(ctx context.Context) (any, error)
}

// Timeline selects events. *event.Log implements it.
type Timeline interface {
	Select(f event.Filter) []event.Event
}

// Operator may change the lists and drain routers.
type Operator struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the operator's key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
}

// Options are the parts that the API shows.
type Options struct {
	Store     Store
	Status    Status
	Timeline  Timeline
	Operators []Operator
	// Drain starts a graceful shutdown of this router and returns at once.
	Drain func()
}

type handler struct{ Options }

// New returns the handler of the API. All requests need an operator key, except
// that a check of lists needs none.
func New(o Options) http.Handler {
	h := &handler{o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", h.operator(h.getConfig))
	mux.HandleFunc("PUT /v1/config", h.operator(h.putConfig))
	mux.HandleFunc("POST /v1/config/check", h.checkConfig)
	mux.HandleFunc("GET /v1/config/history", h.operator(h.history))
	mux.HandleFunc("GET /v1/config/history/{version}", h.operator(h.oldConfig))
	mux.HandleFunc("GET /v1/config/status", h.operator(h.configStatus))
	mux.HandleFunc("GET /v1/status", h.operator(h.status))
	mux.HandleFunc("GET /v1/timeline", h.operator(h.timeline))
	mux.HandleFunc("POST /v1/drain", h.operator(h.drain))
	mux.HandleFunc("/", notFound)
	return limit(mux)
}

// limit bounds the size and the time of each request.
func limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Some writers, such as those of tests, know no deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

// operator admits requests that carry the key of an operator.
func (h *handler) operator(next operatorHandler) http.HandlerFunc {
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

// authenticate finds the operator of a request. Every stored hash is compared, so
// that the time does not depend on the key.
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
	_, _ = w.Write(append(data, '\n')) // the client may be gone
}

func notFound(w http.ResponseWriter, r *http.Request) {
	message := "no such resource: " + r.Method + " " + r.URL.Path
	writeError(w, http.StatusNotFound, apiError{Code: CodeNotFound, Message: message})
}
