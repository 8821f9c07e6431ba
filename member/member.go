// Package member keeps the view of which routers are live. A Node is a state
// machine: it performs no I/O, reads no clock and starts no goroutine. Each
// router exchanges heartbeats with a few neighbours; changes of the view travel
// on the heartbeats.
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
	Joining State = iota + 1 // started, has no view yet
	Alive
	Leaving // finishes its work and takes no new one
	Suspect // silent, may still refute it
	Dead
	Left // has ended on purpose
)

var stateNames = [...]string{"unknown", "joining", "alive", "leaving", "suspect", "dead", "left"}

// String returns the lower-case name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// MarshalText makes states readable in JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// isGone tells whether a member in this state takes no part any more.
func (s State) isGone() bool { return s >= Dead }

// Member is a router as others see it.
type Member struct {
	Host         string `cbor:"1,keyasint" json:"host"`
	Region       string `cbor:"4,keyasint,omitempty" json:"region"`
	DataCentre   string `cbor:"5,keyasint,omitempty" json:"data_centre"`
	Address      string `cbor:"6,keyasint,omitempty" json:"address"`
	PeerAddress  string `cbor:"7,keyasint,omitempty" json:"peer_address"`
	AdminAddress string `cbor:"8,keyasint,omitempty" json:"admin_address"`
	// Incarnation orders the lives of a host. A restarted router has to start
	// with a higher one than before, such as its start time in milliseconds.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	State       State  `cbor:"3,keyasint" json:"state"`
	// ConfigVersion is current for neighbours, and as of the latest full record
	// for other members.
	ConfigVersion int64 `cbor:"9,keyasint,omitempty" json:"config_version"`
}

// isFull tells whether the record describes the member and not only its state.
func (m Member) isFull() bool { return m.Region != "" }

// newerThan orders two records of the same host.
func (m Member) newerThan(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Config describes a node. Zero timings get the defaults.
type Config struct {
	Self Member
	// ProbeInterval is the time between heartbeats to a neighbour.
	ProbeInterval time.Duration
	// AskAfter is the silence after which other neighbours are asked.
	AskAfter time.Duration
	// SuspectAfter is the silence after which a neighbour is suspect.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect has to refute it.
	DeadAfter time.Duration
	// ForgetAfter is how long dead members are listed.
	ForgetAfter time.Duration
	// LostProbeInterval is the time between probes of dead members.
	LostProbeInterval time.Duration
}

// Default timings. Together they find a crash within 3.5 s, which leaves 0.5 s
// to spread the change under the promised 4 s.
const (
	defaultProbeInterval     = 500 * time.Millisecond
	defaultAskAfter          = time.Second
	defaultSuspectAfter      = 1500 * time.Millisecond
	defaultDeadAfter         = 2 * time.Second
	defaultForgetAfter       = 10 * time.Minute
	defaultLostProbeInterval = 5 * time.Second
)

// Fixed timings and bounds.
const (
	// urgentGap is the least time between two messages to a neighbour when there
	// has an update; it collects updates that arrive together.
	urgentGap = 50 * time.Millisecond
	// observerDelay lets the neighbours of a suspect, which may hear of it
	// directly, decide before the other members do.
	observerDelay = 500 * time.Millisecond
	// joinTimeout is when a router that reaches no seed becomes alive alone.
	joinTimeout = 3 * time.Second
	// replyGap bounds answers to one host that go out beside the heartbeats.
	replyGap = 250 * time.Millisecond
	// mismatchPatience leaves time for updates in flight before views are compared.
	mismatchPatience = time.Second
	// pauseLimit is a gap between steps that shows that the process was frozen.
	pauseLimit = time.Second
	// resumeQuiet is how long after such a pause received messages prove nothing.
	// Buffers are drained within milliseconds.
	resumeQuiet = 500 * time.Millisecond
	// lostLifetime bounds how long a dead member is probed. A region may be cut
	// for hours.
	lostLifetime = 24 * time.Hour
	// seedsAtOnce are asked at a time while joining.
	seedsAtOnce = 3
	// helpersAtOnce are asked about a silent neighbour.
	helpersAtOnce = 3
	// updateRepeats is how often news are sent to each neighbour, because messages
	// are lost.
	updateRepeats = 2
)

// Hysteresis: a member that returned from death several times within flapWindow
// counts as live only after flapHold, which doubles up to maxFlapHold.
const (
	flapWindow  = time.Minute
	flapReturns = 3
	flapHold    = 5 * time.Second
	maxFlapHold = time.Minute
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.AskAfter, defaultAskAfter)
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

// Input is what a Node reacts to.
type Input interface{ input() }

// HostList is the platform's host list, which lags behind the truth. It is the
// seed of the view and a hint whom to probe.
type HostList struct{ Hosts []objectapi.Host }

// Receive is a message from another router.
type Receive struct {
	From string
	Body []byte
}

// Tick lets time pass. A node needs one at Output.Wake at the latest.
type Tick struct{}

// Leave announces that this router is leaving, and with Final that it ends now.
type Leave struct{ Final bool }

// SetConfig tells which version of the lists is in force on this router, and
// how long ago it was confirmed; a negative age means never.
type SetConfig struct {
	Version      int64
	ConfirmedAge time.Duration
}

func (HostList) input()  {}
func (Receive) input()   {}
func (Tick) input()      {}
func (Leave) input()     {}
func (SetConfig) input() {}

// Output is what a step asks for.
type Output struct {
	Send []Outgoing
	// Changed is set when Members or Live may have changed.
	Changed bool
	Events  []event.Event
	// Wake is when the next Tick is needed at the latest.
	Wake time.Time
	// PeerConfigs are the versions that the step's message reported.
	PeerConfigs []PeerConfig
}

// Outgoing is a message to another router.
type Outgoing struct {
	To   string
	Body []byte
}

// PeerConfig is the version of the lists at a peer and how long ago it was
// confirmed there; a negative age means never.
type PeerConfig struct {
	Host         string
	Version      int64
	ConfirmedAge time.Duration
	// Highest is the highest version that the peer has heard of. It travels with
	// the news of who is reachable, so that a router which believes that it
	// reaches most others also knows of every version that they have.
	Highest int64
}
