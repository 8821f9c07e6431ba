package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The limit of retained answers must not remove a newer request with the id of an
// answer that is already gone.
func TestRetentionLimitKeepsNewerRequest(t *testing.T) {
	tracker := newRequestTracker()
	finish := func(key string) {
		tc := &trackedCompletion{key: key, ended: make(chan struct{})}
		assert.True(t, tracker.add(tc))
		tracker.finish(tc, false)
	}
	finish("reused")
	tracker.remove(tracker.get("reused")) // its retention time is over
	newer := &trackedCompletion{key: "reused", ended: make(chan struct{})}
	assert.True(t, tracker.add(newer))
	for i := range maxRetainedAnswers {
		finish(fmt.Sprint(i))
	}
	assert.Same(t, newer, tracker.get("reused"))
}
