package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/ticket"
	"github.com/lacewingshift/lacewingshift/upstream"
)

const (
	// reportPeriod is how often usage is handed to the scheduler while tokens
	// stream.
	reportPeriod = 100 * time.Millisecond
	// stallTimeout moves a run to another engine. Engines make a token every
	// 20 to 50 ms, so even one slowed fivefold stays well below.
	stallTimeout = 5 * time.Second
)

// completion carries one completion through its runs. A request that was
// stopped to let others run, or whose engine failed, has more than one.
type completion struct {
	handler  *Handler
	admitted admitted
	fields   completionFields
	body     map[string]json.RawMessage
	ticket   ticket.Ticket
	flight   *flight
	runs     int
	attempts int
	// continued is set when runs at other routers came before.
	continued bool
}

// run schedules and runs the request until its answer is complete.
func (c *completion) run(ctx context.Context) {
	h := c.handler
	h.retries.request()
	h.record("accepted", c.admitted, "", c.admitted.service)
	for {
		decisions := h.Scheduler.Submit(c.ticket)
		grant, err := awaitGrant(ctx, decisions)
		if err != nil {
			h.Scheduler.Cancel(c.ticket.ID)
			c.end(c.beforeRun(err))
			return
		}
		if grant.Refused {
			c.end(c.beforeRun(refusal(grant)))
			return
		}
		again, err := c.runOnce(ctx, grant, decisions)
		if !again {
			c.end(err)
			return
		}
	}
}

// beforeRun returns the error for a request that got no grant. Only when it had
// no run before is it certain that it did not run.
func (c *completion) beforeRun(err error) error {
	e, ok := err.(*Error)
	if !ok {
		e = refuse(http.StatusServiceUnavailable, CodeCanceled, "the caller left before the request ran")
	}
	if c.runs > 0 || c.continued {
		e.NotRun = false
	}
	return e
}

func awaitGrant(ctx context.Context, decisions <-chan Decision) (Decision, error) {
	for {
		select {
		case <-ctx.Done():
			return Decision{}, ctx.Err()
		case d := <-decisions:
			if d.Granted || d.Refused {
				return d, nil
			}
		}
	}
}

// end closes the answer.
func (c *completion) end(err error) {
	if err != nil {
		c.handler.record("failed", c.admitted, "", err.Error())
		c.flight.log.Close(nil, err)
		return
	}
	c.handler.record("completed", c.admitted, "", "")
	document, _ := json.Marshal(trailer{RequestID: c.admitted.id, Usage: c.ticket.Done, Stops: c.ticket.Stops})
	c.flight.log.Close(document, nil)
}

// runOnce runs the request on the granted upstream. It reports whether the rest
// of the answer needs another run.
func (c *completion) runOnce(ctx context.Context, grant Decision, decisions <-chan Decision) (bool, error) {
	c.runs++
	runID := c.newRunID()
	c.publishRun(runID, grant.Upstream)
	m := newMeter(c.handler.Scheduler, c.ticket.ID)
	run := upstream.Run{
		Address:      grant.Upstream.Address,
		ID:           runID,
		Body:         c.body,
		After:        c.flight.log.Last(),
		StallTimeout: stallTimeout,
	}
	err := follow(ctx, decisions, func(ctx context.Context) error {
		return c.handler.Client.Stream(ctx, run, c.sink(m))
	})
	return c.settle(run, grant.Upstream, m, err)
}

// newRunID names a run at the engine. Engines hand a known name's stream to
// whoever asks for it, so the name has a random part: callers choose request ids,
// and one of them may stand for requests of several workspaces.
func (c *completion) newRunID() string {
	return fmt.Sprintf("%s.%d.%s", c.admitted.id, c.runs, uuid.NewString())
}

func (c *completion) publishRun(runID string, host objectapi.Host) {
	h := c.handler
	waited := time.Since(c.admitted.arrived)
	h.record("granted", c.admitted, host.ID, fmt.Sprintf("waited %d ms", waited.Milliseconds()))
	token, err := h.Sealer.Seal(reply.Resume{
		Request: c.admitted.id, Workspace: c.admitted.workspace.Name, Service: c.admitted.service,
		Upstream: host.ID, Address: host.Address, Run: runID, Entry: h.Host,
	})
	if err == nil {
		c.flight.setRun(token, waited)
	}
}

func (c *completion) sink(m *meter) func(upstream.Chunk) error {
	return func(chunk upstream.Chunk) error {
		m.observe(chunk)
		return c.flight.log.Append(reply.Event{ID: chunk.ID, Data: chunk.Data})
	}
}

var errStopped = eris.New("stopped to let others run")

// follow runs work until it ends or a stop decision arrives.
func follow(ctx context.Context, decisions <-chan Decision, work func(context.Context) error) error {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	result := make(chan error, 1)
	go func() { result <- work(runCtx) }()
	for {
		select {
		case err := <-result:
			return err
		case d := <-decisions:
			if !d.Stop {
				continue
			}
			cancel(errStopped)
			if err := <-result; err == nil {
				return nil
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errStopped
		}
	}
}

// settle accounts for a run that ended and decides whether another one follows.
func (c *completion) settle(run upstream.Run, host objectapi.Host, m *meter, err error) (bool, error) {
	h := c.handler
	c.ticket.Done = c.ticket.Done.Add(m.used)
	switch {
	case err == nil:
		m.finish(dispatch.OutcomeDone)
		return false, nil
	case err == errStopped:
		c.cancelRun(run)
		m.finish(dispatch.OutcomeStopped)
		c.ticket.Stops++
		h.record("stopped", c.admitted, host.ID, "")
		return true, nil
	case eris.Is(err, context.Canceled):
		if !c.flight.isReleased() {
			c.cancelRun(run)
		}
		m.finish(dispatch.OutcomeCanceled)
		return false, fail(http.StatusServiceUnavailable, CodeCanceled, "the caller left")
	}
	m.fail()
	if !eris.Is(err, upstream.ErrNotSent) {
		c.cancelRun(run)
	}
	c.attempts++
	h.record("run_failed", c.admitted, host.ID, err.Error())
	if c.attempts >= maxAttempts || !h.retries.take() {
		return false, c.failure(err)
	}
	return true, nil
}

// failure returns the error for a request whose runs all failed.
func (c *completion) failure(err error) *Error {
	e := fail(http.StatusBadGateway, CodeUpstreamFailed, "the model engine did not complete the answer").after(time.Second)
	neverRan := eris.Is(err, upstream.ErrNotSent) || eris.Is(err, upstream.ErrRefused)
	e.NotRun = neverRan && c.runs == 1 && !c.continued
	return e
}

func (c *completion) cancelRun(run upstream.Run) {
	// The engine ends a stream without reader by itself after a while, so a lost
	// cancel costs time but breaks nothing.
	_ = c.handler.Client.Cancel(context.Background(), run.Address, run.ID)
}

// meter reports the usage of one run to the scheduler.
type meter struct {
	scheduler  Scheduler
	id         string
	started    time.Time
	firstToken time.Duration
	lastToken  time.Time
	tokens     int64
	reported   time.Time
	used       ticket.Usage
}

func newMeter(s Scheduler, id string) *meter {
	now := time.Now()
	return &meter{scheduler: s, id: id, started: now, reported: now}
}

func (m *meter) observe(chunk upstream.Chunk) {
	now := time.Now()
	if m.tokens == 0 {
		m.firstToken = now.Sub(m.started)
	}
	m.tokens++
	m.lastToken = now
	m.used = chunk.Usage
	if now.Sub(m.reported) >= reportPeriod {
		m.reported = now
		m.scheduler.Progress(m.id, m.used, m.sample())
	}
}

func (m *meter) sample() dispatch.Sample {
	s := dispatch.Sample{FirstToken: m.firstToken}
	if m.tokens > 1 {
		s.PerToken = (m.lastToken.Sub(m.started) - m.firstToken) / time.Duration(m.tokens-1)
	}
	return s
}

func (m *meter) finish(o dispatch.Outcome) {
	m.scheduler.Finish(m.id, m.used, o, m.sample())
}

func (m *meter) fail() {
	s := m.sample()
	s.Failed = true
	m.scheduler.Finish(m.id, m.used, dispatch.OutcomeFailed, s)
}
