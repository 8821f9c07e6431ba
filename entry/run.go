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
	// progressInterval is the interval at which usage is reported to the scheduler
	// while tokens stream.
	progressInterval = 100 * time.Millisecond
	// stallTimeout is the time without a token after which a run is moved to
	// another engine. Engines make a token every 20 to 50 ms, so an engine that is
	// five times slower stays well below it.
	stallTimeout = 5 * time.Second
)

// completion executes a completion request in one or more runs. A request that
// was preempted, or whose engine failed, continues in another run.
type completion struct {
	handler           *Handler
	request           request
	fields            completionFields
	body              map[string]json.RawMessage // all fields, for the engine
	ticket            ticket.Ticket
	trackedCompletion *trackedCompletion
	runs              int
	failedRuns        int
	// continued is set if the caller has received part of the answer from an
	// earlier request.
	continued bool
}

// run schedules and executes runs until the answer is complete or has failed.
func (c *completion) run(ctx context.Context) {
	h := c.handler
	h.retries.addRequest()
	h.recordEvent("accepted", c.request, "", c.request.service)
	for {
		decisions := h.Scheduler.Submit(c.ticket)
		grant, err := awaitGrant(ctx, decisions)
		if err != nil {
			h.Scheduler.Cancel(c.ticket.ID)
			c.end(c.noGrantError(err))
			return
		}
		if grant.Refused {
			c.end(c.noGrantError(refusalError(grant)))
			return
		}
		needsRun, err := c.runOnce(ctx, grant, decisions)
		if !needsRun {
			c.end(err)
			return
		}
	}
}

// noGrantError returns the error for a request that got no grant. It says that
// the request did not run only if there was no earlier run.
func (c *completion) noGrantError(err error) error {
	e, ok := err.(*Error)
	if !ok {
		e = notRunError(http.StatusServiceUnavailable, CodeCanceled, "the caller left before the request ran")
	}
	if c.runs > 0 || c.continued {
		e.NotRun = false
	}
	return e
}

// awaitGrant waits until the ticket is granted or refused.
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

// end closes the event log of the answer, with an error or with the trailer.
func (c *completion) end(err error) {
	if err != nil {
		c.handler.recordEvent("failed", c.request, "", err.Error())
		c.trackedCompletion.log.Close(nil, err)
		return
	}
	c.handler.recordEvent("completed", c.request, "", "")
	document, _ := json.Marshal(trailer{RequestID: c.request.id, Usage: c.ticket.PriorUsage, Stops: c.ticket.Stops})
	c.trackedCompletion.log.Close(document, nil)
}

// runOnce executes one run on the granted upstream. It reports whether the rest
// of the answer needs another run.
func (c *completion) runOnce(ctx context.Context, grant Decision, decisions <-chan Decision) (bool, error) {
	c.runs++
	runID := c.newRunID()
	c.publishRun(runID, grant.Upstream)
	m := newUsageMeter(c.handler.Scheduler, c.ticket.ID)
	run := upstream.Run{
		Address:      grant.Upstream.Address,
		ID:           runID,
		Body:         c.body,
		After:        c.trackedCompletion.log.Last(),
		StallTimeout: stallTimeout,
	}
	err := runUntilStopped(ctx, decisions, func(ctx context.Context) error {
		return c.handler.Client.Stream(ctx, run, c.sink(m))
	})
	return c.finishRun(run, grant.Upstream, m, err)
}

// newRunID returns the id of a run at the engine. An engine serves the stream of
// a run to anyone who knows the run id, and callers choose request ids, which
// several workspaces may share. The id therefore has a random part.
func (c *completion) newRunID() string {
	return fmt.Sprintf("%s.%d.%s", c.request.id, c.runs, uuid.NewString())
}

// publishRun makes the resume token of a run that was granted available to the caller.
func (c *completion) publishRun(runID string, host objectapi.Host) {
	h := c.handler
	waited := time.Since(c.request.arrived)
	h.recordEvent("granted", c.request, host.ID, fmt.Sprintf("waited %d ms", waited.Milliseconds()))
	token, err := h.Signer.Sign(reply.Resume{
		Request: c.request.id, Workspace: c.request.workspace.Name, Service: c.request.service,
		Upstream: host.ID, Address: host.Address, Run: runID, Entry: h.Host,
	})
	if err == nil {
		c.trackedCompletion.setRun(token, waited)
	}
}

// sink returns a function that appends the chunks of a run to the answer.
func (c *completion) sink(m *usageMeter) func(upstream.Chunk) error {
	return func(chunk upstream.Chunk) error {
		m.observe(chunk)
		return c.trackedCompletion.log.Append(reply.Event{ID: chunk.ID, Data: chunk.Data})
	}
}

var errStopped = eris.New("run was preempted by the scheduler")

// runUntilStopped runs work until it ends or the scheduler stops the run.
func runUntilStopped(ctx context.Context, decisions <-chan Decision, work func(context.Context) error) error {
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

// finishRun reports the end of a run to the scheduler. It reports whether another
// run is needed.
func (c *completion) finishRun(run upstream.Run, host objectapi.Host, m *usageMeter, err error) (bool, error) {
	h := c.handler
	c.ticket.PriorUsage = c.ticket.PriorUsage.Add(m.used)
	switch {
	case err == nil:
		m.finish(dispatch.OutcomeDone)
		return false, nil
	case err == errStopped:
		c.cancelRun(run)
		m.finish(dispatch.OutcomeStopped)
		c.ticket.Stops++
		h.recordEvent("stopped", c.request, host.ID, "")
		return true, nil
	case eris.Is(err, context.Canceled):
		if !c.trackedCompletion.isReleased() {
			c.cancelRun(run)
		}
		m.finish(dispatch.OutcomeCanceled)
		return false, fail(http.StatusServiceUnavailable, CodeCanceled, "the caller left")
	}
	m.fail()
	if !eris.Is(err, upstream.ErrNotSent) {
		c.cancelRun(run)
	}
	c.failedRuns++
	h.recordEvent("run_failed", c.request, host.ID, err.Error())
	if c.failedRuns >= maxAttempts || !h.retries.take() {
		return false, c.runFailedError(err)
	}
	return true, nil
}

// runFailedError returns the error for the caller when the last run failed and no
// further one is allowed.
func (c *completion) runFailedError(err error) *Error {
	e := fail(http.StatusBadGateway, CodeUpstreamFailed, "the model engine did not complete the answer").withRetryAfter(time.Second)
	neverRan := eris.Is(err, upstream.ErrNotSent) || eris.Is(err, upstream.ErrRefused)
	e.NotRun = neverRan && c.runs == 1 && !c.continued
	return e
}

func (c *completion) cancelRun(run upstream.Run) {
	// Errors are ignored: the engine ends a stream without a reader after some
	// time, so a lost cancel only wastes engine time.
	_ = c.handler.Client.Cancel(context.Background(), run.Address, run.ID)
}

// usageMeter measures one run and reports its usage to the scheduler.
type usageMeter struct {
	scheduler  Scheduler
	id         string
	started    time.Time
	firstToken time.Duration // since started
	lastToken  time.Time
	tokens     int64
	lastReport time.Time
	used       ticket.Usage
}

func newUsageMeter(s Scheduler, id string) *usageMeter {
	now := time.Now()
	return &usageMeter{scheduler: s, id: id, started: now, lastReport: now}
}

func (m *usageMeter) observe(chunk upstream.Chunk) {
	now := time.Now()
	if m.tokens == 0 {
		m.firstToken = now.Sub(m.started)
	}
	m.tokens++
	m.lastToken = now
	m.used = chunk.Usage
	if now.Sub(m.lastReport) >= progressInterval {
		m.lastReport = now
		m.scheduler.Progress(m.id, m.used, m.sample())
	}
}

func (m *usageMeter) sample() dispatch.Sample {
	s := dispatch.Sample{FirstToken: m.firstToken}
	if m.tokens > 1 {
		s.PerToken = (m.lastToken.Sub(m.started) - m.firstToken) / time.Duration(m.tokens-1)
	}
	return s
}

func (m *usageMeter) finish(o dispatch.Outcome) {
	m.scheduler.Finish(m.id, m.used, o, m.sample())
}

func (m *usageMeter) fail() {
	s := m.sample()
	s.Failed = true
	m.scheduler.Finish(m.id, m.used, dispatch.OutcomeFailed, s)
}
