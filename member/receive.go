package member

import "time"

func (n *Node) receive(now time.Time, in Receive) {
	m, err := decode(in.Body)
	if err != nil || in.From == n.self.Host {
		return
	}
	n.noteSender(now, in.From, m)
	for _, r := range m.Records {
		n.merge(now, in.From, r)
	}
	// The records may have made the sender known.
	n.noteSender(now, in.From, m)
	switch m.Kind {
	case kindHeartbeat, kindReply:
		n.receiveHeartbeat(now, in.From, m)
	case kindIndirectProbe:
		n.receiveIndirectProbe(now, in.From, m)
	case kindIndirectReply:
		n.receiveIndirectReply(now, m)
	case kindSync, kindSyncReply:
		n.receiveSync(now, in.From, m)
	}
	n.notePeerConfig(now, in.From, m)
}

// notePeerConfig adds the configuration version reported by a message to the output.
// Just after a freeze its confirmation does not count, because the message may be
// old.
func (n *Node) notePeerConfig(now time.Time, from string, m message) {
	age := confirmedAge(m)
	if n.justResumed(now) {
		age = -1
	}
	highestConfig := max(m.Config, m.Highest)
	n.highestConfig = max(n.highestConfig, highestConfig)
	n.out.PeerConfigs = append(n.out.PeerConfigs, PeerConfig{from, m.Config, age, highestConfig})
}

// confirmedAge returns how long ago the sender's configuration version was confirmed
// to be the latest, -1 for never.
func confirmedAge(m message) time.Duration {
	if m.ConfirmedMS == 0 {
		return -1
	}
	return time.Duration(m.ConfirmedMS-1) * time.Millisecond
}

// noteSender records that the sender was heard, and what its message says about
// other data centres.
func (n *Node) noteSender(now time.Time, from string, m message) {
	e := n.table[from]
	if e == nil {
		return
	}
	if m.Incarnation >= e.Incarnation {
		e.lastHeard = now
		e.ConfigVersion = m.Config
	}
	if !n.justResumed(now) {
		n.noteReach(now, e.DataCentre)
		n.mergeReach(now, m.Reach)
	}
}

// receiveHeartbeat compares the digest of a neighbour. It starts a comparison of views
// with an unknown sender, and lets a sender that is suspect or gone refute that.
func (n *Node) receiveHeartbeat(now time.Time, from string, m message) {
	e := n.table[from]
	if e == nil || m.Incarnation > e.Incarnation {
		n.syncRateLimited(now, from, e)
		return
	}
	if e.State >= Suspect {
		n.notifyMember(now, e)
		return
	}
	l := n.links[from]
	if l == nil {
		n.replyTo(now, from, m)
		return
	}
	n.compareDigest(now, l, m)
}

// syncRateLimited starts a comparison of views with a host that is unknown or has a
// newer incarnation. For a known host it does so at most once per
// minReplyInterval.
func (n *Node) syncRateLimited(now time.Time, to string, e *entry) {
	if e != nil {
		if now.Sub(e.lastReply) < minReplyInterval {
			return
		}
		e.lastReply = now
	}
	n.sendSync(now, to)
}

// notifyMember sends a member that is suspect or gone its own record, so that it
// can refute it.
func (n *Node) notifyMember(now time.Time, e *entry) {
	if now.Sub(e.lastReply) < minReplyInterval {
		return
	}
	e.lastReply = now
	m := n.newMessage(now, kindRecords)
	m.Records = []Member{e.Member.short()}
	n.send(e.Host, m)
}

// replyTo answers a heartbeat of a host that is not a neighbour in this router's
// view.
func (n *Node) replyTo(now time.Time, to string, m message) {
	if m.Kind == kindHeartbeat {
		n.send(to, n.newMessage(now, kindReply))
	}
}

// compareDigest starts a comparison of views when the digests have differed for
// mismatchDelay.
func (n *Node) compareDigest(now time.Time, l *link, m message) {
	if m.Digest == n.digest.total {
		l.mismatchSince = time.Time{}
		return
	}
	if l.mismatchSince.IsZero() {
		l.mismatchSince = now
		return
	}
	if now.Sub(l.mismatchSince) >= mismatchDelay {
		l.mismatchSince = now
		n.sendSync(now, l.host)
	}
}

// receiveIndirectProbe answers how long ago a host was heard. If that is too long
// ago, it sends the host a heartbeat instead, so that a repeated probe can be
// answered.
func (n *Node) receiveIndirectProbe(now time.Time, from string, m message) {
	age := time.Duration(0)
	if m.About != n.self.Host {
		e := n.table[m.About]
		if e == nil {
			return
		}
		age = now.Sub(e.lastHeard)
	}
	if age >= n.config.SuspectAfter {
		n.send(m.About, n.newMessage(now, kindHeartbeat))
		return
	}
	answer := n.newMessage(now, kindIndirectReply)
	answer.About = m.About
	answer.AgeMS = age.Milliseconds()
	n.send(from, answer)
}

func (n *Node) receiveIndirectReply(now time.Time, m message) {
	e := n.table[m.About]
	if e == nil {
		return
	}
	lastHeard := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if lastHeard.After(e.lastHeard) {
		e.lastHeard = lastHeard
	}
}
