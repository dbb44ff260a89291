// Package flow identifies flows and maps them to buckets.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of placement buckets per service. With 14 upstreams
// each has 73 or 74 of them, a rounding error of 1.2%.
const Buckets = 1024

// fingerprintBits is the size of a flow fingerprint. With 48 bits, 100,000
// tracked flows meet an unrelated flow's fingerprint with a probability of
// 4e-10 per lookup.
const fingerprintBits = 48

// Key identifies a flow.
type Key struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	ID      uint64
}

// AddressError says that an address of a flow key could not be parsed.
type AddressError struct {
	// Field is "caller" or "service".
	Field string
	Value string
	Err   error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("flow key: %s address %q: %v", e.Field, e.Value, e.Err)
}

// Unwrap returns the parse error.
func (e *AddressError) Unwrap() error { return e.Err }

// ParseKey builds a key from the addresses of a packet. It fails with
// *AddressError.
func ParseKey(caller, service string, id uint64) (Key, error) {
	c, err := netip.ParseAddrPort(caller)
	if err != nil {
		return Key{}, &AddressError{Field: "caller", Value: caller, Err: err}
	}
	s, err := netip.ParseAddrPort(service)
	if err != nil {
		return Key{}, &AddressError{Field: "service", Value: service, Err: err}
	}
	return Key{Caller: c, Service: s, ID: id}, nil
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

// Bucket returns the bucket of a flow hash.
func Bucket(hash uint64) uint32 { return uint32(hash % Buckets) }

// Fingerprint returns the 48-bit fingerprint of a flow hash, which includes
// its bucket.
func Fingerprint(hash uint64) uint64 { return hash & (1<<fingerprintBits - 1) }

// LeaseSlots is the number of lease slots shared by all services.
const LeaseSlots = 64

// Slot returns the lease slot that decides non-idempotent requests of a flow.
func Slot(hash uint64) int { return int((hash >> fingerprintBits) % LeaseSlots) }

// NameHash hashes a name, for example for ranking instances.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }
