package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lacewingshift/lacewingshift/event"
)

func (h *handler) status(w http.ResponseWriter, r *http.Request, _ string) {
	status, err := h.Options.Status.Status(r.Context())
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// timeline writes the matching events as JSON lines, oldest first.
func (h *handler) timeline(w http.ResponseWriter, r *http.Request, _ string) {
	filter, problem := parseFilter(r)
	if problem != "" {
		writeBadRequest(w, problem)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, e := range h.Timeline.Select(filter) {
		if encoder.Encode(e) != nil {
			return // the client has disconnected
		}
	}
}

// parseFilter returns the event filter from the query, or a message that says which
// parameter is wrong.
func parseFilter(r *http.Request) (event.Filter, string) {
	query := r.URL.Query()
	filter := event.Filter{
		Request:   query.Get("request"),
		Workspace: query.Get("workspace"),
		Upstream:  query.Get("upstream"),
	}
	for name, into := range map[string]*time.Time{"since": &filter.Since, "until": &filter.Until} {
		value := query.Get(name)
		if value == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return filter, name + " must be a time like 2026-01-02T15:04:05Z"
		}
		*into = t
	}
	return filter, ""
}

func (h *handler) drain(w http.ResponseWriter, _ *http.Request, _ string) {
	h.Drain()
	writeJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
}
