package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, path string
	router   string
	sent     time.Time
	ended    time.Time
	status   int // 0: no answer
	body     string
	complete bool
	sealed   bool
}

// record keeps all outcomes. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *record) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.outcomes)
}

var paths = []string{site.StreamPath, site.OncePath, site.OrderPath, site.StatusPath}

const (
	callerCount = 12
	callerPause = 15 * time.Millisecond
	patience    = 2 * time.Second
)

// caller asks where to connect, keeps connections open and uses them until they
// fail, as the platform's callers do.
type caller struct {
	d         *deployment
	record    *record
	rng       *rand.Rand
	client    *http.Client
	addresses []string
	until     time.Time
	number    int
	count     int
}

func newCaller(d *deployment, record *record, seed uint64, number int) *caller {
	return &caller{
		d: d, record: record, rng: rand.New(rand.NewPCG(seed, uint64(number))), number: number,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if address := c.choose(); address != "" {
			c.ask(address)
		}
		time.Sleep(callerPause)
	}
}

// choose returns one of the addresses that the system names.
func (c *caller) choose() string {
	if time.Now().After(c.until) {
		c.lookup()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *caller) lookup() {
	client := http.Client{Timeout: time.Second}
	for range routerCount {
		router := c.d.routers[c.rng.IntN(len(c.d.routers))]
		response, err := client.Get("http://" + router.ip + ":8789/v1/lookup?name=" + site.Host + "&region=r&zone=a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.TTLS*float64(time.Second)))
			return
		}
	}
}

func (c *caller) ask(address string) {
	c.count++
	path := paths[c.rng.IntN(len(paths))]
	o := outcome{id: fmt.Sprintf("r-%d-%d", c.number, c.count), path: path, router: address, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+"x", strings.NewReader("body"))
	if err != nil {
		panic(err) // a fault of the test
	}
	request.Host = site.Host
	request.Header.Set("Request-Id", o.id)
	request.Header.Set("Deadline", fmt.Sprint(patience.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+[]string{site.Key, site.OtherKey}[c.rng.IntN(2)])
	if path == site.StreamPath || path == site.OncePath {
		request.Header.Set("Token-Count", "300,40")
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("aa:50,t%d:150,%s:100", c.rng.IntN(5), o.id))
	}
	response, err := c.client.Do(request)
	if err == nil {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.status, o.body, o.complete = response.StatusCode, string(body), err == nil
		o.sealed = response.Header.Get("Response-Seal") != ""
	}
	if err != nil {
		c.until = time.Time{} // an address that failed is not used again
	}
	o.ended = time.Now()
	c.record.add(o)
}
