// Package catalog holds the operator's configuration and the upstreams in the form
// that request handling uses. Values are immutable once built, so that they can be
// shared without locks.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind classifies a route by whether its requests may run more than once.
type Kind uint8

// Kinds of routes.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Stream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unknown", "idempotent", "non-idempotent", "stream"}[k]
}

// Backend is a service that a route sends to, with its weight.
type Backend struct {
	Service string
	Weight  float64
}

// Route describes where requests with a given host and path prefix go, and how.
type Route struct {
	Name     string
	Host     string
	Prefix   string // of the path, as CanonicalPath returns it
	Kind     Kind
	Backends []Backend
	// Timeout bounds the time that a request may take.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream,
	// within which a request counts as on time.
	TargetLatency time.Duration
	// TargetGap is the longest gap between events with which a stream counts as on
	// time.
	TargetGap time.Duration
	// MaxAttempts bounds how many upstreams one request may be sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another upstream after the last event that
	// was delivered.
	Resumable bool
	// Regions are those in which requests may be served; nil permits all, an empty list
	// none.
	Regions []string
}

// Retryable reports whether a request of this route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService chooses a service by weight; point is uniform in [0, 1).
func (r *Route) PickService(point float64) string {
	var total float64
	for _, b := range r.Backends {
		total += b.Weight
	}
	point *= total
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the size of the KV cache, which running requests and cached
	// prompt parts share.
	MemoryTokens int64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is how many connections an upstream accepts from all routers
	// together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Cold is nil for a service whose upstreams need no time to warm up.
	Cold *ColdLimits
}

// Workspace is a customer with a share of the capacity.
type Workspace struct {
	Name     string
	Priority int
	// Regions are those in which its requests may be served; nil permits all, an empty
	// list none.
	Regions []string
}

// Limits holds the limits of a configuration.
type Limits struct {
	// HeaderBytes and BodyBytes bound the headers and the body of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which a head has to arrive from its first byte on, and
	// IdleTimeout the time for which a connection may have no request.
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is the capacity of all engines together; a token that is read
	// counts once, one that is generated twice.
	TokensPerSecond float64
}

// Table is one version of the configuration.
type Table struct {
	Version      int64
	Limits       Limits
	services     map[string]*Service
	byHost       map[string][]*Route   // longest prefix first
	workspaces   map[string]*Workspace // by API key
	keysRequired bool                  // by routes that are not public
	restricted   bool                  // a route or a workspace names regions
}

// NewTable returns the configuration with the given routes and services. Workspaces
// are indexed by API key. Unless requireKeys is set, no request needs a key.
func NewTable(version int64, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits, requireKeys bool) *Table {
	t := &Table{
		Version: version, Limits: limits, workspaces: keys, keysRequired: requireKeys,
		services: map[string]*Service{}, byHost: map[string][]*Route{},
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.restricted = t.restrictsRegions()
	return t
}

// Match returns the route of host with the longest prefix of path, or nil if there
// is none. The path is percent-encoded, as the caller sent it. The case and the port of
// host are ignored.
func (t *Table) Match(host, path string) *Route {
	path = CanonicalPath(path)
	for _, r := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in unspecified order.
func (t *Table) Services() []*Service { return slices.Collect(maps.Values(t.services)) }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, list := range t.byHost {
		count += len(list)
	}
	return count
}

// NeedsKey reports whether requests of r must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.keysRequired && !r.Public }

// Workspace returns the workspace that an API key belongs to, or nil if the key is
// unknown.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Upstream is one instance of a service.
type Upstream struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	// Slots is the number of requests that the instance runs at once.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Draining upstreams get no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// StartedMs is when the instance started, in Unix milliseconds. Together with
	// ID it identifies the instance: an instance that restarts under the same id
	// has lost its caches and its requests.
	StartedMs int64 `cbor:"7,keyasint,omitempty"`
	ColdReport
	// WrittenEra is the era of the store in which the entry is known to have been
	// written, 0 if that is not known or does not matter.
	WrittenEra int64 `cbor:"11,keyasint,omitempty"`
}

// SameInstance reports whether u and other are the same run of the same upstream.
func (u Upstream) SameInstance(other Upstream) bool {
	return u.ID == other.ID && u.StartedMs == other.StartedMs && u.Address == other.Address
}
