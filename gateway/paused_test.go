package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/boottime"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/pause"
)

// A request whose deadline passed while the machine was suspended must not be sent
// on, although the clock stood still meanwhile.
func TestSuspensionCountsAgainstTheDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	suspension := 3 * time.Second
	c := &call{deadline: now.Add(5 * time.Second), suspended: func() time.Duration { return suspension }, suspendedBefore: suspension}
	assert.Equal(t, 5*time.Second, c.remaining(now))
	suspension += 6 * time.Second
	assert.Negative(t, c.remaining(now))
}

// A router that was paused must not serve with versions that it has not confirmed,
// but must serve again soon when it reaches nobody.
func TestPausedRouterConfirmsBeforeItServes(t *testing.T) {
	x := &exchange{table: fleet.NewTable(fleet.Record{Host: "a"}, nil, time.Now())}
	assert.True(t, x.mayAct())
	x.guard.Tick(0) // long before the clock of this machine began
	if !assert.False(t, x.mayAct(), "the pause has not been noticed yet") {
		return
	}
	x.confirmVersions()
	assert.False(t, x.mayAct(), "no other router can confirm")
	require.Eventually(t, func() bool {
		x.guardMu.Lock()
		x.guard.Tick(boottime.Now())
		x.guardMu.Unlock()
		time.Sleep(pause.MaxGap / 20)
		return x.mayAct()
	}, 3*time.Second, time.Millisecond)
}
