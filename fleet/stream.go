package fleet

import (
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
	askedAt  time.Time // when the sender was last asked to begin again
}

// receive applies a digest and returns the members that are no longer live. Digests
// that are older than the latest one are ignored.
func (s *stream) receive(now time.Time, incarnation uint64, d *Digest) (gone []GoneMember, newer bool) {
	if incarnation < s.incarnation || incarnation == s.incarnation && (d.Epoch < s.epoch || d.Epoch == s.epoch && d.Number <= s.number) {
		return nil, false
	}
	if incarnation != s.incarnation || d.Epoch != s.epoch {
		if s.synced {
			s.previous = s.current
		}
		s.incarnation, s.epoch, s.number = incarnation, d.Epoch, 0
		s.contiguous, s.synced, s.current = true, false, newStreamState()
	}
	s.contiguous = s.contiguous && d.Number == s.number+1
	s.number, s.receivedAt, s.dataCentre = d.Number, now, d.DataCentre
	s.current.apply(d)
	gone = d.Gone
	if s.contiguous && d.Complete {
		if s.previous != nil {
			gone = append(gone, s.current.without(s.previous.members)...)
		}
		s.synced, s.previous = true, nil
	}
	return gone, true
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
