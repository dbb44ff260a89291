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
)

const tablePrefix = "tables/"

// reuse is an address that one service released and another one declares.
type reuse struct {
	Address  netip.AddrPort
	From, To declare.AddressOwner
	// Revision is the one at which the address was released.
	Revision uint64
	// IdleUntil is when the last flow of a service address is over; zero for
	// the address of an upstream.
	IdleUntil time.Time
}

func (r *reuse) String() string {
	return fmt.Sprintf("address %s of %s, released by %s at revision %d", r.Address, r.To, r.From, r.Revision)
}

// reuses returns the addresses that a team adds and that another service has
// released, in the order of declaration.
func (t *teams) reuses(mine *declare.Team, now time.Time) []*reuse {
	held := map[declare.DeclaredAddress]bool{}
	for _, use := range t.decoded[mine.Name].DeclaredAddresses() {
		use.Owner.Upstream = ""
		held[use] = true
	}
	released := t.released(now)
	var found []*reuse
	for _, use := range mine.DeclaredAddresses() {
		service := declare.DeclaredAddress{Address: use.Address,
			Owner: declare.AddressOwner{Team: mine.Name, Service: use.Owner.Service}}
		if held[service] {
			continue
		}
		for _, r := range released[use.Address] {
			if r.From.Team != mine.Name || r.From.Service != use.Owner.Service {
				r.To = use.Owner
				found = append(found, &r)
			}
		}
	}
	return found
}

// released returns the addresses that any team has released, those of deleted
// teams included.
func (t *teams) released(now time.Time) map[netip.AddrPort][]reuse {
	byAddress := map[netip.AddrPort][]reuse{}
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
			byAddress[address] = append(byAddress[address], reuse{Address: address, Revision: revision, IdleUntil: r.FlowsEndBy(),
				From: declare.AddressOwner{Team: name, Service: r.Service, Upstream: r.Upstream}})
		}
	}
	for _, list := range byAddress {
		slices.SortFunc(list, func(a, b reuse) int { return strings.Compare(a.From.String(), b.From.String()) })
	}
	return byAddress
}

// readAdmissible reads the stored teams and checks that a team may replace its
// stored version. With --wait it repeats that until no address reuse is
// blocked or the deadline has passed. It returns the expected version: that
// of the first read unless one is given, so that a change made during the wait
// is a conflict.
func readAdmissible(ctx, deadline context.Context, c *cli.Command, client *platform.Client, mine *declare.Team) (*teams, int64, error) {
	expected := c.Int64("expect-version")
	for {
		stored, err := readTeams(ctx, c, client)
		if err != nil {
			return nil, expected, err
		}
		if expected < 0 {
			expected = int64(stored.objects[mine.Name].GetVersion())
		}
		if uint64(expected) != stored.objects[mine.Name].GetVersion() {
			// writeTeam reports the conflict; waiting cannot resolve it.
			return stored, expected, nil
		}
		err = stored.admit(ctx, c, client, mine)
		if !c.Bool("wait") || !is[*reuseBlockedError](err) {
			return stored, expected, err
		}
		select {
		case <-time.After(listInterval):
		case <-deadline.Done():
			return nil, expected, err
		}
	}
}

// admit checks the addresses of a team against those that are or were used by
// other services.
func (t *teams) admit(ctx context.Context, c *cli.Command, client *platform.Client, mine *declare.Team) error {
	if conflicts := t.conflicts(mine); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts}
	}
	if moves := declare.FindMoves(t.decoded[mine.Name], mine); len(moves) > 0 {
		return &addressMoveError{Moves: moves}
	}
	reuses := t.reuses(mine, time.Now())
	if len(reuses) == 0 {
		return nil
	}
	listed, err := listFleet(ctx, c, client)
	if err != nil {
		return err
	}
	if listed.listErr != nil {
		// Instances given by --admin do not stand for the whole list.
		return listed.listErr
	}
	// The tables are read after the instances were asked, so that an instance
	// that reports their revisions holds them or newer ones.
	reports := listed.ask(ctx)
	tables, err := readTables(ctx, c, client)
	if err != nil {
		return err
	}
	var blocks []error
	now := time.Now()
	for _, r := range reuses {
		blocks = append(blocks, r.blocks(now, listed, reports, tables)...)
	}
	if len(blocks) > 0 {
		return &reuseBlockedError{Blocks: blocks}
	}
	return nil
}

// blocks returns what keeps an address from being reused now.
func (r *reuse) blocks(now time.Time, listed *fleet, reports []*instanceReport, tables []placementTable) []error {
	var blocks []error
	var naming []string
	required := r.Revision
	for _, table := range tables {
		if table.service == r.To.Team+"/"+r.To.Service {
			continue
		}
		if table.service == r.From.Team+"/"+r.From.Service {
			// An instance with an older table of the old service still sends
			// packets of its flows to the address.
			required = max(required, table.revision)
		}
		if table.addresses[r.Address] {
			naming = append(naming, tablePrefix+table.service)
		}
	}
	if behind := listed.behind(reports, required); len(behind) > 0 {
		blocks = append(blocks, &reuseInstancesError{Reuse: r, Required: required, Instances: behind})
	}
	if len(naming) > 0 {
		slices.Sort(naming)
		blocks = append(blocks, &reuseTablesError{Reuse: r, Tables: naming})
	}
	if now.Before(r.IdleUntil) {
		blocks = append(blocks, &reuseTimeError{Reuse: r})
	}
	return blocks
}

// behind returns the instances that have not reported a revision. Unlike in
// confirmations, a listed instance has to answer itself: one that others heard
// of may since have been replaced by one with the same name.
func (f *fleet) behind(reports []*instanceReport, revision uint64) []string {
	own, heard, behind := map[string]uint64{}, map[string]uint64{}, map[string]bool{}
	for _, report := range reports {
		if !report.Answered {
			behind[report.Name] = true
			continue
		}
		own[report.Name] = max(own[report.Name], report.Status.GetRevision())
		for _, member := range report.Status.GetMembers() {
			heard[member.GetName()] = max(heard[member.GetName()], member.GetRevision())
		}
	}
	for _, instance := range f.instances {
		// An address given by --admin stands for the name until it answers.
		if _, ok := own[instance.GetName()]; !ok && instance.GetName() != instance.GetAdminAddress() {
			behind[instance.GetName()] = true
		}
	}
	for name, reached := range heard {
		if _, ok := own[name]; !ok && reached < revision {
			behind[name] = true
		}
	}
	for name, reached := range own {
		if reached < revision {
			behind[name] = true
		}
	}
	var names []string
	for name := range behind {
		if !f.gone[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// placementTable is what the check of a reuse needs of a table. That of a
// deleted table has no addresses.
type placementTable struct {
	service   string
	revision  uint64
	addresses map[netip.AddrPort]bool
}

// readTables reads all placement tables. It fails if one cannot be decoded,
// because that one may name any address.
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
				return nil, fmt.Errorf("value of %s: %w", object.GetKey(), err)
			}
		}
		for _, text := range value.GetAddresses() {
			// Entries of upstreams without a known address are empty.
			if address, err := netip.ParseAddrPort(text); err == nil {
				table.addresses[declare.Unmap(address)] = true
			}
		}
		tables = append(tables, table)
	}
	return tables, nil
}
