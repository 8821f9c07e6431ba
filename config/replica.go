package config

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a Replica.
const (
	// ConfirmationTimeout is how long the router serves with a version that is no
	// longer confirmed as the current one. After that it serves only if it reaches
	// more than half of the known routers. A change must be in force everywhere
	// within 3 s; the remaining second covers message delay, by which confirmation
	// ages are underestimated.
	ConfirmationTimeout = 2 * time.Second
	// startupCollectTime is how long a router that has just started collects the
	// versions of its peers, if the object API is down, before it serves. It is two
	// probe intervals of package member.
	startupCollectTime = time.Second
	// fetchTimeout is the time after which a fetch counts as failed and another
	// peer is tried. It is also the time before a peer is tried again.
	fetchTimeout = time.Second
	// reportLifetime is the time after which a peer's report expires, so that a peer
	// that no longer reports to this router is removed.
	reportLifetime = 5 * time.Second
	// watchersPerRegion is the number of routers of a region that read the lists
	// from the object API. With two of them, one may fail.
	watchersPerRegion = 2
)

// ReplicaInput is an input of Replica.Step.
type ReplicaInput interface{ replicaInput() }

// ObjectRead is the result of a successful read or watch of the lists in the
// platform's object API. Version is zero if the lists do not exist yet. Started is
// the time at which the read was sent, as of which the answer confirms the version.
type ObjectRead struct {
	Version int64
	Data    []byte
	Started time.Time
}

// ObjectReadFailed means that a read from the object API failed.
type ObjectReadFailed struct{}

// PeerReport is a peer's report of its version and of the time since that version
// was confirmed. A negative age means that it was never confirmed.
type PeerReport struct {
	Host         string
	Version      int64
	ConfirmedAge time.Duration
	// Highest is the highest version that the peer knows to exist.
	Highest int64
}

// PeerFetched holds the lists that were fetched from a peer.
type PeerFetched struct {
	Host    string
	Version int64
	Data    []byte
}

// PeerFetchFailed means that a fetch from a peer failed.
type PeerFetchFailed struct{ Host string }

// Routers is the set of live routers, including this one.
type Routers struct{ Live []Router }

// Router is a live router and its region.
type Router struct{ Host, Region string }

// ReplicaTick is the input for the passing of time.
type ReplicaTick struct{}

func (ObjectRead) replicaInput()       {}
func (ObjectReadFailed) replicaInput() {}
func (PeerReport) replicaInput()       {}
func (PeerFetched) replicaInput()      {}
func (PeerFetchFailed) replicaInput()  {}
func (Routers) replicaInput()          {}
func (ReplicaTick) replicaInput()      {}

// ReplicaOutput tells the caller what to do after a step.
type ReplicaOutput struct {
	// FetchFrom is the host to fetch the lists from. It is empty if there is nothing
	// to fetch.
	FetchFrom string
	// Changed is set if Current returns another version than before the step.
	Changed bool
	// Watch is set if this router should read and watch the lists in the object API
	// itself: if it is one of the watchers of its region, or has just started and
	// does not know the current lists yet.
	Watch bool
	// Invalid is the error of lists that were received and rejected as invalid.
	Invalid error
}

// Replica is the state machine that decides which version of the lists is in force
// on this router. It learns of new versions from the object API and from peers. It
// does no I/O and is not safe for concurrent use.
type Replica struct {
	self, region string

	lists     Lists
	data      []byte
	version   int64
	confirmed time.Time // when version was last current for certain, zero if never

	regionWatcher      bool // one of the watchers of its region
	objectAPIConfirmed bool // a read from the object API has confirmed the version since the start
	objectAPIDown      bool // the latest read from the object API failed
	initialized        bool // knows enough to serve, see updateInitialized

	peers       map[string]peerState
	highest     int64     // highest version known to exist
	firstReport time.Time // time of the first report of a version above zero
	behindSince time.Time // since when a version above that in force is known to exist

	fetchHost    string // host of the fetch in progress, empty if there is none
	fetchStarted time.Time
}

// peerState is what a peer has reported, and the time of the latest failed fetch from it.
type peerState struct {
	version          int64
	confirmed        time.Time // when version was last current for certain, zero if never
	reportedAt       time.Time
	lastFetchFailure time.Time
}

// NewReplica returns a Replica in the state of a router that has just started.
func NewReplica(self, region string) *Replica {
	return &Replica{self: self, region: region, regionWatcher: true, peers: map[string]peerState{}}
}

// Step processes one input.
func (r *Replica) Step(now time.Time, in ReplicaInput) ReplicaOutput {
	var out ReplicaOutput
	before := r.version
	switch in := in.(type) {
	case ObjectRead:
		out.Invalid = r.handleObjectRead(now, in)
	case ObjectReadFailed:
		r.objectAPIDown = true
	case PeerReport:
		r.handlePeerReport(now, in)
	case PeerFetched:
		out.Invalid = r.handlePeerFetched(now, in)
	case PeerFetchFailed:
		r.recordFetchFailure(now, in.Host)
	case Routers:
		r.regionWatcher = isWatcher(r.self, r.region, in.Live)
	}
	r.expire(now)
	r.updateBehind(now)
	r.updateInitialized(now)
	out.FetchFrom = r.startFetch(now)
	out.Changed = r.version != before
	out.Watch = r.regionWatcher || !r.initialized
	return out
}

func (r *Replica) handleObjectRead(now time.Time, in ObjectRead) error {
	r.objectAPIDown = false
	err := r.accept(in.Version, in.Data)
	if err != nil {
		return err
	}
	// A stale read of an older version does not confirm the version in force.
	if in.Version != r.version {
		return nil
	}
	r.objectAPIConfirmed = true
	r.confirmAt(earlier(in.Started, now))
	return nil
}

// earlier returns started, or now if started is unset or in the future.
func earlier(started, now time.Time) time.Time {
	if started.IsZero() || started.After(now) {
		return now
	}
	return started
}

// accept puts lists in force if their version is higher and they are valid.
func (r *Replica) accept(version int64, data []byte) error {
	if version <= r.version {
		return nil
	}
	lists, err := Parse(data)
	if err != nil {
		return err
	}
	r.lists, r.data, r.version = lists, data, version
	// The confirmation of the older version does not apply to this one.
	r.confirmed = time.Time{}
	r.confirmFromPeers()
	return nil
}

// confirmAt records that the version in force was current at t.
func (r *Replica) confirmAt(t time.Time) {
	if t.After(r.confirmed) {
		r.confirmed = t
	}
}

// confirmFromPeers takes over the confirmations of peers with the same version.
func (r *Replica) confirmFromPeers() {
	for _, peer := range r.peers {
		if peer.version == r.version {
			r.confirmAt(peer.confirmed)
		}
	}
}

func (r *Replica) handlePeerReport(now time.Time, in PeerReport) {
	peer := r.peers[in.Host]
	if in.Version != peer.version {
		peer.version, peer.confirmed = in.Version, time.Time{}
	}
	if in.ConfirmedAge >= 0 {
		peer.confirmed = later(peer.confirmed, now.Add(-in.ConfirmedAge))
	}
	peer.reportedAt = now
	r.peers[in.Host] = peer
	r.highest = max(r.highest, in.Version, in.Highest)
	if r.firstReport.IsZero() && in.Version > 0 {
		r.firstReport = now
	}
	r.confirmFromPeers()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Replica) handlePeerFetched(now time.Time, in PeerFetched) error {
	if in.Host == r.fetchHost {
		r.fetchHost = ""
	}
	err := r.accept(in.Version, in.Data)
	if err != nil || in.Version < r.version {
		r.recordFetchFailure(now, in.Host)
	}
	return err
}

// recordFetchFailure records the time of a failed fetch, so that other peers are tried
// before this one.
func (r *Replica) recordFetchFailure(now time.Time, host string) {
	if host == r.fetchHost {
		r.fetchHost = ""
	}
	if peer, ok := r.peers[host]; ok {
		peer.lastFetchFailure = now
		r.peers[host] = peer
	}
}

// expire removes old reports and ends a fetch that timed out.
func (r *Replica) expire(now time.Time) {
	for host, peer := range r.peers {
		if now.Sub(peer.reportedAt) > reportLifetime {
			delete(r.peers, host)
		}
	}
	if r.fetchHost != "" && now.Sub(r.fetchStarted) >= fetchTimeout {
		r.recordFetchFailure(now, r.fetchHost)
	}
}

// updateBehind records since when a higher version is known to exist. The router
// stays behind even if the peers that reported the higher version restart and lose
// it.
func (r *Replica) updateBehind(now time.Time) {
	r.highest = max(r.highest, r.version)
	if r.highest == r.version {
		r.behindSince = time.Time{}
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
}

// updateInitialized decides whether a router that has just started knows enough to
// serve. It must have the highest version known to exist, and either the object API
// has confirmed that version or, if the object API is down, the router has collected
// the versions of its peers for startupCollectTime.
func (r *Replica) updateInitialized(now time.Time) {
	if r.initialized {
		return
	}
	fromPeers := r.objectAPIDown && r.version > 0 &&
		!r.firstReport.IsZero() && now.Sub(r.firstReport) >= startupCollectTime
	r.initialized = r.behindSince.IsZero() && (r.objectAPIConfirmed || fromPeers)
}

// startFetch starts a fetch if a peer has a higher version, and returns the host of
// that peer. Among the peers with the highest version it prefers the one whose
// latest failed fetch is longest ago, then the one with the lowest host id.
func (r *Replica) startFetch(now time.Time) string {
	if r.fetchHost != "" {
		return ""
	}
	bestHost := ""
	for host, peer := range r.peers {
		if peer.version <= r.version || now.Sub(peer.lastFetchFailure) < fetchTimeout {
			continue
		}
		if bestHost == "" || prefer(host, peer, bestHost, r.peers[bestHost]) {
			bestHost = host
		}
	}
	r.fetchHost, r.fetchStarted = bestHost, now
	return bestHost
}

// prefer reports whether to fetch from host rather than from bestHost.
func prefer(host string, peer peerState, bestHost string, bestPeer peerState) bool {
	if peer.version != bestPeer.version {
		return peer.version > bestPeer.version
	}
	if !peer.lastFetchFailure.Equal(bestPeer.lastFetchFailure) {
		return peer.lastFetchFailure.Before(bestPeer.lastFetchFailure)
	}
	return host < bestHost
}

// isWatcher reports whether self is one of the watchers of its region. The watchers
// are chosen by rendezvous hashing. A router whose region has no live router yet
// counts as a watcher.
func isWatcher(self, region string, live []Router) bool {
	var hosts []string
	for _, router := range live {
		if router.Region == region {
			hosts = append(hosts, router.Host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return rendezvousHash(hosts[i]) > rendezvousHash(hosts[j]) })
	for i := range min(watchersPerRegion, len(hosts)) {
		if hosts[i] == self {
			return true
		}
	}
	return len(hosts) == 0
}

func rendezvousHash(host string) uint64 { return xxhash.Sum64String(ObjectName + "\x00" + host) }

// Current returns the lists in force and their version, which is zero if there are
// none.
func (r *Replica) Current() (Lists, int64) { return r.lists, r.version }

// Data returns the version of the lists in force and their encoded form, for peers
// that fetch them.
func (r *Replica) Data() (int64, []byte) { return r.version, r.data }

// ConfirmedAge returns the time since the version in force was confirmed as the
// current one. It is negative if the version was never confirmed.
func (r *Replica) ConfirmedAge(now time.Time) time.Duration {
	if r.confirmed.IsZero() {
		return -1
	}
	return max(0, now.Sub(r.confirmed))
}

// MayServe reports whether the router may accept new requests, given the numbers of
// reachable and of known routers, itself included. A router whose version is not
// confirmed but that reaches more than half of the known routers assumes that the
// object API is down, so that no change can have been accepted.
func (r *Replica) MayServe(now time.Time, reachable, known int) bool {
	if !r.initialized {
		return false
	}
	if !r.behindSince.IsZero() && now.Sub(r.behindSince) > ConfirmationTimeout {
		return false
	}
	age := r.ConfirmedAge(now)
	if age >= 0 && age <= ConfirmationTimeout {
		return true
	}
	// A higher version shows that the object API accepted a change, so it was not down.
	return r.behindSince.IsZero() && 2*reachable > known
}
