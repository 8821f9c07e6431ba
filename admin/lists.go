package admin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/lacewingshift/lacewingshift/config"
)

// etag returns the entity tag of a version of the lists.
func etag(version int64) string { return fmt.Sprintf("%q", strconv.FormatInt(version, 10)) }

func parseETag(value string) (int64, bool) {
	value, found := strings.CutPrefix(value, `"`)
	value, closed := strings.CutSuffix(value, `"`)
	version, err := strconv.ParseInt(value, 10, 64)
	return version, found && closed && err == nil && version >= 0
}

func (h *handler) getConfig(w http.ResponseWriter, r *http.Request, _ string) {
	lists, version, err := h.Store.Get(r.Context())
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	w.Header().Set("ETag", etag(version))
	if r.Header.Get("If-None-Match") == etag(version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeLists(w, lists)
}

// writeLists writes the lists without the log of changes, so that the response can be
// edited and applied. The log has its own resource, the history.
func writeLists(w http.ResponseWriter, lists config.Lists) {
	lists.Changes = nil
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(lists.Indented()) // fails if the client has disconnected
}

// readLists reads and validates the lists in the body of a request. If it reports
// false, it has written the error.
func readLists(w http.ResponseWriter, r *http.Request) (config.Lists, bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeErrorFor(w, err)
		return config.Lists{}, false
	}
	lists, err := config.Parse(data)
	if err != nil {
		writeErrorFor(w, err)
		return config.Lists{}, false
	}
	return lists, true
}

// putConfig replaces the lists. The header If-Match contains the version on which the
// change is based, which is "0" if there are no lists yet.
func (h *handler) putConfig(w http.ResponseWriter, r *http.Request, operator string) {
	base, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		message := "If-Match must give the version that the change is based on, as in the ETag"
		writeError(w, http.StatusPreconditionRequired, apiError{Code: CodeIfMatchRequired, Message: message})
		return
	}
	lists, ok := readLists(w, r)
	if !ok {
		return
	}
	version, err := h.Store.Apply(r.Context(), lists, base, operator)
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	w.Header().Set("ETag", etag(version))
	writeJSON(w, http.StatusOK, map[string]int64{"version": version})
}

// checkConfig validates the lists in the body without storing them.
func (h *handler) checkConfig(w http.ResponseWriter, r *http.Request) {
	lists, ok := readLists(w, r)
	if !ok {
		return
	}
	counts := map[string]int{"workspaces": len(lists.Workspaces), "plans": len(lists.Plans)}
	writeJSON(w, http.StatusOK, counts)
}

func (h *handler) history(w http.ResponseWriter, r *http.Request, _ string) {
	changes, err := h.Store.History(r.Context())
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	if changes == nil {
		changes = []config.Change{}
	}
	writeJSON(w, http.StatusOK, map[string][]config.Change{"changes": changes})
}

func (h *handler) configVersion(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		writeBadRequest(w, "a version is a whole number")
		return
	}
	lists, err := h.Store.Version(r.Context(), version)
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	writeLists(w, lists)
}

func (h *handler) configStatus(w http.ResponseWriter, r *http.Request, _ string) {
	status, err := h.Status.ConfigStatus(r.Context())
	if err != nil {
		writeErrorFor(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
