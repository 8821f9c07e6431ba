package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/fake/site"
)

// waitTimeout limits every wait in these tests. It is far longer than any step takes, so
// that the results do not depend on the speed of the machine.
const waitTimeout = 60 * time.Second

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewing-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/lacewingd", "../cmd/lacewing-fake")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// fleet is a running deployment: the routers and the fakes of the systems around them.
type fleet struct {
	t         *testing.T
	dir       string
	network   int // second byte of the addresses
	deploy    deployment.Description
	processes map[string]*exec.Cmd // by name, for a router its host id
}

// startFleet starts the deployment "piedmont" on its own loopback addresses. Its hosts
// are connected through a relay that adds latency and can cut links.
func startFleet(t *testing.T) *fleet {
	if testing.Short() {
		t.Skip("starts a whole deployment")
	}
	claimed, release, err := site.ClaimNetwork("127.99.%d.254", 50, 124)
	require.NoError(t, err)
	t.Cleanup(release)
	network := 2 * claimed // a deployment uses two numbers
	plan, err := deployment.FindPlan("piedmont", deployment.Options{Network: network})
	require.NoError(t, err)
	f := &fleet{t: t, dir: t.TempDir(), network: network, processes: map[string]*exec.Cmd{}}
	require.NoError(t, plan.Write(f.dir))
	f.readJSON("load.json", &f.deploy)
	t.Cleanup(f.stop)
	f.start("platform", "lacewing-fake", "platform", "-config", f.file("platform.json"))
	f.start("links", "lacewing-fake", "links", "-config", f.file("links.json"))
	f.start("engines", "lacewing-fake", "engine", "-config", f.file("engines.json"))
	f.start("plains", "lacewing-fake", "plain", "-config", f.file("plains.json"))
	for _, r := range f.deploy.Routers {
		f.startRouter(r.ID)
	}
	f.putLists()
	for _, r := range f.deploy.Routers {
		f.awaitReady(r.ID)
	}
	f.awaitEntries(len(f.deploy.Routers))
	return f
}

func (f *fleet) file(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) readJSON(name string, target any) {
	data, err := os.ReadFile(f.file(name))
	require.NoError(f.t, err)
	require.NoError(f.t, json.Unmarshal(data, target))
}

// start starts a program as the process name, which logs to a file.
func (f *fleet) start(name, program string, args ...string) {
	log, err := os.OpenFile(f.file(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(f.t, err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(f.t, cmd.Start())
	f.processes[name] = cmd
}

func (f *fleet) startRouter(id string) {
	f.start(id, "lacewingd", "run", "-settings", f.file("router-"+id+".json"))
}

// stop kills all processes. If the test has failed, it prints the logs of the routers.
func (f *fleet) stop() {
	for name, cmd := range f.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() && cmd.Path != "" && strings.Contains(name, "-r") {
			data, _ := os.ReadFile(f.file(name + ".log"))
			f.t.Logf("log of %s:\n%s", name, data)
		}
	}
}

func (f *fleet) signal(name string, s os.Signal) {
	require.NoError(f.t, f.processes[name].Process.Signal(s))
}

func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	_ = f.processes[name].Wait()
}

// awaitExit waits for a process that was told to stop, and requires that it succeeds.
func (f *fleet) awaitExit(name string) {
	done := make(chan error, 1)
	go func() { done <- f.processes[name].Wait() }()
	select {
	case err := <-done:
		require.NoError(f.t, err)
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s did not exit", name)
	}
}

// eventually polls until ok returns true. It fails the test after waitTimeout.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", waitTimeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// platformURL returns the URL of a fake service of the platform: the object API is on port
// 9000, the host list on port 9001.
func (f *fleet) platformURL(port int) string {
	return fmt.Sprintf("http://127.%d.9.1:%d", f.network, port)
}

// putLists writes the initial lists to the object API.
func (f *fleet) putLists() {
	data, err := os.ReadFile(f.file("lists.json"))
	require.NoError(f.t, err)
	f.eventually("object API takes the lists", func() bool {
		request, err := http.NewRequest(http.MethodPut, f.platformURL(9000)+"/v1/objects/config/lists", bytes.NewReader(data))
		require.NoError(f.t, err)
		request.Header.Set("If-None-Match", "*")
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode < 300
	})
}

func (f *fleet) router(id string) deployment.Router {
	for _, r := range f.deploy.Routers {
		if r.ID == id {
			return r
		}
	}
	f.t.Fatalf("no router %s", id)
	return deployment.Router{}
}

func (f *fleet) awaitReady(id string) {
	f.eventually(id+" is ready", func() bool {
		answer, err := http.Get("http://" + f.router(id).Admin + "/readyz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

// entries returns the hosts that the router lists in /v1/entries.
func (f *fleet) entries(id string) []string {
	var document struct {
		Entries []struct{ Host string }
	}
	answer, err := http.Get("http://" + f.router(id).Caller + "/v1/entries")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	if json.NewDecoder(answer.Body).Decode(&document) != nil {
		return nil
	}
	var hosts []string
	for _, e := range document.Entries {
		hosts = append(hosts, e.Host)
	}
	return hosts
}

// awaitEntries waits until every router lists count routers in /v1/entries.
func (f *fleet) awaitEntries(count int) {
	for _, r := range f.deploy.Routers {
		f.eventually(fmt.Sprintf("%s lists %d routers", r.ID, count), func() bool {
			return len(f.entries(r.ID)) == count
		})
	}
}

// control changes the state of a fake service and reads it back.
func (f *fleet) control(url string, change, status any) {
	body, err := json.Marshal(change)
	require.NoError(f.t, err)
	answer, err := http.Post(url+"/control", "application/json", bytes.NewReader(body))
	require.NoError(f.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, answer.StatusCode, string(text))
	if status != nil {
		require.NoError(f.t, json.Unmarshal(text, status))
	}
}

// request sends a request with the key of the first workspace.
func (f *fleet) request(method, address, path, body string, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	f.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+f.deploy.Keys[0].Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

// text sends a request and returns the status and body of the response. Status 0 means
// that there is no response.
func (f *fleet) text(method, address, path, body string, header map[string]string) (int, string) {
	answer, err := f.request(method, address, path, body, header)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// completion returns the body of a completion request.
func (f *fleet) completion(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a donor history","max_tokens":%d,"length":%d,"seed":11,"stream":%t}`,
		f.deploy.Engine, tokens, tokens, stream)
}
