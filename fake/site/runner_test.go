package site

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startTestRunner(t *testing.T, r *Runner) *Runner {
	t.Helper()
	store, err := NewStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(store.Close)
	r.ID, r.Service, r.Zone = "e", EngineService, "a"
	started, err := StartRunner(store, "127.0.0.1:0", r)
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

func askRunner(t *testing.T, r *Runner, id, prefix string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.Address()+"/", nil)
	require.NoError(t, err)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", "300,40")
	request.Header.Set("Prompt-Prefix", prefix)
	response, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NoError(t, err)
	assert.Equal(t, StreamBody(1, r.Events), string(body))
}

// Only the cached prefix of a prompt is not read again; otherwise placement that
// ignores shared parts would do as well as any.
func TestRunnerCachesPrompts(t *testing.T) {
	r := startTestRunner(t, &Runner{Events: 2})
	askRunner(t, r, "1", "aa:50,bb:150,c1:100")
	assert.Equal(t, 300, r.TokensRead())
	askRunner(t, r, "2", "aa:50,bb:150,c2:100")
	assert.Equal(t, 400, r.TokensRead())
	askRunner(t, r, "3", "xx:50,bb:150,c2:100")
	assert.Equal(t, 700, r.TokensRead())
}

// Streams beyond the slots have to wait.
func TestRunnerHasSlots(t *testing.T) {
	r := startTestRunner(t, &Runner{Events: 3, Slots: 2, EventInterval: 20 * time.Millisecond})
	start := time.Now()
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() { askRunner(t, r, fmt.Sprint(i), "") })
	}
	group.Wait()
	assert.GreaterOrEqual(t, time.Since(start), 3*3*20*time.Millisecond, "each of the two slots serves three streams in turn")
}
