package ledger

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	limits = Limits{
		Usage: Usage{Bytes: 10 << 20, Descriptors: 300}, Reserve: Usage{Bytes: 1 << 20, Descriptors: 10},
		AddressPart: 0.9, WorkspacePart: 0.7, MinStall: 250 * time.Millisecond, MinProgress: 1 << 10,
	}
	start = time.Unix(1000, 0)
	base  = Usage{ConnectionBytes, 1}
)

// A crowd that fills the budget with stalled heads must not keep out or close callers whose
// requests move, and what is held must stay inside the limits at any time.
func TestCrowdDoesNotKeepOutCallersThatMove(t *testing.T) {
	l, rng := New(limits), rand.New(rand.NewPCG(1, 1))
	now := start
	var crowd []*Account
	var moving *Account
	refused, served := 0, 0
	for step := range 20_000 {
		now = now.Add(time.Millisecond)
		if a, _, reason := l.Open(now, "crowd", false, base); reason == "" {
			l.Enter(now, a, Receiving)
			l.Hold(now, a, Usage{ConnectionBytes + rng.Int64N(256<<10), 1})
			crowd = append(crowd, a)
		}
		if step%50 == 0 {
			a, _, reason := l.Open(now, "ordinary", false, base)
			if reason != "" {
				refused++
				continue
			}
			l.Enter(now, a, Receiving)
			moving = a
		}
		if moving != nil {
			require.False(t, moving.Closed, "a request that moves was closed")
			l.Moved(now, moving, 2<<10)
			_, reason := l.Hold(now, moving, moving.Used.plus(Usage{Bytes: 2 << 10}))
			require.Empty(t, reason)
			if step%50 == 49 {
				l.Close(moving)
				served, moving = served+1, nil
			}
		}
		used, _ := l.Used()
		require.LessOrEqual(t, used.Bytes, limits.Bytes)
		require.LessOrEqual(t, used.Descriptors, limits.Descriptors)
	}
	assert.Zero(t, refused)
	assert.Equal(t, 400, served)
	closed := 0
	for i, a := range crowd {
		if a.Closed {
			closed++
			continue
		}
		assert.Greater(t, i, len(crowd)-400, "the oldest are closed first")
	}
	assert.NotZero(t, closed)
}

// Idle connections that are used again late must outlive requests that stand still.
func TestStalledRequestsAreClosedBeforeIdleConnections(t *testing.T) {
	l := New(limits)
	idle, _, _ := l.Open(start, "a", false, base)
	for i := range 1000 {
		now := start.Add(time.Second + time.Duration(i)*10*time.Millisecond)
		a, _, reason := l.Open(now, "b", false, Usage{100 << 10, 1})
		require.Empty(t, reason)
		l.Enter(now, a, Receiving)
	}
	assert.False(t, idle.Closed)
}

// One address or workspace must not take the whole budget, even with requests that the router
// works on and before others call. These could not connect otherwise.
func TestOneOwnerHoldsAPart(t *testing.T) {
	for kind, part := range map[string]float64{"address": 0.9, "workspace": 0.7} {
		t.Run(kind, func(t *testing.T) {
			l := New(limits)
			open := func(i int, owner string) Reason {
				address, workspace := owner, fmt.Sprint(i)
				if kind == "workspace" {
					address, workspace = fmt.Sprint(i), owner
				}
				a, _, reason := l.Open(start, address, false, base)
				if reason != "" {
					return reason
				}
				l.Assign(a, workspace)
				l.Enter(start, a, Serving)
				if _, reason = l.Hold(start, a, Usage{100 << 10, 2}); reason != "" {
					l.Close(a)
				}
				return reason
			}
			admitted := 0
			for i := range 200 {
				if open(i, "large") == "" {
					admitted++
				}
			}
			assert.InDelta(t, part*10*1024/100, admitted, 2)
			for i := range 8 {
				assert.Empty(t, open(1000+i, "other"))
			}
		})
	}
}

// Readiness must be answered while callers hold all that they may, from whatever address.
func TestServicesHaveAReserve(t *testing.T) {
	for name, addresses := range map[string]int{"one address": 1, "many addresses": 100} {
		t.Run(name, func(t *testing.T) {
			l := New(limits)
			for i, reason := 0, Reason(""); reason == ""; i++ {
				var a *Account
				if a, _, reason = l.Open(start, fmt.Sprint(i%addresses), false, base); a != nil {
					l.Enter(start, a, Serving)
				}
			}
			_, _, reason := l.Open(start, "0", false, base)
			require.NotEmpty(t, reason)
			_, _, reason = l.Open(start, "0", true, base)
			assert.Empty(t, reason)
		})
	}
}

// A crowd at readiness or lookup must not keep out callers, whose limit is lower than what both
// may hold together.
func TestServicesTakeNoRoomFromCallers(t *testing.T) {
	l := New(limits)
	for i, reason := 0, Reason(""); reason == ""; i++ {
		_, _, reason = l.Open(start, fmt.Sprint(i), true, base)
	}
	for i := range 200 {
		_, closed, reason := l.Open(start.Add(time.Second), fmt.Sprint(i), false, base)
		require.Empty(t, reason)
		require.Empty(t, closed)
	}
}

// An account that was closed must hold nothing, whatever its connection still does.
func TestClosedAccountsHoldNothing(t *testing.T) {
	l, rng := New(limits), rand.New(rand.NewPCG(2, 2))
	var accounts []*Account
	now := start
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if a, _, _ := l.Open(now, fmt.Sprint(rng.IntN(5)), rng.IntN(9) == 0, base); a != nil {
			accounts = append(accounts, a)
		}
		a := accounts[rng.IntN(len(accounts))]
		switch rng.IntN(5) {
		case 0:
			l.Close(a)
		case 1:
			l.Enter(now, a, Phase(rng.IntN(3)))
		case 2:
			l.Assign(a, fmt.Sprint("w", rng.IntN(3)))
		default:
			l.Hold(now, a, Usage{ConnectionBytes + rng.Int64N(1<<20), 1 + rng.IntN(2)})
			l.Moved(now, a, rng.Int64N(2<<10))
		}
	}
	for _, a := range accounts {
		l.Close(a)
	}
	used, count := l.Used()
	assert.Zero(t, used)
	assert.Zero(t, count)
	for _, owners := range l.owners {
		assert.Empty(t, owners)
	}
}

// A head must be recognized where net/http does, and must not be estimated below its fields.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\n\n"), 7)
	f.Add([]byte("\r\nPOST / HTTP/1.1\nA:b\nC: d\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var head Head
		taken := 0
		for rest := data; len(rest) > 0 && !head.Ended(); {
			n := min(max(piece, 1), len(rest))
			taken += head.Read(rest[:n])
			rest = rest[n:]
		}
		require.LessOrEqual(t, taken, len(data))
		reader := bytes.NewReader(data)
		buffered := bufio.NewReader(reader)
		request, err := http.ReadRequest(buffered)
		if err != nil {
			return
		}
		require.True(t, head.Ended())
		require.Equal(t, taken, len(data)-reader.Len()-buffered.Buffered(), "end of the head")
		fields := 0
		for _, values := range request.Header {
			fields += len(values)
		}
		require.GreaterOrEqual(t, head.Cost(), int64(fields)*FieldBytes)
	})
}
