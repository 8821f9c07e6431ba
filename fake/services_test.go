package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// The ledger must count a run whose response was lost, and must not count a
// refused call.
func TestPlainLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlain(PlainSettings{})
		body := `{"idempotency_key":"k1"}`
		p.SetFaults(Faults{Refuse: true})
		require.Equal(t, http.StatusServiceUnavailable, call(t.Context(), p, "POST", "/orders", body).Code)
		p.SetFaults(Faults{LoseAnswers: true})
		require.Empty(t, call(t.Context(), p, "POST", "/orders", body).Body.String())
		p.SetFaults(Faults{})
		var got PlainResponse
		require.NoError(t, json.Unmarshal(call(t.Context(), p, "POST", "/orders", body).Body.Bytes(), &got))
		require.Equal(t, WriteResponse("order", "k1"), got)
		require.NoError(t, json.Unmarshal(call(t.Context(), p, "GET", "/orders/o1", "").Body.Bytes(), &got))
		require.Equal(t, ReadResponse("order", "o1"), got)
		require.Equal(t, map[string]int{"k1": 2}, p.Status().Ledger)
	})
}

// The host list must apply its lag, because membership tests rely on it.
func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHosts([]objectapi.Host{{ID: "a"}, {ID: "b"}}, 2*time.Second)
		read := func() (hosts []objectapi.Host) {
			data := call(t.Context(), h, "GET", "/v1/hosts", "").Body.Bytes()
			require.NoError(t, json.Unmarshal(data, &hosts))
			return hosts
		}
		call(t.Context(), h, "POST", "/control", `{"remove":["a"],"leaving":["b"],"add":[{"id":"c"}]}`)
		time.Sleep(time.Second)
		require.Equal(t, []objectapi.Host{{ID: "a"}, {ID: "b"}}, read())
		time.Sleep(time.Second)
		require.Equal(t, []objectapi.Host{{ID: "b", Leaving: true}, {ID: "c"}}, read())
	})
}

// Latencies must follow regions, pairs and callers, and a one-way rule must not
// match the other direction.
func TestLinkLatencyAndRules(t *testing.T) {
	s := LinksSettings{RegionMillis: 0.5, InterRegionMillis: 8, ClientMillis: 3, Pairs: []LinkPair{{"x", "store", 2}}}
	a, b := LinkHost{ID: "a", Region: "x"}, LinkHost{ID: "b", Region: "x"}
	far, caller := LinkHost{ID: "f", Region: "y"}, LinkHost{ID: "c", Region: "x", Client: true}
	require.Equal(t, 500*time.Microsecond, s.latency(a, b))
	require.Equal(t, 8*time.Millisecond, s.latency(a, far))
	require.Equal(t, 3*time.Millisecond, s.latency(caller, a))
	require.Equal(t, 11*time.Millisecond, s.latency(far, caller))
	require.Equal(t, 2*time.Millisecond, s.latency(LinkHost{ID: "s", Region: "store"}, a))
	require.Zero(t, s.latency(LinkHost{}, a), "an unknown sender is not delayed")

	oneWay := LinkRule{From: "a", To: "y", Cut: true}
	require.True(t, oneWay.matches(a, far))
	require.False(t, oneWay.matches(far, a), "a one-way cut must not affect the other direction")
	require.False(t, oneWay.matches(b, far))
	oneWay.Both = true
	require.True(t, oneWay.matches(far, a))
}

// The relay must forward bytes unchanged, count them for the right sender, and
// drop packets on a cut link. The test uses loopback sockets but does not depend
// on their speed.
func TestLinksRelay(t *testing.T) {
	stopEcho, port := startEchoServers(t)
	defer stopEcho()
	links := NewLinks(LinksSettings{Hosts: []LinkHost{
		{ID: "h", Region: "x", IP: "127.0.0.1", RelayIP: "127.77.1.1", TCP: []int{port}, UDP: []int{port}},
		{ID: "c", Region: "x", IP: "127.77.0.2"},
	}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	require.NoError(t, startRelay(ctx, links))

	from := &net.UDPAddr{IP: net.ParseIP("127.77.0.2")}
	udp, err := net.DialUDP("udp", from, &net.UDPAddr{IP: net.ParseIP("127.77.1.1"), Port: port})
	require.NoError(t, err)
	defer udp.Close()
	exchange(t, udp, []byte("packet"))

	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.77.0.2")}}
	tcp, err := dialer.Dial("tcp", net.JoinHostPort("127.77.1.1", portText(port)))
	require.NoError(t, err)
	defer tcp.Close()
	exchange(t, tcp, bytes.Repeat([]byte("0123456789abcdef"), 1<<14))

	links.SetRules([]LinkRule{{From: "c", To: "h", Cut: true}})
	_, err = udp.Write([]byte("lost"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return countOf(links, "c", "h").UDPLost == 1 }, 10*time.Second, time.Millisecond)
	links.SetRules(nil)
	exchange(t, udp, []byte("after"))
	require.EqualValues(t, 3, countOf(links, "c", "h").UDPPackets)
	require.EqualValues(t, 2, countOf(links, "h", "c").UDPPackets)
}

func exchange(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	go func() { _, _ = conn.Write(data) }()
	got := make([]byte, len(data))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, got))
}

func countOf(links *Links, from, to string) LinkCount {
	for _, count := range links.Counts() {
		if count.From == from && count.To == to {
			return count
		}
	}
	return LinkCount{}
}

// startRelay starts the relay and returns when its sockets are open.
func startRelay(ctx context.Context, links *Links) error {
	ready := make(chan error, 1)
	go func() { ready <- links.run(ctx, func() { ready <- nil }) }()
	return <-ready
}

// startEchoServers starts UDP and TCP echo servers on one port.
func startEchoServers(t *testing.T) (stop func(), port int) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := net.ListenPacket("udp", net.JoinHostPort("127.0.0.1", portText(port)))
	require.NoError(t, err)
	go func() {
		for conn, err := tcp.Accept(); err == nil; conn, err = tcp.Accept() {
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	go func() {
		buf := make([]byte, maxPacketBytes)
		for n, sender, err := udp.ReadFrom(buf); err == nil; n, sender, err = udp.ReadFrom(buf) {
			_, _ = udp.WriteTo(buf[:n], sender)
		}
	}()
	return func() { _ = tcp.Close(); _ = udp.Close() }, port
}

func portText(port int) string { return strconv.Itoa(port) }
