package router

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lacewingshift/lacewingshift/admin"
	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/peer"
)

// versionTimeout limits the call to another router for its configuration version.
const versionTimeout = time.Second

// adminHandler returns the handler of the admin listener: the administration API,
// metrics and health probes.
func (r *Router) adminHandler() http.Handler {
	operators := make([]admin.Operator, 0, len(r.settings.Operator))
	for _, o := range r.settings.Operator {
		operators = append(operators, admin.Operator{Name: o.Name, KeySHA256: o.KeySHA256})
	}
	store := config.NewStore(r.objects, nil)
	store.OnApplied(func(read config.ObjectRead) { r.lists.loop.send(r.ctx, read) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.writeMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.ready)
	mux.Handle("/", admin.New(admin.Options{
		Store: store, Status: r, Timeline: r.events, Operators: operators, Drain: r.Drain,
	}))
	return mux
}

// ready serves GET /readyz. It responds with 200 if this router accepts new
// requests.
func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if e := r.handler.CheckReady(); e != nil {
		http.Error(w, e.Message, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ConfigStatus implements admin.Status. It asks every live router for its
// configuration version, because the membership protocol delivers up-to-date
// versions only of neighbours.
func (r *Router) ConfigStatus(ctx context.Context) (admin.ConfigStatus, error) {
	live := *r.members.live.Load()
	versions := make([]int64, len(live))
	var wg sync.WaitGroup
	for i, m := range live {
		wg.Go(func() { versions[i] = r.versionOf(ctx, m) })
	}
	wg.Wait()
	status := admin.ConfigStatus{Live: len(live), Highest: slices.Max(append(versions, 0)), Lagging: []string{}}
	hosts := map[int64][]string{}
	for i, m := range live {
		hosts[versions[i]] = append(hosts[versions[i]], m.Host)
		if versions[i] < status.Highest {
			status.Lagging = append(status.Lagging, m.Host)
		}
	}
	for version, names := range hosts {
		status.Versions = append(status.Versions, admin.VersionStatus{Version: version, Routers: len(names), Hosts: names})
	}
	slices.SortFunc(status.Versions, func(a, b admin.VersionStatus) int { return int(b.Version - a.Version) })
	return status, nil
}

// versionOf returns the configuration version of a router, or zero if it does not
// answer.
func (r *Router) versionOf(ctx context.Context, m member.Member) int64 {
	if m.Host == r.settings.Host {
		return r.lists.current.Load().version
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	body, err := r.quic.Call(ctx, m.Host, peer.PartConfig, []byte(versionRequest))
	if err != nil {
		return 0
	}
	var version int64
	if cbor.Unmarshal(body, &version) != nil {
		return 0
	}
	return version
}

// status is the response of GET /v1/status.
type status struct {
	Host          string          `json:"host"`
	Region        string          `json:"region"`
	Started       time.Time       `json:"started"`
	Ready         bool            `json:"ready"`
	ConfigVersion int64           `json:"config_version"`
	InProgress    int             `json:"in_progress"`
	Members       []member.Member `json:"members"`
	Cells         cell.Stats      `json:"cells"`
}

// Status implements admin.Status.
func (r *Router) Status(ctx context.Context) (any, error) {
	cells, _ := r.cells.stats(ctx)
	return status{
		Host:          r.settings.Host,
		Region:        r.settings.Region,
		Started:       r.started,
		Ready:         r.handler.CheckReady() == nil,
		ConfigVersion: r.lists.current.Load().version,
		InProgress:    r.handler.InProgress(),
		Members:       *r.members.all.Load(),
		Cells:         cells,
	}, nil
}
