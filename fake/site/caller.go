package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// lookupTimeout bounds one lookup.
const lookupTimeout = time.Second

// Outcome is what a caller received for one request.
type Outcome struct {
	ID     string
	Path   string
	Key    string // of the workspace
	Router string // address; empty if none was known
	Sent   time.Time
	Ended  time.Time
	// Status is 0 if there was no response.
	Status   int
	Body     string
	Complete bool // the body was received up to its end
	Sealed   bool // the response has a seal, so an upstream made it
}

// Caller looks up router addresses and keeps connections open until they fail, as
// the platform's callers do. It must be used by one goroutine only.
type Caller struct {
	// Name makes the ids of its requests unique.
	Name string
	// Routers are the routers that it may use for lookups.
	Routers []Router
	Timeout time.Duration
	Rand    *rand.Rand
	// Part is the id of an additional part of the prompts, empty for none.
	Part string
	// Padding is the size of the request bodies in bytes.
	Padding int
	// FixedAddress is the only address to send requests to; empty uses lookups.
	FixedAddress string
	// Reconnect opens a new connection for each request.
	Reconnect bool

	client          *http.Client
	addresses       []string
	addressesExpire time.Time
	sent            int // requests sent so far
}

// Close closes the idle connections.
func (c *Caller) Close() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
}

// errNoAddress reports that no lookup returned an address.
var errNoAddress = errors.New("no router returned an address")

// chooseAddress returns a random one of the addresses that the lookup returned.
func (c *Caller) chooseAddress(ctx context.Context) (string, error) {
	if c.FixedAddress != "" {
		return c.FixedAddress, nil
	}
	if time.Now().After(c.addressesExpire) {
		c.lookup(ctx)
	}
	if len(c.addresses) == 0 {
		return "", errNoAddress
	}
	return c.addresses[c.Rand.IntN(len(c.addresses))], nil
}

// lookup asks routers until one returns addresses. If none does, the old addresses
// remain.
func (c *Caller) lookup(ctx context.Context) {
	for range c.Routers {
		router := c.Routers[c.Rand.IntN(len(c.Routers))]
		if c.lookupAt(ctx, router) == nil {
			return
		}
	}
}

func (c *Caller) lookupAt(ctx context.Context, router Router) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router.LookupAddress()+"/v1/lookup?name="+Host+"&region=r&zone=a", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses  []string `json:"addresses"`
		TTLSeconds float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.Addresses) == 0 {
		return errNoAddress
	}
	c.addresses, c.addressesExpire = answer.Addresses, time.Now().Add(time.Duration(answer.TTLSeconds*float64(time.Second)))
	return nil
}

// Send sends one request and waits for the end of the response.
func (c *Caller) Send(ctx context.Context, path string) Outcome {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableKeepAlives: c.Reconnect}}
	}
	c.sent++
	o := Outcome{ID: fmt.Sprintf("%s-%d", c.Name, c.sent), Path: path, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := c.ask(ctx, &o); err != nil {
		c.addressesExpire = time.Time{} // look up again after a failure
	}
	o.Ended = time.Now()
	return o
}

// ask sends the request of o and records the response in it.
func (c *Caller) ask(ctx context.Context, o *Outcome) error {
	address, err := c.chooseAddress(ctx)
	if err != nil {
		return err
	}
	o.Router = address
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+o.Path+"x", strings.NewReader(strings.Repeat("x", max(c.Padding, 1))))
	if err != nil {
		return err
	}
	request.Host = Host
	request.Header.Set("Request-Id", o.ID)
	request.Header.Set("Deadline", fmt.Sprint(c.Timeout.Milliseconds()))
	o.Key = []string{Key, OtherKey}[c.Rand.IntN(2)]
	request.Header.Set("Authorization", "Bearer "+o.Key)
	if o.Path == StreamPath || o.Path == NonResumablePath {
		request.Header.Set("Token-Count", "300,40")
		prompt := fmt.Sprintf("aa:50,t%d:150,", c.Rand.IntN(5))
		if c.Part != "" {
			prompt += c.Part + ":50,"
		}
		request.Header.Set("Prompt-Prefix", prompt+o.ID+":100")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.Status, o.Body, o.Complete = response.StatusCode, string(body), err == nil
	o.Sealed = response.Header.Get("Response-Seal") != ""
	return nil
}
