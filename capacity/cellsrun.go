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
	// queuedPerWorkspace is the initial queue length of a backlogged workspace.
	queuedPerWorkspace = 10
	cellsWarmup        = 3 * time.Second
	cellsMeasureTime   = 2 * time.Second
	// maxReconnectDelay is the longest time that callers of lost nodes take to
	// reconnect.
	maxReconnectDelay = 2 * time.Second
	// takeoverLimit is how long the loss of a data centre is measured.
	takeoverLimit = 3 * time.Second
)

// Cells is one measurement of the cells: entries, dispatchers and the exchange.
type Cells struct {
	Nodes int `json:"nodes"`
	Cells int `json:"cells"`
	// Rate is the arrival rate per node.
	Rate float64 `json:"requests_per_second"`
	// Messages, Bytes, Steps and CPUSeconds are per node and second. Bytes counts
	// message bodies only. MaxBytes is the value of the node that sent most.
	Messages   float64 `json:"messages_per_second"`
	Bytes      float64 `json:"body_bytes_per_second"`
	MaxBytes   float64 `json:"max_body_bytes_per_second"`
	Steps      float64 `json:"steps_per_second"`
	CPUSeconds float64 `json:"cpu_seconds_per_second"`
	// Running and Waiting count the requests of the fleet at the end of the
	// measurement.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// HeapBytes is the retained heap per node.
	HeapBytes float64 `json:"heap_bytes"`
	Loss      *Loss   `json:"loss,omitempty"`
}

// Loss is the cost of losing a data centre. It excludes failure detection: time
// starts when the view without the lost hosts is published.
type Loss struct {
	Nodes int `json:"lost_nodes"`
	// CellsMoved is the number of cells whose dispatcher was on a lost node.
	CellsMoved int `json:"cells_moved"`
	// ReadySeconds is the time until every cell has a ready dispatcher.
	ReadySeconds float64 `json:"ready_seconds"`
	// Messages and Bytes are totals per live node, and MaxBytes the total of the
	// node that sent most, until takeoverLimit. CPUSeconds is per live node.
	Messages   float64 `json:"messages"`
	Bytes      float64 `json:"body_bytes"`
	MaxBytes   float64 `json:"max_body_bytes"`
	CPUSeconds float64 `json:"cpu_seconds"`
	// Reconnected counts the requests of lost nodes that moved to other nodes, and
	// RestartedRuns the requests of live nodes whose runner was lost.
	Reconnected   int `json:"reconnected"`
	RestartedRuns int `json:"restarted_runs"`
	// Refused counts the requests that dispatchers refused.
	Refused int `json:"refused"`
}

// MeasureCells simulates a slightly overloaded fleet in which t.Backlogged
// workspaces, a tenth of all in the design target, have queues. With withLoss, it
// then loses a data centre.
func MeasureCells(seed uint64, t Target, withLoss bool) Cells {
	var s *cellSim
	heap := heapGrowth(func() any {
		s = newCellSim(seed, t)
		s.submitInitialLoad()
		s.scheduleArrivals()
		s.runFor(cellsWarmup)
		return s
	})
	c := Cells{Nodes: t.Nodes, Rate: t.RatePerNode(), HeapBytes: heap / float64(t.Nodes)}
	s.measure(&c)
	if withLoss {
		l := s.loseDataCentre()
		c.Loss = &l
	}
	return c
}

// submitInitialLoad submits the requests that run in steady state, with random
// remaining lengths, and the queues of the backlogged workspaces.
func (s *cellSim) submitInitialLoad() {
	length := s.target.TokensPerRequest()
	running := min(slotsOf(s.view.Upstreams), int(s.target.RequestRate*s.target.RunSeconds()))
	for range running {
		tokens := 1 + s.rng.Int64N(int64(length))
		s.after(400*time.Millisecond+s.randomDuration(time.Second), func() { s.submit(s.randomLiveNode(), s.rng.IntN(s.target.Workspaces), tokens) })
	}
	for range s.target.Backlogged * queuedPerWorkspace {
		s.after(1500*time.Millisecond+s.randomDuration(time.Second), func() { s.submit(s.randomLiveNode(), s.randomBacklogged(), int64(length)) })
	}
}

// randomBacklogged returns one of the backlogged workspaces at random.
func (s *cellSim) randomBacklogged() int {
	return s.rng.IntN(s.target.Backlogged) * (s.target.Workspaces / s.target.Backlogged)
}

func (s *cellSim) randomLiveNode() *cellNode {
	for {
		if n := s.nodes[s.hosts[s.rng.IntN(len(s.hosts))]]; !n.down {
			return n
		}
	}
}

// scheduleArrivals submits new requests at the target rate. At least half are from
// backlogged workspaces, so that their queues do not run empty.
func (s *cellSim) scheduleArrivals() {
	gap := time.Duration(s.rng.ExpFloat64() / s.target.RequestRate * float64(time.Second))
	s.after(gap, func() {
		workspace := s.rng.IntN(s.target.Workspaces)
		if s.rng.IntN(2) == 0 {
			workspace = s.randomBacklogged()
		}
		s.submit(s.randomLiveNode(), workspace, int64(s.target.TokensPerRequest()))
		s.scheduleArrivals()
	})
}

func (s *cellSim) measure(c *Cells) {
	s.reset()
	before := cpuTime()
	s.runFor(cellsMeasureTime)
	cpu := (cpuTime() - before).Seconds()
	perNode := float64(c.Nodes) * cellsMeasureTime.Seconds()
	c.Messages, c.Bytes, c.Steps = s.messages/perNode, s.bytes/perNode, s.steps/perNode
	c.MaxBytes = maxValue(s.sent) / cellsMeasureTime.Seconds()
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

// loseDataCentre stops the nodes and runners of one data centre and measures until
// all cells have a ready dispatcher and takeoverLimit has passed.
func (s *cellSim) loseDataCentre() Loss {
	s.reset()
	var l Loss
	lost := s.nodes[s.hosts[0]].dataCentre
	s.stopNodes(lost, &l)
	s.publishViewWithout(lost)
	s.reconnect(lost, &l)
	before, begin := cpuTime(), s.now
	for !s.allReady() && s.now.Sub(begin) < takeoverLimit {
		s.runFor(pollInterval)
	}
	l.ReadySeconds = s.now.Sub(begin).Seconds()
	s.runFor(begin.Add(takeoverLimit).Sub(s.now))
	live := float64(len(s.nodes) - l.Nodes)
	l.Messages, l.Bytes, l.MaxBytes = s.messages/live, s.bytes/live, maxValue(s.sent)
	l.CPUSeconds = (cpuTime() - before).Seconds() / live
	l.Refused = s.refused
	return l
}

func (s *cellSim) stopNodes(dataCentre string, l *Loss) {
	for _, n := range s.nodes {
		if n.dataCentre == dataCentre {
			l.Nodes++
			l.CellsMoved += len(n.node.Stats(s.now).Cells)
			n.down = true
		}
	}
}

// publishViewWithout publishes a view without the hosts of a data centre.
func (s *cellSim) publishViewWithout(dataCentre string) {
	full := s.view
	s.view = cell.View{Limits: full.Limits}
	for _, r := range full.Routers {
		if !s.nodes[r.Host].down {
			s.view.Routers = append(s.view.Routers, r)
		}
	}
	for _, u := range full.Upstreams {
		if u.DataCentre != dataCentre {
			s.view.Upstreams = append(s.view.Upstreams, u)
		}
	}
	s.publishView()
}

// reconnect moves the requests of lost nodes to live nodes, and restarts requests
// whose runner is lost.
func (s *cellSim) reconnect(dataCentre string, l *Loss) {
	centres := map[string]string{}
	for _, u := range buildRunners(s.target) {
		centres[u.ID] = u.DataCentre
	}
	for _, j := range s.sortedJobs() {
		entryLost, runnerLost := j.entry.down, j.upstream != "" && centres[j.upstream] == dataCentre
		if entryLost {
			l.Reconnected++
			s.reconnectElsewhere(j, runnerLost)
		} else if runnerLost {
			l.RestartedRuns++
			s.after(s.randomDuration(100*time.Millisecond), func() { s.resubmit(j, dispatch.OutcomeFailed) })
		}
	}
}

// sortedJobs returns the jobs in a fixed order, so that runs are reproducible.
func (s *cellSim) sortedJobs() []*cellJob {
	var jobs []*cellJob
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ticket.ID < jobs[b].ticket.ID })
	return jobs
}

// reconnectElsewhere reconnects the caller of a request to another node. It resumes
// the stream if that still runs, or else submits the request again.
func (s *cellSim) reconnectElsewhere(j *cellJob, runnerLost bool) {
	j.attempt++
	attempt := j.attempt
	j.entry = s.randomLiveNode()
	s.after(s.randomDuration(maxReconnectDelay), func() {
		if j.upstream == "" || runnerLost {
			j.upstream = ""
			s.step(j.entry, cell.Submit{Ticket: j.ticket})
			return
		}
		used := ticket.Usage{PromptTokens: 200, GeneratedTokens: j.done - j.ticket.PriorUsage.GeneratedTokens}
		s.step(j.entry, cell.Resume{Ticket: j.ticket, Upstream: j.upstream, Used: used})
		s.stream(j, attempt)
	})
}

// allReady reports whether every service and region with runners has a cell and all
// cells have a ready dispatcher. Cell names are of the form service/region/index.
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

// slotsOf returns the total number of slots of upstreams.
func slotsOf(upstreams []objectapi.Host) int {
	slots := 0
	for _, u := range upstreams {
		slots += u.Slots
	}
	return slots
}
