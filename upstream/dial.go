package upstream

import (
	"errors"
	"net"
)

// isDialError reports whether err occurred before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
