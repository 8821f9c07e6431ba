package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy handles connections and data.
type mode uint8

const (
	modeOpen          mode = iota // forwards all data immediately
	modeSlow                      // delays data by slowDelay
	modeStall                     // forwards nothing, keeps connections open
	modeStallToServer             // forwards nothing to the server
	modeStallToClient             // forwards nothing to the client
	modeRefuse                    // resets connections
)

const slowDelay = 150 * time.Millisecond

// proxy is a TCP proxy to one server with injected faults. It is safe for
// concurrent use.
type proxy struct {
	ownAddress string
	target     string

	mu       sync.Mutex
	listener net.Listener
	mode     mode
	changed  chan struct{} // closed and replaced on each change of mode
	conns    map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ownAddress: listener.Addr().String(), listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.ownAddress }

// stopListening makes the host refuse connections, as without a process on the port.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// listenAgain ends stopListening.
func (p *proxy) listenAgain() {
	for {
		listener, err := net.Listen("tcp", p.address())
		if err == nil {
			p.mu.Lock()
			p.listener = listener
			p.mu.Unlock()
			go p.accept(listener)
			return
		}
		time.Sleep(10 * time.Millisecond) // connections of the proxy may still end
	}
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == modeRefuse {
		p.resetLocked()
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *proxy) resetLocked() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) current() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	p.track(client, true)
	defer p.track(client, false)
	if m, _ := p.current(); m == modeRefuse {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	p.track(server, true)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, modeStallToServer); done <- struct{}{} }()
	go func() { p.forward(client, server, modeStallToClient); done <- struct{}{} }()
	<-done
}

// forward copies data in one direction as the mode allows. It stalls in modeStall
// and in the given stall mode.
func (p *proxy) forward(to, from net.Conn, stall mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			m, changed := p.current()
			if m == modeSlow {
				time.Sleep(slowDelay)
			}
			if m != modeStall && m != stall {
				break
			}
			<-changed
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0) // pass a reset on as a reset
			}
			return
		}
	}
}
