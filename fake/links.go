package fake

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// ErrListen means that the relay could not listen on an address.
var ErrListen = eris.New("relay cannot listen on address")

// LinkHost is a host behind the relay. It listens on IP, and other hosts connect
// to the same ports on RelayIP.
type LinkHost struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	IP      string `json:"ip"`
	RelayIP string `json:"relay_ip"`
	TCP     []int  `json:"tcp,omitempty"`
	UDP     []int  `json:"udp,omitempty"`
	// Client marks callers, which have additional latency to their region.
	Client bool `json:"client,omitempty"`
}

// LinkPair overrides the latency between regions A and B.
type LinkPair struct {
	A      string  `json:"a"`
	B      string  `json:"b"`
	Millis float64 `json:"ms"`
}

// LinksSettings configure the relay. Latencies are one-way.
type LinksSettings struct {
	// Control is the address of /control, of the form IP:port.
	Control string `json:"control"`
	// RegionMillis is the latency within a region, InterRegionMillis between regions.
	// The latency of callers is ClientMillis within their region and
	// ClientMillis + InterRegionMillis to other regions.
	RegionMillis      float64    `json:"region_ms"`
	InterRegionMillis float64    `json:"inter_ms"`
	ClientMillis      float64    `json:"client_ms"`
	Pairs             []LinkPair `json:"pairs,omitempty"`
	Hosts             []LinkHost `json:"hosts"`
	// Seed determines which packets are lost.
	Seed uint64 `json:"seed"`
}

// LinkRule is a fault on the traffic from From to To, and with Both also on that
// from To to From. From and To are a host id, a region or "*".
type LinkRule struct {
	From string `json:"from"`
	To   string `json:"to"`
	Both bool   `json:"both,omitempty"`
	// Cut blocks the link: UDP packets are dropped, TCP segments wait.
	Cut bool `json:"cut,omitempty"`
	// Loss is the fraction of UDP packets to drop, and of TCP segments to delay by
	// a retransmission.
	Loss float64 `json:"loss,omitempty"`
	// ExtraMillis is added to the latency.
	ExtraMillis float64 `json:"extra_ms,omitempty"`
}

func (r LinkRule) matches(from, to LinkHost) bool {
	if hostMatches(r.From, from) && hostMatches(r.To, to) {
		return true
	}
	return r.Both && hostMatches(r.From, to) && hostMatches(r.To, from)
}

func hostMatches(pattern string, host LinkHost) bool {
	return pattern == "*" || pattern == host.ID || pattern == host.Region
}

// LinkCount counts the traffic from one host to another. UDPPackets and UDPBytes
// include the packets that the relay dropped, which UDPLost counts.
type LinkCount struct {
	From       string `json:"from"`
	To         string `json:"to"`
	UDPPackets int64  `json:"udp_packets"`
	UDPBytes   int64  `json:"udp_bytes"`
	UDPLost    int64  `json:"udp_lost"`
	TCPBytes   int64  `json:"tcp_bytes"`
}

// Links is a relay that adds latency and faults to UDP and TCP between hosts. It
// identifies senders by source IP. Unknown senders have no latency and are matched
// only by rules for "*".
type Links struct {
	settings LinksSettings
	byIP     map[string]LinkHost
	mux      *http.ServeMux

	mu      sync.Mutex
	rules   []LinkRule
	changed chan struct{}
	random  *rand.Rand
	paths   map[[2]string]*path
}

// NewLinks returns a relay that does not listen until Run.
func NewLinks(settings LinksSettings) *Links {
	l := &Links{
		settings: settings,
		byIP:     map[string]LinkHost{},
		mux:      http.NewServeMux(),
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, 0x11a5)),
		paths:    map[[2]string]*path{},
	}
	for _, host := range settings.Hosts {
		l.byIP[host.IP] = host
	}
	l.mux.HandleFunc("GET /control", l.serveStatus)
	l.mux.HandleFunc("POST /control", l.serveControl)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// Run listens and relays until ctx ends. Error: ErrListen.
func (l *Links) Run(ctx context.Context) error {
	return l.run(ctx, func() {})
}

// run is Run with a callback for when all sockets are open.
func (l *Links) run(ctx context.Context, ready func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, host := range l.settings.Hosts {
		if err := l.listen(ctx, group, host); err != nil {
			return err
		}
	}
	ready()
	return group.Wait()
}

// listen opens the sockets of a host and starts to relay.
func (l *Links) listen(ctx context.Context, group *errgroup.Group, host LinkHost) error {
	for _, port := range host.UDP {
		relay, err := newUDPRelay(l, host, port)
		if err != nil {
			return eris.Wrap(ErrListen, err.Error())
		}
		group.Go(func() error { return relay.run(ctx) })
	}
	for _, port := range host.TCP {
		relay, err := newTCPRelay(l, host, port)
		if err != nil {
			return eris.Wrap(ErrListen, err.Error())
		}
		group.Go(func() error { return relay.run(ctx) })
	}
	return nil
}

// hostAt returns the host with the IP of addr, or an empty one if unknown.
func (l *Links) hostAt(addr net.Addr) LinkHost {
	ip, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return LinkHost{}
	}
	return l.byIP[ip]
}

// path is the link from one host to another, in one direction.
type path struct {
	from, to   LinkHost
	latency    time.Duration
	udpPackets atomic.Int64
	udpBytes   atomic.Int64
	udpLost    atomic.Int64
	tcpBytes   atomic.Int64
}

func (l *Links) path(from, to LinkHost) *path {
	key := [2]string{from.ID, to.ID}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.paths[key]
	if p == nil {
		p = &path{from: from, to: to, latency: l.settings.latency(from, to)}
		l.paths[key] = p
	}
	return p
}

// latency returns the one-way latency, which is zero for unknown hosts and within
// a host.
func (s LinksSettings) latency(from, to LinkHost) time.Duration {
	if from.ID == "" || to.ID == "" || from.ID == to.ID {
		return 0
	}
	ms := s.regionLatency(from.Region, to.Region)
	if !from.Client && !to.Client {
		return millis(ms)
	}
	if from.Region == to.Region {
		return millis(s.ClientMillis)
	}
	return millis(ms + s.ClientMillis)
}

func (s LinksSettings) regionLatency(a, b string) float64 {
	for _, pair := range s.Pairs {
		if pair.A == a && pair.B == b || pair.A == b && pair.B == a {
			return pair.Millis
		}
	}
	if a == b {
		return s.RegionMillis
	}
	return s.InterRegionMillis
}

// conditions are the effects of latency and rules on the next packet of a path.
type conditions struct {
	delay   time.Duration
	cut     bool
	lost    bool
	changed <-chan struct{}
}

func (l *Links) conditions(p *path) conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := conditions{delay: p.latency, changed: l.changed}
	for _, rule := range l.rules {
		if !rule.matches(p.from, p.to) {
			continue
		}
		v.cut = v.cut || rule.Cut
		v.delay += millis(rule.ExtraMillis)
		if rule.Loss > 0 && l.random.Float64() < rule.Loss {
			v.lost = true
		}
	}
	return v
}

// SetRules replaces the fault rules.
func (l *Links) SetRules(rules []LinkRule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules = rules
	close(l.changed)
	l.changed = make(chan struct{})
}

// Counts returns the traffic counts of each path.
func (l *Links) Counts() []LinkCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := []LinkCount{}
	for _, p := range l.paths {
		counts = append(counts, LinkCount{
			From:       p.from.ID,
			To:         p.to.ID,
			UDPPackets: p.udpPackets.Load(),
			UDPBytes:   p.udpBytes.Load(),
			UDPLost:    p.udpLost.Load(),
			TCPBytes:   p.tcpBytes.Load(),
		})
	}
	return counts
}

// LinksStatus is the response of GET /control of a relay.
type LinksStatus struct {
	Rules  []LinkRule  `json:"rules"`
	Counts []LinkCount `json:"counts"`
}

func (l *Links) serveControl(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Rules []LinkRule `json:"rules"`
	}
	if err := readJSON(r, &body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	l.SetRules(body.Rules)
	l.serveStatus(w, r)
}

func (l *Links) serveStatus(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	rules := append([]LinkRule{}, l.rules...)
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, LinksStatus{Rules: rules, Counts: l.Counts()})
}
