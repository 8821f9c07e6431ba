package gateway

import (
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/shutdown"
)

// ready reports whether callers should be sent to this router.
func (g *Gateway) ready() bool {
	return g.configured.Load() && !g.evacuations.missing() && g.state() == shutdown.Serving
}

// announceReady tells the other routers that this one is ready, once it is.
func (g *Gateway) announceReady() {
	if g.ready() {
		g.exchange.setState(fleet.Ready)
	}
}

// mustWait returns why the router may not send requests with what it holds, or "" if it
// may.
func (h *Handler) mustWait() string {
	switch {
	case h.evacuations.missing():
		return reasonEvacuations
	case !h.mayAct():
		return reasonPaused
	}
	return ""
}
