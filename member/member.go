// Package member detects which routers of the fleet are live. It is a gossip
// protocol similar to SWIM: each router exchanges heartbeats with a few
// neighbours, and the heartbeats also spread changes of the membership.
//
// A Node is a state machine: it performs no I/O, reads no clock and starts no
// goroutine.
package member

import (
	"time"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// State is the state of a member. Of two records with the same incarnation, the
// one with the higher state is the newer one.
type State uint8

// States of a member.
const (
	Joining State = iota + 1 // started, does not know the other members yet
	Alive
	Leaving // finishes its requests and accepts no new ones
	Suspect // silent, declared dead unless it refutes that
	Dead
	Left // has terminated on purpose
)

var stateNames = [...]string{"unknown", "joining", "alive", "leaving", "suspect", "dead", "left"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// MarshalText implements encoding.TextMarshaler, for JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// isGone reports whether a member in this state is dead or has left.
func (s State) isGone() bool { return s >= Dead }

// Member is the record of a router in the membership.
type Member struct {
	// Host is the host id. The addresses have the form IP:port: Address is for
	// callers, PeerAddress for other routers and AdminAddress for operators.
	Host         string `cbor:"1,keyasint" json:"host"`
	Region       string `cbor:"4,keyasint,omitempty" json:"region"`
	DataCentre   string `cbor:"5,keyasint,omitempty" json:"data_centre"`
	Address      string `cbor:"6,keyasint,omitempty" json:"address"`
	PeerAddress  string `cbor:"7,keyasint,omitempty" json:"peer_address"`
	AdminAddress string `cbor:"8,keyasint,omitempty" json:"admin_address"`
	// Incarnation orders the runs of a router and its refutations. A restarted
	// router has to start with a higher one than before, such as its start time
	// in milliseconds.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	State       State  `cbor:"3,keyasint" json:"state"`
	// ConfigVersion is the configuration version in force. It is up to date for
	// neighbours, and as of the latest full record for other members.
	ConfigVersion int64 `cbor:"9,keyasint,omitempty" json:"config_version"`
}

// isFull reports whether the record describes the member and not only its state.
func (m Member) isFull() bool { return m.Region != "" }

// newerThan reports whether m is newer than another record of the same host.
func (m Member) newerThan(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Config configures a Node. Durations that are zero get a default.
type Config struct {
	Self Member
	// ProbeInterval is the time between heartbeats to a neighbour.
	ProbeInterval time.Duration
	// IndirectProbeAfter is the silence of a neighbour after which its other
	// neighbours are asked whether they have heard it.
	IndirectProbeAfter time.Duration
	// SuspectAfter is the silence after which a neighbour becomes Suspect.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect member has to refute the suspicion before
	// it is declared dead.
	DeadAfter time.Duration
	// ForgetAfter is how long members that are gone are listed.
	ForgetAfter time.Duration
	// LostProbeInterval is the time between probes of dead members.
	LostProbeInterval time.Duration
}

// Default timings. A crash is detected within 3.5 s (defaultSuspectAfter plus
// defaultDeadAfter), which leaves 0.5 s to spread the change within the guaranteed
// 4 s.
const (
	defaultProbeInterval      = 500 * time.Millisecond
	defaultIndirectProbeAfter = time.Second
	defaultSuspectAfter       = 1500 * time.Millisecond
	defaultDeadAfter          = 2 * time.Second
	defaultForgetAfter        = 10 * time.Minute
	defaultLostProbeInterval  = 5 * time.Second
)

// Fixed timings and bounds.
const (
	// minSendInterval is the minimum time between two heartbeats to a neighbour
	// for which updates are queued, so that updates that arrive together share
	// a message.
	minSendInterval = 50 * time.Millisecond
	// observerDelay is how much later a router that is not a neighbour of a
	// suspect declares it dead. The neighbours may hear from the suspect directly,
	// so they decide first.
	observerDelay = 500 * time.Millisecond
	// joinTimeout is when a router that reaches no seed becomes alive without
	// one.
	joinTimeout = 3 * time.Second
	// minReplyInterval is the minimum time between two messages to one host that
	// are sent in addition to heartbeats.
	minReplyInterval = 250 * time.Millisecond
	// mismatchDelay is how long digests have to differ before views are compared,
	// which leaves time for updates in flight.
	mismatchDelay = time.Second
	// freezeThreshold is the time between two steps above which the process must
	// have been frozen.
	freezeThreshold = time.Second
	// resumeGrace is how long after such a freeze received messages may be old
	// and do not count as evidence. Buffers are drained within milliseconds.
	resumeGrace = 500 * time.Millisecond
	// lostLifetime is how long a dead member is probed. A region may be cut off
	// for hours.
	lostLifetime = 24 * time.Hour
	// seedsPerRound is the number of seeds asked at a time while joining.
	seedsPerRound = 3
	// maxHelpers is the number of routers asked about a silent neighbour, or
	// probed in a silent data centre, at a time.
	maxHelpers = 3
	// updateSends is how often an update is sent to each neighbour, because
	// messages can be lost.
	updateSends = 2
)

// Flap damping: a member that returned from Dead flapReturns times, each within
// flapWindow of the return before, counts as live only after flapHold. The hold
// doubles with each further return, up to maxFlapHold.
const (
	flapWindow  = time.Minute
	flapReturns = 3
	flapHold    = 5 * time.Second
	maxFlapHold = time.Minute
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.IndirectProbeAfter, defaultIndirectProbeAfter)
	setDefault(&c.SuspectAfter, defaultSuspectAfter)
	setDefault(&c.DeadAfter, defaultDeadAfter)
	setDefault(&c.ForgetAfter, defaultForgetAfter)
	setDefault(&c.LostProbeInterval, defaultLostProbeInterval)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Input is an input of Node.Step.
type Input interface{ input() }

// HostList is the host list of the platform, which may be out of date. Its routers
// are the seeds for joining, and those that are not members are probed.
type HostList struct{ Hosts []objectapi.Host }

// Receive delivers a message from another router.
type Receive struct {
	From string
	Body []byte
}

// Tick runs the timers that are due. A Node needs one at Output.Wake at the latest.
type Tick struct{}

// Leave announces that this router is leaving, or with Final that it terminates
// now.
type Leave struct{ Final bool }

// ConfigInForce reports the configuration version in force on this router, and how
// long ago it was confirmed to be the latest. A negative age means never.
type ConfigInForce struct {
	Version      int64
	ConfirmedAge time.Duration
}

func (HostList) input()      {}
func (Receive) input()       {}
func (Tick) input()          {}
func (Leave) input()         {}
func (ConfigInForce) input() {}

// Output is the result of a step.
type Output struct {
	Send []Outgoing
	// Changed is set if the results of Members or Live may have changed.
	Changed bool
	Events  []event.Event
	// Wake is when the next Tick is needed at the latest.
	Wake time.Time
	// PeerConfigs are the configuration versions reported by the message that
	// the step received.
	PeerConfigs []PeerConfig
}

// Outgoing is a message to another router.
type Outgoing struct {
	To   string
	Body []byte
}

// PeerConfig is the configuration version in force at a peer, and how long ago the
// peer confirmed it to be the latest. A negative age means never.
type PeerConfig struct {
	Host         string
	Version      int64
	ConfirmedAge time.Duration
	// Highest is the highest version that the peer has heard of. It is sent with
	// the reachability of the data centres, so that a router that considers the
	// majority reachable also knows of every version in force there.
	Highest int64
}
