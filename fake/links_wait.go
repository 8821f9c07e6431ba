package fake

import (
	"context"
	"syscall"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
)

// timerError is the maximum delay of runtime timers. The runtime's poller waits in
// whole milliseconds, so that a sleep of 0.5 ms takes 1.1 ms.
const timerError = 1200 * time.Microsecond

// sleepUntil waits until due with an error of about 0.1 ms, because latencies are
// as low as 0.5 ms. The last part of the wait blocks a thread. Error: ctx.Err().
func sleepUntil(ctx context.Context, due time.Time) error {
	if rest := time.Until(due); rest > timerError {
		if err := pause.For(ctx, rest-timerError); err != nil {
			return err
		}
	}
	for rest := time.Until(due); rest > 0; rest = time.Until(due) {
		spec := syscall.NsecToTimespec(rest.Nanoseconds())
		// The loop continues an interrupted sleep.
		_ = syscall.Nanosleep(&spec, nil)
	}
	return ctx.Err()
}
