// Package capacity calculates the cost of each role of a router at the target
// scale of the design. It measures the real state machines in simulations and other
// real components directly, and extrapolates to the target.
package capacity

// Target is a scale of the fleet. Rates are totals of the fleet.
type Target struct {
	Nodes       int     `json:"nodes"`
	Runners     int     `json:"runners"`
	RequestRate float64 `json:"requests_per_second"`
	TokenRate   float64 `json:"tokens_per_second"`
	Workspaces  int     `json:"workspaces"`
	// Backlogged is the number of workspaces that always have requests waiting.
	Backlogged  int `json:"backlogged_workspaces"`
	Models      int `json:"models"`
	Regions     int `json:"regions"`
	DataCentres int `json:"data_centres"`
	// ChangesPerDay is the number of configuration changes.
	ChangesPerDay float64 `json:"config_changes_per_day"`
	// TokenMillis is the time between two tokens of a response.
	TokenMillis float64 `json:"ms_between_tokens"`
	// KeyedPerSecond is the rate of calls with an idempotency key.
	KeyedPerSecond float64 `json:"keyed_calls_per_second"`
}

// Budgets are the limits set by the design.
type Budgets struct {
	// CoreShare is the control overhead of a node as a fraction of one core.
	CoreShare float64 `json:"core_share"`
	// MemoryBytes and BytesPerSecond are per node.
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	// ConfigSeconds is the time from the acceptance of a configuration change until
	// it is in force on all nodes.
	ConfigSeconds float64 `json:"config_seconds"`
	// WritesPerSecond, ReadsPerSecond and ObjectBytes are limits of the object API.
	WritesPerSecond float64 `json:"object_writes_per_second"`
	ReadsPerSecond  float64 `json:"object_reads_per_second"`
	ObjectBytes     float64 `json:"object_bytes"`
}

const secondsPerDay = 86_400

// DesignTarget returns the target of section 1 of the design. The design does not
// give the rate of keyed calls. Six per second is the assumption of package intent.
func DesignTarget() Target {
	return Target{
		Nodes: 390, Runners: 1500, RequestRate: 2200, TokenRate: 1.1e6,
		Workspaces: 1400, Backlogged: 140, Models: 23, Regions: 2, DataCentres: 7,
		ChangesPerDay: 8600, TokenMillis: 50, KeyedPerSecond: 6,
	}
}

// DesignBudgets returns the budgets of section 1 of the design. Its "several
// hundred" writes are taken as 400, as package intent does.
func DesignBudgets() Budgets {
	return Budgets{
		CoreShare: 0.022, MemoryBytes: 256e6, BytesPerSecond: 7000, ConfigSeconds: 3,
		WritesPerSecond: 400, ReadsPerSecond: 2000, ObjectBytes: 1 << 20,
	}
}

// RatePerNode returns the number of requests per second of one node.
func (t Target) RatePerNode() float64 { return t.RequestRate / float64(t.Nodes) }

// TokensPerRequest returns the mean length of a response.
func (t Target) TokensPerRequest() float64 { return t.TokenRate / t.RequestRate }

// RunSeconds returns the mean streaming time of a response.
func (t Target) RunSeconds() float64 { return t.TokensPerRequest() * t.TokenMillis / 1000 }

// RunningPerNode returns the mean number of concurrent streams of one node, by
// Little's law.
func (t Target) RunningPerNode() float64 { return t.RatePerNode() * t.RunSeconds() }

// ChangesPerSecond returns the mean rate of configuration changes.
func (t Target) ChangesPerSecond() float64 { return t.ChangesPerDay / secondsPerDay }

// Scaled returns the target for the given number of nodes. Runners, request rate
// and token rate are scaled in proportion; the other values stay the same.
func (t Target) Scaled(nodes int) Target {
	ratio := float64(nodes) / float64(t.Nodes)
	t.Runners = max(1, int(float64(t.Runners)*ratio+0.5))
	t.RequestRate *= ratio
	t.TokenRate *= ratio
	t.Nodes = nodes
	return t
}
