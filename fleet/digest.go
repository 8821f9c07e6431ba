package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// maxUpstreamChanges, maxWorkspaceChanges and maxMemberChanges bound the entries
	// of one digest. The largest changes go first, and what is left over is part of
	// the next digest.
	maxUpstreamChanges  = 160
	maxWorkspaceChanges = 96
	maxMemberChanges    = 64
	// minChanges is the least that a relay with many recipients sends to each.
	minChanges = 16
	// A change by significantTokens waiting or by significantMemory is as urgent as
	// one by a request.
	significantTokens = 1000
	significantMemory = 8000
)

// Digest is one message of a stream in which a relay sends sums of reports and a
// list of members. It holds what has changed since the previous digest of the
// stream. Values are absolute, so that a lost digest leaves some of them outdated
// but falsifies none.
type Digest struct {
	// DataCentre is empty in the digests that a relay sends to a member, which hold
	// the sums over all other routers. Otherwise it holds the sums over that data
	// centre.
	DataCentre string `cbor:"1,keyasint,omitempty"`
	// Epoch identifies the stream among those of an incarnation of its sender.
	// Number counts its digests from 1.
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// Complete is set if no change had to be left for the next digest.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Routers is the number of reports in the sums, AgeMs the sum of their ages.
	Routers int   `cbor:"5,keyasint,omitempty"`
	AgeMs   int64 `cbor:"6,keyasint,omitempty"`
	// Upstreams and Workspaces hold the sums that changed, Retries all of them.
	Upstreams  []UpstreamSum            `cbor:"7,keyasint,omitempty"`
	Workspaces []WorkspaceSum           `cbor:"8,keyasint,omitempty"`
	Retries    map[string]budget.Counts `cbor:"9,keyasint,omitempty"`
	// Members holds the routers that became live or changed, Gone those that are no
	// longer live.
	Members []Record     `cbor:"10,keyasint,omitempty"`
	Gone    []GoneMember `cbor:"11,keyasint,omitempty"`
	// Leaving holds the upstreams that leave; it is missing in most digests, see
	// repeatedLeaving.
	Leaving []placement.Instance `cbor:"12,keyasint,omitempty"`
	// Doubted lists the hosts of live members that the sender has not heard from for some
	// time, and at the begin of a stream those that were live lately. The digest does not
	// confirm that they are live.
	Doubted []string `cbor:"13,keyasint,omitempty"`
}

// UpstreamSum is the load that several routers have in progress at one upstream.
type UpstreamSum struct {
	_             struct{} `cbor:",toarray"`
	Upstream      string
	WaitingTokens int
	Requests      int
	MemoryTokens  int
	Failing       int // number of routers that have ejected the upstream
}

// WorkspaceSum holds the tokens that several routers have counted for a workspace.
type WorkspaceSum struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Requested int64
	Granted   int64
	Refused   int64
}

// GoneMember is a router that is no longer live.
type GoneMember struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
}

func (s UpstreamSum) load() placement.Load {
	return placement.Load{WaitingTokens: s.WaitingTokens, Requests: s.Requests, MemoryTokens: s.MemoryTokens}
}

func (s WorkspaceSum) tokens() fairshare.Tokens {
	return fairshare.Tokens{Requested: float64(s.Requested), Granted: float64(s.Granted), Refused: float64(s.Refused)}
}

// difference returns how much two sums of one upstream differ, as a number of
// requests.
func (s UpstreamSum) difference(other UpstreamSum) float64 {
	return math.Abs(float64(s.Requests-other.Requests)) +
		math.Abs(float64(s.WaitingTokens-other.WaitingTokens))/significantTokens +
		math.Abs(float64(s.MemoryTokens-other.MemoryTokens))/significantMemory +
		math.Abs(float64(s.Failing-other.Failing))
}

// difference returns by how many tokens two sums of one workspace differ.
func (s WorkspaceSum) difference(other WorkspaceSum) float64 {
	return math.Abs(float64(s.Requested-other.Requested)) + math.Abs(float64(s.Granted-other.Granted)) +
		math.Abs(float64(s.Refused-other.Refused))
}

// digestContent is what a stream of digests is to convey.
type digestContent struct {
	totals  *Totals
	members []Record
	doubted []string // hosts of members
	ended   []string // hosts that were members lately
	// interest holds the upstreams that the recipient needs; nil stands for all.
	interest map[string]bool
}

// digestWriter produces a stream of digests.
type digestWriter struct {
	epoch, number uint64
	upstreams     map[string]UpstreamSum // as sent
	workspaces    map[string]WorkspaceSum
	members       map[string]Record
	added         []Record // members that the latest digest added
	gone          []repeatedGone
	begun         bool // a complete digest was sent
	leaving       repeatedLeaving
}

func newDigestWriter(epoch uint64) *digestWriter {
	return &digestWriter{epoch: epoch, upstreams: map[string]UpstreamSum{}, workspaces: map[string]WorkspaceSum{}, members: map[string]Record{}}
}

// next returns the next digest. recipients is the number of routers that the sender
// writes digests to; with many of them each digest is smaller, so that the traffic of
// the sender stays the same.
func (w *digestWriter) next(dataCentre string, content digestContent, recipients int) *Digest {
	w.number++
	d := &Digest{
		DataCentre: dataCentre, Epoch: w.epoch, Number: w.number,
		Routers: content.totals.Routers, AgeMs: content.totals.AgeMs, Retries: content.totals.Retries,
		Doubted: content.doubted,
	}
	var upstreamsLeft, workspacesLeft, membersLeft bool
	d.Upstreams, upstreamsLeft = takeLargest(w.changedUpstreams(content), changeLimit(maxUpstreamChanges, recipients))
	for _, change := range d.Upstreams {
		setOrDelete(w.upstreams, change.Upstream, change, UpstreamSum{Upstream: change.Upstream})
	}
	d.Workspaces, workspacesLeft = takeLargest(w.changedWorkspaces(content.totals), changeLimit(maxWorkspaceChanges, recipients))
	for _, change := range d.Workspaces {
		setOrDelete(w.workspaces, change.Workspace, change, WorkspaceSum{Workspace: change.Workspace})
	}
	d.Leaving = w.leaving.next(slices.Collect(maps.Keys(content.totals.Leaving)))
	membersLeft = w.addMembers(d, content.members)
	d.Complete = !upstreamsLeft && !workspacesLeft && !membersLeft
	if !w.begun {
		// The recipient may still hold the members of an earlier epoch.
		d.Doubted = slices.Concat(d.Doubted, content.ended)
	}
	w.begun = w.begun || d.Complete
	return d
}

// changeLimit returns how many changes each of several recipients is sent at once.
func changeLimit(most, recipients int) int {
	return max(most*maxMembersPerInterval/max(recipients, maxMembersPerInterval), minChanges)
}

// change is a changed value and by how much it differs from the one that was sent.
type change[V any] struct {
	value      V
	difference float64
}

// takeLargest returns up to limit of the largest changes, and whether there are more.
func takeLargest[V any](changes []change[V], limit int) (largest []V, more bool) {
	if len(changes) > limit {
		slices.SortFunc(changes, func(a, b change[V]) int { return cmp.Compare(b.difference, a.difference) })
		changes, more = changes[:limit], true
	}
	for _, c := range changes {
		largest = append(largest, c.value)
	}
	return largest, more
}

// setOrDelete stores a value, or deletes the key if the value is empty.
func setOrDelete[V comparable](values map[string]V, key string, value, empty V) {
	if value == empty {
		delete(values, key)
		return
	}
	values[key] = value
}

func (w *digestWriter) changedUpstreams(content digestContent) []change[UpstreamSum] {
	var changes []change[UpstreamSum]
	add := func(upstream string, current UpstreamSum) {
		sent := w.upstreams[upstream]
		sent.Upstream = upstream
		if current != sent {
			changes = append(changes, change[UpstreamSum]{current, current.difference(sent)})
		}
	}
	if content.interest == nil {
		for upstream := range content.totals.Loads {
			add(upstream, content.totals.upstreamSum(upstream))
		}
		for upstream := range content.totals.Failing {
			if _, added := content.totals.Loads[upstream]; !added {
				add(upstream, content.totals.upstreamSum(upstream))
			}
		}
	}
	for upstream := range content.interest {
		add(upstream, content.totals.upstreamSum(upstream))
	}
	for upstream := range w.upstreams {
		outside := content.interest != nil && !content.interest[upstream]
		idle := content.interest == nil && !content.totals.hasUpstream(upstream)
		if outside || idle {
			add(upstream, UpstreamSum{Upstream: upstream})
		}
	}
	return changes
}

func (w *digestWriter) changedWorkspaces(totals *Totals) []change[WorkspaceSum] {
	var changes []change[WorkspaceSum]
	add := func(current WorkspaceSum) {
		sent := w.workspaces[current.Workspace]
		sent.Workspace = current.Workspace
		if current != sent {
			changes = append(changes, change[WorkspaceSum]{current, current.difference(sent)})
		}
	}
	for workspace, tokens := range totals.WorkspaceTokens {
		add(newWorkspaceSum(workspace, tokens))
	}
	for workspace := range w.workspaces {
		if _, counted := totals.WorkspaceTokens[workspace]; !counted {
			add(WorkspaceSum{Workspace: workspace})
		}
	}
	return changes
}

func newWorkspaceSum(workspace string, tokens fairshare.Tokens) WorkspaceSum {
	return WorkspaceSum{
		Workspace: workspace, Requested: int64(math.Round(tokens.Requested)),
		Granted: int64(math.Round(tokens.Granted)), Refused: int64(math.Round(tokens.Refused)),
	}
}

// addMembers adds the changes of the members and reports whether more are left.
func (w *digestWriter) addMembers(d *Digest, members []Record) (more bool) {
	current := make(map[string]bool, len(members))
	before := w.added
	w.added = nil
	for _, m := range members {
		current[m.Host] = true
		if w.members[m.Host] == m {
			continue
		}
		if len(d.Members) == maxMemberChanges {
			more = true
			continue
		}
		d.Members = append(d.Members, m)
		w.added = append(w.added, m)
		w.members[m.Host] = m
	}
	// Members are sent twice, as a digest may be lost.
	for _, m := range before {
		if current[m.Host] && w.members[m.Host] == m && len(d.Members) < maxMemberChanges {
			d.Members = append(d.Members, m)
		}
	}
	for host, m := range w.members {
		if !current[host] {
			w.gone = append(w.gone, repeatedGone{GoneMember{Host: host, Incarnation: m.Incarnation}, goneRepeat})
			delete(w.members, host)
		}
	}
	d.Gone = w.nextGone(current)
	return more
}
