package gateway

import "time"

// watchHold is how long a router that took over the watch of the store goes on to watch
// the evacuations. It exceeds the time after which it takes over again: other routers
// pass its own confirmations back to it, so that it pauses between two watches of the
// other kinds for as long as these count as fresh. An evacuation must not wait for that.
const watchHold = 5 * time.Second

// evacuationWatcher decides whether this router watches the evacuations.
type evacuationWatcher struct{ *exchange }

// Watches implements platform.Watcher.
func (w evacuationWatcher) Watches() bool {
	if w.exchange.Watches() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.tookOverAt.IsZero() && time.Since(w.tookOverAt) < watchHold
}
