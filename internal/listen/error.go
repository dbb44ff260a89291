// Package listen has the error of sockets that cannot be opened.
package listen

import (
	"fmt"
	"net/netip"
)

// Error says that an address could not be listened on.
type Error struct {
	// Network is tcp or udp.
	Network string
	Address netip.AddrPort
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("listen on %s %s: %v", e.Network, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
