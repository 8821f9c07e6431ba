package site

import (
	"fmt"
	"net/http"
	"time"
)

// Ports on which routers serve in the stand-in.
const (
	callerPort = "8783"
	readyPort  = "8780"
	peerPort   = "8785"
	lookupPort = "8789"
)

// readyPatience bounds a readiness check, so that a stopped router does not hold up
// the check of the others.
const readyPatience = 300 * time.Millisecond

// Router is what the settings file of a router says in the stand-in.
type Router struct {
	Name  string
	IP    string
	Seed  string // IP of a router that may exist
	Store string // address
	Grace time.Duration
}

// Settings is the settings file.
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
`, r.Name, r.IP, r.CallerAddress(), r.IP+":"+readyPort, r.IP+":"+peerPort, r.LookupAddress(),
		r.Seed+":"+peerPort, r.Grace.Seconds(), r.Store)
}

// CallerAddress serves requests.
func (r Router) CallerAddress() string { return r.IP + ":" + callerPort }

// LookupAddress serves callers that ask where to connect.
func (r Router) LookupAddress() string { return r.IP + ":" + lookupPort }

// Ready tells whether the router answers that it is ready.
func (r Router) Ready() bool {
	client := http.Client{Timeout: readyPatience}
	response, err := client.Get("http://" + r.IP + ":" + readyPort + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
