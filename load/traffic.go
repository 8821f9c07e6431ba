package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
)

// sentBytesMetric is the router metric for bytes sent to other routers.
const sentBytesMetric = "lacewing_peer_sent_bytes_total"

// sentBytes returns the total bytes that each router has sent to other routers.
// It uses the UDP counts of the link relay if there is one, since only routers use
// UDP. Otherwise it reads the routers' metrics and omits routers that do not
// respond.
func sentBytes(ctx context.Context, s snapshot, d deployment.Description) map[string]float64 {
	sent := map[string]float64{}
	if d.Links != "" {
		for _, count := range s.links.Counts {
			sent[count.From] += float64(count.UDPBytes)
		}
		return sent
	}
	for _, router := range d.Routers {
		if bytes, ok := metric(ctx, router.Admin, sentBytesMetric); ok {
			sent[router.ID] = bytes
		}
	}
	return sent
}

// metric reads the value of a metric that has no labels.
func metric(ctx context.Context, address, name string) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			return value, err == nil
		}
	}
	return 0, false
}

// meanRatePerNode returns the mean send rate per router between two readings of
// byte counters, in bytes per second. A counter that is new or decreased, because
// the router restarted, counts from zero. It returns nil without routers.
func meanRatePerNode(before, after map[string]float64, seconds float64) *float64 {
	total, nodes := 0.0, 0
	for id, bytes := range after {
		start, known := before[id]
		if !known || start > bytes {
			start = 0
		}
		total += bytes - start
		nodes++
	}
	if nodes == 0 || seconds <= 0 {
		return nil
	}
	mean := total / seconds / float64(nodes)
	return &mean
}
