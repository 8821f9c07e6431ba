// Package fleet implements the state that routers exchange: membership, the
// versions of the configuration and upstreams that each router holds, and the loads
// and token counts that decisions depend on. Table does no I/O.
package fleet

import (
	"time"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

// State is the state of a router.
type State uint8

// States of a router. A starting router has no configuration yet.
const (
	Starting State = iota + 1
	Ready
	Leaving
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"unknown", "starting", "ready", "leaving"}[min(s, Leaving)]
}

// Record describes a router. Host is the peer address at which other routers reach
// it.
type Record struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation increases with each start of the router.
	Incarnation uint64 `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	// CallerAddress is where the router serves callers.
	CallerAddress string `cbor:"4,keyasint,omitempty"`
	DataCentre    string `cbor:"5,keyasint,omitempty"`
	Region        string `cbor:"6,keyasint,omitempty"`
}

// Report is what a router sends about itself several times a second.
type Report struct {
	Record
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `cbor:"7,keyasint"`
	// ConfigVersion and UpstreamsVersion are the versions that the router holds, 0
	// for none.
	ConfigVersion    int64 `cbor:"8,keyasint,omitempty"`
	UpstreamsVersion int64 `cbor:"9,keyasint,omitempty"`
	// StoreAgeMs is how long ago the store last confirmed these versions, to this
	// router or to one whose reports it receives.
	StoreAgeMs int64 `cbor:"10,keyasint"`
	// Loads holds one entry per upstream, over all services.
	Loads []placement.Load `cbor:"11,keyasint,omitempty"`
	// WorkspaceTokens is keyed by workspace, Retries by service.
	WorkspaceTokens map[string]fairshare.Tokens `cbor:"12,keyasint,omitempty"`
	Retries         map[string]budget.Counts    `cbor:"13,keyasint,omitempty"`
	// Known lists the routers that the sender knows. It is sent occasionally, so
	// that new routers learn of all others.
	Known []Record `cbor:"14,keyasint,omitempty"`
	// Interest lists the upstreams whose loads the sender needs from its relay; nil
	// stands for what it has announced before, and for all before the first one.
	Interest *Interest `cbor:"15,keyasint,omitempty"`
	// Leaving lists the upstreams that say in their answers that they leave, while the
	// sender's list of upstreams does not. It is missing in most messages, see
	// repeatedLeaving.
	Leaving []placement.Instance `cbor:"16,keyasint,omitempty"`
	// Suspects is the evidence against parts of prompts that crash upstreams, as far as
	// the sender knows it. It is missing in most messages, see repeatedSuspects.
	Suspects []quarantine.Suspect `cbor:"17,keyasint,omitempty"`
	// StoreFailedMs is how long ago a call of this router to the store failed, if that
	// was after the store's last confirmation. Otherwise it is 0.
	StoreFailedMs int64 `cbor:"18,keyasint,omitempty"`
	// StoreAnswersMs is for how long the store has confirmed its versions without an
	// interruption, to this router or to one whose reports it receives; 0 if it does
	// not.
	StoreAnswersMs int64 `cbor:"19,keyasint,omitempty"`
	// EvacuationsVersion is the version of the evacuations that the router holds, 0 for
	// none. StoreAgeMs then covers them too.
	EvacuationsVersion int64 `cbor:"20,keyasint,omitempty"`
	// SuspectsRevision changes with news in Suspects. It is not sent.
	SuspectsRevision int `cbor:"-"`
}

// Interest lists upstreams whose loads a router needs.
type Interest struct {
	// Reset is set if the list replaces what was announced before. Otherwise it adds
	// to it.
	Reset bool `cbor:"1,keyasint,omitempty"`
	// All is set if the router needs the loads of all upstreams.
	All       bool     `cbor:"2,keyasint,omitempty"`
	Upstreams []string `cbor:"3,keyasint,omitempty"`
}

// withoutLoads returns a copy of a report with only what describes the router: its
// record, its versions and their age.
func (r *Report) withoutLoads() *Report {
	short := *r
	short.Loads, short.WorkspaceTokens, short.Retries, short.Interest, short.Leaving = nil, nil, nil, nil, nil
	return &short
}

// versions are the parts of a report that other routers wait for.
type versions struct {
	state             State
	config, upstreams int64
	leaving           int // number of upstreams
	suspects          int // revision
	evacuations       int64
}

func (r *Report) versions() versions {
	return versions{state: r.State, config: r.ConfigVersion, upstreams: r.UpstreamsVersion, leaving: len(r.Leaving), suspects: r.SuspectsRevision, evacuations: r.EvacuationsVersion}
}

// StoreAge returns StoreAgeMs as a duration.
func (r *Report) StoreAge() time.Duration { return time.Duration(r.StoreAgeMs) * time.Millisecond }
