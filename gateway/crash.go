package gateway

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

// promptBarred is the reason of refusals of requests that would crash an upstream. There
// is no time after which they may be retried.
const promptBarred placement.Reason = "a part of the prompt crashes upstreams"

// answerProgress is how far the upstream's answer to the current attempt has come.
type answerProgress struct {
	begunAt time.Time // when its head or, in a stream, the first event arrived; zero before
	proven  bool      // enough has arrived to prove that its prompt does not crash upstreams
	lost    bool      // its connection ended before the answer did
}

// isConnectionLost reports whether an error means that the other side has ended the
// connection.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// noteBreakOff checks whether the upstream has crashed if the connection of an attempt
// was lost. events is the number of events that the attempt has relayed.
func (h *Handler) noteBreakOff(c *call, a *assignment, events int) {
	if !c.progress.lost {
		return
	}
	if h.pools.brokeOff(time.Now(), c, a, events) {
		go h.checkCrash(c.service, a.Upstream, c.headers.ID)
	}
}

// checkCrash finds out whether an upstream still accepts connections, and records a
// crash if it does not. request is the one whose answer broke off.
func (h *Handler) checkCrash(service *catalog.Service, u catalog.Upstream, request string) {
	connection, err := net.DialTimeout("tcp", u.Address, dialTimeout)
	if err == nil {
		connection.Close()
	}
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	attempts := h.pools.checkedCrash(u, crashed)
	if attempts == 0 {
		return
	}
	h.metrics.crashed(service.Name)
	h.logger.Warn("upstream crashed", "upstream", u.ID, "service", service.Name, "request", request, "unanswered", attempts)
	h.triggerReport()
}

// noteProgress records that the answer to the current attempt has come so far that its
// prompt is not what crashes upstreams.
func (h *Handler) noteProgress(c *call) {
	if !c.progress.proven {
		c.progress.proven = true
		h.pools.sound(c)
	}
}

// brokeOff records an attempt whose connection was lost, and reports whether it has to
// be checked whether the upstream has crashed.
func (p *pools) brokeOff(now time.Time, c *call, a *assignment, events int) (check bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.BrokeOff(now, quarantine.Attempt{
		Service: c.service.Name, Instance: instanceOf(a.Upstream), Parts: c.headers.Parts,
		Answered: !c.progress.begunAt.IsZero(), Events: events,
	})
}

// checkedCrash records whether an upstream has crashed. It returns the number of this
// router's requests that it had not answered.
func (p *pools) checkedCrash(u catalog.Upstream, crashed bool) (unanswered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Checked(instanceOf(u), crashed)
}

// sound records that an upstream has written an answer to the prompt of a call.
func (p *pools) sound(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Sound(c.progress.begunAt, c.service.Name, c.headers.Parts)
}

// verdict returns what the evidence about crashes says about the next attempt of a call,
// and whether the attempt is refused for it. The caller must hold mu.
func (p *pools) verdict(now time.Time, c *call) (v quarantine.Verdict, refused bool) {
	v = p.quarantine.Check(now, c.service.Name, c.headers.Parts)
	v.Trial = v.Trial && c.attempts == 0
	return v, v.Barred && !v.Trial || v.NoRetry && c.mayHaveRun
}

// mergeSuspects adds what another router knows about parts that crash upstreams, and
// reports whether that was news.
func (p *pools) mergeSuspects(now time.Time, suspects []quarantine.Suspect) (news bool) {
	if len(suspects) == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.quarantine.Revision()
	p.quarantine.Merge(now, suspects)
	return p.quarantine.Revision() != before
}

// stepQuarantine forgets evidence that no longer counts, and returns the parts that were
// barred or freed since the previous call. The ready hosts, of which self is this one,
// take turns with trials.
func (p *pools) stepQuarantine(now time.Time, self string, ready []string) []quarantine.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Step(now)
	p.quarantine.SetRouters(self, ready)
	return p.quarantine.Changes(now)
}

// quarantineCounts returns the number of parts with evidence against them and of those
// that are barred.
func (p *pools) quarantineCounts() (suspected, barred int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Counts()
}

func instanceOf(u catalog.Upstream) placement.Instance {
	return placement.Instance{Upstream: u.ID, StartedMs: u.StartedMs}
}

// verdictFields returns the log fields of the evidence against a request, nil if there
// is none.
func (a *assignment) verdictFields() []any {
	v := a.verdict
	if v.Part == "" {
		return nil
	}
	return []any{"part", v.Part, "crashes", v.Crashes, "last_crash", v.LastCrash.Round(time.Millisecond), "trial", v.Trial}
}
