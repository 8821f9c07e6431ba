package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// overheadBytes is the assumed transport overhead per message.
const overheadBytes = 60

// sim simulates a fleet of nodes and a seeded network that loses, duplicates,
// delays, reorders and blocks messages.
type sim struct {
	rng        *rand.Rand
	now        time.Time
	queue      simQueue
	seq        int
	routers    map[string]*simRouter
	hosts      []string
	hostList   []objectapi.Host
	loss       float64                    // fraction of the messages lost
	duplicated float64                    // fraction of the messages delivered twice
	delayed    float64                    // fraction of the messages delayed by up to a second
	cut        func(from, to string) bool // reports whether messages are blocked
	changes    []stateChange
	sent       map[string]int // bytes by host, with overheadBytes per message
	received   map[string]int // the same for received messages
	onOutput   func(r *simRouter, out Output)
}

type simRouter struct {
	node     *Node
	member   Member
	down     bool
	frozen   bool
	buffered []simEvent // events that came due while frozen
	wake     time.Time  // latest Output.Wake; a Tick due at another time is ignored
	starts   int
	// clockBack makes the next start use a lower incarnation.
	clockBack bool
}

// stateChange is an event about a member, recorded by the router viewer.
type stateChange struct {
	at     time.Duration // since simStart
	viewer string
	event  string // name and detail, such as "dead router-003 dead"
}

// simEvent is an input of a router or, if call is set, a function call.
type simEvent struct {
	at     time.Time
	seq    int
	host   string
	starts int
	in     Input
	call   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSim returns a fleet whose routers are spread evenly over regions and data
// centres.
func newSim(seed uint64, count, regions, dataCentres int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: simStart,
		routers: map[string]*simRouter{}, sent: map[string]int{}, received: map[string]int{},
		cut: func(string, string) bool { return false },
	}
	for i := range count {
		dc := i % dataCentres
		m := Member{
			Host: fmt.Sprintf("router-%03d", i), Region: fmt.Sprintf("region-%d", dc%regions),
			DataCentre: fmt.Sprintf("region-%d-dc%d", dc%regions, dc),
			Address:    fmt.Sprintf("10.%d.0.%d:8080", dc, i), PeerAddress: fmt.Sprintf("10.%d.0.%d:8081", dc, i),
			AdminAddress: fmt.Sprintf("10.%d.0.%d:8082", dc, i), Incarnation: 1,
		}
		s.hosts = append(s.hosts, m.Host)
		s.hostList = append(s.hostList, objectapi.Host{ID: m.Host, Kind: objectapi.HostRouter, Region: m.Region})
		s.routers[m.Host] = &simRouter{member: m, down: true}
	}
	return s
}

func (s *sim) push(e simEvent) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// at calls f after d.
func (s *sim) at(d time.Duration, f func()) { s.push(simEvent{at: s.now.Add(d), call: f}) }

// start boots a router with a new incarnation.
func (s *sim) start(host string) {
	r := s.routers[host]
	r.down, r.frozen, r.buffered = false, false, nil
	r.starts++
	r.member.Incarnation = uint64(s.now.UnixMilli())
	if r.clockBack {
		r.member.Incarnation /= 2
	}
	r.node = NewNode(Config{Self: r.member}, s.rng.Uint64())
	s.step(r, HostList{s.hostList})
}

func (s *sim) startAll(within time.Duration) {
	for _, host := range s.hosts {
		s.at(time.Duration(s.rng.Int64N(int64(within))), func() { s.start(host) })
	}
}

func (s *sim) crash(host string)  { s.routers[host].down = true }
func (s *sim) freeze(host string) { s.routers[host].frozen = true }

// thaw resumes a frozen router, which then handles everything that arrived in the
// meantime.
func (s *sim) thaw(host string) {
	r := s.routers[host]
	r.frozen = false
	for _, e := range r.buffered {
		e.at = s.now
		s.push(e)
	}
	r.buffered = nil
	s.step(r, Tick{})
}

func (s *sim) step(r *simRouter, in Input) {
	out := r.node.Step(s.now, in)
	host := r.member.Host
	for _, e := range out.Events {
		s.changes = append(s.changes, stateChange{s.now.Sub(simStart), host, e.Name + " " + e.Detail})
	}
	for _, m := range out.Send {
		s.deliver(host, m)
	}
	r.wake = out.Wake
	s.push(simEvent{at: out.Wake, host: host, starts: r.starts, in: Tick{}})
	if s.onOutput != nil {
		s.onOutput(r, out)
	}
}

func (s *sim) deliver(from string, m Outgoing) {
	s.sent[from] += len(m.Body) + overheadBytes
	if s.routers[m.To] == nil || s.cut(from, m.To) || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplicated {
		copies = 2
	}
	for range copies {
		s.push(simEvent{at: s.now.Add(s.latency(from, m.To)), host: m.To, in: Receive{from, m.Body}})
	}
}

func (s *sim) latency(from, to string) time.Duration {
	base := 500 * time.Microsecond
	if s.routers[from].member.Region != s.routers[to].member.Region {
		base = 8 * time.Millisecond
	}
	if s.rng.Float64() < s.delayed {
		base += time.Duration(s.rng.Int64N(int64(time.Second)))
	}
	return base + time.Duration(s.rng.Int64N(int64(time.Millisecond)))
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		s.handle(e)
	}
	s.now = end
}

func (s *sim) handle(e simEvent) {
	if e.call != nil {
		e.call()
		return
	}
	r := s.routers[e.host]
	if _, tick := e.in.(Tick); tick && (e.starts != r.starts || !e.at.Equal(r.wake)) {
		return
	}
	if r.down {
		return
	}
	if r.frozen {
		r.buffered = append(r.buffered, e)
		return
	}
	if m, ok := e.in.(Receive); ok {
		s.received[e.host] += len(m.Body) + overheadBytes
	}
	s.step(r, e.in)
}

// running returns the routers that are up and not frozen.
func (s *sim) running() []string {
	var hosts []string
	for _, host := range s.hosts {
		if r := s.routers[host]; !r.down && !r.frozen {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// disagreement describes the first viewer whose live members are not the wanted
// ones, or returns "".
func (s *sim) disagreement(viewers, wanted []string) string {
	for _, viewer := range viewers {
		got := map[string]bool{}
		for _, m := range s.routers[viewer].node.Live(s.now) {
			got[m.Host] = m.State != Suspect
		}
		for _, host := range wanted {
			if !got[host] {
				return fmt.Sprintf("%s at %s lacks live member %s", viewer, s.now.Sub(simStart), host)
			}
		}
		if len(got) != len(wanted) {
			return fmt.Sprintf("%s at %s has %d live members instead of %d", viewer, s.now.Sub(simStart), len(got), len(wanted))
		}
	}
	return ""
}

// settle runs until the live members of all viewers are the wanted ones, at most
// for limit. It returns how long that took, and the remaining disagreement.
func (s *sim) settle(limit time.Duration, viewers, wanted []string) (time.Duration, string) {
	begin := s.now
	for {
		problem := s.disagreement(viewers, wanted)
		if problem == "" || s.now.Sub(begin) >= limit {
			return s.now.Sub(begin), problem
		}
		s.run(20 * time.Millisecond)
	}
}

// count returns the number of state changes with the given name since a time.
func (s *sim) count(name string, since time.Time) int {
	total := 0
	for _, v := range s.changes {
		if v.at >= since.Sub(simStart) && len(v.event) >= len(name) && v.event[:len(name)] == name {
			total++
		}
	}
	return total
}
