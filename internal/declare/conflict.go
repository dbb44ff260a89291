package declare

import (
	"fmt"
	"net/netip"
)

// Use is what an address is declared for.
type Use struct {
	Team    string
	Service string
	// Upstream is empty for the address of the service itself.
	Upstream string
}

func (u Use) String() string {
	if u.Upstream == "" {
		return fmt.Sprintf("service %s/%s", u.Team, u.Service)
	}
	return fmt.Sprintf("upstream %s/%s/%s", u.Team, u.Service, u.Upstream)
}

// ConflictError says that an address is declared for two uses. A packet could
// then reach an upstream of another service.
type ConflictError struct {
	Address netip.AddrPort
	First   Use
	Second  Use
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("address %s of %s is already used by %s", e.Address, e.Second, e.First)
}

type addressBook struct{ uses map[netip.AddrPort]Use }

func newAddressBook() *addressBook { return &addressBook{uses: map[netip.AddrPort]Use{}} }

// add records a use. An IPv4 address and its IPv6-mapped form are the same
// address.
func (b *addressBook) add(address netip.AddrPort, use Use) *ConflictError {
	address = Unmap(address)
	if first, ok := b.uses[address]; ok {
		return &ConflictError{Address: address, First: first, Second: use}
	}
	b.uses[address] = use
	return nil
}

// Conflicts returns the addresses that two teams, or two services of a team,
// declare. Of two uses, the one of the earlier team in the list comes first.
func Conflicts(teams ...*Team) []*ConflictError {
	var conflicts []*ConflictError
	book := newAddressBook()
	add := func(address netip.AddrPort, use Use) {
		if conflict := book.add(address, use); conflict != nil {
			conflicts = append(conflicts, conflict)
		}
	}
	for _, team := range teams {
		for _, service := range team.Services {
			add(service.Address, Use{Team: team.Name, Service: service.Name})
			for _, upstream := range service.Upstreams {
				add(upstream.Address, Use{Team: team.Name, Service: service.Name, Upstream: upstream.Name})
			}
		}
	}
	return conflicts
}
