package fake

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

const objectsPath = "/v1/objects/"

// ServeHTTP serves /v1/objects/{name} and /control. Names may contain slashes.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isObject := strings.CutPrefix(r.URL.Path, objectsPath)
	switch {
	case r.URL.Path == "/control":
		o.serveControl(w, r)
	case !isObject || name == "":
		http.NotFound(w, r)
	case r.Method == http.MethodPut:
		o.servePut(w, r, name)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		o.serveWatch(w, r, name)
	case r.Method == http.MethodGet:
		o.serveGet(w, name)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (o *Objects) serveGet(w http.ResponseWriter, name string) {
	latency := o.latency()
	time.Sleep(latency / 2)
	found, err := o.read(name)
	time.Sleep(latency - latency/2)
	writeObject(w, found, err)
}

func (o *Objects) serveWatch(w http.ResponseWriter, r *http.Request, name string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	found, ok, err := o.longPoll(r.Context(), name, after)
	if err == nil && !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeObject(w, found, err)
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request, name string) {
	ifVersion, ok := expectedVersion(r.Header)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is missing or invalid", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeObjectError(w, objectapi.ErrTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "body is incomplete", http.StatusBadRequest)
		return
	}
	latency := o.latency()
	time.Sleep(latency / 2)
	written, err := o.write(name, value, ifVersion)
	time.Sleep(latency - latency/2)
	if errors.Is(err, objectapi.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	written.Value = nil
	writeObject(w, written, err)
}

// expectedVersion returns the version that If-Match requires, or zero for
// If-None-Match. It returns false if neither is valid.
func expectedVersion(header http.Header) (int64, bool) {
	if header.Get("If-None-Match") == "*" {
		return 0, header.Get("If-Match") == ""
	}
	version, err := strconv.ParseInt(strings.Trim(header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil && version > 0
}

func writeObject(w http.ResponseWriter, object objectapi.Object, err error) {
	if err != nil {
		writeObjectError(w, err)
		return
	}
	w.Header().Set("ETag", objectapi.FormatVersion(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value)
}

func writeObjectError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectapi.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, objectapi.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, objectapi.ErrRateLimited):
		status = http.StatusTooManyRequests
		wait := objectapi.RetryAfter(err, time.Second)
		seconds := int(math.Ceil(wait.Seconds())) // Retry-After is in whole seconds
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	http.Error(w, err.Error(), status)
}
