package capacity

import (
	"net"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/settings"
)

// Transport is the cost of messages between two routers over QUIC.
type Transport struct {
	BodyBytes int `json:"body_bytes"`
	// SentBytes is the number of bytes per message that the sender sends, and
	// AckBytes the number that the receiver sends, both including headers.
	SentBytes float64 `json:"sent_bytes_per_message"`
	AckBytes  float64 `json:"ack_bytes_per_message"`
	// CPUSeconds is the processor time per message of both sides together.
	CPUSeconds float64 `json:"cpu_seconds_per_message"`
}

const (
	transportMessages = 150
	// transportGap is the time between messages. It keeps each message in its own
	// packet, as heartbeats and reports to one peer are.
	transportGap = 20 * time.Millisecond
)

// MeasureTransport measures messages with the given body size, sent in one
// direction. It writes certificates to dir. Error: ErrMeasure.
func MeasureTransport(dir string, body int) (Transport, error) {
	result := Transport{BodyBytes: body}
	from, to, err := newPair(dir)
	if err != nil {
		return result, eris.Wrap(ErrMeasure, err.Error())
	}
	defer from.Close()
	defer to.Close()
	message := make([]byte, body)
	from.Send(receiverHost, peer.PartCell, message)
	time.Sleep(time.Second) // exclude the handshake
	senderBefore, receiverBefore, cpuBefore := from.Traffic(), to.Traffic(), cpuTime()
	for range transportMessages {
		from.Send(receiverHost, peer.PartCell, message)
		time.Sleep(transportGap)
	}
	time.Sleep(10 * transportGap)
	result.CPUSeconds = (cpuTime() - cpuBefore).Seconds() / transportMessages
	result.SentBytes = float64(from.Traffic().SentBytes-senderBefore.SentBytes) / transportMessages
	result.AckBytes = float64(to.Traffic().SentBytes-receiverBefore.SentBytes) / transportMessages
	return result, nil
}

const (
	senderHost   = "upstate-r1"
	receiverHost = "upstate-r2"
	// measureNetwork is the second byte of the addresses in the certificates.
	measureNetwork = 40
)

func newPair(dir string) (from, to *peer.QUIC, err error) {
	plan, err := deployment.FindPlan("piedmont", deployment.Options{Network: measureNetwork})
	if err != nil {
		return nil, nil, err
	}
	if err := plan.Write(dir); err != nil {
		return nil, nil, err
	}
	from, fromAddress, err := newQUIC(dir, senderHost)
	if err != nil {
		return nil, nil, err
	}
	to, toAddress, err := newQUIC(dir, receiverHost)
	if err != nil {
		_ = from.Close()
		return nil, nil, err
	}
	from.SetAddresses(map[string]peer.Address{receiverHost: {UDP: toAddress, Incarnation: 1}})
	to.SetAddresses(map[string]peer.Address{senderHost: {UDP: fromAddress, Incarnation: 1}})
	return from, to, nil
}

func newQUIC(dir, host string) (*peer.QUIC, string, error) {
	s, err := settings.Load(filepath.Join(dir, "router-"+host+".json"))
	if err != nil {
		return nil, "", err
	}
	identity, err := s.Identity()
	if err != nil {
		return nil, "", err
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	q := peer.NewQUIC(host, identity, event.NewClock(nil), socket)
	q.Handle(peer.PartCell, peer.Handler{OnMessage: func(string, []byte) {}})
	return q, socket.LocalAddr().String(), q.Start()
}
