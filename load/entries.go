package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoEntry means that no router returned an address to connect to.
var ErrNoEntry = eris.New("no router returned an entry address")

const (
	entriesTimeout = 2 * time.Second
	// refreshRetryDelay is the wait after a refresh that no router answered.
	refreshRetryDelay = time.Second
	// avoidDuration is how long a caller avoids an address after a failure.
	avoidDuration = 5 * time.Second
)

// entries caches the response of GET /v1/entries for its lifetime. There is one
// per workspace and region, as each office of a customer has its own.
type entries struct {
	client *http.Client
	region string
	key    string
	// bootstrapAddresses are queried when none of addresses responds.
	bootstrapAddresses []string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	failed    map[string]time.Time // time of the last failure by address
}

type entriesResponse struct {
	Entries []struct {
		Address string `json:"address"`
		Region  string `json:"region"`
		Host    string `json:"host"`
	} `json:"entries"`
	LifetimeMS int64 `json:"lifetime_ms"`
}

// pick returns the first address without a recent failure, or the first one if
// all failed recently. Error: ErrNoEntry.
func (e *entries) pick(ctx context.Context) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.expires) {
		e.refresh(ctx)
	}
	for _, address := range e.addresses {
		if time.Since(e.failed[address]) > avoidDuration {
			return address, nil
		}
	}
	e.failed = map[string]time.Time{}
	if len(e.addresses) == 0 {
		return "", eris.Wrapf(ErrNoEntry, "region %s", e.region)
	}
	return e.addresses[0], nil
}

// markFailed makes pick avoid address for avoidDuration.
func (e *entries) markFailed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed == nil {
		e.failed = map[string]time.Time{}
	}
	e.failed[address] = time.Now()
}

// refresh queries the known routers, and then the bootstrap addresses, for new
// addresses. It keeps the old addresses if none responds.
func (e *entries) refresh(ctx context.Context) {
	e.expires = time.Now().Add(refreshRetryDelay)
	for _, address := range slices.Concat(e.addresses, e.bootstrapAddresses) {
		response, err := e.fetch(ctx, address)
		if err != nil || len(response.Entries) == 0 {
			continue
		}
		e.addresses = nil
		for _, entry := range response.Entries {
			e.addresses = append(e.addresses, entry.Address)
		}
		e.expires = time.Now().Add(time.Duration(response.LifetimeMS) * time.Millisecond)
		return
	}
}

func (e *entries) fetch(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var result entriesResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?region="+e.region, nil)
	if err != nil {
		return result, err
	}
	request.Header.Set("Authorization", "Bearer "+e.key)
	response, err := e.client.Do(request)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return result, eris.Errorf("GET /v1/entries returned status %d, expected 200", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&result)
	return result, err
}
