package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/reply"
	"github.com/lacewingshift/lacewingshift/ticket"
	"github.com/lacewingshift/lacewingshift/upstream"
)

// stubDirectory is a Directory with fixed lists and hosts.
type stubDirectory struct {
	lists config.Lists
	hosts []objectapi.Host
	down  *Error // result of CheckConfig
}

func (d *stubDirectory) CheckConfig() *Error { return d.down }

func (d *stubDirectory) Lookup(key string) (config.Workspace, config.Plan, bool) {
	return d.lists.Lookup(key)
}

func (d *stubDirectory) ServiceKind(name string) (objectapi.ServiceKind, bool) {
	for _, h := range d.hosts {
		if h.Service == name {
			return h.ServiceKind, true
		}
	}
	return "", false
}

func (d *stubDirectory) Entries(string) []Address { return nil }

// stubScheduler grants each ticket at once, to the upstreams of its service in
// turn. Its stop method sends a stop decision.
type stubScheduler struct {
	hosts []objectapi.Host
	// refuseFrom is the number of the first submission that is refused, as are all
	// later ones. Zero means none.
	refuseFrom int

	mu        sync.Mutex
	submitted int
	decisions map[string]chan Decision
	outcomes  []dispatch.Outcome
	used      ticket.Usage
}

func (s *stubScheduler) Submit(t ticket.Ticket) <-chan Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []objectapi.Host
	for _, h := range s.hosts {
		if h.Service == t.Service {
			candidates = append(candidates, h)
		}
	}
	decisions := make(chan Decision, 4)
	if s.refuseFrom > 0 && s.submitted+1 >= s.refuseFrom {
		decisions <- Decision{Refused: true, Reason: ticket.ReasonDeadlinePassed}
		return decisions
	}
	decisions <- Decision{Granted: true, Upstream: candidates[s.submitted%len(candidates)]}
	s.submitted++
	s.decisions[t.ID] = decisions
	return decisions
}

func (s *stubScheduler) Resume(t ticket.Ticket, _ string, _ ticket.Usage) <-chan Decision {
	return make(chan Decision)
}

func (s *stubScheduler) Progress(string, ticket.Usage, dispatch.Sample) {}

func (s *stubScheduler) Finish(_ string, used ticket.Usage, o dispatch.Outcome, _ dispatch.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	s.used = s.used.Add(used)
}

func (s *stubScheduler) Cancel(string) {}

func (s *stubScheduler) stop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions[id] <- Decision{Stop: true}
}

const (
	testKey    = "key of the clerks"
	otherKey   = "key of the archivists"
	engineName = "plate-scribe"
	plainName  = "order-desk"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fixture is a handler with fake upstreams, a fake object API, a stub directory
// and a stub scheduler.
type fixture struct {
	t         *testing.T
	handler   *Handler
	server    *httptest.Server
	engines   []*fake.Engine
	plains    []*fake.Plain
	objects   *fake.Objects
	scheduler *stubScheduler
	directory *stubDirectory
}

func newFixture(t *testing.T) *fixture {
	fx := &fixture{t: t, objects: fake.NewObjects(1)}
	var hosts []objectapi.Host
	for _, id := range []string{"e1", "e2"} {
		engine := fake.NewEngine(fake.EngineSettings{ID: id, Slots: 4, BaseTokenMillis: 0.1, NominalTokenMillis: 0.1, PromptTokenMillis: 0.01})
		fx.engines = append(fx.engines, engine)
		hosts = append(hosts, fx.host(id, engineName, objectapi.ServiceEngine, engine))
	}
	for _, id := range []string{"p1", "p2"} {
		plain := fake.NewPlain(fake.PlainSettings{ID: id, Slots: 4, ServiceMillis: 0.1})
		fx.plains = append(fx.plains, plain)
		hosts = append(hosts, fx.host(id, plainName, objectapi.ServicePlain, plain))
	}
	hosts = append(hosts, objectapi.Host{ID: "x", Service: "unplanned", ServiceKind: objectapi.ServicePlain})
	fx.directory = &stubDirectory{hosts: hosts, lists: config.Lists{
		Workspaces: []config.Workspace{
			{Name: "clerks", Plan: "small", KeysSHA256: []string{hashOf(testKey)}},
			{Name: "archivists", Plan: "small", KeysSHA256: []string{hashOf(otherKey)}},
		},
		Plans: []config.Plan{{Name: "small", Weight: 1, Uses: []config.Use{
			{Service: engineName, MaxBodyBytes: 2000, MaxDeadlineMS: 60_000}, {Service: plainName},
		}}},
	}}
	fx.scheduler = &stubScheduler{hosts: hosts, decisions: map[string]chan Decision{}}
	fx.handler = fx.newHandler("r1")
	fx.server = httptest.NewServer(fx.handler)
	t.Cleanup(fx.server.Close)
	return fx
}

// newHandler returns the handler of another router with the same dependencies.
func (fx *fixture) newHandler(host string) *Handler {
	client := upstream.NewClient(nil)
	fx.t.Cleanup(client.Close)
	return NewHandler(Options{
		Host: host, Region: "upstate", Directory: fx.directory, Scheduler: fx.scheduler,
		Records: intent.NewStore(fx.objects, intent.Options{Host: host, Incarnation: 1, RefuseAfter: 50 * time.Millisecond}),
		Client:  client, Signer: reply.NewSigner([]byte("secret of the fleet")),
		Events:    event.NewLog(host, 1000, event.NewClock(nil)),
		ReleaseAt: func(context.Context, string, string) error { return nil },
	})
}

func (fx *fixture) host(id, service string, kind objectapi.ServiceKind, handler http.Handler) objectapi.Host {
	server := httptest.NewServer(handler)
	fx.t.Cleanup(server.Close)
	return objectapi.Host{
		ID: id, Kind: objectapi.HostUpstream, Service: service, ServiceKind: kind,
		Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4,
	}
}

// response is an HTTP response with its body.
type response struct {
	status int
	header http.Header
	body   string
}

func (fx *fixture) send(method, path, body string, header map[string]string) response {
	return fx.sendTo(fx.server.URL, method, path, body, header)
}

func (fx *fixture) sendTo(url, method, path, body string, header map[string]string) response {
	request, err := http.NewRequest(method, url+path, strings.NewReader(body))
	require.NoError(fx.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	require.NoError(fx.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(fx.t, err)
	return response{status: answer.StatusCode, header: answer.Header, body: string(text)}
}

// failure decodes the error of a response.
func (r response) failure(t *testing.T) Error {
	var document struct{ Error Error }
	require.NoError(t, json.Unmarshal([]byte(r.body), &document), r.body)
	return document.Error
}

// runs returns how often a call with the idempotency key ran on any plain service.
func (fx *fixture) runs(key string) int {
	total := 0
	for _, p := range fx.plains {
		total += p.Status().Ledger[key]
	}
	return total
}
