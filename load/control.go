package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
)

// ErrControl means that a request to /control of a fake service failed.
var ErrControl = eris.New("request to /control failed")

const controlTimeout = 5 * time.Second

// callControl reads the state of a fake service into status, after applying change
// unless it is nil.
func callControl(ctx context.Context, address string, change, status any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	method, body := http.MethodGet, []byte(nil)
	if change != nil {
		method = http.MethodPost
		body, _ = json.Marshal(change)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/control", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrControl, "%s returned status %d, expected 200", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	return nil
}

// snapshot is the state of all fake services at one time.
type snapshot struct {
	at      time.Duration
	engines []fake.EngineStatus
	plains  []fake.PlainStatus
	links   fake.LinksStatus
	sent    map[string]float64 // bytes sent to other routers, by sender
}

// takeSnapshot reads the state of all fake services. It fails if one does not
// respond, because duplicate runs cannot be detected without its ledger.
func takeSnapshot(ctx context.Context, d deployment.Description, at time.Duration) (snapshot, error) {
	s := snapshot{at: at}
	for _, engine := range d.Engines {
		var status fake.EngineStatus
		if err := callControl(ctx, engine.Control, nil, &status); err != nil {
			return s, err
		}
		s.engines = append(s.engines, status)
	}
	for _, plain := range d.Plains {
		var status fake.PlainStatus
		if err := callControl(ctx, plain.Control, nil, &status); err != nil {
			return s, err
		}
		s.plains = append(s.plains, status)
	}
	if d.Links != "" {
		if err := callControl(ctx, d.Links, nil, &s.links); err != nil {
			return s, err
		}
	}
	s.sent = sentBytes(ctx, s, d)
	return s, nil
}

// busySlotTime returns the busy slot time of all engines in milliseconds.
func (s snapshot) busySlotTime() float64 {
	total := 0.0
	for _, engine := range s.engines {
		total += engine.SlotMillis
	}
	return total
}

// slotTime returns the total slot time of all engines, busy or idle, in
// milliseconds.
func (s snapshot) slotTime() float64 {
	total := 0.0
	for _, engine := range s.engines {
		total += engine.UpMillis * float64(engine.Settings.Slots)
	}
	return total
}

// completionRuns returns the number of runs by attempt id. Routers append a dot
// and the run number to the id.
func (s snapshot) completionRuns() map[string]int {
	runs := map[string]int{}
	for _, engine := range s.engines {
		for id, entry := range engine.Ledger {
			attemptID, _, _ := strings.Cut(id, ".")
			runs[attemptID] += entry.Runs + entry.Continuations
		}
	}
	return runs
}

// keyedRuns returns the number of runs by idempotency key.
func (s snapshot) keyedRuns() map[string]int {
	runs := map[string]int{}
	for _, plain := range s.plains {
		for key, count := range plain.Ledger {
			runs[key] += count
		}
	}
	return runs
}

// setSlowFactor sets the slow factor of n engines, chosen round-robin over the
// regions so that no region is slowed as a whole.
func setSlowFactor(ctx context.Context, d deployment.Description, n int, factor float64) error {
	for _, engine := range pickAcrossRegions(d.Engines, n) {
		var status fake.EngineStatus
		if err := callControl(ctx, engine.Control, map[string]float64{"slow_factor": factor}, &status); err != nil {
			return err
		}
	}
	return nil
}

// pickAcrossRegions returns n engines, or all if there are fewer.
func pickAcrossRegions(engines []deployment.Upstream, n int) []deployment.Upstream {
	var chosen []deployment.Upstream
	used := map[string]int{}
	for round := 0; len(chosen) < min(n, len(engines)); round++ {
		clear(used)
		for _, engine := range engines {
			if used[engine.Region] == round && len(chosen) < n {
				chosen = append(chosen, engine)
			}
			used[engine.Region]++
		}
	}
	return chosen
}
