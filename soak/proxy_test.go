package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats what passes.
type mode uint8

const (
	open    mode = iota
	slow         // delays what passes
	silent       // passes nothing, closes nothing
	deafOut      // passes nothing towards the server
	deafIn       // passes nothing towards the client
	refuse       // resets connections
)

const slowDelay = 150 * time.Millisecond

// proxy stands before one server. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	open    map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode for open and new connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refuse {
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
	for c := range p.open {
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
		p.open[c] = true
		return
	}
	delete(p.open, c)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
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
	if m, _ := p.current(); m == refuse {
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
	go func() { p.pass(server, client, deafOut); done <- struct{}{} }()
	go func() { p.pass(client, server, deafIn); done <- struct{}{} }()
	<-done
}

// pass copies from one side to the other as the mode allows.
func (p *proxy) pass(to, from net.Conn, deaf mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			m, changed := p.current()
			if m == slow {
				time.Sleep(slowDelay)
			}
			if m != silent && m != deaf {
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
				_ = to.(*net.TCPConn).SetLinger(0) // a reset stays a reset
			}
			return
		}
	}
}
