// Package fleet keeps what routers tell each other: who takes part, which
// versions of the configuration and of the upstreams they hold, and the loads and
// uses that decisions depend on. The Table is a state machine without I/O.
package fleet

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

// ErrMessage reports a message that cannot be decoded.
var ErrMessage = eris.New("message of a router cannot be read")

// State of a router.
type State uint8

// States of a router. Starting routers know no configuration yet.
const (
	Starting State = iota + 1
	Ready
	Leaving
)

// String returns the state for logs.
func (s State) String() string {
	return [...]string{"unknown", "starting", "ready", "leaving"}[min(s, Leaving)]
}

// Record describes a router. Host is its peer address, which other routers reach
// it by.
type Record struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation is higher after each start of the router.
	Incarnation   uint64 `cbor:"2,keyasint"`
	State         State  `cbor:"3,keyasint"`
	CallerAddress string `cbor:"4,keyasint,omitempty"`
	DataCentre    string `cbor:"5,keyasint,omitempty"`
	Region        string `cbor:"6,keyasint,omitempty"`
}

// Report is what a router says of itself several times a second.
type Report struct {
	Record
	Sequence         uint64 `cbor:"7,keyasint"`
	ConfigVersion    int64  `cbor:"8,keyasint,omitempty"`
	UpstreamsVersion int64  `cbor:"9,keyasint,omitempty"`
	// StoreAgeMs is how long ago the store last confirmed both versions, to this
	// router or to one that it hears.
	StoreAgeMs int64 `cbor:"10,keyasint"`
	// Loads are by upstream over all services.
	Loads   []placement.Load            `cbor:"11,keyasint,omitempty"`
	Uses    map[string]fairshare.Tokens `cbor:"12,keyasint,omitempty"`
	Repeats map[string]budget.Counts    `cbor:"13,keyasint,omitempty"`
	// Known are routers that the sender knows of, sent now and then so that
	// newcomers learn of all.
	Known []Record `cbor:"14,keyasint,omitempty"`
}

// StoreAge returns StoreAgeMs as a duration.
func (r *Report) StoreAge() time.Duration { return time.Duration(r.StoreAgeMs) * time.Millisecond }
