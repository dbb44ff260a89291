package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/position"
)

// fleetStatus is the combined state of all instances, the result of status.
type fleetStatus struct {
	// Revision is the platform's revision, or the newest one in force at an
	// instance if the platform does not answer.
	Revision      uint64          `json:"revision"`
	PlatformError string          `json:"platform_error,omitempty"`
	Instances     []instanceState `json:"instances"`
	// Silent lists the instances that did not answer.
	Silent []string `json:"silent"`
	// Unconfirmed lists the instances that have not confirmed Revision.
	Unconfirmed  []string        `json:"unconfirmed"`
	Objects      []objectState   `json:"objects"`
	Domains      []domainState   `json:"failure_domains"`
	Upstreams    []upstreamState `json:"upstreams"`
	Services     []serviceState  `json:"services"`
	SlotsHeld    uint32          `json:"slots_held"`
	SlotsGranted uint32          `json:"slots_granted"`
}

type instanceState struct {
	instanceReport
	// Status is the complete answer of the instance; nil if it did not answer.
	Status json.RawMessage `json:"status,omitempty"`

	answer *pb.StatusResponse
}

// objectState contains the newest version of an object that is in force at any
// instance.
type objectState struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Behind lists instances that have an older version in force, or none.
	Behind []string `json:"behind,omitempty"`
}

type domainState struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
	// Disagreeing lists instances whose state in force differs from Out.
	Disagreeing []string `json:"disagreeing,omitempty"`
	// UnreachableFrom lists instances that send no packets to the failure domain,
	// although it is not out: within the freshness limit they have had neither a
	// platform confirmation nor contact with a member of it.
	UnreachableFrom []string `json:"unreachable_from,omitempty"`
}

// upstreamState is the most recent observation of an upstream by any instance.
type upstreamState struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Load is the number of requests running or queued, and Connections that of
	// open connections, as the upstream reports them.
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
	// AgeMS is the age of the observation in ms.
	AgeMS uint32 `json:"age_ms"`
}

type serviceState struct {
	Name                string `json:"name"`
	BucketsInTransition uint32 `json:"buckets_in_transition"`
	Exceptions          uint64 `json:"exceptions"`
}

func newFleetStatus(reports []*instanceReport, revision uint64) *fleetStatus {
	fleet := &fleetStatus{Revision: revision, Silent: []string{}}
	var answers []*pb.StatusResponse
	for _, report := range reports {
		state := instanceState{instanceReport: *report, answer: report.Status}
		if report.Answered {
			answers = append(answers, report.Status)
			state.Status, _ = protojson.MarshalOptions{UseProtoNames: true}.Marshal(report.Status)
			fleet.SlotsHeld += report.Status.GetSlotsHeld()
			fleet.SlotsGranted += report.Status.GetSlotsGranted()
		} else {
			fleet.Silent = append(fleet.Silent, report.Name)
		}
		fleet.Instances = append(fleet.Instances, state)
	}
	fleet.Objects = mergeObjects(answers)
	fleet.Domains = mergeDomains(answers)
	fleet.Upstreams = mergeUpstreams(answers)
	fleet.Services = mergeServices(answers)
	return fleet
}

func mergeObjects(answers []*pb.StatusResponse) []objectState {
	newest := map[string]uint64{}
	for _, answer := range answers {
		for _, object := range answer.GetObjects() {
			newest[object.GetKey()] = max(newest[object.GetKey()], object.GetVersion())
		}
	}
	states := make([]objectState, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		state := objectState{Key: key, Version: newest[key]}
		for _, answer := range answers {
			if objectVersion(answer, key) < newest[key] {
				state.Behind = append(state.Behind, answer.GetInstance())
			}
		}
		states = append(states, state)
	}
	return states
}

func objectVersion(answer *pb.StatusResponse, key string) uint64 {
	for _, object := range answer.GetObjects() {
		if object.GetKey() == key {
			return object.GetVersion()
		}
	}
	return 0
}

// mergeDomains combines the states of failure domains. Whether one is out comes
// from the answer with the newest revision that lists it.
func mergeDomains(answers []*pb.StatusResponse) []domainState {
	byRevision := slices.SortedFunc(slices.Values(answers), func(a, b *pb.StatusResponse) int {
		return cmp.Compare(b.GetRevision(), a.GetRevision())
	})
	merged := map[string]*domainState{}
	for _, answer := range byRevision {
		for _, domain := range answer.GetDomains() {
			state, ok := merged[domain.GetName()]
			if !ok {
				state = &domainState{Name: domain.GetName(), Out: domain.GetOut()}
				merged[domain.GetName()] = state
			}
			if state.Out != domain.GetOut() {
				state.Disagreeing = append(state.Disagreeing, answer.GetInstance())
			}
			// A failure domain that is taken out gets no packets, as intended; it
			// is not reported as unreachable.
			if !domain.GetReachable() && !domain.GetOut() {
				state.UnreachableFrom = append(state.UnreachableFrom, answer.GetInstance())
			}
		}
	}
	return sortedValues(merged)
}

func mergeUpstreams(answers []*pb.StatusResponse) []upstreamState {
	merged := map[string]*upstreamState{}
	for _, answer := range answers {
		for _, upstream := range answer.GetUpstreams() {
			known, ok := merged[upstream.GetUpstream()]
			if ok && known.AgeMS <= upstream.GetAgeMs() {
				continue
			}
			merged[upstream.GetUpstream()] = &upstreamState{
				Name:        upstream.GetUpstream(),
				State:       strings.ToLower(strings.TrimPrefix(upstream.GetState().String(), "STATE_")),
				Load:        upstream.GetLoad(),
				Connections: upstream.GetConnections(),
				AgeMS:       upstream.GetAgeMs(),
			}
		}
	}
	return sortedValues(merged)
}

// mergeServices sums the tracked flows of a service over all instances. Instances at
// the same revision report the same number of buckets in transition, so the largest
// number is taken.
func mergeServices(answers []*pb.StatusResponse) []serviceState {
	merged := map[string]*serviceState{}
	for _, answer := range answers {
		for _, service := range answer.GetServices() {
			state, ok := merged[service.GetService()]
			if !ok {
				state = &serviceState{Name: service.GetService()}
				merged[service.GetService()] = state
			}
			state.BucketsInTransition = max(state.BucketsInTransition, service.GetBucketsInTransition())
			state.Exceptions += service.GetExceptions()
		}
	}
	return sortedValues(merged)
}

func sortedValues[T any](merged map[string]*T) []T {
	values := make([]T, 0, len(merged))
	for _, key := range slices.Sorted(maps.Keys(merged)) {
		values = append(values, *merged[key])
	}
	return values
}

func (f *fleetStatus) writeText(w io.Writer, all bool) {
	fmt.Fprintf(w, "revision %s, %d instances, %d silent, %d not confirmed\n", position.String(f.Revision), len(f.Instances), len(f.Silent), len(f.Unconfirmed))
	if f.PlatformError != "" {
		fmt.Fprintf(w, "platform: %s\n", f.PlatformError)
	}
	fmt.Fprintf(w, "slots held %d, granted %d\n", f.SlotsHeld, f.SlotsGranted)
	f.writeInstanceTable(w)
	writeTable(w, "FAILURE DOMAIN\tSTATE\tDISAGREEING\tUNREACHABLE FROM", f.Domains, func(d domainState) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s", d.Name, map[bool]string{true: "out", false: "in"}[d.Out], joinNames(d.Disagreeing), joinNames(d.UnreachableFrom))
	})
	writeTable(w, "SERVICE\tBUCKETS IN TRANSITION\tEXCEPTIONS", f.Services, func(s serviceState) string {
		return fmt.Sprintf("%s\t%d\t%d", s.Name, s.BucketsInTransition, s.Exceptions)
	})
	upstreams, objects := f.Upstreams, f.Objects
	if !all {
		objects = slices.DeleteFunc(slices.Clone(objects), func(o objectState) bool {
			return len(o.Behind) == 0 && strings.HasPrefix(o.Key, "tables/")
		})
	}
	writeTable(w, "UPSTREAM\tSTATE\tLOAD\tCONNECTIONS\tAGE", upstreams, func(u upstreamState) string {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%v", u.Name, u.State, u.Load, u.Connections, milliseconds(u.AgeMS))
	})
	writeTable(w, "OBJECT\tVERSION\tBEHIND", objects, func(o objectState) string {
		return fmt.Sprintf("%s\t%d\t%s", o.Key, o.Version, joinNames(o.Behind))
	})
}

func (f *fleetStatus) writeInstanceTable(w io.Writer) {
	writeTable(w, "INSTANCE\tFAILURE DOMAIN\tREVISION\tCONFIRMED\tSTATE\tSLOTS HELD", f.Instances, func(i instanceState) string {
		if !i.Answered {
			return fmt.Sprintf("%s\t%s\t-\t-\tno answer: %s\t-", i.Name, i.FailureDomain, i.Error)
		}
		state := "not ready"
		switch {
		case i.answer.GetLeaving():
			state = "leaving"
		case i.answer.GetReady():
			state = "ready"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%v ago\t%s\t%d", i.Name, i.FailureDomain, position.String(i.answer.GetRevision()),
			milliseconds(i.answer.GetConfirmationAgeMs()), state, i.answer.GetSlotsHeld())
	})
}

func writeTable[T any](w io.Writer, header string, rows []T, row func(T) string) {
	if len(rows) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\n%s\n", header)
	for _, r := range rows {
		fmt.Fprintln(t, row(r))
	}
	_ = t.Flush()
}

func joinNames(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
