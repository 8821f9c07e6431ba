package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/lacewingshift/lacewingshift/overload"
)

const (
	// acceptBacklog is the number of connections that wait in the queue of the
	// operating system. A small host decides about that many in a quarter of a
	// second; callers of later ones find another router sooner.
	acceptBacklog = 128
	// openConnectionsRatio is the fraction of the descriptors above which
	// connections of callers are closed after each response. The rest is for
	// connections to upstreams, routers and the store.
	openConnectionsRatio = 0.5
)

// intakeListener accepts connections as overload.Intake allows.
type intakeListener struct {
	net.Listener
	guard  *guard     // nil admits all connections
	mu     sync.Mutex // guards intake
	intake overload.Intake
	freed  chan struct{} // receives a value after a slot was freed
}

// listenIntake listens on a TCP address. Errors: ErrListen.
func listenIntake(address string) (*intakeListener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	listener, err := listenTCP(parsed, acceptBacklog)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return &intakeListener{Listener: listener, freed: make(chan struct{}, 1)}, nil
}

// listenTCP listens with a queue of the given length, which package net does not
// let its callers choose.
func listenTCP(address netip.AddrPort, backlog int) (net.Listener, error) {
	family, socketAddress := socketAddress(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), address.String())
	defer file.Close() // net.FileListener duplicates the descriptor
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, socketAddress); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// socketAddress returns the address family and the address for system calls.
func socketAddress(address netip.AddrPort) (int, unix.Sockaddr) {
	if address.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// hasQueued reports whether connections wait to be accepted.
func (l *intakeListener) hasQueued() bool {
	system, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false // closed
	}
	return pollEvents(raw, unix.POLLIN)
}

// Accept implements net.Listener.
func (l *intakeListener) Accept() (net.Conn, error) {
	for {
		tcp, err := acceptTCP(l.Listener)
		if err != nil {
			return nil, err
		}
		c := &callerConnection{TCPConn: tcp, listener: l, slot: l.takeSlot(), guard: l.guard}
		if l.guard.admit(c, false) {
			return c, nil
		}
		c.Close()
	}
}

func acceptTCP(listener net.Listener) (*net.TCPConn, error) {
	connection, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return nil, eris.Errorf("accepted a connection of type %T", connection)
	}
	return tcp, nil
}

// takeSlot waits for a slot.
func (l *intakeListener) takeSlot() *overload.Slot {
	for {
		l.mu.Lock()
		slot, wait := l.intake.Take(time.Now())
		l.mu.Unlock()
		if slot != nil {
			return slot
		}
		timer := time.NewTimer(wait)
		select {
		case <-l.freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// freeSlot frees the intake slot of the connection, if it still holds one.
func (c *callerConnection) freeSlot() {
	if c.listener == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.slot == nil {
		return
	}
	c.slot.Free()
	c.slot = nil
	select {
	case c.listener.freed <- struct{}{}:
	default:
	}
}

// freeIntakeSlot frees the slot of a request's connection, if it still holds one.
func freeIntakeSlot(r *http.Request) {
	if c := connectionOf(r); c != nil {
		c.freeSlot()
	}
}
