package fleet

import "github.com/lacewingshift/lacewingshift/quarantine"

const (
	// suspectsAtOnce is the number of messages in a row that contain changed evidence,
	// since messages can be lost.
	suspectsAtOnce = 3
	// suspectsRepeat is the number of messages after which unchanged evidence is sent
	// again, for routers that missed it or are new. Relays have most of it already, so
	// that reports to them repeat it less often, after suspectsToRelaysRepeat.
	suspectsRepeat         = 6
	suspectsToRelaysRepeat = 24
)

// repeatedSuspects decides which messages contain the evidence against parts of prompts.
// Recipients remember it.
type repeatedSuspects struct {
	revision int // of what was sent
	messages int // since the revision changed
}

// repeating reports whether news has been sent, and is to be sent again without waiting
// for the pace of a large data centre.
func (r *repeatedSuspects) repeating(revision int) bool {
	return revision == r.revision && r.messages > 0 && r.messages < suspectsAtOnce
}

// next returns the evidence for the next message, nil if it does not need any. repeat
// is the number of messages after which unchanged evidence is sent again.
func (r *repeatedSuspects) next(suspects []quarantine.Suspect, revision, repeat int) []quarantine.Suspect {
	if len(suspects) == 0 {
		return nil
	}
	if revision != r.revision {
		r.revision, r.messages = revision, 0
	}
	r.messages++
	if r.messages > suspectsAtOnce && r.messages%repeat != 0 {
		return nil
	}
	return suspects
}
