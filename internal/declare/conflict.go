package declare

import (
	"fmt"
	"net/netip"
)

// Use names the service or upstream for which an address is declared.
type Use struct {
	Team    string
	Service string
	// Upstream is empty if the address is that of the service itself.
	Upstream string
}

// String returns "service TEAM/SERVICE" or "upstream TEAM/SERVICE/UPSTREAM".
func (u Use) String() string {
	if u.Upstream == "" {
		return fmt.Sprintf("service %s/%s", u.Team, u.Service)
	}
	return fmt.Sprintf("upstream %s/%s/%s", u.Team, u.Service, u.Upstream)
}

// ConflictError reports that an address is declared for two uses. With both in
// force, a packet could reach an upstream of another service.
type ConflictError struct {
	Address netip.AddrPort
	First   Use
	Second  Use
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("address %s of %s is already used by %s", e.Address, e.Second, e.First)
}

// addressIndex holds the first use of every declared address, by unmapped address.
type addressIndex struct{ uses map[netip.AddrPort]Use }

func newAddressIndex() *addressIndex { return &addressIndex{uses: map[netip.AddrPort]Use{}} }

// add records the use of an address, or returns the conflict if the address is
// already in use. An IPv4 address and its IPv6-mapped form are the same address.
func (i *addressIndex) add(address netip.AddrPort, use Use) *ConflictError {
	address = Unmap(address)
	if first, ok := i.uses[address]; ok {
		return &ConflictError{Address: address, First: first, Second: use}
	}
	i.uses[address] = use
	return nil
}

// Conflicts returns one error for every address that is declared again, be it by
// another team or within one team. First is the use that comes first in the order
// of the teams and of their services.
func Conflicts(teams ...*Team) []*ConflictError {
	var conflicts []*ConflictError
	index := newAddressIndex()
	add := func(address netip.AddrPort, use Use) {
		if conflict := index.add(address, use); conflict != nil {
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
