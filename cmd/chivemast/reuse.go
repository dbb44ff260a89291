package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/platform"
	"github.com/chivemast/chivemast/internal/position"
)

const tablePrefix = "tables/"

// addressReuse is an address that one service has released and another one declares.
type addressReuse struct {
	Address  netip.AddrPort
	From, To declare.AddressOwner
	// Revision is the revision of the write that released the address.
	Revision uint64
	// IdleUntil is the time at which the idle timeout of the old service has passed
	// since the release, so that no flow to its address is open any more. It is
	// zero for the address of an upstream.
	IdleUntil time.Time
}

func (r *addressReuse) String() string {
	return fmt.Sprintf("address %s of %s, released by %s at revision %s", r.Address, r.To, r.From, position.String(r.Revision))
}

// findReuses returns the addresses that a team adds and that another service has
// released, in the order of declaration.
func (t *storedTeams) findReuses(desired *declare.Team, now time.Time) []*addressReuse {
	held := map[declare.DeclaredAddress]bool{}
	for _, use := range t.decoded[desired.Name].DeclaredAddresses() {
		use.Owner.Upstream = ""
		held[use] = true
	}
	released := t.releasedAddresses(now)
	var found []*addressReuse
	for _, use := range desired.DeclaredAddresses() {
		service := declare.DeclaredAddress{Address: use.Address, Owner: declare.AddressOwner{Team: desired.Name, Service: use.Owner.Service}}
		if held[service] {
			continue
		}
		for _, r := range released[use.Address] {
			if r.From.Team != desired.Name || r.From.Service != use.Owner.Service {
				r.To = use.Owner
				found = append(found, &r)
			}
		}
	}
	return found
}

// releasedAddresses returns the addresses that any team has released, deleted teams
// included, without entries older than declare.ReleaseRetention. The lists are
// ordered by old user.
func (t *storedTeams) releasedAddresses(now time.Time) map[netip.AddrPort][]addressReuse {
	byAddress := map[netip.AddrPort][]addressReuse{}
	for name, object := range t.objects {
		team := t.previous(name)
		if team == nil {
			continue
		}
		for _, r := range team.Released {
			if r.Expired(now) {
				continue
			}
			revision := uint64(r.Revision)
			if revision == 0 {
				revision = object.GetRevision()
			}
			address := declare.Unmap(r.Address)
			byAddress[address] = append(byAddress[address], addressReuse{Address: address, Revision: revision, IdleUntil: r.FlowsEndBy(),
				From: declare.AddressOwner{Team: name, Service: r.Service, Upstream: r.Upstream}})
		}
	}
	for _, list := range byAddress {
		slices.SortFunc(list, func(a, b addressReuse) int { return strings.Compare(a.From.String(), b.From.String()) })
	}
	return byAddress
}

// readUntilAdmissible reads the stored teams and checks the addresses of desired
// against them. With --wait it repeats both, every listInterval, while released
// addresses cannot be reused yet and until waitCtx ends. The version it returns is
// that of --expect-version, or else the version that the first read found, so that
// a change made during the wait becomes a conflict.
func readUntilAdmissible(ctx, waitCtx context.Context, c *cli.Command, client *platform.Client, desired *declare.Team) (*storedTeams, int64, error) {
	expected := c.Int64("expect-version")
	for {
		stored, err := readTeams(ctx, c, client)
		if err != nil {
			return nil, expected, err
		}
		if expected < 0 {
			expected = int64(stored.objects[desired.Name].GetVersion())
		}
		if uint64(expected) != stored.objects[desired.Name].GetVersion() {
			// writeTeam reports this conflict. Waiting cannot resolve it.
			return stored, expected, nil
		}
		err = stored.checkAddresses(ctx, c, client, desired)
		if !c.Bool("wait") || !isError[*reuseBlockedError](err) {
			return stored, expected, err
		}
		select {
		case <-time.After(listInterval):
		case <-waitCtx.Done():
			return nil, expected, err
		}
	}
}

// checkAddresses checks the addresses of a team against those that other services
// use or have released. It returns *addressConflictError, *addressMoveError or
// *reuseBlockedError, or the error of a read that the check needs.
func (t *storedTeams) checkAddresses(ctx context.Context, c *cli.Command, client *platform.Client, desired *declare.Team) error {
	if conflicts := t.conflicts(desired); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts}
	}
	if moves := declare.FindMoves(t.decoded[desired.Name], desired); len(moves) > 0 {
		return &addressMoveError{Moves: moves}
	}
	reuses := t.findReuses(desired, time.Now())
	if len(reuses) == 0 {
		return nil
	}
	instances, err := listFleet(ctx, c, client)
	if err != nil {
		return err
	}
	if instances.listErr != nil {
		// The addresses given by --admin may not cover all instances.
		return instances.listErr
	}
	// The tables are read after the instances have answered. An instance that has
	// reported the revisions of these tables has them, or newer ones, in force.
	reports := instances.queryInstances(ctx)
	tables, err := readTables(ctx, c, client)
	if err != nil {
		return err
	}
	var reasons []error
	now := time.Now()
	for _, r := range reuses {
		reasons = append(reasons, r.reasonsToWait(now, instances, reports, tables)...)
	}
	if len(reasons) > 0 {
		return &reuseBlockedError{Reasons: reasons}
	}
	return nil
}

// reasonsToWait returns one error for each condition that keeps the address from
// being reused at now: instances that have not reported the required revision,
// tables of other services that name the address, and the idle timeout.
func (r *addressReuse) reasonsToWait(now time.Time, instances *fleet, reports []*instanceReport, tables []placementTable) []error {
	var reasons []error
	var namingTables []string
	required := r.Revision
	for _, table := range tables {
		if table.service == r.To.Team+"/"+r.To.Service {
			continue
		}
		if table.service == r.From.Team+"/"+r.From.Service {
			// An instance with an older table of the old service still sends
			// packets of that service's flows to the address.
			required = max(required, table.revision)
		}
		if table.addresses[r.Address] {
			namingTables = append(namingTables, tablePrefix+table.service)
		}
	}
	if behind := instances.instancesBehind(reports, required); len(behind) > 0 {
		reasons = append(reasons, &reuseInstancesError{Reuse: r, Required: required, Instances: behind})
	}
	if len(namingTables) > 0 {
		slices.Sort(namingTables)
		reasons = append(reasons, &reuseTablesError{Reuse: r, Tables: namingTables})
	}
	if now.Before(r.IdleUntil) {
		reasons = append(reasons, &reuseTimeError{Reuse: r})
	}
	return reasons
}

// instancesBehind returns the names of the instances that have not reported the
// revision. Unlike in confirmations, a listed instance has to answer itself, since
// the instance that others have heard from may have been replaced by another one
// of the same name. A member that is not listed counts by what others report of it.
func (f *fleet) instancesBehind(reports []*instanceReport, revision uint64) []string {
	ownRevisions, memberRevisions, behind := map[string]uint64{}, map[string]uint64{}, map[string]bool{}
	for _, report := range reports {
		if !report.Answered {
			behind[report.Name] = true
			continue
		}
		ownRevisions[report.Name] = max(ownRevisions[report.Name], report.Status.GetRevision())
		for _, member := range report.Status.GetMembers() {
			memberRevisions[member.GetName()] = max(memberRevisions[member.GetName()], member.GetRevision())
		}
	}
	for _, instance := range f.instances {
		// An address given by --admin is in place of the name until the instance
		// answers; its report lists it as unanswered.
		if _, ok := ownRevisions[instance.GetName()]; !ok && instance.GetName() != instance.GetAdminAddress() {
			behind[instance.GetName()] = true
		}
	}
	for name, reached := range memberRevisions {
		if _, ok := ownRevisions[name]; !ok && reached < revision {
			behind[name] = true
		}
	}
	for name, reached := range ownRevisions {
		if reached < revision {
			behind[name] = true
		}
	}
	var names []string
	for name := range behind {
		if !f.forgotten[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// placementTable is the part of a placement table that the check of address reuses
// needs. A deleted table has no addresses.
type placementTable struct {
	service   string
	revision  uint64
	addresses map[netip.AddrPort]bool
}

// readTables reads all placement tables. It fails if one of them cannot be decoded,
// since that one may name any address.
func readTables(ctx context.Context, c *cli.Command, client *platform.Client) ([]placementTable, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	objects, _, err := client.RetryList(ctx, tablePrefix, 0)
	if err != nil {
		return nil, err
	}
	var tables []placementTable
	for _, object := range objects {
		table := placementTable{service: strings.TrimPrefix(object.GetKey(), tablePrefix), revision: object.GetRevision(),
			addresses: map[netip.AddrPort]bool{}}
		var value pb.ServiceTable
		if !object.GetDeleted() {
			if err := codec.Decode(object.GetValue(), &value); err != nil {
				return nil, fmt.Errorf("value of object %s cannot be decoded: %w", object.GetKey(), err)
			}
		}
		for _, text := range value.GetAddresses() {
			// The entry of an upstream without a known address is empty.
			if address, err := netip.ParseAddrPort(text); err == nil {
				table.addresses[declare.Unmap(address)] = true
			}
		}
		tables = append(tables, table)
	}
	return tables, nil
}
