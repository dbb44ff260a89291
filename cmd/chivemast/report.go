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
)

// fleetStatus is the state of all instances together.
type fleetStatus struct {
	// Revision is the newest one known.
	Revision      uint64          `json:"revision"`
	PlatformError string          `json:"platform_error,omitempty"`
	Instances     []instanceState `json:"instances"`
	Silent        []string        `json:"silent"`
	Unconfirmed   []string        `json:"unconfirmed"`
	Objects       []objectState   `json:"objects"`
	Domains       []domainState   `json:"failure_domains"`
	Upstreams     []upstreamState `json:"upstreams"`
	Services      []serviceState  `json:"services"`
	SlotsHeld     uint32          `json:"slots_held"`
	SlotsGranted  uint32          `json:"slots_granted"`
}

type instanceState struct {
	instanceReport
	// Status is the complete answer of the instance.
	Status json.RawMessage `json:"status,omitempty"`

	answer *pb.StatusResponse
}

// objectState says which version of an object is in force where.
type objectState struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Behind lists instances that have an older version in force.
	Behind []string `json:"behind,omitempty"`
}

type domainState struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
	// Disagreeing lists instances that have another state in force.
	Disagreeing []string `json:"disagreeing,omitempty"`
	// UnreachableFrom lists instances whose freshness rule stops packets.
	UnreachableFrom []string `json:"unreachable_from,omitempty"`
}

// upstreamState is the most recent observation of an upstream.
type upstreamState struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
	AgeMS       uint32 `json:"age_ms"`
}

type serviceState struct {
	Name                string `json:"name"`
	BucketsInTransition uint32 `json:"buckets_in_transition"`
	Exceptions          uint64 `json:"exceptions"`
}

func summarize(reports []*instanceReport, revision uint64) *fleetStatus {
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
			if versionOf(answer, key) < newest[key] {
				state.Behind = append(state.Behind, answer.GetInstance())
			}
		}
		states = append(states, state)
	}
	return states
}

func versionOf(answer *pb.StatusResponse, key string) uint64 {
	for _, object := range answer.GetObjects() {
		if object.GetKey() == key {
			return object.GetVersion()
		}
	}
	return 0
}

// mergeDomains takes the state of a failure domain from the instance with the
// newest revision.
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
			// A failure domain that was taken out gets no packets by intent.
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

// mergeServices adds the tracked flows of all instances up; the buckets in
// transition are the same everywhere at the same revision.
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

func (f *fleetStatus) text(w io.Writer, all bool) {
	fmt.Fprintf(w, "revision %d, %d instances, %d silent, %d not confirmed\n", f.Revision, len(f.Instances), len(f.Silent), len(f.Unconfirmed))
	if f.PlatformError != "" {
		fmt.Fprintf(w, "platform: %s\n", f.PlatformError)
	}
	fmt.Fprintf(w, "slots held %d, granted %d\n", f.SlotsHeld, f.SlotsGranted)
	f.instanceTable(w)
	table(w, "FAILURE DOMAIN\tSTATE\tDISAGREEING\tUNREACHABLE FROM", f.Domains, func(d domainState) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s", d.Name, map[bool]string{true: "out", false: "in"}[d.Out], names(d.Disagreeing), names(d.UnreachableFrom))
	})
	table(w, "SERVICE\tBUCKETS IN TRANSITION\tEXCEPTIONS", f.Services, func(s serviceState) string {
		return fmt.Sprintf("%s\t%d\t%d", s.Name, s.BucketsInTransition, s.Exceptions)
	})
	upstreams, objects := f.Upstreams, f.Objects
	if !all {
		objects = slices.DeleteFunc(slices.Clone(objects), func(o objectState) bool {
			return len(o.Behind) == 0 && strings.HasPrefix(o.Key, "tables/")
		})
	}
	table(w, "UPSTREAM\tSTATE\tLOAD\tCONNECTIONS\tAGE", upstreams, func(u upstreamState) string {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%v", u.Name, u.State, u.Load, u.Connections, age(u.AgeMS))
	})
	table(w, "OBJECT\tVERSION\tBEHIND", objects, func(o objectState) string {
		return fmt.Sprintf("%s\t%d\t%s", o.Key, o.Version, names(o.Behind))
	})
}

func (f *fleetStatus) instanceTable(w io.Writer) {
	table(w, "INSTANCE\tFAILURE DOMAIN\tREVISION\tCONFIRMED\tSTATE\tSLOTS HELD", f.Instances, func(i instanceState) string {
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
		return fmt.Sprintf("%s\t%s\t%d\t%v ago\t%s\t%d", i.Name, i.FailureDomain, i.answer.GetRevision(),
			age(i.answer.GetConfirmationAgeMs()), state, i.answer.GetSlotsHeld())
	})
}

func table[T any](w io.Writer, header string, rows []T, row func(T) string) {
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

func names(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
