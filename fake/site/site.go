package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Layout is the size of a site.
type Layout struct {
	// Network is the first three bytes of the loopback addresses.
	Network      string
	Routers      int
	Engines      int
	PlainRunners int
}

const (
	maxRouters = 90
	// firstEngineHost, firstPlainHost and storeHost are the last bytes of the
	// addresses of the first engine, the first plain runner and the store.
	firstEngineHost = 100
	firstPlainHost  = 150
	maxRunners      = 50
	storeHost       = 250

	storePort  = "8781"
	runnerPort = "8080"

	// Engines read 1,000 tokens in layoutReadTime and send layoutEvents events, one
	// every layoutEventInterval; plain runners take layoutPlainTime per request.
	layoutReadTime      = 12 * time.Millisecond
	layoutEventInterval = 20 * time.Millisecond
	layoutPlainTime     = 20 * time.Millisecond
	layoutEvents        = 20
	layoutGrace         = 8 * time.Second
)

// RoutersFile is the name of a JSON file that lists the routers of a site.
const RoutersFile = "routers.json"

// ErrLayout reports a layout that does not fit its network.
var ErrLayout = errors.New("layout does not fit its network")

// Site is a running store with its runners, and the settings of its routers.
type Site struct {
	Store   *Store
	Runners []*Runner
	Routers []Router
}

// Start starts the store and the runners of a layout, and assigns addresses to its
// routers. Errors: ErrLayout, and addresses that cannot be listened on.
func Start(l Layout) (*Site, error) {
	if l.Routers < 1 || l.Routers > maxRouters || l.Engines < 1 || l.Engines > maxRunners || l.PlainRunners < 1 || l.PlainRunners > maxRunners {
		return nil, fmt.Errorf("%w: expected 1 to %d routers, and 1 to %d engines and plain runners", ErrLayout, maxRouters, maxRunners)
	}
	ip := func(host int) string { return fmt.Sprintf("%s.%d", l.Network, host) }
	store, err := NewStore(ip(storeHost) + ":" + storePort)
	if err != nil {
		return nil, err
	}
	s := &Site{Store: store}
	store.Put("config", "main", Config(1))
	for i := range l.Engines + l.PlainRunners {
		host, r := firstEngineHost+i, &Runner{ID: fmt.Sprint("engine-", i), Service: EngineService, Events: layoutEvents, WorkTime: layoutReadTime, EventInterval: layoutEventInterval}
		if i >= l.Engines {
			host, r = firstPlainHost+i-l.Engines, &Runner{ID: fmt.Sprint("plain-", i-l.Engines), Service: PlainService, WorkTime: layoutPlainTime}
		}
		r.Zone = "a"
		if _, err := StartRunner(store, ip(host)+":"+runnerPort, r); err != nil {
			s.Close()
			return nil, err
		}
		s.Runners = append(s.Runners, r)
	}
	for i := range l.Routers {
		s.Routers = append(s.Routers, Router{
			Name: fmt.Sprint("router-", i), IP: ip(i + 1), Seed: ip(1), Store: store.Address(), Grace: layoutGrace,
		})
	}
	return s, nil
}

// Write writes the settings file NAME.yaml of each router, and RoutersFile.
func (s *Site) Write(folder string) error {
	for _, r := range s.Routers {
		if err := os.WriteFile(filepath.Join(folder, r.Name+".yaml"), []byte(r.Settings()), 0o600); err != nil {
			return err
		}
	}
	list, err := json.MarshalIndent(s.Routers, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, RoutersFile), list, 0o600)
}

// ReadRouters reads the list of routers that Write has written to a folder.
func ReadRouters(folder string) ([]Router, error) {
	data, err := os.ReadFile(filepath.Join(folder, RoutersFile))
	if err != nil {
		return nil, err
	}
	var routers []Router
	if err := json.Unmarshal(data, &routers); err != nil {
		return nil, fmt.Errorf("%s: %w", RoutersFile, err)
	}
	if len(routers) == 0 {
		return nil, fmt.Errorf("%s lists no routers", RoutersFile)
	}
	return routers, nil
}

// Close stops the store and the runners.
func (s *Site) Close() {
	for _, r := range s.Runners {
		r.Close()
	}
	s.Store.Close()
}
