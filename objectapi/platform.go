// Package objectapi is the client of the platform's services: the object API, which
// stores persistent state with conditional writes, and the host list.
package objectapi

import (
	"context"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// Errors of the object API. ErrOutcomeUnknown means that a write may have taken
// effect although no valid response arrived; the caller has to read the object to
// find out.
var (
	ErrNotFound       = eris.New("object not found")
	ErrConflict       = eris.New("object has another version")
	ErrRateLimited    = eris.New("object API rate limit reached")
	ErrTooLarge       = eris.New("object value is larger than 1 MB")
	ErrUnavailable    = eris.New("object API is not available")
	ErrOutcomeUnknown = eris.New("outcome of the write is unknown")
)

// Object is a stored value with its version. Versions start at 1, and each write
// increases the version by one.
type Object struct {
	Name    string
	Version int64
	Value   []byte
}

// Objects is the object API. Implementations are safe for concurrent use.
type Objects interface {
	// Get reads an object. Errors: ErrNotFound, ErrRateLimited, ErrUnavailable.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes an object if its current version is ifVersion; zero means that it
	// must not exist. Errors: ErrConflict, ErrTooLarge, ErrRateLimited,
	// ErrUnavailable (not written), ErrOutcomeUnknown (may be written).
	Put(ctx context.Context, name string, value []byte, ifVersion int64) (Object, error)
	// Watch waits until the object's version is above after, or ctx ends.
	// Errors: ErrNotFound, ErrRateLimited, ErrUnavailable, ctx.Err().
	Watch(ctx context.Context, name string, after int64) (Object, error)
}

// HostKind is the kind of a host in the host list.
type HostKind string

// Kinds of hosts.
const (
	HostRouter   HostKind = "router"
	HostUpstream HostKind = "upstream"
)

// ServiceKind is the kind of service that an upstream runs.
type ServiceKind string

// Kinds of services.
const (
	ServiceEngine ServiceKind = "engine"
	ServicePlain  ServiceKind = "plain"
)

// Host is an entry of the host list. The list may be out of date.
type Host struct {
	ID         string   `json:"id"`
	Kind       HostKind `json:"kind"`
	Region     string   `json:"region"`
	DataCentre string   `json:"data_centre"`
	// Address is the IP:port of the HTTP server: of a router for callers, of an
	// upstream for routers.
	Address string `json:"address"`
	// PeerAddress is the IP:port at which a router accepts QUIC connections of other
	// routers.
	PeerAddress string `json:"peer_address,omitempty"`
	// AdminAddress is the IP:port of a router's administration server.
	AdminAddress string `json:"admin_address,omitempty"`
	// Service, ServiceKind and Slots describe an upstream.
	Service     string      `json:"service,omitempty"`
	ServiceKind ServiceKind `json:"service_kind,omitempty"`
	Slots       int         `json:"slots,omitempty"`
	// ChecksFencing is set for upstreams that refuse orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving is set while the host drains.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of live hosts.
type HostList interface {
	// Hosts returns the whole list. Error: ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
