package gateway

import (
	"net/http"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
)

// call is one request of a caller on its way through the stages.
type call struct {
	request  *http.Request
	facts    platform.CallerRequest
	received time.Time
	// processorWait is how long the request has waited for the processor.
	processorWait time.Duration
	// deadline is when the caller leaves or the route's time is over.
	deadline  time.Time
	version   int64 // of the configuration
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace // nil for public routes
	body      []byte

	attempts   int
	tried      []string // upstreams
	mayHaveRun bool
	upstream   string // of the latest attempt
	status     int
	firstByte  time.Duration
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// output estimates the tokens that an engine will generate.
func (c *call) output() int {
	if c.facts.OutputHint > 0 {
		return c.facts.OutputHint
	}
	return c.facts.MaxOutputTokens / 2
}

// cost is the work of the request in tokens: one for each token read, two for each
// one generated.
func (c *call) cost() float64 { return float64(c.facts.PromptTokens + 2*c.output()) }

func (c *call) engineRequest(usage float64) placement.EngineRequest {
	return placement.EngineRequest{
		Parts: c.facts.Parts, InputTokens: c.facts.PromptTokens, OutputTokens: c.output(),
		TargetLatency: c.route.TargetLatency, TargetGap: c.route.TargetGap, Usage: usage, Exclude: c.tried,
	}
}
