package fleet

import (
	"cmp"
	"slices"

	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// maxLeaving bounds the leaving upstreams in one message.
	maxLeaving = 64
	// leavingAtOnce is the number of messages in a row that contain a changed list, since
	// messages can be lost.
	leavingAtOnce = 3
	// leavingRepeat is the number of messages after which an unchanged list is sent
	// again, for routers that missed it or are new.
	leavingRepeat = 6
)

// repeatedLeaving decides which messages to a recipient list the upstreams that leave.
// Recipients remember them, so that an unchanged list is sent only now and then.
type repeatedLeaving struct {
	sent     []placement.Instance
	messages int // since the list changed
}

// next returns the list for the next message, nil if it does not need one. Of more than
// maxLeaving upstreams the ones that started last are listed: the others are likely to
// be known.
func (r *repeatedLeaving) next(leaving []placement.Instance) []placement.Instance {
	list := slices.SortedFunc(slices.Values(leaving), func(a, b placement.Instance) int {
		return cmp.Or(cmp.Compare(b.StartedMs, a.StartedMs), cmp.Compare(a.Upstream, b.Upstream))
	})
	list = list[:min(len(list), maxLeaving)]
	if !slices.Equal(list, r.sent) {
		r.sent, r.messages = list, 0
	}
	r.messages++
	if r.messages > leavingAtOnce && r.messages%leavingRepeat != 0 {
		return nil
	}
	return list
}
