package document

import (
	"fmt"
	"net/netip"
	"regexp"
)

// namePattern matches valid names. It excludes "/" because names are parts of
// object keys.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a name has the form that names of teams, services,
// upstreams, instances and failure domains must have: 1 to 63 lower-case letters,
// digits and hyphens, with no hyphen at either end.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// CheckName checks a required name. It fails with *Error of kind Missing if the
// name is empty, and OutOfRange if ValidName rejects it.
func (d *Document) CheckName(path, name string) error {
	const allowed = "lower-case letters, digits and inner hyphens, 1 to 63 characters"
	switch {
	case name == "":
		return d.Errorf(path, Missing, allowed, "required key is missing or empty")
	case !ValidName(name):
		return d.Errorf(path, OutOfRange, allowed, "name %q does not have the allowed form", name)
	}
	return nil
}

// CheckAddress checks a required address. It fails with *Error of kind Missing if
// the address is not set, and OutOfRange if it is an IPv6-mapped IPv4 address, has
// a zone, is multicast or has port 0, or if its IP is unspecified and anyAddress is
// false.
func (d *Document) CheckAddress(path string, address netip.AddrPort, anyAddress bool) error {
	const allowed = "unicast ip:port with port 1 to 65535"
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return d.Errorf(path, Missing, allowed, "required key is missing or empty")
	case ip.Is4In6() || ip.Zone() != "":
		// A mapped address is a second spelling of the same host, and a zone has a
		// meaning on one host only.
		return d.Errorf(path, OutOfRange, allowed, "%s is an IPv6-mapped IPv4 address or has a zone", address)
	case address.Port() == 0 || ip.IsMulticast() || (ip.IsUnspecified() && !anyAddress):
		return d.Errorf(path, OutOfRange, allowed, "%s cannot be reached from other hosts", address)
	}
	return nil
}

// CheckRange checks that a number is within low and high, both included. It fails
// with *Error of kind OutOfRange.
func (d *Document) CheckRange(path string, value, low, high int64) error {
	if value < low || value > high {
		return d.Errorf(path, OutOfRange, fmt.Sprintf("%d to %d", low, high), "%d is outside the range", value)
	}
	return nil
}
