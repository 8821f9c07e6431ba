// Package peer exchanges messages between routers over QUIC with mutual TLS.
package peer

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of a Transport. ErrTooLarge only becomes part of the text of an error that
// wraps ErrUnreachable.
var (
	ErrUnknownHost = eris.New("host has no known peer address")
	ErrUnreachable = eris.New("peer did not answer")
	ErrTooLarge    = eris.New("peer message exceeds the maximum frame size")
)

// Part identifies the component of a router that a message is for.
type Part uint8

// Parts of a router that exchange messages.
const (
	PartCell Part = iota + 1
	PartMember
	PartConfig
	PartIntent
	PartEntry
	PartFleet
)

// partNames holds the metric labels of the parts.
var partNames = [...]string{PartCell: "cell", PartMember: "member", PartConfig: "config", PartIntent: "intent", PartEntry: "entry", PartFleet: "fleet"}

// Transport sends messages to other routers, which are addressed by host id. It is
// safe for concurrent use.
type Transport interface {
	// Send queues a one-way message. It never blocks. A message is dropped if the
	// host is unknown or unreachable, or if its queue is full.
	Send(to string, part Part, body []byte)
	// Call sends a request and waits for the answer. It returns ErrUnknownHost,
	// ctx.Err(), or an error that wraps ErrUnreachable. After ctx.Err() or
	// ErrUnreachable the peer may have handled the request. ErrUnreachable also
	// stands for a request that is too large and for an error returned by the
	// peer's Handler, whose text it contains.
	Call(ctx context.Context, to string, part Part, request []byte) ([]byte, error)
}

// Handler handles the messages for one part: OnMessage the one-way ones and
// OnRequest those that are answered. Either may be nil if the part does not use
// that kind. Both are called concurrently.
type Handler struct {
	OnMessage func(from string, body []byte)
	OnRequest func(ctx context.Context, from string, body []byte) ([]byte, error)
}
