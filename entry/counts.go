package entry

import (
	"maps"
	"sync"
)

// eventCounts holds the number of events by name. It is safe for concurrent use.
type eventCounts struct {
	mu     sync.Mutex
	byName map[string]int64
}

func (c *eventCounts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]int64{}
	}
	c.byName[name]++
}

func (c *eventCounts) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}
