// Package ledger accounts for what a router holds for its callers, connection by connection,
// and decides which connections are closed when that is too much. It answers the load of
// crowds that open many connections, send much and then stop. It does no I/O, has no clock
// of its own and is not safe for concurrent use.
package ledger

import (
	"container/list"
	"time"
)

// Usage is what one or more connections hold.
type Usage struct {
	Bytes       int64 // estimate of memory
	Descriptors int
}

func (u Usage) plus(o Usage) Usage {
	return Usage{u.Bytes + o.Bytes, u.Descriptors + o.Descriptors}
}

func (u Usage) minus(o Usage) Usage {
	return Usage{u.Bytes - o.Bytes, u.Descriptors - o.Descriptors}
}

// Limits bounds what a ledger admits.
type Limits struct {
	Usage // of all callers' connections; no descriptors means that they are not limited
	// Reserve is what connections to the router's own services, such as readiness, may
	// hold. Neither kind takes room from the other.
	Reserve Usage
	// AddressPart and WorkspacePart are the largest parts of Usage that one caller address
	// and one workspace may hold. They apply also while there are no others, as these could
	// not even connect otherwise.
	AddressPart, WorkspacePart float64
	// MinStall is the time without progress from which a connection may be closed for
	// others.
	MinStall time.Duration
	// MinProgress is the number of bytes that count as progress.
	MinProgress int64
}

// part returns what one owner may hold.
func (l Limits) part(kind ownerKind) Usage {
	ratio := l.AddressPart
	if kind == workspaceOwner {
		ratio = l.WorkspacePart
	}
	return Usage{int64(ratio * float64(l.Bytes)), int(ratio * float64(l.Descriptors))}
}

// Phase is what a connection does.
type Phase uint8

// Phases of a connection.
const (
	// Waiting connections have no request.
	Waiting Phase = iota
	// Receiving connections have sent a part of a request.
	Receiving
	// Serving connections have sent a whole request, which the router works on. They are
	// never closed for others.
	Serving
)

func (p Phase) String() string { return [...]string{"waiting", "receiving", "serving"}[p] }

// Reason tells why there is no room. It is empty if there is.
type Reason string

// Reasons.
const (
	// Full: nothing can be closed to make room.
	Full Reason = "router holds as much as it may for callers"
	// PartTaken: the caller's address or workspace holds its part.
	PartTaken Reason = "caller holds as much as one may"
)

// ownerKind tells what an owner is.
type ownerKind uint8

const (
	addressOwner ownerKind = iota
	workspaceOwner
	ownerKinds
)

// owner is a caller address or a workspace with what its connections hold.
type owner struct {
	name     string
	used     Usage
	accounts int
}

// Account is one connection.
type Account struct {
	Address string // of the caller, without its port
	Used    Usage
	Phase   Phase
	// Since is the time of the latest progress, Closed whether the account is no longer
	// part of a ledger.
	Since  time.Time
	Closed bool

	service  bool // of the router's own
	progress int64
	owners   [ownerKinds]*owner
	element  *list.Element // in the queue of the phase, nil while Serving
}

// Ledger holds the accounts of a router.
type Ledger struct {
	limits Limits
	used   [2]Usage // of callers' connections, and of those to services
	count  int
	owners [ownerKinds]map[string]*owner
	// queues holds the accounts of each phase that may be closed, those without progress
	// for the longest time first.
	queues [Serving]*list.List
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	l := &Ledger{limits: limits}
	for i := range l.owners {
		l.owners[i] = map[string]*owner{}
	}
	for i := range l.queues {
		l.queues[i] = list.New()
	}
	return l
}

// Used returns what all connections hold and their number.
func (l *Ledger) Used() (Usage, int) { return l.used[0].plus(l.used[1]), l.count }

// usedLike returns what all connections of the same kind as a hold.
func (l *Ledger) usedLike(a *Account) *Usage {
	if a.service {
		return &l.used[1]
	}
	return &l.used[0]
}

// Open adds the account of a new connection that holds the given usage. service tells that
// it uses a service of the router's own. The returned accounts have to be closed to make
// room. Without room there is a reason and no account.
func (l *Ledger) Open(now time.Time, address string, service bool, holds Usage) (*Account, []*Account, Reason) {
	a := &Account{Address: address, Since: now, service: service}
	l.count++
	l.setOwner(a, addressOwner, address)
	l.enqueue(a)
	closed, reason := l.Hold(now, a, holds)
	if reason != "" {
		l.Close(a)
		return nil, closed, reason
	}
	return a, closed, ""
}

// Hold sets what an account holds. The returned accounts are closed to make room for it.
// Without room there is a reason, and the account holds what it held before.
func (l *Ledger) Hold(now time.Time, a *Account, holds Usage) ([]*Account, Reason) {
	if a.Closed {
		return nil, Full
	}
	more := holds.minus(a.Used)
	var closed []*Account
	for kind := range a.owners {
		var reason Reason
		if closed, reason = l.makePart(now, a, ownerKind(kind), more, closed); reason != "" {
			return closed, reason
		}
	}
	closed, reason := l.makeRoom(now, a, more, closed)
	if reason == "" {
		l.add(a, more)
	}
	return closed, reason
}

// Force sets what an account holds even if there is no room, for what is already held. The
// returned accounts are closed for it.
func (l *Ledger) Force(now time.Time, a *Account, holds Usage) []*Account {
	closed, reason := l.Hold(now, a, holds)
	if reason != "" && !a.Closed {
		l.add(a, holds.minus(a.Used))
	}
	return closed
}

// makePart closes accounts of an owner of a until more fits into the owner's part.
func (l *Ledger) makePart(now time.Time, a *Account, kind ownerKind, more Usage, closed []*Account) ([]*Account, Reason) {
	o := a.owners[kind]
	if o == nil || a.service {
		return closed, ""
	}
	part := l.limits.part(kind)
	for exceeds(o.used, more, part) {
		victim := l.victim(now, func(other *Account) bool { return other != a && other.owners[kind] == o && !other.service })
		if victim == nil {
			return closed, PartTaken
		}
		l.Close(victim)
		closed = append(closed, victim)
	}
	return closed, ""
}

// makeRoom closes accounts until more fits into the limits.
func (l *Ledger) makeRoom(now time.Time, a *Account, more Usage, closed []*Account) ([]*Account, Reason) {
	limit := l.limits.Usage
	if a.service {
		limit = l.limits.Reserve
	}
	if l.limits.Descriptors == 0 {
		limit.Descriptors = 0
	}
	for exceeds(*l.usedLike(a), more, limit) {
		victim := l.victim(now, func(other *Account) bool { return other != a && other.service == a.service })
		if victim == nil {
			return closed, Full
		}
		l.Close(victim)
		closed = append(closed, victim)
	}
	return closed, ""
}

// exceeds reports whether a kind of usage grows above its limit.
func exceeds(used, more, limit Usage) bool {
	return more.Bytes > 0 && used.Bytes+more.Bytes > limit.Bytes ||
		more.Descriptors > 0 && limit.Descriptors > 0 && used.Descriptors+more.Descriptors > limit.Descriptors
}

// victim returns the permitted account to close next: one that has sent a part of a request
// before one that has none, and of these the one without progress for the longest time.
func (l *Ledger) victim(now time.Time, permitted func(*Account) bool) *Account {
	for _, phase := range []Phase{Receiving, Waiting} {
		for e := l.queues[phase].Front(); e != nil; e = e.Next() {
			a := accountOf(e)
			if now.Sub(a.Since) < l.limits.MinStall {
				break
			}
			if permitted(a) {
				return a
			}
		}
	}
	return nil
}

func accountOf(e *list.Element) *Account {
	a, ok := e.Value.(*Account)
	if !ok {
		panic("queue holds something other than an account") // a bug in this package
	}
	return a
}

// Moved records bytes that a connection has sent.
func (l *Ledger) Moved(now time.Time, a *Account, bytes int64) {
	a.progress += bytes
	if a.progress >= l.limits.MinProgress {
		l.renew(now, a)
	}
}

// Enter records that a connection begins a phase, which is progress.
func (l *Ledger) Enter(now time.Time, a *Account, p Phase) {
	if a.Closed {
		return
	}
	l.dequeue(a)
	a.Phase = p
	a.Since, a.progress = now, 0
	l.enqueue(a)
}

// Assign records the workspace whose request a connection carries.
func (l *Ledger) Assign(a *Account, workspace string) {
	if !a.Closed {
		l.setOwner(a, workspaceOwner, workspace)
	}
}

// Close removes an account.
func (l *Ledger) Close(a *Account) {
	if a.Closed {
		return
	}
	l.dequeue(a)
	for kind := range a.owners {
		l.setOwner(a, ownerKind(kind), "")
	}
	used := l.usedLike(a)
	*used = used.minus(a.Used)
	l.count--
	a.Closed = true
}

// add changes what an account and its owners hold.
func (l *Ledger) add(a *Account, more Usage) {
	a.Used = a.Used.plus(more)
	used := l.usedLike(a)
	*used = used.plus(more)
	for _, o := range a.owners {
		if o != nil {
			o.used = o.used.plus(more)
		}
	}
}

// setOwner makes an account that of an owner; an empty name means none.
func (l *Ledger) setOwner(a *Account, kind ownerKind, name string) {
	if o := a.owners[kind]; o != nil {
		if o.name == name {
			return
		}
		o.used = o.used.minus(a.Used)
		o.accounts--
		if o.accounts == 0 {
			delete(l.owners[kind], o.name)
		}
		a.owners[kind] = nil
	}
	if name == "" {
		return
	}
	o := l.owners[kind][name]
	if o == nil {
		o = &owner{name: name}
		l.owners[kind][name] = o
	}
	o.used = o.used.plus(a.Used)
	o.accounts++
	a.owners[kind] = o
}

// renew records progress of an account.
func (l *Ledger) renew(now time.Time, a *Account) {
	a.Since, a.progress = now, 0
	if a.element != nil {
		l.queues[a.Phase].MoveToBack(a.element)
	}
}

func (l *Ledger) enqueue(a *Account) {
	if a.Phase < Serving {
		a.element = l.queues[a.Phase].PushBack(a)
	}
}

func (l *Ledger) dequeue(a *Account) {
	if a.element != nil {
		l.queues[a.Phase].Remove(a.element)
		a.element = nil
	}
}
