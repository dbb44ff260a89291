package node

import (
	"fmt"
	"net/netip"
)

// InvalidObjectError says that an object cannot be put in force; its earlier
// version stays.
type InvalidObjectError struct {
	Key     string
	Version uint64
	Err     error
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("object %s version %d: %v", e.Key, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidObjectError) Unwrap() error { return e.Err }

// AddressConflictError says that two services declare the same address; the
// later one does not serve.
type AddressConflictError struct {
	Address        netip.AddrPort
	Service, Other string
}

func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("service %s declares %s, which belongs to service %s", e.Service, e.Address, e.Other)
}
