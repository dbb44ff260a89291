package declare

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// ReleaseRetention is how long a team object keeps an address that it gave up.
const ReleaseRetention = 24 * time.Hour

// Release is an address that a team gave up. Instances ignore it; the command
// line reads it before it accepts the address for another service.
type Release struct {
	Address netip.AddrPort `json:"address"`
	// Service is the service, of the same team, that used the address.
	Service string `json:"service"`
	// Upstream is the upstream that used the address, empty for a service
	// address.
	Upstream string `json:"upstream,omitempty"`
	// ReleasedAtMS is the time of release by the clock of the command line, in
	// ms since 1970.
	ReleasedAtMS int64 `json:"released_at_ms"`
	// Revision is that of the object that released the address. It is 0 in
	// that object itself, whose revision is not known before it is written.
	Revision int64 `json:"revision,omitempty"`
	// IdleTimeoutSeconds is the idle timeout of the old service.
	IdleTimeoutSeconds int `json:"idle_timeout_seconds"`
}

// Expired tells whether the entry is older than ReleaseRetention.
func (r *Release) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.ReleasedAtMS)) > ReleaseRetention
}

// IdleUntil returns when the last flow of a service address is over. It is
// zero for the address of an upstream.
func (r *Release) IdleUntil() time.Time {
	if r.Upstream != "" {
		return time.Time{}
	}
	return time.UnixMilli(r.ReleasedAtMS).Add(time.Duration(r.IdleTimeoutSeconds) * time.Second)
}

// AddressUse is a declared address and what it is declared for.
type AddressUse struct {
	Address netip.AddrPort
	Use     Use
}

// Uses returns the declared addresses, IPv6-mapped ones as IPv4. Nil stands
// for a team that does not exist.
func (t *Team) Uses() []AddressUse {
	var uses []AddressUse
	if t == nil {
		return uses
	}
	for _, service := range t.Services {
		uses = append(uses, AddressUse{Unmap(service.Address), Use{Team: t.Name, Service: service.Name}})
		for _, upstream := range service.Upstreams {
			uses = append(uses, AddressUse{Unmap(upstream.Address), Use{Team: t.Name, Service: service.Name, Upstream: upstream.Name}})
		}
	}
	return uses
}

// Unmap replaces an IPv6-mapped address by the IPv4 address that it stands for.
func Unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// MoveError says that one change moves an address between two services.
// Instances that have not adopted it would send packets of the first service
// to the second one.
type MoveError struct {
	Address netip.AddrPort
	From    Use
	To      Use
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("address %s moves from %s to %s in one change; remove it from the first one before it is added to the second one",
		e.Address, e.From, e.To)
}

// Moves returns the addresses that belong to another service of the team
// after a change.
func Moves(before, after *Team) []*MoveError {
	held := map[netip.AddrPort]Use{}
	for _, use := range before.Uses() {
		held[use.Address] = use.Use
	}
	var moves []*MoveError
	for _, use := range after.Uses() {
		if from, ok := held[use.Address]; ok && from.Service != use.Use.Service {
			moves = append(moves, &MoveError{Address: use.Address, From: from, To: use.Use})
		}
	}
	return moves
}

// Released returns the list of released addresses for a version of a team
// that replaces the stored one, or its tombstone; nil stands for none. The
// revision is that of the stored version. An address that the same service
// uses again is not listed: the service lists it anew when it gives it up.
func Released(stored *Team, revision uint64, after *Team, now time.Time) []Release {
	if stored == nil {
		return nil
	}
	type key struct {
		address   netip.AddrPort
		service   string
		isService bool
	}
	used := map[key]bool{}
	for _, use := range after.Uses() {
		used[key{use.Address, use.Use.Service, use.Use.Upstream == ""}] = true
	}
	var released []Release
	for _, r := range stored.Released {
		if r.Expired(now) || used[key{Unmap(r.Address), r.Service, r.Upstream == ""}] {
			continue
		}
		if r.Revision == 0 {
			r.Revision = int64(revision)
		}
		released = append(released, r)
	}
	idle := map[string]time.Duration{}
	for i := range stored.Services {
		idle[stored.Services[i].Name] = stored.Services[i].IdleTimeout()
	}
	for _, use := range stored.Uses() {
		if !used[key{use.Address, use.Use.Service, use.Use.Upstream == ""}] {
			released = append(released, Release{Address: use.Address, Service: use.Use.Service, Upstream: use.Use.Upstream,
				ReleasedAtMS: now.UnixMilli(), IdleTimeoutSeconds: int(idle[use.Use.Service] / time.Second)})
		}
	}
	slices.SortStableFunc(released, func(a, b Release) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ReleasedAtMS, b.ReleasedAtMS))
	})
	return released
}
