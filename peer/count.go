package peer

import (
	"net"
	"sync/atomic"
)

// headerBytes is the size of the IPv4 and UDP headers of one packet. They count
// against the control traffic budget of a router, too.
const headerBytes = 28

// Traffic counts the bytes and packets of a UDP socket, including IP and UDP headers
// and QUIC acknowledgements.
type Traffic struct {
	SentBytes       int64
	SentPackets     int64
	ReceivedBytes   int64
	ReceivedPackets int64
}

// countingConn counts the packets of a UDP socket.
type countingConn struct {
	net.PacketConn
	sentBytes, sentPackets         atomic.Int64
	receivedBytes, receivedPackets atomic.Int64
}

func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(p)
	if err == nil {
		c.receivedBytes.Add(int64(n) + headerBytes)
		c.receivedPackets.Add(1)
	}
	return n, addr, err
}

func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, addr)
	if err == nil {
		c.sentBytes.Add(int64(n) + headerBytes)
		c.sentPackets.Add(1)
	}
	return n, err
}

// SetReadBuffer sets the size of the receive buffer of the socket. The QUIC library
// calls it and SetWriteBuffer if the connection has them.
func (c *countingConn) SetReadBuffer(bytes int) error {
	if conn, ok := c.PacketConn.(*net.UDPConn); ok {
		return conn.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the send buffer of the socket.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	if conn, ok := c.PacketConn.(*net.UDPConn); ok {
		return conn.SetWriteBuffer(bytes)
	}
	return nil
}

func (c *countingConn) traffic() Traffic {
	return Traffic{
		SentBytes:       c.sentBytes.Load(),
		SentPackets:     c.sentPackets.Load(),
		ReceivedBytes:   c.receivedBytes.Load(),
		ReceivedPackets: c.receivedPackets.Load(),
	}
}
