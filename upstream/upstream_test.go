package upstream

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
)

// fastToken is the time per token of the fake engine in milliseconds.
const fastToken = 0.01

func newEngine(t *testing.T) (*fake.Engine, string) {
	engine := fake.NewEngine(fake.EngineSettings{
		ID: "e1", Slots: 4, BaseTokenMillis: fastToken, NominalTokenMillis: fastToken, PromptTokenMillis: fastToken,
	})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	return engine, strings.TrimPrefix(server.URL, "http://")
}

func body(length string) map[string]json.RawMessage {
	return map[string]json.RawMessage{
		"prompt": json.RawMessage(`"a question"`), "max_tokens": json.RawMessage(length),
		"seed": json.RawMessage("7"), "length": json.RawMessage(length),
	}
}

// collect returns a sink that appends the tokens to text.
func collect(text *strings.Builder) func(Chunk) error {
	return func(c Chunk) error {
		var chunk fake.Chunk
		if err := json.Unmarshal(c.Data, &chunk); err != nil {
			return err
		}
		text.WriteString(chunk.Token)
		return nil
	}
}

// Guards against a response with gaps or repeats after the connection to the engine
// broke in the middle.
func TestBrokenStreamIsResumed(t *testing.T) {
	engine, address := newEngine(t)
	engine.SetFaults(fake.Faults{DropAfterTokens: 10})
	client := NewClient(nil)
	t.Cleanup(client.Close)
	var text strings.Builder
	err := client.Stream(t.Context(), Run{Address: address, ID: "r.1", Body: body("40")}, collect(&text))
	require.NoError(t, err)
	require.Equal(t, fake.CompletionText(7, 40), text.String())
	require.Equal(t, 1, engine.Status().Ledger["r.1"].Runs)
}

// Guards against repeated or lost tokens when a stopped request continues in a second
// run.
func TestStoppedRunContinues(t *testing.T) {
	_, address := newEngine(t)
	client := NewClient(nil)
	t.Cleanup(client.Close)
	var text strings.Builder
	text.WriteString(fake.CompletionText(7, 15))
	err := client.Stream(t.Context(), Run{Address: address, ID: "r.2", Body: body("40"), After: 15}, collect(&text))
	require.NoError(t, err)
	require.Equal(t, fake.CompletionText(7, 40), text.String())
}

// Guards against treating the response of a run that was canceled at the engine as
// complete.
func TestCanceledRunIsNotComplete(t *testing.T) {
	_, address := newEngine(t)
	client := NewClient(nil)
	t.Cleanup(client.Close)
	run := Run{Address: address, ID: "r.3", Body: body("1000000")}
	err := client.Stream(t.Context(), run, func(c Chunk) error {
		if c.ID == 5 {
			return client.Cancel(t.Context(), address, run.ID)
		}
		return nil
	})
	require.ErrorIs(t, err, ErrStreamGone)
}

// Guards against reporting that a call did not run when it may have run, and against
// the automatic retry of net/http for requests with an Idempotency-Key header.
func TestOnceCallIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	client := NewClient(nil)
	t.Cleanup(client.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	warmUp := PlainCall{Address: address, Method: http.MethodGet, Path: "/"}
	_, err := client.Call(t.Context(), warmUp)
	require.NoError(t, err)
	call := PlainCall{
		Address: address, Method: http.MethodPost, Path: "/orders", NoRetry: true,
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
	_, err = client.Call(t.Context(), call)
	require.ErrorIs(t, err, ErrResponseLost)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against reporting that a call did not run because of its status alone: an
// overloaded service may fail a call with 503 after it has run it.
func TestRefusalNeedsTheStatementOfTheUpstream(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		for _, stated := range []bool{true, false} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if stated {
					w.Header().Set(headerNotRun, "1")
				}
				w.WriteHeader(status)
			}))
			t.Cleanup(server.Close)
			client := NewClient(nil)
			t.Cleanup(client.Close)
			address := strings.TrimPrefix(server.URL, "http://")
			_, err := client.Call(t.Context(), PlainCall{Address: address, Method: http.MethodPost, Path: "/orders", NoRetry: true})
			require.Equal(t, stated, eris.Is(err, ErrRefused), "call, status %d: %v", status, err)
			if status != http.StatusInternalServerError {
				require.Equal(t, !stated, eris.Is(err, ErrFailed), "call, status %d: %v", status, err)
			}
			err = client.Stream(t.Context(), Run{Address: address, ID: "r.5", Body: body("4")}, func(Chunk) error { return nil })
			require.Equal(t, stated, eris.Is(err, ErrRefused), "stream, status %d: %v", status, err)
			require.Equal(t, !stated, eris.Is(err, ErrFailed), "stream, status %d: %v", status, err)
		}
	}
}

// Guards against reporting that a run which has started did not run, because the engine
// refuses the reconnection to its stream.
func TestRefusedReconnectionDoesNotMeanNotRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	client := NewClient(nil)
	t.Cleanup(client.Close)
	run := Run{Address: strings.TrimPrefix(server.URL, "http://"), ID: "r.6", Body: body("4")}
	err := client.Stream(t.Context(), run, func(Chunk) error { return nil })
	require.ErrorIs(t, err, ErrResponseLost)
}

// Guards against reporting a refused connection as an unknown outcome.
func TestUnreachableUpstreamIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := NewClient(nil)
	_, err := client.Call(t.Context(), PlainCall{Address: address, Method: http.MethodPost, Path: "/", NoRetry: true})
	require.ErrorIs(t, err, ErrNotSent)
	err = client.Stream(t.Context(), Run{Address: address, ID: "r.4", Body: body("4")}, func(Chunk) error { return nil })
	require.ErrorIs(t, err, ErrNotSent)
}
