package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Hosts is a fake host list. Readers see each change only after a lag. It is an
// http.Handler and safe for concurrent use.
type Hosts struct {
	mux *http.ServeMux

	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []hostVersion
}

// hostVersion is the list from one change on.
type hostVersion struct {
	at    time.Time // time of the change, without the lag
	hosts []objectapi.Host
}

// NewHosts returns a host list that shows initial immediately and later changes
// after lag.
func NewHosts(initial []objectapi.Host, lag time.Duration) *Hosts {
	h := &Hosts{mux: http.NewServeMux(), lag: lag}
	h.versions = []hostVersion{{hosts: slices.Clone(initial)}}
	h.mux.HandleFunc("GET /v1/hosts", h.serveHosts)
	h.mux.HandleFunc("GET /control", h.serveStatus)
	h.mux.HandleFunc("POST /control", h.serveControl)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// Visible returns the list that readers see at now.
func (h *Hosts) Visible(now time.Time) []objectapi.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := now.Add(-h.lag)
	for len(h.versions) > 1 && !h.versions[1].at.After(at) {
		h.versions = h.versions[1:]
	}
	return slices.Clone(h.versions[0].hosts)
}

func (h *Hosts) serveHosts(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	down := h.down
	h.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "unavailable", "host list is down")
		return
	}
	list, err := json.Marshal(h.Visible(time.Now()))
	if err != nil {
		writeError(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(list))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(list)
}

// HostsChange is the body of POST /control of a host list.
type HostsChange struct {
	// Add adds hosts, replacing those with the same id.
	Add []objectapi.Host `json:"add"`
	// Remove and Leaving are ids of hosts to remove or to mark as leaving.
	Remove  []string `json:"remove"`
	Leaving []string `json:"leaving"`
	// LagMillis and Down change the lag and the availability of the list if set.
	LagMillis *float64 `json:"lag_ms"`
	Down      *bool    `json:"down"`
}

// Apply applies a change that becomes visible at now + lag.
func (h *Hosts) Apply(now time.Time, change HostsChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if change.LagMillis != nil {
		h.lag = millis(*change.LagMillis)
	}
	if change.Down != nil {
		h.down = *change.Down
	}
	hosts := applyChange(h.versions[len(h.versions)-1].hosts, change)
	h.versions = append(h.versions, hostVersion{at: now, hosts: hosts})
}

func applyChange(hosts []objectapi.Host, change HostsChange) []objectapi.Host {
	replaced := slices.Clone(change.Remove)
	for _, host := range change.Add {
		replaced = append(replaced, host.ID)
	}
	kept := []objectapi.Host{}
	for _, host := range hosts {
		if !slices.Contains(replaced, host.ID) {
			kept = append(kept, host)
		}
	}
	kept = append(kept, change.Add...)
	for i := range kept {
		if slices.Contains(change.Leaving, kept[i].ID) {
			kept[i].Leaving = true
		}
	}
	return kept
}

func (h *Hosts) serveControl(w http.ResponseWriter, r *http.Request) {
	var change HostsChange
	if err := readJSON(r, &change); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	h.Apply(time.Now(), change)
	h.serveStatus(w, r)
}

// serveStatus returns the latest list, ignoring the lag.
func (h *Hosts) serveStatus(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	latest := h.versions[len(h.versions)-1].hosts
	status := map[string]any{"hosts": latest, "lag_ms": inMillis(h.lag), "down": h.down}
	h.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}
