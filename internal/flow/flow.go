// Package flow identifies flows and maps them to buckets.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of placement buckets per service. With 14 upstreams,
// each upstream owns 73 or 74 of them, a rounding error of 1.2%.
const Buckets = 1024

// fingerprintBits is the size of a flow fingerprint in bits. With 48 bits and
// 100,000 tracked flows, the probability that a lookup finds the fingerprint of
// an unrelated flow is 4e-10.
const fingerprintBits = 48

// Key identifies a flow by the caller's address, the service's address and the
// flow ID from the packet.
type Key struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	ID      uint64
}

// AddressError reports that an address of a flow key could not be parsed.
type AddressError struct {
	// Field is "caller" or "service".
	Field string
	Value string
	Err   error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("flow key: %s address %q: %v", e.Field, e.Value, e.Err)
}

// Unwrap returns the error of the address parser.
func (e *AddressError) Unwrap() error { return e.Err }

// ParseKey builds a key from the caller and service addresses ("ip:port") and
// the flow ID of a packet. It returns an *AddressError for the first address that
// cannot be parsed.
func ParseKey(caller, service string, id uint64) (Key, error) {
	callerAddress, err := netip.ParseAddrPort(caller)
	if err != nil {
		return Key{}, &AddressError{Field: "caller", Value: caller, Err: err}
	}
	serviceAddress, err := netip.ParseAddrPort(service)
	if err != nil {
		return Key{}, &AddressError{Field: "service", Value: service, Err: err}
	}
	return Key{Caller: callerAddress, Service: serviceAddress, ID: id}, nil
}

// Hash returns the 64-bit hash of the key; it is the same on every instance.
func (k Key) Hash() uint64 {
	var b [44]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[0:16], caller[:])
	copy(b[16:32], service[:])
	binary.LittleEndian.PutUint16(b[32:34], k.Caller.Port())
	binary.LittleEndian.PutUint16(b[34:36], k.Service.Port())
	binary.LittleEndian.PutUint64(b[36:44], k.ID)
	return xxhash.Sum64(b[:])
}

// Bucket returns the bucket of a flow hash, from 0 to Buckets-1.
func Bucket(hash uint64) uint32 { return uint32(hash % Buckets) }

// Fingerprint returns the 48-bit fingerprint of a flow hash: its low bits, from
// which Bucket computes the same bucket as from the whole hash.
func Fingerprint(hash uint64) uint64 { return hash & (1<<fingerprintBits - 1) }

// LeaseSlots is the number of lease slots shared by all services.
const LeaseSlots = 64

// Slot returns the lease slot of a flow hash, from 0 to LeaseSlots-1. The lease of
// this slot governs the flow's non-idempotent requests.
func Slot(hash uint64) int { return int((hash >> fingerprintBits) % LeaseSlots) }

// NameHash returns the 64-bit hash of a name, for example to rank instances. It is
// the same on every instance.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }
