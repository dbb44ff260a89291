package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Guards against a status that shows a failure domain that was taken out as
// unreachable, which looks like a network fault.
func TestTakenOutDomainIsNotUnreachable(t *testing.T) {
	answers := []*pb.StatusResponse{{Instance: "i1", Domains: []*pb.DomainStatus{
		{Name: "a", Out: true}, {Name: "b"}, {Name: "c", Reachable: true},
	}}}
	require.Equal(t, []domainState{
		{Name: "a", Out: true}, {Name: "b", UnreachableFrom: []string{"i1"}}, {Name: "c"},
	}, mergeDomains(answers))
}
