package logsink

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(line)
}

// A blocked log writer must not block callers, and dropped lines are counted.
func TestBlockedWriterBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		s := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(ctx) }()
		for range 3 * queueLength {
			_, err := s.Write([]byte("line\n"))
			assert.NoError(t, err)
		}
		assert.GreaterOrEqual(t, s.Dropped(), int64(2*queueLength-1))
		close(out.release)
		time.Sleep(2 * reportInterval)
		cancel()
		<-done
		assert.Contains(t, out.String(), `msg="lines dropped"`)
		assert.GreaterOrEqual(t, strings.Count(out.String(), "line\n"), queueLength)
	})
}

// Lines about requests are rate-limited.
func TestAdmitBoundsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&bytes.Buffer{})
		admitted := 0
		for range 10 * 1000 {
			if s.Admit() {
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		assert.InDelta(t, burst+10*linesPerSecond, admitted, 10)
	})
}
