// Package load sends a seeded, mixed workload to a fleet of routers, checks each
// response, and measures the guarantees of the design: fairness, latency,
// utilisation and at-most-once execution.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
)

// Kind is the type of a request.
type Kind string

// Kinds of requests.
const (
	KindQuestion  Kind = "question"  // short response, tight deadline
	KindHistory   Kind = "history"   // long prompt and response
	KindStraggler Kind = "straggler" // response many times longer than the rest
	KindCommit    Kind = "commit"    // write to a plain service, must run at most once
	KindStatus    Kind = "status"    // read of a plain service
)

// Role is how a workspace behaves.
type Role string

// Roles of workspaces.
const (
	RoleNormal     Role = "normal"
	RoleBacklogged Role = "backlogged" // always has work waiting
	RoleFlooding   Role = "flooding"   // sends far more than its queue limit
)

// requestMix holds the fraction of each kind in the arrivals of a normal
// workspace.
var requestMix = []struct {
	kind  Kind
	share float64
}{
	{KindQuestion, 0.48},
	{KindHistory, 0.14},
	{KindStraggler, 0.01},
	{KindCommit, 0.14},
	{KindStatus, 0.23},
}

const (
	// Nominal times per token of the fake engine, used for deadlines and offered
	// load.
	nominalTokenTime  = 45 * time.Millisecond
	nominalPromptTime = 2 * time.Millisecond

	burstChance         = 0.08 // arrival of a normal workspace is a burst
	minBurst            = 4    // requests per burst
	maxBurst            = 9
	burstSpan           = 300 * time.Millisecond // time from the first to the last request of a burst
	remoteChance        = 0.2                    // request comes from a random region instead of the workspace's home region
	tightDeadlineChance = 0.25                   // history has a tight deadline
	documentReuseChance = 0.3                    // history reuses a recent document
	nonStreamingChance  = 0.1                    // completion is not streamed
	crestLevel          = 0.5                    // demand counts as the crest above this value of the sine
	maxRecentDocuments  = 3
	questionBytes       = 120 // mean prompt size of a question
)

// Settings configure a load run.
type Settings struct {
	Seed uint64 `json:"seed"`
	// Duration is the time during which requests are sent.
	Duration time.Duration `json:"duration"`
	// Grace is how long callers may wait for responses after Duration.
	Grace time.Duration `json:"grace"`
	// MaxRequests bounds the number of requests.
	MaxRequests int `json:"max_requests"`
	// NormalLoad, BacklogLoad and FloodLoad are the mean offered load of all
	// workspaces of a role, as a fraction of the nominal engine capacity.
	NormalLoad  float64 `json:"normal_load"`
	BacklogLoad float64 `json:"backlog_load"`
	FloodLoad   float64 `json:"flood_load"`
	// Swing is the ratio of the highest to the lowest demand of normal workspaces,
	// which follows a sine wave. Period is the length of the wave.
	Swing  float64       `json:"swing"`
	Period time.Duration `json:"period"`
	// NoLong removes the histories and stragglers of normal workspaces. The other
	// requests of the seed stay the same.
	NoLong bool `json:"no_long"`
	// SlowRunners is the number of runners slowed by SlowFactor in the second half
	// of Duration. If it is positive, the second half repeats the arrivals of the
	// first, so that the halves can be compared.
	SlowRunners int     `json:"slow_runners"`
	SlowFactor  float64 `json:"slow_factor"`
	// Bound is the allowed fairness gap.
	Bound Bound `json:"bound"`
}

// DefaultSettings returns the settings of a standard run.
func DefaultSettings() Settings {
	return Settings{
		Seed:        1,
		Duration:    80 * time.Second,
		Grace:       20 * time.Second,
		MaxRequests: 20_000,
		NormalLoad:  0.5,
		BacklogLoad: 0.85,
		FloodLoad:   0.5,
		Swing:       3,
		Period:      20 * time.Second,
		SlowRunners: 2,
		SlowFactor:  5,
		Bound:       DefaultBound(),
	}
}

// undisturbedDuration returns the length of the initial part of the run without
// slowed runners.
func (s Settings) undisturbedDuration() time.Duration {
	if s.SlowRunners > 0 {
		return s.Duration / 2
	}
	return s.Duration
}

// Request is one request of the workload.
type Request struct {
	// Index is the position in order of arrival.
	Index int
	// At is the arrival time relative to the start of the run.
	At time.Duration
	// Workspace is an index into Description.Keys.
	Workspace int
	Role      Role
	// Region is where the caller is.
	Region string
	Kind   Kind
	// Crest marks arrivals at the crest of the demand wave.
	Crest bool
	// Seed determines the response of a completion and the question in its prompt.
	// Document determines the rest of the prompt, which has about DocBytes bytes.
	Seed     uint64
	Document uint64
	DocBytes int
	// Length is the length of the response in tokens.
	Length    int
	MaxTokens int
	// Hint is the cost hint in tokens, or zero for none.
	Hint         int
	NonStreaming bool
	// Deadline is relative to At.
	Deadline time.Duration
}

// IsPlain reports whether the request goes to the plain service.
func (r Request) IsPlain() bool { return r.Kind == KindCommit || r.Kind == KindStatus }

func (r Request) isLong() bool { return r.Kind == KindHistory || r.Kind == KindStraggler }

// Prompt returns the prompt of a completion: the document, which other requests
// may share, and a question.
func (r Request) Prompt() string {
	var b strings.Builder
	fmt.Fprintf(&b, "workspace %d document %x: ", r.Workspace, r.Document)
	for i := 0; b.Len() < r.DocBytes; i++ {
		b.WriteString(fake.Token(r.Document, i))
	}
	fmt.Fprintf(&b, "question %x", r.Seed)
	return b.String()
}

// runTime returns the run time on an engine at its nominal batch size, with four
// prompt bytes per token.
func (r Request) runTime() time.Duration {
	prompt := time.Duration(r.DocBytes/4) * nominalPromptTime
	return prompt + time.Duration(r.Length)*nominalTokenTime
}

// Generate returns the requests of a run in order of arrival.
func Generate(s Settings, d deployment.Description) []Request {
	span := s.undisturbedDuration()
	var requests []Request
	for i := range d.Keys {
		requests = append(requests, newGenerator(s, d, i).arrivals(span)...)
	}
	if s.SlowRunners > 0 {
		requests = append(requests, repeated(requests, span)...)
	}
	requests = slices.DeleteFunc(requests, func(r Request) bool {
		return s.NoLong && r.isLong() && r.Role == RoleNormal
	})
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	if len(requests) > s.MaxRequests {
		requests = requests[:s.MaxRequests]
	}
	for i := range requests {
		requests[i].Index = i
	}
	return requests
}

// repeated returns copies of requests with later arrival times and with different
// prompts and responses.
func repeated(requests []Request, shift time.Duration) []Request {
	copies := slices.Clone(requests)
	for i := range copies {
		copies[i].At += shift
		copies[i].Seed ^= 1 << 63
		copies[i].Document ^= 1 << 63
	}
	return copies
}

// roles assigns a role to each workspace: the last workspace of each plan is
// backlogged, except that of the last plan, which is flooding. All others are
// normal.
func roles(keys []deployment.Key) []Role {
	assigned := make([]Role, len(keys))
	last := map[string]int{}
	var plans []string
	for i, key := range keys {
		assigned[i] = RoleNormal
		if _, seen := last[key.Plan]; !seen {
			plans = append(plans, key.Plan)
		}
		last[key.Plan] = i
	}
	for i, plan := range plans {
		assigned[last[plan]] = RoleBacklogged
		if i == len(plans)-1 {
			assigned[last[plan]] = RoleFlooding
		}
	}
	return assigned
}

// generator generates the requests of one workspace.
type generator struct {
	settings        Settings
	random          *rand.Rand
	workspace       int
	role            Role
	homeRegion      string // region of most requests
	regions         []string
	arrivalRate     float64  // mean arrivals per second; a burst is one arrival
	recentDocuments []uint64 // oldest first
}

func newGenerator(s Settings, d deployment.Description, workspace int) *generator {
	role := roles(d.Keys)[workspace]
	g := &generator{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, uint64(workspace))),
		workspace:  workspace,
		role:       role,
		homeRegion: d.Keys[workspace].Region,
		regions:    d.Regions,
	}
	g.arrivalRate = offeredSlots(s, d, workspace) / g.meanRunTime().Seconds()
	return g
}

// offeredSlots returns the offered load of the workspace as a mean number of busy
// engine slots.
func offeredSlots(s Settings, d deployment.Description, workspace int) float64 {
	slots := 0
	for _, engine := range d.Engines {
		slots += engine.Slots
	}
	assigned := roles(d.Keys)
	load := map[Role]float64{RoleNormal: s.NormalLoad, RoleBacklogged: s.BacklogLoad, RoleFlooding: s.FloodLoad}
	demand := func(i int) float64 {
		if assigned[i] == RoleNormal {
			return d.Keys[i].Share
		}
		return d.Keys[i].Weight
	}
	total := 0.0
	for i := range d.Keys {
		if assigned[i] == assigned[workspace] {
			total += demand(i)
		}
	}
	return float64(slots) * load[assigned[workspace]] * demand(workspace) / total
}

// meanRunTime returns the mean engine time per arrival, estimated with a fixed
// seed.
func (g *generator) meanRunTime() time.Duration {
	const samples = 4000
	sampler := *g
	sampler.random = rand.New(rand.NewPCG(1, 1))
	var total time.Duration
	for range samples {
		for _, r := range sampler.arrival(0) {
			if !r.IsPlain() {
				total += r.runTime()
			}
		}
	}
	return total / samples
}

// arrivals generates a Poisson process whose rate follows the demand wave, by
// thinning a process at the peak rate.
func (g *generator) arrivals(span time.Duration) []Request {
	amplitude := 0.0
	if g.role == RoleNormal {
		amplitude = (g.settings.Swing - 1) / (g.settings.Swing + 1)
	}
	peakRate := g.arrivalRate * (1 + amplitude)
	var requests []Request
	// At rate zero the time between arrivals is infinite and overflows
	// time.Duration.
	if peakRate <= 0 {
		return requests
	}
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / peakRate * float64(time.Second))
		if at >= span {
			return requests
		}
		level := math.Sin(2 * math.Pi * at.Seconds() / g.settings.Period.Seconds())
		if g.random.Float64()*(1+amplitude) > 1+amplitude*level {
			continue
		}
		for _, r := range g.arrival(at) {
			r.Crest = level > crestLevel
			requests = append(requests, r)
		}
	}
}

// arrival returns one request or a burst of requests of one kind.
func (g *generator) arrival(at time.Duration) []Request {
	count := 1
	if g.role == RoleNormal && g.random.Float64() < burstChance {
		count = minBurst + g.random.IntN(maxBurst-minBurst+1)
	}
	kind := g.kind()
	var requests []Request
	for i := range count {
		offset := time.Duration(0)
		if i > 0 {
			offset = time.Duration(g.random.Int64N(int64(burstSpan)))
		}
		requests = append(requests, g.newRequest(kind, at+offset))
	}
	return requests
}

// kind returns a random kind as the role of the workspace prescribes.
func (g *generator) kind() Kind {
	switch g.role {
	case RoleFlooding:
		return KindQuestion
	case RoleBacklogged:
		if g.random.Float64() < 0.5 {
			return KindHistory
		}
		return KindQuestion
	}
	drawn := g.random.Float64()
	for _, part := range requestMix {
		if drawn < part.share {
			return part.kind
		}
		drawn -= part.share
	}
	return KindQuestion
}
