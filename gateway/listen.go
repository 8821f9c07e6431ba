package gateway

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/platform"
)

// listen opens the listeners and serves them in the background. Errors: ErrListen.
func (g *Gateway) listen(options Options) error {
	g.callerServer = g.newServer(g.handler)
	g.callerServer.ConnState = func(connection net.Conn, state http.ConnState) {
		g.countConnection(connection, state)
		g.guard.stateChanged(connection, state)
	}
	if err := g.serveCallers(); err != nil {
		return err
	}
	ready := platform.ReadyHandler(g.ready)
	lookup := platform.LookupHandler(g.lookup)
	servers := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.ReadyAddress, ready},
		{g.settings.LookupAddress, lookup},
		{options.MetricsAddress, g.handler.metrics},
	}
	for _, server := range servers {
		if server.address == "" {
			continue
		}
		if err := g.serveOn(server.address, g.newServer(server.handler)); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.guard.handler(handler), MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConnection, ConnState: g.guard.stateChanged,
	}
}

// serveOn listens and serves in the background until the server or the listener
// closes. Errors: ErrListen.
func (g *Gateway) serveOn(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	g.otherServers = append(g.otherServers, server)
	g.serve(g.guard.listener(listener), server)
	return nil
}

// serveCallers listens on the address for callers and serves it in the background.
// Errors: ErrListen.
func (g *Gateway) serveCallers() error {
	intake, err := listenIntake(g.settings.CallerAddress)
	if err != nil {
		return err
	}
	intake.guard = g.guard
	g.intake = intake
	g.serve(intake, g.callerServer)
	return nil
}

// serve serves on a listener in the background until the server or the listener
// closes.
func (g *Gateway) serve(listener net.Listener, server *http.Server) {
	g.listeners = append(g.listeners, listener)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.logger.Error("listener failed", "address", listener.Addr(), "err", err)
		}
	}()
}
