package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Connections without a request must not keep a caller out.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	listener, err := listenIntake("127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: withConnection, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { freeIntakeSlot(r) })}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for range 64 {
		silent, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer silent.Close()
	}
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + listener.Addr().String() + "/")
	require.NoError(t, err)
	assert.NoError(t, response.Body.Close())
}

// A request that was decided about must not hold its slot while its response goes
// on.
func TestResponsesInProgressHoldNoSlots(t *testing.T) {
	const callers = 60
	listener, err := listenIntake("127.0.0.1:0")
	require.NoError(t, err)
	var inProgress atomic.Int64
	finish := make(chan struct{})
	server := &http.Server{ConnContext: withConnection, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		freeIntakeSlot(r)
		inProgress.Add(1)
		<-finish
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			response, err := client.Get("http://" + listener.Addr().String() + "/")
			if assert.NoError(t, err) {
				assert.NoError(t, response.Body.Close())
			}
		})
	}
	assert.Eventually(t, func() bool { return inProgress.Load() == callers }, 20*time.Second, time.Millisecond)
	listener.mu.Lock()
	assert.Zero(t, listener.intake.Undecided(time.Now()))
	listener.mu.Unlock()
	close(finish)
	group.Wait()
}

// Connections beyond the queue must fail at the caller instead of waiting in a long
// queue until their callers have left.
func TestQueueOfNewConnectionsIsShort(t *testing.T) {
	listener, err := listenIntake("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var group sync.WaitGroup
	var failed atomic.Int64
	for range acceptBacklog + 72 {
		group.Go(func() {
			connection, err := net.DialTimeout("tcp", listener.Addr().String(), 500*time.Millisecond)
			if err != nil {
				failed.Add(1)
				return
			}
			t.Cleanup(func() { connection.Close() })
		})
	}
	group.Wait()
	assert.GreaterOrEqual(t, failed.Load(), int64(64))
}

// A router whose callers hold many connections must close them after their
// responses, so that descriptors for upstreams remain. On grown Solas, scale-1, a
// router had none left.
func TestManyCallerConnectionsAreClosed(t *testing.T) {
	g := &Gateway{}
	g.settings.FileLimit = 4100
	g.openConnections.Store(2000)
	assert.False(t, g.manyConnections())
	g.openConnections.Store(2100)
	assert.True(t, g.manyConnections())
	g.settings.FileLimit = 0
	assert.False(t, g.manyConnections(), "no limit is set")
}
