package dispatch

import (
	"github.com/google/btree"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// treeDegree is the fan-out of the ordered queues.
const treeDegree = 16

// queuedTicket is one waiting ticket.
type queuedTicket struct {
	ticket   ticket.Ticket
	owner    *workspace
	estimate ticket.Units // expected remaining cost
	long     bool         // counts as long work
	// sortKey is the sort key of the queue: the latest start that meets the
	// deadline, as a Unix time in nanoseconds, or seq in the baseline policies.
	sortKey int64
	// expiry is when the ticket is refused, as a Unix time in nanoseconds, zero
	// for never.
	expiry   int64
	enqueued int64  // Unix nanoseconds
	seq      uint64 // order of enqueueing
}

// queue holds the waiting tickets of one class (short or long) of one workspace in
// the order in which they should start. head caches the first one, because every
// scheduling decision reads it for each backlogged workspace.
type queue struct {
	tree *btree.BTreeG[*queuedTicket]
	head *queuedTicket
}

// hasRun reports whether part of the request has already run. Such a ticket is
// never refused, because a refusal tells the caller that nothing ran.
func (qt *queuedTicket) hasRun() bool { return hasRun(&qt.ticket) }

func hasRun(t *ticket.Ticket) bool {
	return t.Stops > 0 || t.PriorUsage != ticket.Usage{}
}

func newQueue() queue {
	return queue{tree: btree.NewG(treeDegree, startsBefore)}
}

func startsBefore(a, b *queuedTicket) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.seq < b.seq
}

func expiresBefore(a, b *queuedTicket) bool {
	if a.expiry != b.expiry {
		return a.expiry < b.expiry
	}
	return a.seq < b.seq
}

func (q *queue) len() int { return q.tree.Len() }

func (q *queue) add(qt *queuedTicket) {
	q.tree.ReplaceOrInsert(qt)
	if q.head == nil || startsBefore(qt, q.head) {
		q.head = qt
	}
}

func (q *queue) remove(qt *queuedTicket) {
	q.tree.Delete(qt)
	if q.head == qt {
		q.head, _ = q.tree.Min()
	}
}

// last returns the ticket that would start last, nil if the queue is empty.
func (q *queue) last() *queuedTicket {
	qt, _ := q.tree.Max()
	return qt
}
