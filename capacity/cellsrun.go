package capacity

import (
	"sort"
	"time"

	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
)

const (
	// queuedPerWorkspace is the length of the queue of a backlogged workspace.
	queuedPerWorkspace = 10
	cellsWarmup        = 3 * time.Second
	cellsTime          = 2 * time.Second
	// reconnectTime is how long the callers of lost nodes take to come back.
	reconnectTime = 2 * time.Second
	takeoverLimit = 3 * time.Second
)

// Cells is one measurement of entries, dispatchers and the exchange.
type Cells struct {
	Nodes int `json:"nodes"`
	Cells int `json:"cells"`
	// Rate is requests a second per node.
	Rate float64 `json:"requests_per_second"`
	// Messages, Bytes, Steps and CPUSeconds are per node and second. Bytes are
	// bodies only.
	Messages   float64 `json:"messages_per_second"`
	Bytes      float64 `json:"body_bytes_per_second"`
	MaxBytes   float64 `json:"max_body_bytes_per_second"`
	Steps      float64 `json:"steps_per_second"`
	CPUSeconds float64 `json:"cpu_seconds_per_second"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	HeapBytes  float64 `json:"heap_bytes"`
	Loss       *Loss   `json:"loss,omitempty"`
}

// Loss is what the loss of a data centre costs the cells. Detection is not part
// of it: the time starts when the nodes get the view without the lost hosts.
type Loss struct {
	Nodes int `json:"lost_nodes"`
	// CellsMoved had their dispatcher on a lost node.
	CellsMoved int `json:"cells_moved"`
	// ReadySeconds is the time until every cell has a ready dispatcher.
	ReadySeconds float64 `json:"ready_seconds"`
	// Messages, Bytes and MaxBytes are totals per node until ready, MaxBytes of
	// the node that sent the most.
	Messages   float64 `json:"messages"`
	Bytes      float64 `json:"body_bytes"`
	MaxBytes   float64 `json:"max_body_bytes"`
	CPUSeconds float64 `json:"cpu_seconds"`
	// Reconnected are the requests of lost nodes that came back elsewhere, and
	// RestartedRuns those whose runner was lost.
	Reconnected   int `json:"reconnected"`
	RestartedRuns int `json:"restarted_runs"`
	Refused       int `json:"refused"`
}

// MeasureCells runs a fleet that is just overloaded, with a tenth of the
// workspaces backlogged. With loss, a data centre is lost afterwards.
func MeasureCells(seed uint64, t Target, loss bool) Cells {
	var s *cellSim
	heap := heapGrowth(func() any {
		s = newCellSim(seed, t)
		s.fill()
		s.arrivals()
		s.runFor(cellsWarmup)
		return s
	})
	c := Cells{Nodes: t.Nodes, Rate: t.RatePerNode(), HeapBytes: heap / float64(t.Nodes)}
	s.measure(&c)
	if loss {
		l := s.loseCentre()
		c.Loss = &l
	}
	return c
}

// fill submits the running requests of the steady state, with what is left of
// their answers, and the queues of the backlogged workspaces.
func (s *cellSim) fill() {
	length := s.t.TokensPerRequest()
	running := min(slotsOf(s.view.Upstreams), int(s.t.RequestRate*s.t.RunSeconds()))
	for range running {
		tokens := 1 + s.rng.Int64N(int64(length))
		s.after(400*time.Millisecond+s.random(time.Second), func() { s.submit(s.anyNode(), s.rng.IntN(s.t.Workspaces), tokens) })
	}
	for range s.t.Backlogged * queuedPerWorkspace {
		s.after(1500*time.Millisecond+s.random(time.Second), func() { s.submit(s.anyNode(), s.backlogged(), int64(length)) })
	}
}

// backlogged draws one of the backlogged workspaces.
func (s *cellSim) backlogged() int {
	return s.rng.IntN(s.t.Backlogged) * (s.t.Workspaces / s.t.Backlogged)
}

func (s *cellSim) anyNode() *cellNode {
	for {
		if n := s.nodes[s.hosts[s.rng.IntN(len(s.hosts))]]; !n.down {
			return n
		}
	}
}

// arrivals submits new requests at the rate of the target, half of them of
// backlogged workspaces, so that their queues last.
func (s *cellSim) arrivals() {
	gap := time.Duration(s.rng.ExpFloat64() / s.t.RequestRate * float64(time.Second))
	s.after(gap, func() {
		workspace := s.rng.IntN(s.t.Workspaces)
		if s.rng.IntN(2) == 0 {
			workspace = s.backlogged()
		}
		s.submit(s.anyNode(), workspace, int64(s.t.TokensPerRequest()))
		s.arrivals()
	})
}

func (s *cellSim) measure(c *Cells) {
	s.reset()
	before := cpuTime()
	s.runFor(cellsTime)
	cpu := (cpuTime() - before).Seconds()
	perNode := float64(c.Nodes) * cellsTime.Seconds()
	c.Messages, c.Bytes, c.Steps = s.messages/perNode, s.bytes/perNode, s.steps/perNode
	c.MaxBytes = largest(s.sent) / cellsTime.Seconds()
	c.CPUSeconds = cpu / perNode
	for _, n := range s.nodes {
		c.Cells += len(n.node.Stats(s.now).Cells)
	}
	for _, j := range s.jobs {
		if j.upstream != "" {
			c.Running++
		} else {
			c.Waiting++
		}
	}
}

func (s *cellSim) reset() {
	s.messages, s.bytes, s.steps, s.granted, s.refused = 0, 0, 0, 0, 0
	clear(s.sent)
}

// loseCentre stops the nodes and runners of one data centre and measures until
// all cells have a ready dispatcher.
func (s *cellSim) loseCentre() Loss {
	s.reset()
	var l Loss
	lost := s.nodes[s.hosts[0]].centre
	s.stopNodes(lost, &l)
	s.reducedView(lost)
	s.reconnect(lost, &l)
	before, begin := cpuTime(), s.now
	for !s.allReady() && s.now.Sub(begin) < takeoverLimit {
		s.runFor(lookPeriod)
	}
	l.ReadySeconds = s.now.Sub(begin).Seconds()
	s.runFor(begin.Add(takeoverLimit).Sub(s.now))
	live := float64(len(s.nodes) - l.Nodes)
	l.Messages, l.Bytes, l.MaxBytes = s.messages/live, s.bytes/live, largest(s.sent)
	l.CPUSeconds = (cpuTime() - before).Seconds() / live
	l.Refused = s.refused
	return l
}

func (s *cellSim) stopNodes(centre string, l *Loss) {
	for _, n := range s.nodes {
		if n.centre == centre {
			l.Nodes++
			l.CellsMoved += len(n.node.Stats(s.now).Cells)
			n.down = true
		}
	}
}

func (s *cellSim) reducedView(centre string) {
	full := s.view
	s.view = cell.View{Limits: full.Limits}
	for _, r := range full.Routers {
		if !s.nodes[r.Host].down {
			s.view.Routers = append(s.view.Routers, r)
		}
	}
	for _, u := range full.Upstreams {
		if u.DataCentre != centre {
			s.view.Upstreams = append(s.view.Upstreams, u)
		}
	}
	s.publish()
}

// reconnect moves the requests of lost nodes to others and restarts those whose
// runner is lost.
func (s *cellSim) reconnect(centre string, l *Loss) {
	centres := map[string]string{}
	for _, u := range buildRunners(s.t) {
		centres[u.ID] = u.DataCentre
	}
	for _, j := range s.sortedJobs() {
		orphan, dead := j.entry.down, j.upstream != "" && centres[j.upstream] == centre
		if orphan {
			l.Reconnected++
			s.move(j, dead)
		} else if dead {
			l.RestartedRuns++
			s.after(s.random(100*time.Millisecond), func() { s.restart(j, dispatch.OutcomeFailed) })
		}
	}
}

// sortedJobs returns the jobs in a fixed order, so that a seed repeats a run.
func (s *cellSim) sortedJobs() []*cellJob {
	var jobs []*cellJob
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ticket.ID < jobs[b].ticket.ID })
	return jobs
}

// move lets the caller of a request come back at another node: with its resume
// token when the stream still runs, else as a new request.
func (s *cellSim) move(j *cellJob, dead bool) {
	j.attempt++
	attempt := j.attempt
	j.entry = s.anyNode()
	s.after(s.random(reconnectTime), func() {
		if j.upstream == "" || dead {
			j.upstream = ""
			s.step(j.entry, cell.Submit{Ticket: j.ticket})
			return
		}
		used := ticket.Usage{PromptTokens: 200, GeneratedTokens: j.done - j.ticket.Done.GeneratedTokens}
		s.step(j.entry, cell.Resume{Ticket: j.ticket, Upstream: j.upstream, Used: used})
		s.stream(j, attempt)
	})
}

func (s *cellSim) allReady() bool {
	ready := map[string]bool{}
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		for _, c := range n.node.Stats(s.now).Cells {
			ready[c.Cell] = ready[c.Cell] || c.Ready
		}
	}
	wanted := map[string]bool{}
	for _, u := range s.view.Upstreams {
		wanted[u.Service+"/"+u.Region] = true
	}
	for name, ok := range ready {
		if !ok {
			return false
		}
		delete(wanted, name[:len(name)-2])
	}
	return len(wanted) == 0
}

// slotsOf counts the slots of upstreams.
func slotsOf(upstreams []objectapi.Host) int {
	slots := 0
	for _, u := range upstreams {
		slots += u.Slots
	}
	return slots
}
