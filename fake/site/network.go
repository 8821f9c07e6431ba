package site

import (
	"errors"
	"fmt"
	"net"
)

// claimPort is the port that a claim listens on.
const claimPort = "8799"

// ErrNoNetwork reports that other deployments on this machine use all networks.
var ErrNoNetwork = errors.New("no network of loopback addresses is free")

// ClaimNetwork returns a number from first to last that no other test on this machine
// has claimed, and a function that gives it back. format makes of the number a loopback
// address that only claims listen on.
func ClaimNetwork(format string, first, last int) (number int, release func(), err error) {
	for n := first; n <= last; n++ {
		listener, err := net.Listen("tcp", fmt.Sprintf(format, n)+":"+claimPort)
		if err == nil {
			return n, func() { _ = listener.Close() }, nil
		}
	}
	return 0, nil, fmt.Errorf("%w: %s, %d to %d", ErrNoNetwork, format, first, last)
}
