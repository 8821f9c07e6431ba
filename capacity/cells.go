package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// progressInterval is the interval at which an entry reports the progress of a
// stream to its cell.Node.
const progressInterval = 250 * time.Millisecond

// cellSim simulates the cells of a whole fleet, with messages between the nodes.
type cellSim struct {
	eventQueue
	target Target
	rng    *rand.Rand
	hosts  []string
	nodes  map[string]*cellNode
	view   cell.View
	jobs   map[string]*cellJob // by ticket id, until they are finished or refused
	lastID int                 // ticket id of the latest job

	steps, messages, bytes, decisions float64
	sent                              map[string]float64 // body bytes by sender
	granted, refused                  int
}

// cellNode is one simulated router. wake is when its cell.Node gets its next tick.
type cellNode struct {
	host, region, dataCentre string
	node                     *cell.Node
	down                     bool
	wake                     time.Time
}

// cellJob is one request whose response has the given number of tokens.
type cellJob struct {
	ticket   ticket.Ticket
	entry    *cellNode
	upstream string // empty while the request waits
	tokens   int64
	done     int64 // tokens generated in all attempts
	attempt  int   // events of earlier attempts are ignored
	started  time.Time
}

func newCellSim(seed uint64, target Target) *cellSim {
	s := &cellSim{
		target: target, rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*cellNode{},
		jobs: map[string]*cellJob{}, sent: map[string]float64{},
	}
	s.now = simStart
	s.view = buildView(target, buildLists(target.Workspaces, target.Models, planCount).Limits())
	for i := range target.Nodes {
		m := memberOf(i, target)
		s.hosts = append(s.hosts, m.Host)
		s.nodes[m.Host] = &cellNode{
			host: m.Host, region: m.Region, dataCentre: m.DataCentre, node: newCellNode(m.Host, m.Region),
		}
	}
	s.publishView()
	return s
}

// publishView sends the view to all nodes with random delays, because nodes learn
// of changes at different times.
func (s *cellSim) publishView() {
	view := s.view
	for _, host := range s.hosts {
		s.after(s.randomDuration(50*time.Millisecond), func() { s.step(s.nodes[host], cell.ViewChanged{View: view}) })
	}
}

func (s *cellSim) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// step passes an input to the cell.Node of a node and acts on its output.
func (s *cellSim) step(n *cellNode, in cell.Input) {
	if n.down {
		return
	}
	s.steps++
	out := n.node.Step(s.now, in)
	for _, m := range out.Send {
		s.send(n, m)
	}
	for _, d := range out.Decisions {
		s.applyDecision(d)
	}
	s.wakeAt(n, out.Wake)
}

// wakeAt schedules a tick of the cell.Node, unless an earlier one is scheduled.
func (s *cellSim) wakeAt(n *cellNode, at time.Time) {
	if at.IsZero() || (n.wake.After(s.now) && !at.Before(n.wake)) {
		return
	}
	n.wake = at
	s.after(at.Sub(s.now), func() {
		if n.wake.Equal(at) {
			s.step(n, cell.Tick{})
		}
	})
}

func (s *cellSim) send(from *cellNode, m cell.Outgoing) {
	s.messages++
	s.bytes += float64(len(m.Body))
	s.sent[from.host] += float64(len(m.Body))
	to := s.nodes[m.To]
	if to == nil {
		return
	}
	s.after(delayBetween(from.region, to.region), func() {
		s.step(to, cell.Receive{From: from.host, Body: m.Body})
	})
}

// submit submits a new request for the given number of tokens at a node.
func (s *cellSim) submit(n *cellNode, workspace int, tokens int64) {
	s.lastID++
	j := &cellJob{entry: n, tokens: tokens}
	j.ticket = ticket.Ticket{
		ID: fmt.Sprintf("%032d", s.lastID), Workspace: workspaceName(workspace),
		Service: modelName(workspace % s.target.Models), Hint: ticket.Units(tokens) * ticket.GeneratedTokenPrice,
		PromptTokens: 200, BodyBytes: 800, Idempotent: true, PrefixHash: uint64(workspace + 1),
	}
	s.jobs[j.ticket.ID] = j
	s.step(n, cell.Submit{Ticket: j.ticket})
}

// applyDecision makes an entry act on a decision of its cell.Node.
func (s *cellSim) applyDecision(d cell.Decision) {
	s.decisions++
	switch d := d.(type) {
	case cell.Granted:
		s.granted++
		if j := s.jobs[d.ID]; j != nil {
			j.upstream, j.started = d.Upstream, s.now
			s.stream(j, j.attempt)
		}
	case cell.Refused:
		s.refused++
		delete(s.jobs, d.ID)
	case cell.Stop:
		s.stopRun(s.jobs[d.ID])
	}
}

// stream reports the progress of an attempt until the response is complete.
func (s *cellSim) stream(j *cellJob, attempt int) {
	tokenTime := time.Duration(s.target.TokenMillis * float64(time.Millisecond))
	chunk := min(int64(progressInterval/tokenTime), j.tokens-j.done)
	s.after(time.Duration(chunk)*tokenTime, func() {
		if j.attempt != attempt || j.entry.down {
			return
		}
		j.done += chunk
		used := ticket.Usage{PromptTokens: 200, GeneratedTokens: j.done - j.ticket.PriorUsage.GeneratedTokens}
		sample := dispatch.Sample{FirstToken: 2 * tokenTime, PerToken: tokenTime}
		if j.done < j.tokens {
			s.step(j.entry, cell.Progress{ID: j.ticket.ID, Used: used, Sample: sample})
			s.stream(j, attempt)
			return
		}
		delete(s.jobs, j.ticket.ID)
		s.step(j.entry, cell.Finish{ID: j.ticket.ID, Used: used, Sample: sample})
	})
}

// stopRun ends a run and submits the rest of the request again.
func (s *cellSim) stopRun(j *cellJob) {
	if j == nil || j.upstream == "" {
		return
	}
	s.resubmit(j, dispatch.OutcomeStopped)
	j.ticket.Stops++
}

// resubmit ends the current attempt and submits the rest of the request again.
func (s *cellSim) resubmit(j *cellJob, outcome dispatch.Outcome) {
	used := ticket.Usage{PromptTokens: 200, GeneratedTokens: j.done - j.ticket.PriorUsage.GeneratedTokens}
	j.attempt++
	j.upstream = ""
	s.step(j.entry, cell.Finish{ID: j.ticket.ID, Used: used, Outcome: outcome})
	j.ticket.PriorUsage = j.ticket.PriorUsage.Add(used)
	s.after(0, func() { s.step(j.entry, cell.Submit{Ticket: j.ticket}) })
}
