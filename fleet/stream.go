package fleet

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/placement"
)

// streamState is what the digests of one stream have conveyed.
type streamState struct {
	totals  *Totals
	members map[string]Record
}

func newStreamState() *streamState {
	return &streamState{totals: NewTotals(), members: map[string]Record{}}
}

// stream is the receiving side of the digests of one relay.
type stream struct {
	dataCentre    string
	incarnation   uint64 // of the relay
	epoch, number uint64 // of the latest digest
	receivedAt    time.Time
	contiguous    bool // every digest of the epoch has been received
	synced        bool // current was complete at one time
	current       *streamState
	// previous is the state before the current epoch; nil once current is synced.
	previous *streamState
	// previousAt is the time of the latest digest of the epoch of previous.
	previousAt time.Time
	askedAt    time.Time // when the sender was last asked to begin again
	// paused is set if this process was suspended since the latest digest.
	paused bool
}

// maxPreviousAge is the time for which the members of the previous epoch of a stream are
// taken for live. It suffices to convey those of the current one.
const maxPreviousAge = 2 * time.Second

// receive applies a digest and returns the members that are no longer live. Digests
// that are older than the latest one are ignored.
func (s *stream) receive(now time.Time, incarnation uint64, d *Digest) (gone []GoneMember, newer bool) {
	if incarnation < s.incarnation || incarnation == s.incarnation && (d.Epoch < s.epoch || d.Epoch == s.epoch && d.Number <= s.number) {
		return nil, false
	}
	if incarnation != s.incarnation || d.Epoch != s.epoch {
		if s.synced {
			s.previous, s.previousAt = s.current, s.receivedAt
		}
		s.incarnation, s.epoch, s.number = incarnation, d.Epoch, 0
		s.contiguous, s.synced, s.current = true, false, newStreamState()
	}
	if s.previous != nil && (s.paused || now.Sub(s.previousAt) > maxPreviousAge) {
		s.previous.members = map[string]Record{}
	}
	if d.Number > s.number+goneRepeat {
		// Digests that named members as gone were lost.
		s.current.members = map[string]Record{}
	}
	s.contiguous, s.paused = s.contiguous && d.Number == s.number+1, false
	s.number, s.receivedAt, s.dataCentre = d.Number, now, d.DataCentre
	// Digests name a router as gone several times.
	gone = slices.DeleteFunc(slices.Clone(d.Gone), func(g GoneMember) bool { return !s.holds(g.Host) })
	s.current.apply(d)
	for _, g := range gone {
		if s.previous != nil {
			delete(s.previous.members, g.Host)
		}
	}
	if s.contiguous && d.Complete {
		if s.previous != nil {
			gone = append(gone, s.current.without(s.previous.members)...)
		}
		s.synced, s.previous = true, nil
	}
	return gone, true
}

// holds reports whether the stream has conveyed that a router is live.
func (s *stream) holds(host string) bool {
	_, listed := s.current.members[host]
	if s.previous != nil && !listed {
		_, listed = s.previous.members[host]
	}
	return listed
}

// without returns those members that are not in the state.
func (st *streamState) without(members map[string]Record) []GoneMember {
	var gone []GoneMember
	for host, r := range members {
		if _, listed := st.members[host]; !listed {
			gone = append(gone, GoneMember{Host: host, Incarnation: r.Incarnation})
		}
	}
	return gone
}

// complete reports whether the usable state was complete at one time.
func (s *stream) complete() bool { return s.synced || s.previous != nil }

// usable returns the state to use: the one before the current epoch until the
// current one is complete.
func (s *stream) usable() *streamState {
	if s.previous != nil {
		return s.previous
	}
	return s.current
}

func (st *streamState) apply(d *Digest) {
	t := st.totals
	t.Routers, t.AgeMs, t.Retries = d.Routers, d.AgeMs, d.Retries
	t.Leaving = make(map[placement.Instance]bool, len(d.Leaving))
	for _, i := range d.Leaving {
		t.Leaving[i] = true
	}
	for _, sum := range d.Upstreams {
		t.setUpstream(sum)
	}
	for _, sum := range d.Workspaces {
		if sum == (WorkspaceSum{Workspace: sum.Workspace}) {
			delete(t.WorkspaceTokens, sum.Workspace)
			continue
		}
		t.WorkspaceTokens[sum.Workspace] = sum.tokens()
	}
	for _, r := range d.Members {
		st.members[r.Host] = r
	}
	for _, gone := range d.Gone {
		delete(st.members, gone.Host)
	}
}
