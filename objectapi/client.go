package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultDialTimeout  = time.Second
	DefaultWatchTimeout = 35 * time.Second // the server ends a watch after 30 s
	DefaultConnections  = 32

	maxHostListBytes = 16 << 20
)

// Options are the settings of a Client; zero fields take the defaults.
type Options struct {
	// Timeout limits a read, a write or a host list call.
	Timeout time.Duration
	// DialTimeout limits the set-up of a connection.
	DialTimeout time.Duration
	// WatchTimeout limits one long poll of a watch. It has to exceed the
	// server-side limit of 30 s.
	WatchTimeout time.Duration
	// Connections limits the idle connections that are kept.
	Connections int
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	return o
}

// Client talks to the object API and the host list over HTTP. It implements
// Objects and HostList and is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client

	mu sync.Mutex
	// hosts is the latest host list and hostsTag its entity tag.
	hosts    []Host
	hostsTag string
}

var (
	_ Objects  = (*Client)(nil)
	_ HostList = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL, such as
// "http://127.0.0.1:7000".
func NewClient(baseURL string, opts Options) *Client {
	opts = opts.withDefaults()
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        opts.Connections,
		MaxIdleConnsPerHost: opts.Connections,
		IdleConnTimeout:     time.Minute,
		// Values are opaque bytes, and compression costs more than it saves.
		DisableCompression: true,
	}
	return &Client{
		base: strings.TrimSuffix(baseURL, "/"),
		opts: opts,
		http: &http.Client{Transport: transport},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	target, err := c.objectURL(name)
	if err != nil {
		return Object{}, err
	}
	answer, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodGet, target, nil, nil)
	if err != nil {
		return Object{}, err
	}
	if answer.status != http.StatusOK {
		return Object{}, readError(answer)
	}
	return answer.object(name)
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, eris.Wrapf(ErrTooLarge, "put %s with %d bytes", name, len(value))
	}
	target, err := c.objectURL(name)
	if err != nil {
		return Object{}, err
	}
	header := conditionHeader(ifVersion)
	answer, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodPut, target, header, value)
	if err != nil {
		return Object{}, err
	}
	if answer.status != http.StatusOK && answer.status != http.StatusCreated {
		return Object{}, writeError(answer)
	}
	version, err := parseVersion(answer.header.Get("ETag"))
	if err != nil {
		return Object{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return Object{Name: name, Version: version, Value: bytes.Clone(value)}, nil
}

// Watch implements Objects with long polls.
func (c *Client) Watch(ctx context.Context, name string, after int64) (Object, error) {
	target, err := c.objectURL(name)
	if err != nil {
		return Object{}, err
	}
	target += "?watch=1&after=" + strconv.FormatInt(after, 10)
	for {
		answer, err := c.roundTrip(ctx, c.opts.WatchTimeout, http.MethodGet, target, nil, nil)
		if ctx.Err() != nil {
			return Object{}, ctx.Err()
		}
		if err != nil {
			return Object{}, err
		}
		switch answer.status {
		case http.StatusOK:
			return answer.object(name)
		case http.StatusNoContent:
			continue
		default:
			return Object{}, readError(answer)
		}
	}
}

// Hosts implements HostList. An unchanged list is not sent again, and the same
// slice is returned; callers must not change it.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	known, tag := c.hosts, c.hostsTag
	c.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	answer, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodGet, c.base+"/v1/hosts", header, nil)
	if err != nil {
		return nil, err
	}
	if answer.status == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if answer.status != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "host list answered status %d", answer.status)
	}
	var hosts []Host
	if err := json.Unmarshal(answer.body, &hosts); err != nil {
		return nil, eris.Wrap(ErrUnavailable, "host list is not valid JSON: "+err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.hostsTag = hosts, answer.header.Get("ETag")
	return hosts, nil
}

func (c *Client) objectURL(name string) (string, error) {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", eris.Wrapf(ErrInvalidName, "name %q", name)
		}
		segments[i] = url.PathEscape(segment)
	}
	return c.base + "/v1/objects/" + strings.Join(segments, "/"), nil
}

func conditionHeader(ifVersion int64) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/octet-stream")
	if ifVersion == 0 {
		header.Set("If-None-Match", "*")
		return header
	}
	header.Set("If-Match", FormatVersion(ifVersion))
	return header
}

// readBody reads at most one byte over limit, so that a longer body is noticed.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = eris.Errorf("body is longer than %d bytes", limit)
	}
	return data, err
}
