package capacity

import (
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/intent"
)

// ErrMeasure means that a measurement failed.
var ErrMeasure = eris.New("measurement failed")

// Result holds all measurements and the roles calculated from them.
type Result struct {
	Target  Target  `json:"target"`
	Budgets Budgets `json:"budgets"`
	Fleet   []Fleet `json:"fleet"`
	Cells   []Cells `json:"cells"`
	Lists   []Lists `json:"lists"`
	Views   []View  `json:"views"`
	// Transport, Records and Timeline are measured on the real implementations, not
	// on simulations.
	Transport []Transport `json:"transport"`
	Records   []Records   `json:"records"`
	Timeline  Timeline    `json:"timeline"`
	// Overhead is the number of transport bytes per message in addition to its
	// body, including acknowledgements.
	Overhead float64 `json:"bytes_per_message"`
	Roles    []Role  `json:"roles"`
}

// Role is the cost per node of one role of a router at the target scale.
// Extrapolation is the ratio of the target to the largest measured size.
type Role struct {
	Name           string  `json:"name"`
	Messages       float64 `json:"messages_per_second"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	CoreShare      float64 `json:"core_share"`
	StateBytes     float64 `json:"state_bytes"`
	Extrapolation  float64 `json:"extrapolation"`
}

// Settings select the sizes to measure.
type Settings struct {
	Seed uint64
	// Nodes are the sizes of the simulated fleets, ViewNodes the sizes for
	// MeasureView.
	Nodes     []int
	ViewNodes []int
	// Workspaces are the numbers of workspaces in the lists.
	Workspaces []int
	// Bodies are message sizes in bytes, and Calls are numbers of keyed calls.
	Bodies []int
	Calls  []int
	// Dir is the directory for the certificates of two routers.
	Dir string
}

// DefaultSettings returns sizes whose measurement takes a few minutes.
func DefaultSettings() Settings {
	return Settings{
		Seed: 1, Nodes: []int{8, 50, 100}, ViewNodes: []int{8, 50, 100, 200, 390},
		Workspaces: []int{100, 400, 1400}, Bodies: []int{50, 200, 800}, Calls: []int{1000, 2000, 4000},
	}
}

// Measure makes all measurements and calculates the roles. Errors: ErrMeasure,
// ErrTooFewPoints.
func Measure(s Settings) (Result, error) {
	r := Result{Target: DesignTarget(), Budgets: DesignBudgets(), Timeline: MeasureTimeline()}
	if err := r.measureParts(s); err != nil {
		return r, err
	}
	for _, n := range s.ViewNodes {
		r.Views = append(r.Views, MeasureView(r.Target.Scaled(n)))
	}
	for _, n := range s.Nodes {
		r.Fleet = append(r.Fleet, MeasureFleet(s.Seed, r.Target.Scaled(n)))
		r.Cells = append(r.Cells, MeasureCells(s.Seed, r.Target.Scaled(n), true))
	}
	return r, r.calculateRoles()
}

func (r *Result) measureParts(s Settings) error {
	for _, n := range s.Workspaces {
		lists, err := MeasureLists(n, r.Target.Models)
		if err != nil {
			return eris.Wrap(ErrMeasure, err.Error())
		}
		r.Lists = append(r.Lists, lists)
	}
	for _, n := range s.Bodies {
		transport, err := MeasureTransport(s.Dir, n)
		if err != nil {
			return err
		}
		r.Transport = append(r.Transport, transport)
	}
	for _, n := range s.Calls {
		records, err := MeasureRecords(n)
		if err != nil {
			return err
		}
		r.Records = append(r.Records, records)
	}
	return nil
}

// calculateRoles calculates the overhead and the roles from the measurements.
func (r *Result) calculateRoles() error {
	overhead, _, err := valueAt(r.Transport, 0, func(t Transport) (float64, float64) {
		return float64(t.BodyBytes), t.SentBytes + t.AckBytes
	})
	if err != nil {
		return err
	}
	r.Overhead = overhead
	for _, role := range []func() (Role, error){r.membership, r.dispatching, r.hostList, r.configuration, r.records, r.timeline} {
		found, err := role()
		if err != nil {
			return err
		}
		r.Roles = append(r.Roles, found)
	}
	return nil
}

// valueAt returns the value measured at the target, or else the value of a line
// fitted through all points, and the ratio of the target to the largest measured x.
func valueAt[T any](points []T, target float64, value func(T) (x, y float64)) (y, extrapolation float64, err error) {
	var measured []Point
	for _, p := range points {
		x, y := value(p)
		if x == target {
			return y, 1, nil
		}
		measured = append(measured, Point{x, y})
	}
	line, err := Fit(measured)
	if err != nil {
		return 0, 0, err
	}
	return line.At(target), line.Extrapolation(target), nil
}

func (r *Result) membership() (Role, error) {
	role := Role{Name: "membership"}
	nodes := float64(r.Target.Nodes)
	bytes, extrapolation, err := valueAt(r.Fleet, nodes, func(f Fleet) (float64, float64) { return float64(f.Nodes), f.Bytes })
	if err != nil {
		return role, err
	}
	role.Extrapolation = extrapolation
	role.Messages, _, _ = valueAt(r.Fleet, nodes, func(f Fleet) (float64, float64) { return float64(f.Nodes), f.Messages })
	role.CoreShare, _, _ = valueAt(r.Fleet, nodes, func(f Fleet) (float64, float64) { return float64(f.Nodes), f.CPUSeconds })
	role.StateBytes, _, _ = valueAt(r.Fleet, nodes, func(f Fleet) (float64, float64) { return float64(f.Nodes), f.HeapBytes })
	role.BytesPerSecond = bytes + role.Messages*r.Overhead
	return role, nil
}

// dispatching uses the largest measured fleet instead of a fitted line, because the
// bytes per node are not linear: they grow with the number of dispatchers that an
// entry talks to only up to a limit.
func (r *Result) dispatching() (Role, error) {
	if len(r.Cells) == 0 {
		return Role{}, ErrTooFewPoints
	}
	c := r.Cells[len(r.Cells)-1]
	return Role{
		Name: "entry, dispatcher, exchange", Messages: c.Messages,
		BytesPerSecond: c.Bytes + c.Messages*r.Overhead, CoreShare: c.CPUSeconds,
		StateBytes: c.HeapBytes, Extrapolation: float64(r.Target.Nodes) / float64(c.Nodes),
	}, nil
}

// hostList is the cost of reading the host list, which every router does twice a
// second, and of building a new view each time.
func (r *Result) hostList() (Role, error) {
	nodes, rate := float64(r.Target.Nodes), 1/hostsPeriod.Seconds()
	role := Role{Name: "host list and view", Messages: rate}
	bytes, extrapolation, err := valueAt(r.Views, nodes, func(v View) (float64, float64) { return float64(v.Nodes), v.HostListBytes })
	if err != nil || len(r.Lists) == 0 {
		return role, ErrTooFewPoints
	}
	step, _, _ := valueAt(r.Views, nodes, func(v View) (float64, float64) { return float64(v.Nodes), v.DecodeSeconds + v.StepSeconds })
	role.StateBytes, _, _ = valueAt(r.Views, nodes, func(v View) (float64, float64) { return float64(v.Nodes), v.HeapBytes })
	role.BytesPerSecond, role.Extrapolation = bytes*rate, extrapolation
	role.CoreShare = (step + r.Lists[len(r.Lists)-1].LimitsSeconds) * rate
	return role, nil
}

// configuration is the cost of one transfer of the complete lists per router and
// change.
func (r *Result) configuration() (Role, error) {
	role := Role{Name: "configuration", Messages: r.Target.ChangesPerSecond()}
	count := float64(r.Target.Workspaces)
	bytes, extrapolation, err := valueAt(r.Lists, count, func(l Lists) (float64, float64) { return float64(l.Workspaces), l.Bytes })
	if err != nil {
		return role, err
	}
	parse, _, _ := valueAt(r.Lists, count, func(l Lists) (float64, float64) { return float64(l.Workspaces), l.ParseSeconds + l.LimitsSeconds })
	role.StateBytes, _, _ = valueAt(r.Lists, count, func(l Lists) (float64, float64) { return float64(l.Workspaces), l.HeapBytes })
	role.BytesPerSecond, role.Extrapolation = bytes*role.Messages, extrapolation
	role.CoreShare = parse * role.Messages
	return role, nil
}

// writesPerCall is the number of writes when calls are too rare to be batched: one
// at the start of the call and one at its end.
const writesPerCall = 2

// ShardBytes returns the size in bytes of one shard object at the target.
func (r *Result) ShardBytes() (float64, error) {
	compact, full, err := r.recordBytes()
	ended := r.Target.KeyedPerSecond * secondsPerDay
	kept := r.Target.KeyedPerSecond * intent.DefaultKeepOutcome.Seconds()
	return (ended*compact + kept*full) / intent.Shards, err
}

// recordBytes returns the stored bytes per call, which are the slopes of fitted
// lines.
func (r *Result) recordBytes() (compact, full float64, err error) {
	var points [2][]Point
	for _, m := range r.Records {
		points[0] = append(points[0], Point{float64(m.Calls), m.CompactBytes})
		points[1] = append(points[1], Point{float64(m.Calls), m.FullBytes})
	}
	compactLine, err := Fit(points[0])
	if err != nil {
		return 0, 0, err
	}
	fullLine, err := Fit(points[1])
	return compactLine.Slope, fullLine.Slope, err
}

// records is the cost of a router that owns one of the 64 shards, so at most 64
// routers have it. The bytes are sent to the object API.
func (r *Result) records() (Role, error) {
	role := Role{Name: "at-most-once records, owner of a shard"}
	shard, err := r.ShardBytes()
	if err != nil {
		return role, err
	}
	last := r.Records[len(r.Records)-1]
	role.Messages = r.Target.KeyedPerSecond * writesPerCall / intent.Shards
	role.BytesPerSecond = role.Messages * shard
	role.CoreShare = last.CPUSeconds * r.Target.KeyedPerSecond / intent.Shards
	role.StateBytes = shard
	role.Extrapolation = r.Target.KeyedPerSecond * secondsPerDay / float64(last.Calls)
	return role, nil
}

// eventsPerRequest is an assumption: received, submitted, granted, sent, ended and
// some events of the dispatcher.
const eventsPerRequest = 10

// timeline sends no messages of its own, because every frame carries its clock.
func (r *Result) timeline() (Role, error) {
	return Role{
		Name:          "timeline",
		CoreShare:     r.Timeline.CPUSeconds * eventsPerRequest * r.Target.RatePerNode(),
		StateBytes:    r.Timeline.HeapBytes * eventsMeasured,
		Extrapolation: 1,
	}, nil
}
