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

	// maxBodyBytes is the maximum size of a response body.
	maxBodyBytes = 16 << 20
)

// Options are the settings of a Client. Zero fields mean the defaults.
type Options struct {
	// Timeout is the timeout of a read, a write or a host list call.
	Timeout time.Duration
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// WatchTimeout is the timeout of one long poll of a watch. It has to exceed the
	// 30 s after which the server ends a poll.
	WatchTimeout time.Duration
	// Connections is the maximum number of idle connections.
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

// Client is an HTTP client of the object API and the host list. It implements Objects
// and HostList and is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client

	mu sync.Mutex
	// hosts is the latest host list, hostsTag its entity tag.
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
		// Values are opaque bytes, for which compression costs more than it saves.
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
	response, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodGet, target, nil, nil)
	if err != nil {
		return Object{}, err
	}
	if response.status != http.StatusOK {
		return Object{}, readError(response)
	}
	return response.object(name)
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
	response, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodPut, target, header, value)
	if err != nil {
		return Object{}, err
	}
	if response.status != http.StatusOK && response.status != http.StatusCreated {
		return Object{}, writeError(response)
	}
	version, err := parseVersion(response.header.Get("ETag"))
	if err != nil {
		return Object{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return Object{Name: name, Version: version, Value: bytes.Clone(value)}, nil
}

// Watch implements Objects by long polling.
func (c *Client) Watch(ctx context.Context, name string, after int64) (Object, error) {
	target, err := c.objectURL(name)
	if err != nil {
		return Object{}, err
	}
	target += "?watch=1&after=" + strconv.FormatInt(after, 10)
	for {
		response, err := c.roundTrip(ctx, c.opts.WatchTimeout, http.MethodGet, target, nil, nil)
		if ctx.Err() != nil {
			return Object{}, ctx.Err()
		}
		if err != nil {
			return Object{}, err
		}
		switch response.status {
		case http.StatusOK:
			return response.object(name)
		case http.StatusNoContent:
			continue
		default:
			return Object{}, readError(response)
		}
	}
}

// Hosts implements HostList. If the list has not changed, the server does not send it
// again and the same slice is returned, so callers must not change it.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	known, tag := c.hosts, c.hostsTag
	c.mu.Unlock()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	response, err := c.roundTrip(ctx, c.opts.Timeout, http.MethodGet, c.base+"/v1/hosts", header, nil)
	if err != nil {
		return nil, err
	}
	if response.status == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if response.status != http.StatusOK {
		return nil, eris.Wrapf(ErrUnavailable, "host list returned status %d", response.status)
	}
	var hosts []Host
	if err := json.Unmarshal(response.body, &hosts); err != nil {
		return nil, eris.Wrap(ErrUnavailable, "host list is not valid JSON: "+err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.hostsTag = hosts, response.header.Get("ETag")
	return hosts, nil
}

// objectURL returns the URL of an object, or ErrInvalidName.
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

// conditionHeader returns the header of a write on condition that the object has the
// given version, or does not exist if it is zero.
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

// readBody reads a body of at most limit bytes and fails if it is longer.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = eris.Errorf("response body is longer than %d bytes", limit)
	}
	return data, err
}
