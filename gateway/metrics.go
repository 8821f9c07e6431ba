package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
)

// requestMetrics holds the metrics of requests.
type requestMetrics struct {
	set            *metrics.Set
	refused        *metrics.Counter
	rejected       *metrics.Counter
	failed         *metrics.Counter
	brokenOff      *metrics.Counter
	callersLeft    *metrics.Counter
	attemptsFailed *metrics.Counter
	sendsWithheld  *metrics.Counter
	processorWait  *metrics.Histogram
	usageAtGrant   *metrics.Histogram
	reportAge      *metrics.Histogram
	answeredTotal  map[catalog.Kind]*metrics.Counter
	duration       map[catalog.Kind]*metrics.Histogram
	firstByte      map[catalog.Kind]*metrics.Histogram
}

func newRequestMetrics() *requestMetrics {
	set := metrics.NewSet()
	m := &requestMetrics{
		set:            set,
		refused:        set.NewCounter(`lacewing_requests_refused_total`),
		rejected:       set.NewCounter(`lacewing_requests_rejected_total`),
		failed:         set.NewCounter(`lacewing_requests_failed_total`),
		brokenOff:      set.NewCounter(`lacewing_requests_broken_off_total`),
		callersLeft:    set.NewCounter(`lacewing_callers_left_early_total`),
		attemptsFailed: set.NewCounter(`lacewing_attempts_failed_total`),
		sendsWithheld:  set.NewCounter(`lacewing_sends_withheld_total`),
		processorWait:  set.NewHistogram(`lacewing_processor_wait_seconds`),
		usageAtGrant:   set.NewHistogram(`lacewing_usage_at_grant`),
		reportAge:      set.NewHistogram(`lacewing_report_age_seconds`),
		answeredTotal:  map[catalog.Kind]*metrics.Counter{},
		duration:       map[catalog.Kind]*metrics.Histogram{},
		firstByte:      map[catalog.Kind]*metrics.Histogram{},
	}
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream} {
		label := `{kind="` + kind.String() + `"}`
		m.answeredTotal[kind] = set.NewCounter(`lacewing_requests_answered_total` + label)
		m.duration[kind] = set.NewHistogram(`lacewing_request_duration_seconds` + label)
		m.firstByte[kind] = set.NewHistogram(`lacewing_first_byte_seconds` + label)
	}
	return m
}

// refusedFor counts a refusal by its reason, without the text of an error in it.
func (m *requestMetrics) refusedFor(reason string) {
	m.refused.Inc()
	reason, _, _ = strings.Cut(reason, ":")
	m.set.GetOrCreateCounter(`lacewing_refusals_total{reason="` + reason + `"}`).Inc()
}

// assigned records what decided about a request: an upstream that must not get it, and
// the share of its workspace.
func (m *requestMetrics) assigned(a *assignment) {
	if a.HeldBack.Upstream != "" {
		m.set.GetOrCreateCounter(`lacewing_upstreams_passed_over_total{state="` + a.HeldBack.State.String() + `"}`).Inc()
	}
	if a.share.share <= 0 {
		return
	}
	m.reportAge.Update(a.share.reportAge.Seconds())
	if !a.Refused() {
		m.usageAtGrant.Update(a.share.usage)
	}
}

// leftAlone counts the time for which an upstream of a service is left alone.
func (m *requestMetrics) leftAlone(service string, d time.Duration) {
	m.set.GetOrCreateFloatCounter(`lacewing_upstream_left_alone_seconds_total{service="` + service + `"}`).Add(d.Seconds())
}

// crashed counts an upstream of a service that has crashed, as this router found.
func (m *requestMetrics) crashed(service string) {
	m.set.GetOrCreateCounter(`lacewing_upstream_crashes_total{service="` + service + `"}`).Inc()
}

// cutOff counts a connection of a caller that was refused or closed.
func (m *requestMetrics) cutOff(kind closeKind) {
	m.set.GetOrCreateCounter(`lacewing_callers_cut_off_total{kind="` + string(kind) + `"}`).Inc()
}

// responded counts a response of an upstream by its framing.
func (m *requestMetrics) responded(f framing) {
	m.set.GetOrCreateCounter(`lacewing_upstream_responses_total{framing="` + string(f) + `"}`).Inc()
}

// answered counts a request that an upstream has answered.
func (m *requestMetrics) answered(c *call) {
	m.answeredTotal[c.route.Kind].Inc()
	m.duration[c.route.Kind].Update(time.Since(c.received).Seconds())
	m.firstByte[c.route.Kind].Update(c.firstByte.Seconds())
}

// sentToRouter counts the bytes of a message to another router.
func (m *requestMetrics) sentToRouter(kind fleet.Kind, to fleet.Distance, bytes int) {
	m.set.GetOrCreateCounter(`lacewing_fleet_sent_bytes_total{kind="` + string(kind) + `",to="` + string(to) + `"}`).Add(bytes)
}

// gauge registers a value that is read when the metrics are served.
func (m *requestMetrics) gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// ServeHTTP implements http.Handler.
func (m *requestMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) { m.set.WritePrometheus(w) }
