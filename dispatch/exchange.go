package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// remoteCell is the last summary received from another cell.
type remoteCell struct {
	summary    Summary
	receivedAt time.Time
}

// reservation keeps slots free for the tickets of a pull until they arrive or
// the pull times out.
type reservation struct {
	until     time.Time
	workspace string
	count     int // slots that are still reserved
}

// maxLendScan is the maximum number of tickets of one queue that Lend compares.
const maxLendScan = 64

// Summary returns the next summary to send to the other cells of the service.
func (s *Scheduler) Summary(now time.Time) Summary {
	s.checkUpstreams(now)
	s.expireExchange(now)
	summary := Summary{FreeSlots: s.freeSlots(now)}
	full := s.policy.FullSummaryEvery > 0 && s.summariesSent%s.policy.FullSummaryEvery == 0
	s.summariesSent++
	own := map[string]Counter{}
	for name, w := range s.workspaces {
		if c, ok := s.counters[s.incarnation][name]; ok && (full || w.dirty || w.backlogIndex >= 0) {
			own[name] = c
		}
		w.dirty = false
		if w.backlogIndex >= 0 {
			summary.Waiting = append(summary.Waiting, w.queueSummary())
		}
	}
	sort.Slice(summary.Waiting, func(i, j int) bool {
		return summary.Waiting[i].Workspace < summary.Waiting[j].Workspace
	})
	summary.Counters = map[string]map[string]Counter{s.incarnation: own}
	return summary
}

// queueSummary summarizes the queue of w.
func (w *workspace) queueSummary() Waiting {
	mean := ticket.Units(w.costs.mean)
	if mean == 0 {
		mean = w.firstWaiting().estimate
	}
	return Waiting{Workspace: w.name, Tickets: w.waiting(), Cost: mean * ticket.Units(w.waiting())}
}

// freeSlots returns the number of free slots that no pull has reserved.
func (s *Scheduler) freeSlots(now time.Time) int {
	free := 0
	for _, u := range s.upstreams {
		free += max(u.capacity()-u.running, 0)
	}
	for _, res := range s.reservations {
		if res.until.After(now) {
			free -= res.count
		}
	}
	return max(free, 0)
}

// MergeSummary stores the summary of another cell and merges its counters.
func (s *Scheduler) MergeSummary(now time.Time, cell string, summary Summary) {
	if cell == s.cell {
		return
	}
	s.MergeCounters(summary.Counters)
	if s.remotes[cell] == nil {
		s.remoteNames = append(s.remoteNames, cell)
		slices.Sort(s.remoteNames)
	}
	// reserve lowers the counts of the stored summary, and the caller may pass the
	// same summary to several schedulers.
	summary.Waiting = slices.Clone(summary.Waiting)
	s.remotes[cell] = &remoteCell{summary: summary, receivedAt: now}
}

// ForgetCell drops the summary of a cell that no longer exists. Its counters are
// kept.
func (s *Scheduler) ForgetCell(cell string) {
	if s.remotes[cell] == nil {
		return
	}
	delete(s.remotes, cell)
	s.remoteNames = slices.DeleteFunc(s.remoteNames, func(name string) bool { return name == cell })
}

// backloggedElsewhere reports whether the workspace has waiting tickets in
// another cell.
func (s *Scheduler) backloggedElsewhere(name string) bool {
	for _, r := range s.remotes {
		for _, w := range r.summary.Waiting {
			if w.Workspace == name && w.Tickets > 0 {
				return true
			}
		}
	}
	return false
}

// lowestRemote returns the lowest virtual service of the workspaces with waiting
// tickets in other cells, +Inf if there are none.
func (s *Scheduler) lowestRemote() float64 {
	lowest := math.Inf(1)
	for _, r := range s.remotes {
		for _, waiting := range r.summary.Waiting {
			if w := s.workspaces[waiting.Workspace]; w != nil && waiting.Tickets > 0 {
				lowest = min(lowest, w.virtualService)
			}
		}
	}
	return lowest
}

// Pulls returns the requests for tickets of other cells. Call it after Next
// returned false. It fills free slots, and when there are none, it serves remote
// workspaces whose virtual service is below that of every local one by more than
// Policy.ExchangeThreshold.
func (s *Scheduler) Pulls(now time.Time) []Pull {
	if !s.policy.isLacewing() || len(s.remotes) == 0 {
		return nil
	}
	s.expireExchange(now)
	if free := s.freeSlots(now); free > 0 {
		return s.pullLowest(now, free, math.Inf(1))
	}
	if len(s.backlogged) == 0 || len(s.reservations) > 0 {
		return nil
	}
	return s.pullLagging(now, s.lowestLocal()-float64(s.policy.ExchangeThreshold))
}

// lowestLocal returns the lowest virtual service of the workspaces with waiting
// tickets of this cell, +Inf if there are none. Borrowed tickets do not count:
// otherwise the first borrowed ticket would make its workspace the lowest here,
// and no more of its tickets would be pulled.
func (s *Scheduler) lowestLocal() float64 {
	lowest := math.Inf(1)
	for _, w := range s.backlogged {
		if !w.atPlanLimit() && w.waiting() > w.borrowed {
			lowest = min(lowest, w.virtualService)
		}
	}
	return lowest
}

// pullLagging pulls enough tickets of each remote workspace whose virtual service is
// below level to bring it up to level. It pulls them before slots are free, because
// when many slots become free at once, a pull would come too late. No more borrowed
// tickets wait here than there are slots.
func (s *Scheduler) pullLagging(now time.Time, level float64) []Pull {
	if math.IsInf(level, 1) {
		return nil
	}
	spareSlots := 0
	for _, u := range s.upstreams {
		spareSlots += u.capacity()
	}
	for _, w := range s.backlogged {
		spareSlots -= w.borrowed
	}
	var pulls []Pull
	for _, offer := range s.offers(now, level) {
		w := s.workspaces[offer.waiting.Workspace]
		mean := max(float64(offer.waiting.Cost)/float64(offer.waiting.Tickets), 1)
		missing := int(math.Ceil((level-w.virtualService)*w.weight()/mean)) - w.borrowed
		count := min(missing, offer.waiting.Tickets, spareSlots)
		if count <= 0 {
			continue
		}
		spareSlots -= count
		pulls = append(pulls, s.reserve(now, offer, count))
	}
	return pulls
}

// reserve returns a pull of count tickets of an offer and reserves their slots.
func (s *Scheduler) reserve(now time.Time, o offer, count int) Pull {
	o.waiting.Tickets -= count
	s.reservations = append(s.reservations, reservation{
		until:     now.Add(s.policy.PullTimeout),
		workspace: o.waiting.Workspace,
		count:     count,
	})
	return Pull{Cell: o.cell, Workspace: o.waiting.Workspace, Count: count}
}

// expireExchange drops reservations that timed out and the queues of cells that
// sent no summary for Policy.SummaryTTL: during a partition, work waiting in an
// unreachable cell must not keep a workspace at an old virtual service here.
func (s *Scheduler) expireExchange(now time.Time) {
	s.reservations = slices.DeleteFunc(s.reservations, func(res reservation) bool { return res.count <= 0 || !res.until.After(now) })
	for _, r := range s.remotes {
		if now.Sub(r.receivedAt) > s.policy.SummaryTTL {
			r.summary.Waiting = nil
		}
	}
}

// releaseReservation releases one slot reserved for a pulled ticket of the workspace.
func (s *Scheduler) releaseReservation(workspace string) {
	for i := range s.reservations {
		if s.reservations[i].workspace == workspace && s.reservations[i].count > 0 {
			s.reservations[i].count--
			return
		}
	}
}

// pullLowest pulls up to count tickets, from the remote workspaces with the lowest
// virtual service first. Workspaces whose virtual service is at or above level are
// skipped.
func (s *Scheduler) pullLowest(now time.Time, count int, level float64) []Pull {
	var pulls []Pull
	for _, offer := range s.offers(now, level) {
		if count <= 0 {
			break
		}
		n := min(count, offer.waiting.Tickets)
		count -= n
		pulls = append(pulls, s.reserve(now, offer, n))
	}
	return pulls
}

// offer is a remote queue from which tickets can be pulled.
type offer struct {
	cell           string
	waiting        *Waiting
	virtualService float64
}

// offers returns the remote queues, in cells without free slots, of workspaces whose
// virtual service is below level, lowest first.
func (s *Scheduler) offers(now time.Time, level float64) []offer {
	var found []offer
	for _, cell := range s.remoteNames {
		r := s.remotes[cell]
		if now.Sub(r.receivedAt) > s.policy.SummaryTTL || r.summary.FreeSlots > 0 {
			continue
		}
		for i := range r.summary.Waiting {
			waiting := &r.summary.Waiting[i]
			w := s.workspaces[waiting.Workspace]
			if w == nil || waiting.Tickets <= 0 || w.atPlanLimit() || w.virtualService >= level {
				continue
			}
			found = append(found, offer{cell: cell, waiting: waiting, virtualService: w.virtualService})
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].virtualService < found[j].virtualService })
	return found
}

// Lend removes up to p.Count waiting tickets and returns them for another cell.
// Tickets that are cheap to move, with few body bytes relative to their cost, go
// first.
func (s *Scheduler) Lend(now time.Time, p Pull) []ticket.Ticket {
	var lent []ticket.Ticket
	for len(lent) < p.Count {
		qt := s.nextToLend(p.Workspace)
		if qt == nil {
			break
		}
		s.dequeue(qt)
		lent = append(lent, qt.ticket)
	}
	return lent
}

// nextToLend returns the next ticket to lend of the workspace, or of any workspace
// if name is empty; nil if there is none.
func (s *Scheduler) nextToLend(name string) *queuedTicket {
	var w *workspace
	if name != "" {
		w = s.workspaces[name]
	} else {
		w, _ = s.scanBacklog()
	}
	if w == nil || w.backlogIndex < 0 {
		return nil
	}
	q := &w.short
	if q.len() == 0 {
		q = &w.long
	}
	return q.cheapestToMove()
}

// cheapestToMove returns the ticket with the lowest moveCost among the first
// maxLendScan tickets of the queue.
func (q *queue) cheapestToMove() *queuedTicket {
	var best *queuedTicket
	scanned := 0
	q.tree.Ascend(func(qt *queuedTicket) bool {
		if best == nil || qt.moveCost() < best.moveCost() {
			best = qt
		}
		scanned++
		return scanned < maxLendScan
	})
	return best
}

// moveCost returns the body bytes per milli-unit of estimated cost.
func (qt *queuedTicket) moveCost() float64 {
	return float64(qt.ticket.BodyBytes) / float64(max(qt.estimate, 1))
}
