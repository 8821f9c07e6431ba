package site

import (
	"encoding/json"
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

// Data centre and region of routers that state none.
const (
	defaultZone   = "a"
	defaultRegion = "r"
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
	// Zone is the router's data centre and Zones holds the region of each data centre.
	// By default there is one of each.
	Zone  string
	Zones map[string]string
	// EvacuateMs is the bound of evacuations; 0 for a deployment without them.
	EvacuateMs int
}

// location returns the data centre of the router and the region of each.
func (r Router) location() (zone string, zones map[string]string) {
	if r.Zone == "" {
		return defaultZone, map[string]string{defaultZone: defaultRegion}
	}
	return r.Zone, r.Zones
}

// Settings returns the settings file.
func (r Router) Settings() string {
	zone, zones := r.location()
	regions, _ := json.Marshal(zones) // strings can be encoded
	evacuate := ""
	if r.EvacuateMs > 0 {
		evacuate = fmt.Sprintf(", evacuate_ms: %d", r.EvacuateMs)
	}
	return fmt.Sprintf(`node: %q
ip: %q
zone: %s
region: %s
zones: %s
listen: {front: %q, ready: %q, control: %q, directory: %q}
port_range: [7400, 7415]
seeds: [%q]
bounds: {grace_s: %g, ttl_max_s: 5, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58, quota_window_s: 4%s}
provider: {address: %q}
`, r.Name, r.IP, zone, zones[zone], regions, r.CallerAddress(), r.IP+":"+readyPort, r.IP+":"+controlPort, r.LookupAddress(),
		r.Seed+":"+controlPort, r.Grace.Seconds(), evacuate, r.Store)
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
