// Package reference is a simple global scheduler with which tests compare package
// dispatch. It keeps one queue for all upstreams, scans all of it for each
// decision, and knows in advance the exact cost of each request and which
// upstreams are slow. It is written for clarity, not speed.
package reference

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Knowledge gives the reference scheduler facts that a real scheduler can only
// estimate.
type Knowledge struct {
	// Cost returns the remaining cost of the ticket.
	Cost func(t ticket.Ticket) ticket.Units
	// RunTime returns the remaining run time of the ticket at full speed.
	RunTime func(t ticket.Ticket) time.Duration
	// Slowed reports whether an upstream is slow at present.
	Slowed func(upstream string) bool
}

// Scheduler is the reference scheduler.
type Scheduler struct {
	policy     dispatch.Policy
	knowledge  Knowledge
	queue      []ticket.Ticket // in the order of arrival
	workspaces map[string]*workspace
	upstreams  []*upstream
	runs       map[string]*run
	// floor is the highest value so far of the lowest virtual service of the waiting
	// workspaces. A workspace that was idle starts no lower.
	floor float64
}

type workspace struct {
	limits  dispatch.Limits
	charged ticket.Units // full cost of all grants
	offset  float64
	running int
	waiting int
}

type upstream struct {
	config  dispatch.Upstream
	running int
	long    int
}

type run struct {
	ticket   ticket.Ticket
	upstream *upstream
}

// New returns a reference scheduler. Of the policy it uses Window,
// LongWorkCost, LongShare and AssumedDeadline.
func New(policy dispatch.Policy, knowledge Knowledge) *Scheduler {
	return &Scheduler{
		policy:     policy,
		knowledge:  knowledge,
		workspaces: map[string]*workspace{},
		runs:       map[string]*run{},
	}
}

// SetWorkspace adds a workspace or changes its limits.
func (s *Scheduler) SetWorkspace(name string, l dispatch.Limits) {
	if s.workspaces[name] == nil {
		s.workspaces[name] = &workspace{}
	}
	s.workspaces[name].limits = l
}

// SetUpstream adds an upstream or changes its configuration.
func (s *Scheduler) SetUpstream(c dispatch.Upstream) {
	for _, u := range s.upstreams {
		if u.config.ID == c.ID {
			u.config = c
			return
		}
	}
	s.upstreams = append(s.upstreams, &upstream{config: c})
}

// Enqueue adds a waiting ticket, or refuses it if its deadline can no longer be
// met.
func (s *Scheduler) Enqueue(now time.Time, t ticket.Ticket) *dispatch.Refusal {
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	if s.deadlineUnreachable(now, t) {
		return &dispatch.Refusal{Ticket: t, Reason: ticket.ReasonDeadline}
	}
	w := s.workspaces[t.Workspace]
	if w.waiting == 0 {
		w.offset += max(s.startLevel()-w.virtualService(), 0)
	}
	w.waiting++
	s.queue = append(s.queue, t)
	return nil
}

func (w *workspace) virtualService() float64 {
	return float64(w.charged)/w.limits.Weight + w.offset
}

func (w *workspace) atPlanLimit() bool {
	return w.limits.MaxRunning > 0 && w.running >= w.limits.MaxRunning
}

// startLevel returns the lowest virtual service of the waiting workspaces, or
// floor if none waits.
func (s *Scheduler) startLevel() float64 {
	levels := []float64{}
	for _, w := range s.workspaces {
		if w.waiting > 0 && !w.atPlanLimit() {
			levels = append(levels, w.virtualService())
		}
	}
	if len(levels) == 0 {
		return s.floor
	}
	return slices.Min(levels)
}

// latestStart returns the deadline minus the run time. A ticket without a deadline
// gets the one that Policy.AssumedDeadline implies.
func (s *Scheduler) latestStart(t ticket.Ticket) time.Time {
	deadline := t.Deadline
	if deadline.IsZero() {
		deadline = t.Arrived.Add(s.policy.AssumedDeadline)
	}
	return deadline.Add(-s.knowledge.RunTime(t))
}

func (s *Scheduler) deadlineUnreachable(now time.Time, t ticket.Ticket) bool {
	return !t.Deadline.IsZero() && now.After(s.latestStart(t))
}

// Refuse returns the waiting tickets whose deadline can no longer be met.
func (s *Scheduler) Refuse(now time.Time) []dispatch.Refusal {
	refused := []dispatch.Refusal{}
	for _, t := range slices.Clone(s.queue) {
		if s.deadlineUnreachable(now, t) {
			s.dequeue(t)
			refused = append(refused, dispatch.Refusal{Ticket: t, Reason: ticket.ReasonDeadline})
		}
	}
	return refused
}

func (s *Scheduler) dequeue(t ticket.Ticket) {
	s.queue = slices.DeleteFunc(s.queue, func(other ticket.Ticket) bool { return other.ID == t.ID })
	s.workspaces[t.Workspace].waiting--
}

// Next grants the waiting ticket with the least slack among the workspaces inside
// the window, or if LongShare excludes these, the first one of the workspace with
// the lowest virtual service.
func (s *Scheduler) Next(now time.Time) (dispatch.Grant, bool) {
	if s.leastLoaded(false) == nil {
		return dispatch.Grant{}, false
	}
	runnable := slices.DeleteFunc(slices.Clone(s.queue), func(t ticket.Ticket) bool {
		return s.workspaces[t.Workspace].atPlanLimit()
	})
	if len(runnable) == 0 {
		return dispatch.Grant{}, false
	}
	slices.SortStableFunc(runnable, s.bySlack)
	lowest := slices.MinFunc(runnable, s.byService)
	level := s.workspaces[lowest.Workspace].virtualService()
	s.floor = max(s.floor, level)
	shortWaits := slices.ContainsFunc(runnable, func(t ticket.Ticket) bool { return !s.long(t) })
	for _, t := range runnable {
		inside := s.workspaces[t.Workspace].virtualService() <= level+float64(s.policy.Window)
		u := s.leastLoaded(shortWaits && s.long(t))
		if inside && u != nil {
			return s.grant(t, u), true
		}
	}
	return s.grant(lowest, s.leastLoaded(false)), true
}

func (s *Scheduler) bySlack(a, b ticket.Ticket) int {
	return s.latestStart(a).Compare(s.latestStart(b))
}

func (s *Scheduler) byService(a, b ticket.Ticket) int {
	return cmp.Compare(s.workspaces[a.Workspace].virtualService(), s.workspaces[b.Workspace].virtualService())
}

func (s *Scheduler) long(t ticket.Ticket) bool {
	return s.knowledge.Cost(t) >= s.policy.LongWorkCost
}

// leastLoaded returns the least loaded free upstream that is not slow, nil if there
// is none. With keepLongShare, upstreams at Policy.LongShare are left out.
func (s *Scheduler) leastLoaded(keepLongShare bool) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		longFull := u.long+1 > int(s.policy.LongShare*float64(u.config.Slots))
		if u.config.Leaving || u.running >= u.config.Slots || s.knowledge.Slowed(u.config.ID) || (keepLongShare && longFull) {
			continue
		}
		if best == nil || u.running*best.config.Slots < best.running*u.config.Slots {
			best = u
		}
	}
	return best
}

func (s *Scheduler) grant(t ticket.Ticket, u *upstream) dispatch.Grant {
	s.dequeue(t)
	w := s.workspaces[t.Workspace]
	w.running++
	w.charged += s.knowledge.Cost(t)
	u.running++
	if s.long(t) {
		u.long++
	}
	s.runs[t.ID] = &run{ticket: t, upstream: u}
	return dispatch.Grant{Ticket: t, Upstream: u.config.ID}
}

// Finish ends a run.
func (s *Scheduler) Finish(_ time.Time, id string, _ ticket.Usage, _ dispatch.Outcome, _ dispatch.Sample) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	s.workspaces[r.ticket.Workspace].running--
	r.upstream.running--
	if s.long(r.ticket) {
		r.upstream.long--
	}
}

// Progress does nothing: the cost was known at the grant.
func (s *Scheduler) Progress(time.Time, string, ticket.Usage) {}

// Stops returns nothing: the reference never stops running work.
func (s *Scheduler) Stops(time.Time) []string { return nil }

// Wake returns when the next waiting ticket can no longer meet its deadline, zero
// for never.
func (s *Scheduler) Wake(time.Time) time.Time {
	var wake time.Time
	for _, t := range s.queue {
		at := s.latestStart(t).Add(time.Nanosecond)
		if !t.Deadline.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}
