package node

import (
	"fmt"
	"net/netip"
)

// InvalidObjectError reports a configuration object that cannot be applied. The
// previous version of the object stays in use.
type InvalidObjectError struct {
	Key     string
	Version uint64
	Err     error
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("cannot apply object %s version %d: %v", e.Key, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *InvalidObjectError) Unwrap() error { return e.Err }

// AddressConflictError reports that two services declare the same address. Service,
// whose team object is the newer one, does not serve; Other keeps the address.
type AddressConflictError struct {
	Address        netip.AddrPort
	Service, Other string
}

func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("service %s declares address %s, which service %s already uses", e.Service, e.Address, e.Other)
}
