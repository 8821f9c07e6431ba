package dispatch

import "github.com/lacewingshift/lacewingshift/ticket"

// GapBound returns the bound on the fairness gap of one cell between two
// workspaces i and j, in milli-units per weight. The gap is the difference of
// R = served/weight + offset. Over any interval in which both wait, the difference
// of the service they receive is at most twice the bound, because R_i - R_j moves
// between -bound and +bound.
//
// Derivation. Let V = R + H be the virtual service, where H is the holds per
// weight. Let W be the window, C the largest cost or estimate of one run, and n
// the number of running tickets of a workspace. Both workspaces have waiting
// tickets and are below the limits of their plans.
//
//  1. A grant to i at time g needs V_i(g) <= min V + W <= V_j(g) + W, where the
//     minimum is over all waiting workspaces. This also holds when LongShare
//     excludes every ticket inside the window, because then the workspace with
//     the lowest V gets the grant.
//  2. After its last grant, i receives only what its n_i running tickets still
//     use: R_i(t) <= R_i(g) + n_i*C/w_i <= V_i(g) + n_i*C/w_i.
//  3. R never falls, and the holds of j are at most n_j*C/w_j:
//     V_j(g) <= R_j(t) + n_j*C/w_j.
//
// Together: R_i - R_j <= W + n_i*C/w_i + n_j*C/w_j. If j began to wait after g, it
// started at or above the lowest V at the time of the grant (see startLevel), so
// the same inequality follows from the holds of j at that time.
//
// For n = 1 and weight 1 this is W + 2*C. With several running tickets per
// workspace, the uncharged work of all of them counts: the cost becomes known
// only while a request runs, and running work cannot be taken back. Stops
// (preemption) limit how far a run exceeds its estimate, which lowers C.
func (p Policy) GapBound(largest ticket.Units, runningI, runningJ int, weightI, weightJ float64) float64 {
	uncharged := float64(runningI)/weightI + float64(runningJ)/weightJ
	return float64(p.Window) + uncharged*float64(largest)
}
