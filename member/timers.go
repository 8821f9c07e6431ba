package member

import (
	"slices"
	"strings"
	"time"
)

// sweepInterval is the time between searches for members to forget.
const sweepInterval = 10 * time.Second

// minGraphInterval is the minimum time between two computations of the graph,
// which would be frequent while many members change.
const minGraphInterval = 50 * time.Millisecond

// runTimers runs all timers that are due.
func (n *Node) runTimers(now time.Time) {
	n.join(now)
	n.refreshLinks(now)
	n.checkSilence(now)
	n.checkSuspects(now)
	n.checkReach(now)
	n.endHolds(now)
	n.refreshLinks(now)
	n.sendDue(now)
	n.probeLost(now)
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(sweepInterval)
		n.sweep(now)
	}
}

// refreshLinks updates the neighbours after a change of the membership.
func (n *Node) refreshLinks(now time.Time) {
	if n.graph != nil && (!n.graphStale || now.Before(n.nextGraph)) {
		return
	}
	n.graphStale = false
	n.nextGraph = now.Add(minGraphInterval)
	n.graph = newGraph(n.vertices())
	n.linkHosts = n.graph.neighbours(n.self.Host)
	current := make(map[string]*link, len(n.linkHosts))
	for _, host := range n.linkHosts {
		l := n.links[host]
		if l == nil {
			l = &link{host: host, established: now, nextHeartbeat: now}
		}
		current[host] = l
	}
	n.links = current
}

// vertices returns this router and the members that are not gone, sorted by host.
func (n *Node) vertices() []*vertex {
	vertices := []*vertex{n.vertex}
	for _, e := range n.table {
		if !e.State.isGone() {
			vertices = append(vertices, e.vertex)
		}
	}
	slices.SortFunc(vertices, func(a, b *vertex) int { return strings.Compare(a.host, b.host) })
	return vertices
}

// join asks seeds for their view until one answers or joinTimeout has passed.
func (n *Node) join(now time.Time) {
	if n.self.State != Joining || n.joinStart.IsZero() {
		return
	}
	if len(n.seeds) == 0 || now.Sub(n.joinStart) >= joinTimeout {
		n.finishJoin(now)
		return
	}
	if now.Before(n.nextJoin) {
		return
	}
	n.nextJoin = now.Add(n.config.ProbeInterval)
	for _, host := range n.pickSeeds() {
		n.sendSync(now, host)
	}
}

// pickSeeds chooses random seeds, preferring those of this router's region.
func (n *Node) pickSeeds() []string {
	hosts := sortedKeys(n.seeds)
	n.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b string) int { return n.distance(a) - n.distance(b) })
	// The last one is of another region if there is one, in case all seeds of
	// this region are gone.
	if last := len(hosts) - 1; last >= seedsPerRound {
		hosts[seedsPerRound-1], hosts[last] = hosts[last], hosts[seedsPerRound-1]
	}
	return hosts[:min(seedsPerRound, len(hosts))]
}

// distance orders seeds: 0 for those of this router's region, 1 for others.
func (n *Node) distance(seed string) int {
	if n.seeds[seed] == n.self.Region {
		return 0
	}
	return 1
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// finishJoin makes a joining router alive.
func (n *Node) finishJoin(now time.Time) {
	if n.self.State != Joining {
		return
	}
	n.self.State = Alive
	n.announceSelf(now)
}

// silence returns how long a neighbour has not been heard.
func (n *Node) silence(now time.Time, l *link) time.Duration {
	since := l.established
	if e := n.table[l.host]; e.lastHeard.After(since) {
		since = e.lastHeard
	}
	return now.Sub(since)
}

// checkSilence probes silent neighbours indirectly, and later declares them suspect.
func (n *Node) checkSilence(now time.Time) {
	for _, host := range n.linkHosts {
		l, e := n.links[host], n.table[host]
		silence := n.silence(now, l)
		if silence >= n.config.IndirectProbeAfter && now.Sub(l.lastIndirectProbe) >= n.config.ProbeInterval {
			l.lastIndirectProbe = now
			n.probeIndirectly(now, host)
		}
		if silence >= n.config.SuspectAfter && e.State < Suspect {
			n.setState(now, e, Suspect)
		}
	}
}

// setState sets a state that this node has detected and queues it for all
// neighbours.
func (n *Node) setState(now time.Time, e *entry, state State) {
	r := e.Member
	r.State = state
	n.update(now, e, r)
	n.queueUpdate(e.Host, "")
}

// probeIndirectly asks other neighbours of host whether they have heard it, because
// only the messages from host to this router may be lost.
func (n *Node) probeIndirectly(now time.Time, host string) {
	helpers := n.graph.neighbours(host)
	n.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	asked := 0
	for _, helper := range helpers {
		if helper == n.self.Host || asked == maxHelpers {
			continue
		}
		asked++
		m := n.newMessage(now, kindIndirectProbe)
		m.About = host
		n.send(helper, m)
	}
}

// suspectDeadline returns when a suspect is declared dead.
func (n *Node) suspectDeadline(e *entry) time.Time {
	since := e.stateSince
	if e.lastHeard.After(since) {
		since = e.lastHeard
	}
	if n.links[e.Host] == nil {
		since = since.Add(observerDelay)
	}
	return since.Add(n.config.DeadAfter)
}

// checkSuspects declares suspects dead that have not been heard in time.
func (n *Node) checkSuspects(now time.Time) {
	for _, host := range sortedKeys(n.suspected) {
		e := n.suspected[host]
		if !now.Before(n.suspectDeadline(e)) {
			n.setState(now, e, Dead)
		}
	}
}

// endHolds ends the holds of flap damping that have expired. The members count as
// live again.
func (n *Node) endHolds(now time.Time) {
	for host, e := range n.held {
		if !e.holdUntil.After(now) {
			e.holdUntil = time.Time{}
			delete(n.held, host)
			n.out.Changed = true
		}
	}
}

// sendDue sends the heartbeats that are due, with queued updates.
func (n *Node) sendDue(now time.Time) {
	for _, host := range n.linkHosts {
		l := n.links[host]
		if now.Before(l.due()) {
			continue
		}
		m := n.newMessage(now, kindHeartbeat)
		l.urgent = false
		m.Records = n.takeUpdates(l, maxBodyBytes-128) // 128 bytes for the other fields
		l.lastSent = now
		l.nextHeartbeat = now.Add(n.jitter(n.config.ProbeInterval))
		n.send(host, m)
	}
}

// due returns when the next heartbeat is due.
func (l *link) due() time.Time {
	if early := l.lastSent.Add(minSendInterval); l.urgent && early.Before(l.nextHeartbeat) {
		return early
	}
	return l.nextHeartbeat
}

// jitter shortens d by up to 5%, so that nodes do not synchronise.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - time.Duration(n.rng.Int64N(int64(d/20)+1))
}

// probeLost regularly probes a dead member, or a listed host that is not a member,
// in case it is back. This rejoins the sides of a healed partition.
func (n *Node) probeLost(now time.Time) {
	if n.self.State == Joining || now.Before(n.nextLostProbe) {
		return
	}
	n.nextLostProbe = now.Add(n.jitter(n.config.LostProbeInterval))
	candidates := n.lostHosts()
	if len(candidates) == 0 {
		return
	}
	n.sendSync(now, candidates[n.rng.IntN(len(candidates))])
}

// lostHosts returns the hosts that probeLost chooses from, sorted.
func (n *Node) lostHosts() []string {
	hosts := map[string]bool{}
	for host, e := range n.table {
		if e.State == Dead {
			hosts[host] = true
		}
	}
	for host := range n.lost {
		hosts[host] = true
	}
	for host := range n.seeds {
		if n.table[host] == nil {
			hosts[host] = true
		}
	}
	return sortedKeys(hosts)
}

// newMessage returns a message with the fields that every message carries.
func (n *Node) newMessage(now time.Time, kind messageKind) message {
	m := message{Kind: kind, Incarnation: n.self.Incarnation, Config: n.self.ConfigVersion}
	if !n.configConfirmed.IsZero() {
		m.ConfirmedMS = max(0, now.Sub(n.configConfirmed).Milliseconds()) + 1
	}
	if n.highestConfig > m.Config {
		m.Highest = n.highestConfig
	}
	m.Digest = n.digest.total
	m.Reach = n.encodeReach(now)
	return m
}

func (n *Node) send(to string, m message) {
	n.out.Send = append(n.out.Send, Outgoing{To: to, Body: encode(m)})
}

// wake returns when the next timer is due.
func (n *Node) wake(now time.Time) time.Time {
	next := earliest(n.nextSweep, n.nextLostProbe)
	if n.self.State == Joining && !n.joinStart.IsZero() {
		next = earliest(next, n.nextJoin, n.joinStart.Add(joinTimeout))
	}
	for _, host := range n.linkHosts {
		next = earliest(next, n.linkWake(n.links[host]))
	}
	for _, e := range n.suspected {
		next = earliest(next, n.suspectDeadline(e))
	}
	for _, e := range n.held {
		next = earliest(next, e.holdUntil)
	}
	if n.graphStale {
		next = earliest(next, n.nextGraph)
	}
	for dataCentre := range n.reachStart {
		lastHeard := n.silentSince(dataCentre)
		probe := lastHeard.Add(n.config.SuspectAfter)
		if n.nextSilentProbe.After(probe) {
			probe = n.nextSilentProbe
		}
		next = earliest(next, probe, lastHeard.Add(n.config.SuspectAfter+n.config.DeadAfter))
	}
	// A minimum keeps a timer that stays due from causing a busy loop.
	if floor := now.Add(time.Millisecond); next.Before(floor) {
		return floor
	}
	return next
}

// linkWake returns when the next heartbeat, indirect probe or suspicion of a
// neighbour is due.
func (n *Node) linkWake(l *link) time.Time {
	next := l.due()
	e := n.table[l.host]
	lastHeard := l.established
	if e.lastHeard.After(lastHeard) {
		lastHeard = e.lastHeard
	}
	if e.State < Suspect {
		next = earliest(next, lastHeard.Add(n.config.SuspectAfter))
	}
	probeAt := lastHeard.Add(n.config.IndirectProbeAfter)
	if again := l.lastIndirectProbe.Add(n.config.ProbeInterval); again.After(probeAt) {
		probeAt = again
	}
	return earliest(next, probeAt)
}

// earliest returns the earliest of the times that are not zero.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}
