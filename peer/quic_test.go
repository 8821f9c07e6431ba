package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/event"
)

// authority is a certificate authority for a test fleet.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{t: t, cert: cert, key: key, pool: pool}
}

func (a *authority) identity(host string) Identity {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{host}, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	return Identity{
		Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		Authority:   a.pool,
	}
}

// startTransport starts a transport whose PartCell passes messages to receive and
// answers a request with the caller's host id and the request.
func startTransport(t *testing.T, host string, identity Identity, receive func(string, []byte)) (*QUIC, Address) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	q := NewQUIC(host, identity, event.NewClock(nil), socket)
	q.Handle(PartCell, Handler{
		OnMessage: receive,
		OnRequest: func(_ context.Context, from string, body []byte) ([]byte, error) {
			return append([]byte(from+":"), body...), nil
		},
	})
	require.NoError(t, q.Start())
	t.Cleanup(func() { q.Close() })
	return q, Address{UDP: socket.LocalAddr().String(), Incarnation: 1}
}

// TestMessagesArriveInOrder guards against messages that are lost, reordered or
// attributed to the wrong host on a healthy connection.
func TestMessagesArriveInOrder(t *testing.T) {
	fleet := newAuthority(t)
	received := make(chan string, 100)
	_, address := startTransport(t, "b", fleet.identity("b"), func(from string, body []byte) {
		received <- from + string(body)
	})
	a, _ := startTransport(t, "a", fleet.identity("a"), nil)
	a.SetAddresses(map[string]Address{"b": address})
	for i := range 100 {
		a.Send("b", PartCell, []byte{byte(i)})
	}
	for i := range 100 {
		require.Equal(t, "a"+string([]byte{byte(i)}), <-received)
	}
	answer, err := a.Call(t.Context(), "b", PartCell, []byte("question"))
	require.NoError(t, err)
	require.Equal(t, "a:question", string(answer))
}

// TestForeignRouterIsRefused guards against accepting messages of a router with a
// certificate of another authority.
func TestForeignRouterIsRefused(t *testing.T) {
	_, address := startTransport(t, "b", newAuthority(t).identity("b"), func(string, []byte) {
		t.Error("a message of a foreign router arrived")
	})
	a, _ := startTransport(t, "a", newAuthority(t).identity("a"), nil)
	a.SetAddresses(map[string]Address{"b": address})
	_, err := a.Call(t.Context(), "b", PartCell, []byte("question"))
	require.ErrorIs(t, err, ErrUnreachable)
}

// TestWrongHostIsRefused guards against accepting a router that listens at the
// address of another one.
func TestWrongHostIsRefused(t *testing.T) {
	fleet := newAuthority(t)
	_, address := startTransport(t, "c", fleet.identity("c"), nil)
	a, _ := startTransport(t, "a", fleet.identity("a"), nil)
	a.SetAddresses(map[string]Address{"b": address})
	_, err := a.Call(t.Context(), "b", PartCell, nil)
	require.ErrorIs(t, err, ErrUnreachable)
}

// TestAddressKeepsConnections guards against closing the connections to a host when
// its incarnation becomes known, and against keeping them after it has moved or
// restarted.
func TestAddressKeepsConnections(t *testing.T) {
	known := Address{UDP: "127.0.0.1:1", Incarnation: 5}
	require.True(t, known.keepsConnections(Address{UDP: "127.0.0.1:1"}))
	require.True(t, known.keepsConnections(known))
	require.False(t, known.keepsConnections(Address{UDP: "127.0.0.1:1", Incarnation: 4}))
	require.False(t, known.keepsConnections(Address{UDP: "127.0.0.1:2", Incarnation: 5}))
}
