package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Fit must return the least-squares line, with a residual that reflects the point
// farthest from it.
func TestFit(t *testing.T) {
	line, err := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.NoError(t, err)
	require.InDelta(t, 3, line.Base, 1e-9)
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 0, line.RelativeResidual, 1e-9)
	require.InDelta(t, 23, line.At(10), 1e-9)
	require.InDelta(t, 2.5, line.Extrapolation(10), 1e-9)
	require.InDelta(t, 1, line.Extrapolation(3), 1e-9)

	bent, err := Fit([]Point{{0, 0}, {1, 0}, {2, 3}})
	require.NoError(t, err)
	require.InDelta(t, 1.0/3, bent.RelativeResidual, 1e-9)
}

// Too few different x values must give an error, not a NaN in the published
// figures.
func TestFitNeedsTwoXValues(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		_, err := Fit(points)
		require.ErrorIs(t, err, ErrTooFewPoints)
	}
}

// Figures per node must follow from the figures of the fleet, and a scaled fleet
// must have the same load per node.
func TestTarget(t *testing.T) {
	target := DesignTarget()
	require.InDelta(t, 5.64, target.RatePerNode(), 0.01)
	require.InDelta(t, 500, target.TokensPerRequest(), 0.01)
	require.InDelta(t, 25, target.RunSeconds(), 0.01)
	require.InDelta(t, 141, target.RunningPerNode(), 0.1)
	small := target.Scaled(39)
	require.Equal(t, 150, small.Runners)
	require.InDelta(t, target.RatePerNode(), small.RatePerNode(), 1e-9)
	require.InDelta(t, target.RunningPerNode(), small.RunningPerNode(), 1e-9)
}

// Roles must use the value measured at the target size if there is one, and must
// be calculated in the right units.
func TestRoles(t *testing.T) {
	r := Result{Target: DesignTarget(), Budgets: DesignBudgets()}
	r.Transport = []Transport{{BodyBytes: 100, SentBytes: 170, AckBytes: 30}, {BodyBytes: 200, SentBytes: 270, AckBytes: 30}}
	r.Fleet = []Fleet{{Nodes: 10, Bytes: 400, Messages: 8}, {Nodes: 20, Bytes: 400, Messages: 8}}
	r.Cells = []Cells{{Nodes: 390, Bytes: 1000, Messages: 10}}
	r.Views = []View{{Nodes: 200, HostListBytes: 7}, {Nodes: 390, HostListBytes: 1000}}
	r.Lists = []Lists{{Workspaces: 700, Bytes: 1000}, {Workspaces: 1400, Bytes: 2000, LimitsSeconds: 0.01}}
	r.Records = []Records{{Calls: 1000, FullBytes: 2000, CompactBytes: 200}, {Calls: 2000, FullBytes: 4000, CompactBytes: 400}}
	require.NoError(t, r.calculateRoles())
	require.InDelta(t, 100, r.Overhead, 1e-6)
	require.InDelta(t, 400+8*100, r.Roles[0].BytesPerSecond, 1e-6)
	require.InDelta(t, 19.5, r.Roles[0].Extrapolation, 1e-6)
	require.InDelta(t, 2000, r.Roles[1].BytesPerSecond, 1e-6)
	require.InDelta(t, 2*1000, r.Roles[2].BytesPerSecond, 1e-6)
	require.InDelta(t, 2*0.01, r.Roles[2].CoreShare, 1e-9)
	require.InDelta(t, 2000*8600.0/86400, r.Roles[3].BytesPerSecond, 1e-6)
	shard, err := r.ShardBytes()
	require.NoError(t, err)
	require.InDelta(t, 6*(86400*0.2+900*2)/64, shard, 1e-6)
}
