package gateway

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// call is one request of a caller and its state until the response ends.
type call struct {
	request  *http.Request
	headers  platform.CallerRequest
	received time.Time
	// suspended returns how long the machine has been suspended so far, and
	// suspendedBefore is its result when the request was received. Without it no
	// suspension counts.
	suspended       func() time.Duration
	suspendedBefore time.Duration
	// processorWait is how long the request's goroutine waited to be scheduled.
	processorWait time.Duration
	// deadline is when the caller's or the route's timeout ends, whichever is
	// earlier.
	deadline      time.Time
	configVersion int64 // of the configuration that the request was resolved with
	route         *catalog.Route
	service       *catalog.Service
	workspace     *catalog.Workspace // nil for public routes
	target        *url.URL           // without a host
	body          []byte

	attempts   int
	tried      []string // ids of the upstreams of all attempts
	mayHaveRun bool     // at least one attempt may have run
	// successor is the next upstream, reserved by the watchdog of an attempt; nil
	// without one.
	successor atomic.Pointer[assignment]
	upstream  string        // id of the upstream of the latest attempt
	status    int           // of the latest response, from an upstream or this router; 0 before
	firstByte time.Duration // from received until the response began
	// leaveAlone is set if the latest upstream asked for no requests for a time.
	leaveAlone bool
	framing    framing // of the latest upstream's response; empty before
	progress   answerProgress
	// unfinished is the number of bytes that followed the last whole event when a
	// stream ended.
	unfinished int
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// remaining returns the time until the deadline. Time in which the machine was
// suspended since the request was received counts, although the clock stood still.
func (c *call) remaining(now time.Time) time.Duration {
	remaining := c.deadline.Sub(now)
	if c.suspended != nil {
		remaining -= max(c.suspended()-c.suspendedBefore, 0)
	}
	return remaining
}

// failureOutcome returns what a failed answer says about its upstream.
func (c *call) failureOutcome() placement.Outcome {
	if c.leaveAlone {
		return placement.Deferred
	}
	return placement.Failed
}

// expectedOutput estimates the tokens that an engine will generate.
func (c *call) expectedOutput() int {
	if c.headers.OutputHint > 0 {
		return c.headers.OutputHint
	}
	return c.headers.MaxOutputTokens / 2
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// partIDs returns the ids of the parts of the prompt for a log line.
func (c *call) partIDs() string {
	var ids []string
	for _, part := range c.headers.Parts[:min(len(c.headers.Parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// cost returns the work of the request in tokens: one for each token read, two for
// each one generated.
func (c *call) cost() float64 { return float64(c.headers.PromptTokens + 2*c.expectedOutput()) }

func (c *call) engineRequest(share shareUse) placement.EngineRequest {
	return placement.EngineRequest{
		Parts: c.headers.Parts, InputTokens: c.headers.PromptTokens, OutputTokens: c.expectedOutput(),
		TargetLatency: c.route.TargetLatency, TargetGap: c.route.TargetGap, Exclude: c.tried,
		Usage: share.usage, BeyondShare: !share.within, MayExceed: share.mayExceed, Eligibility: c.eligibility(),
	}
}

// eligibility returns what decides which upstreams may get the request at all.
func (c *call) eligibility() eligibility.Request {
	return eligibility.Request{Regions: catalog.PermittedRegions(c.route, c.workspace)}
}
