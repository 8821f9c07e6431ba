// Package peer carries messages between routers over QUIC with mutual TLS.
package peer

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of a transport.
var (
	ErrUnknownHost = eris.New("host has no known peer address")
	ErrUnreachable = eris.New("peer did not answer")
	ErrTooLarge    = eris.New("peer message is too large")
)

// Part names the package that a message belongs to.
type Part uint8

// Parts that exchange messages.
const (
	PartCell Part = iota + 1
	PartMember
	PartConfig
	PartIntent
	PartEntry
	PartFleet
)

// partNames are the labels of the parts in metrics.
var partNames = [...]string{PartCell: "cell", PartMember: "member", PartConfig: "config", PartIntent: "intent", PartEntry: "entry", PartFleet: "fleet"}

// Transport sends messages to other routers by host id. It is safe for
// concurrent use.
type Transport interface {
	// Send queues a one-way message. It never blocks; a message to a host that
	// cannot be reached, or whose queue is full, is lost.
	Send(to string, part Part, body []byte)
	// Call sends a request and waits for the answer. Errors: ErrUnknownHost,
	// ErrUnreachable (the request may have been handled), ctx.Err().
	Call(ctx context.Context, to string, part Part, request []byte) ([]byte, error)
}

// Receiver handles what arrives for one part. Functions may be nil when a part
// uses only one kind of message. They are called from several goroutines.
type Receiver struct {
	Message func(from string, body []byte)
	Request func(ctx context.Context, from string, body []byte) ([]byte, error)
}
