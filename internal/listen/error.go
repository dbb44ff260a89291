// Package listen defines the error for a socket that cannot be opened.
package listen

import (
	"fmt"
	"net/netip"
)

// Error reports that a listening socket could not be opened on an address.
type Error struct {
	// Network is "tcp" or "udp".
	Network string
	Address netip.AddrPort
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("listen on %s %s: %v", e.Network, e.Address, e.Err)
}

// Unwrap returns the error of the operating system or the net package.
func (e *Error) Unwrap() error { return e.Err }
