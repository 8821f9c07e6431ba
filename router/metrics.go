package router

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lacewingshift/lacewingshift/cell"
)

// writeMetrics serves GET /metrics in the Prometheus text format.
func (r *Router) writeMetrics(w http.ResponseWriter, req *http.Request) {
	set := metrics.NewSet()
	r.peerMetrics(set)
	r.entryMetrics(set)
	if stats, ok := r.cells.stats(req.Context()); ok {
		cellMetrics(set, stats)
	}
	set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	writeRuntimeMetrics(w)
}

// setMetric sets a counter or gauge of the set. The values of its labels are inserted
// into name, which is a format string.
func setMetric(set *metrics.Set, value float64, name string, labels ...any) {
	set.GetOrCreateFloatCounter(fmt.Sprintf(name, labels...)).Set(value)
}

// peerMetrics adds the counters of the traffic between routers. Those of bytes and
// packets include packet headers and acknowledgements; those by part count only the
// bodies of one-way messages.
func (r *Router) peerMetrics(set *metrics.Set) {
	t := r.quic.Traffic()
	setMetric(set, float64(t.SentBytes), "lacewing_peer_sent_bytes_total")
	setMetric(set, float64(t.SentPackets), "lacewing_peer_sent_packets_total")
	setMetric(set, float64(t.ReceivedBytes), "lacewing_peer_received_bytes_total")
	setMetric(set, float64(t.ReceivedPackets), "lacewing_peer_received_packets_total")
	for part, bytes := range r.quic.SentByPart() {
		setMetric(set, float64(bytes), "lacewing_peer_sent_message_bytes_total{part=%q}", part)
	}
}

func (r *Router) entryMetrics(set *metrics.Set) {
	setMetric(set, float64(r.handler.InProgress()), "lacewing_entry_in_progress")
	current := r.lists.current.Load()
	setMetric(set, float64(current.version), "lacewing_config_version")
	setMetric(set, boolToFloat(r.lists.serving.Load()), "lacewing_config_serving")
	setMetric(set, float64(len(*r.members.live.Load())), "lacewing_member_live")
	setMetric(set, time.Since(r.started).Seconds(), "lacewing_uptime_seconds")
	for name, count := range r.handler.Counts() {
		setMetric(set, float64(count), "lacewing_entry_requests_total{result=%q}", name)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func cellMetrics(set *metrics.Set, stats cell.Stats) {
	for _, c := range stats.Cells {
		setMetric(set, float64(c.Epoch), "lacewing_cell_epoch{cell=%q}", c.Cell)
		setMetric(set, float64(c.Waiting), "lacewing_cell_waiting{cell=%q}", c.Cell)
		setMetric(set, float64(c.FreeSlots), "lacewing_cell_free_slots{cell=%q}", c.Cell)
		setMetric(set, c.Gap, "lacewing_cell_fairness_gap_milliunits{cell=%q}", c.Cell)
		for _, u := range c.Upstreams {
			setMetric(set, float64(u.Running), "lacewing_upstream_running{cell=%q,upstream=%q}", c.Cell, u.ID)
			setMetric(set, float64(u.Limit), "lacewing_upstream_limit{cell=%q,upstream=%q}", c.Cell, u.ID)
			setMetric(set, boolToFloat(u.Slowed), "lacewing_upstream_slowed{cell=%q,upstream=%q}", c.Cell, u.ID)
		}
	}
}

func writeRuntimeMetrics(w io.Writer) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(w, "lacewing_heap_bytes %d\nlacewing_goroutines %d\n", memory.HeapAlloc, runtime.NumGoroutine())
}
