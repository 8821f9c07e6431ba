package entry

import (
	"encoding/json"
	"net/http"
)

// entriesResponse lists the routers that callers can use.
type entriesResponse struct {
	Entries    []Address `json:"entries"`
	LifetimeMS int64     `json:"lifetime_ms"`
}

// entries serves GET /v1/entries.
func (h *Handler) entries(w http.ResponseWriter, r *http.Request) {
	region := r.URL.Query().Get("region")
	if region == "" {
		region = h.Region
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(entriesResponse{
		Entries:    h.Directory.Entries(region),
		LifetimeMS: EntriesLifetime.Milliseconds(),
	})
}
