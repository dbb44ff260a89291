package document

import (
	"fmt"
	"net/netip"
	"regexp"
)

// nameForm is the form of names. They are parts of object keys, so that "/"
// is excluded.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName tells whether a name has the form of team, service, upstream,
// instance and failure domain names.
func ValidName(name string) bool { return nameForm.MatchString(name) }

// CheckName checks a required name. It fails with *Error.
func (d *Document) CheckName(path, name string) error {
	const allowed = "lower-case letters, digits and inner hyphens, 1 to 63 characters"
	switch {
	case name == "":
		return d.Errorf(path, Missing, allowed, "required key is missing or empty")
	case !ValidName(name):
		return d.Errorf(path, OutOfRange, allowed, "name %q is malformed", name)
	}
	return nil
}

// CheckAddress checks a required address. It fails with *Error. With
// anyAddress, the unspecified IP is allowed.
func (d *Document) CheckAddress(path string, address netip.AddrPort, anyAddress bool) error {
	const allowed = "unicast ip:port with port 1 to 65535"
	ip := address.Addr()
	switch {
	case !address.IsValid():
		return d.Errorf(path, Missing, allowed, "required key is missing or empty")
	case ip.Is4In6() || ip.Zone() != "":
		// The same host would have two spellings, or another one per instance.
		return d.Errorf(path, OutOfRange, allowed, "%s is an IPv6-mapped IPv4 address or has a zone", address)
	case address.Port() == 0 || ip.IsMulticast() || (ip.IsUnspecified() && !anyAddress):
		return d.Errorf(path, OutOfRange, allowed, "%s cannot be reached by others", address)
	}
	return nil
}

// CheckRange checks a number. It fails with *Error.
func (d *Document) CheckRange(path string, value, low, high int64) error {
	if value < low || value > high {
		return d.Errorf(path, OutOfRange, fmt.Sprintf("%d to %d", low, high), "%d is outside the range", value)
	}
	return nil
}
