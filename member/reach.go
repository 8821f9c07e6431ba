package member

import (
	"encoding/binary"
	"slices"
	"time"
)

// Every message tells how long ago a member of each data centre was heard by the
// sender, directly or through others. Without this, a node, which has only a few
// neighbours, would learn of the failure of a whole data centre member by member.

// reachEntryBytes is the encoded size of an entry: a hash of the name of the data
// centre (2 bytes) and an age (1 byte).
const reachEntryBytes = 3

// reachUnit is the unit of encoded ages. maxReachAge stands for itself and all
// higher ages.
const (
	reachUnit   = 50 * time.Millisecond
	maxReachAge = 255
)

// reachTimeout is the age from which on a data centre does not count as reachable.
// Without faults, ages in a simulated fleet of 390 routers are at most 0.95 s.
const reachTimeout = 2 * time.Second

func reachKey(dataCentre string) uint16 { return uint16(hashOf("reach", dataCentre)) }

// noteReach records that a member of the data centre was heard at t.
func (n *Node) noteReach(t time.Time, dataCentre string) {
	if t.After(n.reach[dataCentre]) {
		n.reach[dataCentre] = t
	}
}

// startReach starts to expect that members of a data centre are heard. It does
// not record one as heard, because a record received from others only proves that
// the data centre was reachable at some time.
func (n *Node) startReach(now time.Time, dataCentre string) {
	n.reachStart[dataCentre] = now
}

// silentSince returns when a member of a data centre was last heard, or since when
// one is expected to be heard if that is later.
func (n *Node) silentSince(dataCentre string) time.Time {
	since := n.reachStart[dataCentre]
	if heard := n.reach[dataCentre]; heard.After(since) {
		return heard
	}
	return since
}

// encodeReach encodes the ages of all data centres except the router's own, for
// which the message itself is evidence.
func (n *Node) encodeReach(now time.Time) []byte {
	names := make([]string, 0, len(n.reach))
	for dataCentre := range n.reach {
		if dataCentre != n.self.DataCentre {
			names = append(names, dataCentre)
		}
	}
	slices.Sort(names)
	out := make([]byte, 0, len(names)*reachEntryBytes)
	for _, dataCentre := range names {
		age := min((now.Sub(n.reach[dataCentre])+reachUnit-1)/reachUnit, maxReachAge)
		out = binary.BigEndian.AppendUint16(out, reachKey(dataCentre))
		out = append(out, byte(age))
	}
	return out
}

// mergeReach applies the encoded ages in a message to the data centres that this
// router knows.
func (n *Node) mergeReach(now time.Time, data []byte) {
	ages := map[uint16]byte{}
	for ; len(data) >= reachEntryBytes; data = data[reachEntryBytes:] {
		ages[binary.BigEndian.Uint16(data)] = data[2]
	}
	for dataCentre := range n.reachStart {
		age, ok := ages[reachKey(dataCentre)]
		if ok && age < maxReachAge {
			n.noteReach(now.Add(-time.Duration(age)*reachUnit), dataCentre)
		}
	}
}

// checkReach declares the members of unreachable data centres dead. Each node
// decides this on its own evidence, so the change is not sent to neighbours.
func (n *Node) checkReach(now time.Time) {
	limit := n.config.SuspectAfter + n.config.DeadAfter
	n.probeSilent(now)
	for _, dataCentre := range sortedKeys(n.reachStart) {
		if now.Sub(n.silentSince(dataCentre)) < limit || now.Sub(n.resumed) < limit {
			continue
		}
		if n.declareDataCentreDead(now, dataCentre, limit) == 0 {
			delete(n.reach, dataCentre)
			delete(n.reachStart, dataCentre)
		}
	}
}

// probeSilent sends heartbeats to members of silent data centres directly, because
// all neighbours through which they were heard may have failed at once.
func (n *Node) probeSilent(now time.Time) {
	if now.Before(n.nextSilentProbe) {
		return
	}
	for _, dataCentre := range sortedKeys(n.reachStart) {
		if now.Sub(n.silentSince(dataCentre)) < n.config.SuspectAfter {
			continue
		}
		n.nextSilentProbe = now.Add(n.config.ProbeInterval)
		hosts := n.hostsOf(dataCentre)
		n.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, host := range hosts[:min(maxHelpers, len(hosts))] {
			n.send(host, n.newMessage(now, kindHeartbeat))
		}
	}
}

// declareDataCentreDead declares the members of a data centre dead. It skips members
// that were heard, or that became known or returned, within limit, and returns how
// many it skipped.
func (n *Node) declareDataCentreDead(now time.Time, dataCentre string, limit time.Duration) int {
	skipped := 0
	for _, host := range n.hostsOf(dataCentre) {
		e := n.table[host]
		returned := e.State != Suspect && now.Sub(e.stateSince) < limit
		if now.Sub(e.lastHeard) < limit || returned {
			skipped++
			continue
		}
		r := e.Member
		r.State = Dead
		n.update(now, e, r)
	}
	return skipped
}

// hostsOf returns the members of a data centre that are not gone, sorted.
func (n *Node) hostsOf(dataCentre string) []string {
	var hosts []string
	for host, e := range n.table {
		if e.DataCentre == dataCentre && !e.State.isGone() {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
