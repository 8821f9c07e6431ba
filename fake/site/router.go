package site

import (
	"fmt"
	"net/http"
	"time"
)

// Ports of the routers.
const (
	callerPort  = "8783"
	readyPort   = "8780"
	controlPort = "8785"
	lookupPort  = "8789"
)

// readyTimeout bounds a readiness check, so that a stopped router does not delay
// the checks of the others.
const readyTimeout = 300 * time.Millisecond

// Router holds the settings of one router.
type Router struct {
	Name  string
	IP    string
	Seed  string // IP of a router that may exist
	Store string // address
	Grace time.Duration
}

// Settings returns the settings file.
func (r Router) Settings() string {
	return fmt.Sprintf(`node: %q
ip: %q
zone: a
region: r
zones: {a: r}
listen: {front: %q, ready: %q, control: %q, directory: %q}
port_range: [7400, 7415]
seeds: [%q]
bounds: {grace_s: %g, ttl_max_s: 5, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58, quota_window_s: 4}
provider: {address: %q}
`, r.Name, r.IP, r.CallerAddress(), r.IP+":"+readyPort, r.IP+":"+controlPort, r.LookupAddress(),
		r.Seed+":"+controlPort, r.Grace.Seconds(), r.Store)
}

// CallerAddress returns the address that serves requests.
func (r Router) CallerAddress() string { return r.IP + ":" + callerPort }

// LookupAddress returns the address that serves lookups of router addresses.
func (r Router) LookupAddress() string { return r.IP + ":" + lookupPort }

// Ready reports whether the router answers that it is ready.
func (r Router) Ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + r.IP + ":" + readyPort + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
