package crowd

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/peer"
)

const (
	// strangers is the number of hosts that are no routers, each with strangerStreams
	// streams of either kind.
	strangers       = 150
	strangerStreams = 200
	strangerReturn  = time.Second
)

// Any host can open connections to the address between routers, and announce on each of their
// streams a message of legal size that never comes.
func TestStrangersAtTheAddressBetweenRouters(t *testing.T) {
	r := newRouter(t, nil)
	ctx, stop := context.WithTimeout(t.Context(), crowdTime)
	defer stop()
	var crowd sync.WaitGroup
	for i := range strangers {
		identity, err := peer.SelfSigned(fmt.Sprintf("stranger-%d", i))
		require.NoError(t, err)
		config := &tls.Config{Certificates: []tls.Certificate{identity.Certificate}, InsecureSkipVerify: true, NextProtos: []string{"lacewing-peer/1"}}
		crowd.Go(func() {
			for ctx.Err() == nil {
				announce(ctx, r.IP+":7400", config)
				time.Sleep(strangerReturn)
			}
		})
	}
	r.watch(ctx)
	crowd.Wait()
	r.check()
}

// announce opens a connection and announces a message on each of its streams, until the router
// closes the connection or ctx ends.
func announce(ctx context.Context, address string, config *tls.Config) {
	connection, err := quic.DialAddr(ctx, address, config, &quic.Config{MaxIdleTimeout: crowdTime})
	if err != nil {
		return
	}
	defer func() { _ = connection.CloseWithError(0, "") }()
	announcement := append(binary.AppendUvarint(nil, peer.MaxFrameBytes), 0)
	for range strangerStreams {
		if stream, err := connection.OpenUniStream(); err == nil {
			_, _ = stream.Write(announcement) // an error means that the connection has ended
		}
		if stream, err := connection.OpenStream(); err == nil {
			_, _ = stream.Write(announcement) // an error means that the connection has ended
		}
	}
	select {
	case <-connection.Context().Done():
	case <-ctx.Done():
	}
}
