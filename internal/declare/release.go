package declare

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// ReleaseRetention is the time for which a team object lists an address after the
// team released it.
const ReleaseRetention = 24 * time.Hour

// Release records an address that a service or upstream of a team no longer uses.
// Instances ignore it. The command line reads it before it accepts the address for
// another service.
type Release struct {
	Address netip.AddrPort `json:"address"`
	// Service is the service of the team that used the address.
	Service string `json:"service"`
	// Upstream is the upstream that used the address. It is empty for a service
	// address.
	Upstream string `json:"upstream,omitempty"`
	// ReleasedAtMS is the time of the release in Unix milliseconds, by the clock
	// of the command line.
	ReleasedAtMS int64 `json:"released_at_ms"`
	// Revision is the revision of the team object without the address. It is 0
	// in that object itself, because its revision is unknown until it is written.
	Revision int64 `json:"revision,omitempty"`
	// IdleTimeoutSeconds is the idle timeout, in seconds, that Service had when
	// the address was released.
	IdleTimeoutSeconds int `json:"idle_timeout_seconds"`
}

// Expired reports whether the address was released more than ReleaseRetention ago.
func (r *Release) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.ReleasedAtMS)) > ReleaseRetention
}

// IdleUntil returns the time at which every flow of a released service address has
// reached its idle timeout, counted from the release. It returns the zero time for
// the address of an upstream.
func (r *Release) IdleUntil() time.Time {
	if r.Upstream != "" {
		return time.Time{}
	}
	return time.UnixMilli(r.ReleasedAtMS).Add(time.Duration(r.IdleTimeoutSeconds) * time.Second)
}

// AddressUse is a declared address and the service or upstream that declares it.
type AddressUse struct {
	Address netip.AddrPort
	Use     Use
}

// Uses returns the addresses that a team declares for its services and upstreams,
// with IPv6-mapped addresses as IPv4. Nil stands for a team that does not exist.
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

// Unmap returns an IPv6-mapped address as IPv4, and other addresses unchanged.
func Unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// MoveError reports that one change moves an address from one service to another.
// Instances that have not adopted the change yet would send packets of the first
// service to the second.
type MoveError struct {
	Address netip.AddrPort
	From    Use
	To      Use
}

func (e *MoveError) Error() string {
	return fmt.Sprintf("address %s moves from %s to %s in one change; remove it from the first one before it is added to the second one",
		e.Address, e.From, e.To)
}

// Moves returns an error for every address that belongs to a different service of
// the team after a change.
func Moves(before, after *Team) []*MoveError {
	usesBefore := map[netip.AddrPort]Use{}
	for _, use := range before.Uses() {
		usesBefore[use.Address] = use.Use
	}
	var moves []*MoveError
	for _, use := range after.Uses() {
		if from, ok := usesBefore[use.Address]; ok && from.Service != use.Use.Service {
			moves = append(moves, &MoveError{Address: use.Address, From: from, To: use.Use})
		}
	}
	return moves
}

// Released returns the list of released addresses for the next version of a team,
// or for its tombstone if after is nil. The list keeps the entries of the stored
// version that have not expired, and adds the addresses that the stored version
// uses and the next one does not. An entry without a revision gets that of the
// stored version. An address that the same service uses again is left out; it is
// listed anew when the service releases it. Without a stored version the list is
// empty.
func Released(stored *Team, revision uint64, after *Team, now time.Time) []Release {
	if stored == nil {
		return nil
	}
	type useKey struct {
		address   netip.AddrPort
		service   string
		isService bool
	}
	inUse := map[useKey]bool{}
	for _, use := range after.Uses() {
		inUse[useKey{use.Address, use.Use.Service, use.Use.Upstream == ""}] = true
	}
	var released []Release
	for _, r := range stored.Released {
		if r.Expired(now) || inUse[useKey{Unmap(r.Address), r.Service, r.Upstream == ""}] {
			continue
		}
		if r.Revision == 0 {
			r.Revision = int64(revision)
		}
		released = append(released, r)
	}
	idleTimeouts := map[string]time.Duration{}
	for i := range stored.Services {
		idleTimeouts[stored.Services[i].Name] = stored.Services[i].IdleTimeout()
	}
	for _, use := range stored.Uses() {
		if !inUse[useKey{use.Address, use.Use.Service, use.Use.Upstream == ""}] {
			released = append(released, Release{Address: use.Address, Service: use.Use.Service, Upstream: use.Use.Upstream,
				ReleasedAtMS: now.UnixMilli(), IdleTimeoutSeconds: int(idleTimeouts[use.Use.Service] / time.Second)})
		}
	}
	slices.SortStableFunc(released, func(a, b Release) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ReleasedAtMS, b.ReleasedAtMS))
	})
	return released
}
