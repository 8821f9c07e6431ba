package cell

import (
	"slices"

	"github.com/lacewingshift/lacewingshift/event"
)

// maxEarlierIncarnations is the number of earlier incarnations of a host that are
// remembered in order to ignore their late messages.
const maxEarlierIncarnations = 4

// seqBits is the number of low bits of a sequence number that count the tickets of
// one run. 24 bits last for a month at the target request rate.
const seqBits = 24

// peerRecord holds the latest incarnation of another router and earlier ones.
type peerRecord struct {
	incarnation uint32
	earlier     []uint32
}

// receive handles a message from another router.
func (n *Node) receive(from string, body []byte) {
	e, err := decode(body)
	if err != nil {
		n.event("malformed", event.Event{Detail: from + ": " + err.Error()})
		return
	}
	if from == n.cfg.Host || !n.fromLatestRun(from, e.Incarnation) {
		return
	}
	for i := range e.Sections {
		n.handle(from, &e.Sections[i])
	}
}

// fromLatestRun reports whether a message is from the latest run of its sender.
// The first message of a new run ends all tickets of earlier runs at this router.
func (n *Node) fromLatestRun(from string, incarnation uint32) bool {
	p := n.peers[from]
	if p == nil {
		n.peers[from] = &peerRecord{incarnation: incarnation}
		return true
	}
	if p.incarnation == incarnation {
		return true
	}
	if slices.Contains(p.earlier, incarnation) {
		return false
	}
	p.earlier = append(p.earlier, p.incarnation)
	if len(p.earlier) > maxEarlierIncarnations {
		p.earlier = p.earlier[1:]
	}
	p.incarnation = incarnation
	for _, name := range sortedKeys(n.dispatchers) {
		n.dispatchers[name].dropOtherRuns(from, incarnation)
	}
	return true
}

// firstSeq returns the sequence number before that of the first ticket of a run.
// Two runs of a host must not share sequence numbers, because a grant for a ticket
// of the earlier run would be mistaken for one of the later run.
func firstSeq(incarnation uint32) uint64 { return uint64(incarnation) << seqBits }

// incarnationOf returns the incarnation of the entry that assigned a sequence
// number.
func incarnationOf(seq uint64) uint32 { return uint32(seq >> seqBits) }

// handle processes the messages of one section. Messages that free capacity, such
// as finishes, come before those that use it.
func (n *Node) handle(from string, s *section) {
	if s.Claim != nil {
		n.observeClaim(from, s.Cell, *s.Claim)
	}
	if s.Handover {
		n.claimCell(s.Cell)
	}
	if s.Counters != nil {
		n.storeCounters(s.Cell, s.Counters)
	}
	n.handleEntry(from, s)
	n.handleExchange(from, s)
	n.client.handle(from, s)
}

// handleEntry processes the messages of an entry to the dispatcher of a cell.
func (n *Node) handleEntry(from string, s *section) {
	if !s.fromEntry() {
		return
	}
	d := n.dispatchers[s.Cell]
	if d == nil {
		n.rejectEntry(from, s)
		return
	}
	d.compareEpoch(from, s)
	if n.dispatchers[s.Cell] != d {
		return
	}
	d.handle(from, s)
}

// rejectEntry tells an entry that this router does not hold the cell.
func (n *Node) rejectEntry(from string, s *section) {
	if !s.wantsAck() {
		return
	}
	reply := n.out.sectionFor(from, s.Cell)
	reply.ack().NotHolder = true
	if c := n.claims[s.Cell]; c.Holder != "" && c.Holder != n.cfg.Host && n.layout.isLive(c.Holder) {
		reply.Claim = &c
	}
}

// fromEntry reports whether the section holds messages of an entry.
func (s *section) fromEntry() bool {
	return s.wantsAck() || len(s.Cancels)+len(s.Declines)+len(s.Usages)+len(s.Progress) > 0
}

// wantsAck reports whether the sender expects an acknowledgement.
func (s *section) wantsAck() bool {
	return s.State != nil || len(s.Submits)+len(s.Waiting)+len(s.Finishes) > 0
}

// ack returns the acknowledgement in the section, adding it if necessary.
func (s *section) ack() *ackMessage {
	if s.Ack == nil {
		s.Ack = &ackMessage{}
	}
	return s.Ack
}
