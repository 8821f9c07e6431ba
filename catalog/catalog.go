// Package catalog holds what the operator has configured and which upstreams
// exist, in the form that the request path uses. Values are immutable once
// built, so that they can be shared without locks.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Stream
)

// String returns the kind for logs.
func (k Kind) String() string {
	return [...]string{"unknown", "idempotent", "non-idempotent", "stream"}[k]
}

// Backend is a service that a route sends to, with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route decides where requests with a host and a path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, within
	// which a request is on time.
	Target time.Duration
	// GapTarget is the longest pause between the events of a stream that is on
	// time.
	GapTarget time.Duration
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
}

// Repeatable tells whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick chooses a service by weight; point is uniform in [0, 1).
func (r *Route) Pick(point float64) string {
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
	// MemoryTokens is shared by running requests and cached prompt parts.
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
}

// Workspace is a customer that shares the capacity.
type Workspace struct {
	Name     string
	Priority int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// TokensPerSecond is what all engines produce together, counting a token that
	// is read once and a token that is generated twice.
	TokensPerSecond float64
}

// Table is one version of the configuration.
type Table struct {
	Version    int64
	Limits     Limits
	services   map[string]*Service
	byHost     map[string][]*Route // longest prefix first
	workspaces map[string]*Workspace
	hasKeys    bool
}

// NewTable returns the configuration with the given routes and services.
// Workspaces are keyed by their keys; with none, no request needs a key.
func NewTable(version int64, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits, needsKeys bool) *Table {
	t := &Table{
		Version: version, Limits: limits, workspaces: keys, hasKeys: needsKeys,
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
	return t
}

// Match returns the route of host with the longest prefix of path, nil if there
// is none.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in no order.
func (t *Table) Services() []*Service { return slices.Collect(maps.Values(t.services)) }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	count := 0
	for _, list := range t.byHost {
		count += len(list)
	}
	return count
}

// NeedsKey tells whether requests of r have to carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.hasKeys && !r.Public }

// Workspace returns the holder of a key, nil if nobody holds it.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Upstream is one instance of a service.
type Upstream struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"`
	// Leaving upstreams get no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Born is when the instance started, in Unix milliseconds. Together with ID it
	// identifies the instance: an id may start again and has then forgotten all.
	Born int64 `cbor:"7,keyasint,omitempty"`
	// Revision is the store's revision of the entry.
	Revision int64 `cbor:"8,keyasint,omitempty"`
}

// SameInstance tells whether a and b are the same run of the same upstream.
func (u Upstream) SameInstance(other Upstream) bool {
	return u.ID == other.ID && u.Born == other.Born && u.Address == other.Address
}
