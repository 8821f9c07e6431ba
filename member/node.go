package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/event"
)

// Node is the membership state of one router. It is not safe for concurrent use.
type Node struct {
	config Config
	rng    *rand.Rand
	self   Member
	// selfInDigest is the record of this router that digest contains.
	selfInDigest Member

	table map[string]*entry    // all other known members
	lost  map[string]time.Time // when forgotten hosts that are still probed died
	seeds map[string]string    // regions of the routers in the latest host list

	vertex     *vertex // of this router
	graph      *graph
	graphStale bool              // set when the graph has to be computed again
	nextGraph  time.Time         // earliest time of the next computation
	suspected  map[string]*entry // members in state Suspect
	held       map[string]*entry // not live until holdUntil
	links      map[string]*link  // by neighbour
	linkHosts  []string          // hosts of links, sorted, so that steps are deterministic
	digest     digest
	reach      map[string]time.Time // when a member of each data centre was last heard
	reachStart map[string]time.Time // since when each data centre is expected to be heard

	configConfirmed time.Time // when the configuration version was confirmed
	highestConfig   int64     // highest configuration version reported by any router
	joinStart       time.Time // arrival of the first host list
	nextJoin        time.Time
	nextLostProbe   time.Time
	nextSweep       time.Time

	nextSilentProbe time.Time // next probe of members of silent data centres
	lastStep        time.Time
	resumed         time.Time // end of the latest freeze of this process

	out Output
}

// entry is the state that a node keeps for another member.
type entry struct {
	Member
	vertex     *vertex
	stateSince time.Time // when the state changed
	lastHeard  time.Time // latest message, received directly or reported by another router
	leaving    bool      // Leaving was announced by the current incarnation
	returns    int       // returns from Dead, each within flapWindow of the one before
	lastReturn time.Time
	holdUntil  time.Time // end of flap damping, zero without
	lastReply  time.Time // latest message sent in addition to heartbeats
}

// link is the heartbeat exchange with one neighbour.
type link struct {
	host              string
	established       time.Time // when the link was added, or the end of a later freeze
	lastSent          time.Time
	nextHeartbeat     time.Time
	lastIndirectProbe time.Time
	mismatchSince     time.Time // since when the digests differ
	urgent            bool      // send the next heartbeat early, see due
	updates           []update
}

// update is a member whose record is queued for a neighbour, and how many more
// times it will be sent.
type update struct {
	host  string
	sends int
}

// NewNode returns a Node that has not joined yet. The seed determines its random
// choices.
func NewNode(c Config, seed uint64) *Node {
	c = c.withDefaults()
	self := c.Self
	self.State = Joining
	n := &Node{
		config: c,
		rng:    rand.New(rand.NewPCG(seed, hashOf("node", self.Host))),
		self:   self,
		table:  map[string]*entry{},
		lost:   map[string]time.Time{},
		seeds:  map[string]string{},
		links:  map[string]*link{},
		reach:  map[string]time.Time{},

		reachStart: map[string]time.Time{},

		vertex:       newVertex(self.Host, self.Region),
		suspected:    map[string]*entry{},
		held:         map[string]*entry{},
		selfInDigest: self,
	}
	n.digest.toggle(self)
	return n
}

// Step handles one input at the given time and runs all timers that are due.
func (n *Node) Step(now time.Time, in Input) Output {
	n.out = Output{}
	n.detectFreeze(now)
	switch in := in.(type) {
	case HostList:
		n.setSeeds(now, in)
	case Receive:
		n.receive(now, in)
	case Leave:
		n.leave(now, in)
	case ConfigInForce:
		n.setConfigInForce(now, in)
	}
	n.runTimers(now)
	n.out.Wake = n.wake(now)
	return n.out
}

// detectFreeze extends the deadlines of neighbours and suspects after this process
// was frozen, because it could not hear them.
func (n *Node) detectFreeze(now time.Time) {
	gap := now.Sub(n.lastStep)
	frozen := !n.lastStep.IsZero() && gap > freezeThreshold
	n.lastStep = now
	if !frozen {
		return
	}
	for _, l := range n.links {
		l.established = now
	}
	for _, e := range n.table {
		if e.State == Suspect {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
	n.resumed = now
}

// justResumed reports whether this process was frozen until less than resumeGrace
// ago. Messages that it receives then may have been buffered during the freeze.
func (n *Node) justResumed(now time.Time) bool {
	return !n.resumed.IsZero() && now.Sub(n.resumed) < resumeGrace
}

// setSeeds replaces the seeds by the routers of a host list. It stops probing dead
// hosts that are no longer listed and died more than ForgetAfter ago.
func (n *Node) setSeeds(now time.Time, in HostList) {
	clear(n.seeds)
	for _, host := range in.Hosts {
		if host.Kind == "router" && host.ID != n.self.Host {
			n.seeds[host.ID] = host.Region
		}
	}
	for host, died := range n.lost {
		if _, listed := n.seeds[host]; !listed && now.Sub(died) > n.config.ForgetAfter {
			delete(n.lost, host)
		}
	}
	if n.joinStart.IsZero() {
		n.joinStart = now
	}
}

func (n *Node) leave(now time.Time, in Leave) {
	state := Leaving
	if in.Final {
		state = Left
	}
	if n.self.State >= state {
		return
	}
	n.self.State = state
	n.announceSelf(now)
	for _, l := range n.links {
		l.nextHeartbeat = now // the process may end right after this step
	}
}

func (n *Node) setConfigInForce(now time.Time, in ConfigInForce) {
	n.configConfirmed = time.Time{}
	if in.ConfirmedAge >= 0 {
		n.configConfirmed = now.Add(-in.ConfirmedAge)
	}
	if in.Version != n.self.ConfigVersion {
		n.self.ConfigVersion = in.Version
		n.highestConfig = max(n.highestConfig, in.Version)
		n.makeUrgent()
	}
}

// makeUrgent sends the next heartbeat to each neighbour early.
func (n *Node) makeUrgent() {
	for _, l := range n.links {
		l.urgent = true
	}
}

// announceSelf sends this router's own record to all neighbours.
func (n *Node) announceSelf(now time.Time) {
	n.digest.replace(n.selfInDigest, n.self)
	n.selfInDigest = n.self
	n.out.Changed = true
	n.addEvent(n.self, "announced")
	n.refreshLinks(now)
	n.queueUpdate(n.self.Host, "")
}

func (n *Node) addEvent(m Member, name string) {
	n.out.Events = append(n.out.Events, event.Event{Part: "member", Name: name, Detail: m.Host + " " + m.State.String()})
}

// Members returns all members, this router included, sorted by host.
func (n *Node) Members() []Member {
	members := []Member{n.self}
	for _, e := range n.table {
		members = append(members, e.Member)
	}
	sortByHost(members)
	return members
}

func sortByHost(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
}

// Live returns the members that are alive, suspect or leaving, sorted by host. A
// suspect that was leaving is returned as leaving. Members held back by flap
// damping are left out.
func (n *Node) Live(now time.Time) []Member {
	var members []Member
	if n.self.State == Alive || n.self.State == Leaving {
		members = append(members, n.self)
	}
	for _, e := range n.table {
		if !e.isLive(now) {
			continue
		}
		m := e.Member
		if e.leaving {
			m.State = Leaving
		}
		members = append(members, m)
	}
	sortByHost(members)
	return members
}

func (e *entry) isLive(now time.Time) bool {
	return e.State >= Alive && e.State <= Suspect && !e.holdUntil.After(now)
}

// Reachable returns how many routers this one reaches and how many it knows of,
// itself included. The members of a data centre that was not heard for reachTimeout
// do not count as reachable, even before they are declared dead. Just after a
// freeze of this process no other router counts as reachable.
//
// Hosts that left on purpose are not counted. Dead hosts count as known until a
// host list without them arrives, so that a router that was cut off for long does
// not mistake its part of the fleet for the majority.
func (n *Node) Reachable(now time.Time) (reachable, known int) {
	reachable, known = 1, 1
	for _, e := range n.table {
		if e.State == Left {
			continue
		}
		known++
		if !n.justResumed(now) && e.State < Suspect && now.Sub(n.reach[e.DataCentre]) < reachTimeout {
			reachable++
		}
	}
	for host := range n.lost {
		if n.table[host] == nil {
			known++
		}
	}
	for host := range n.seeds {
		if _, isLost := n.lost[host]; n.table[host] == nil && !isLost {
			known++
		}
	}
	return reachable, known
}
