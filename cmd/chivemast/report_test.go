package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/platform"
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

// Guards against a command that reports a used-up budget after a few repeated
// reads. The reads fit the burst, so that none of them waits.
func TestRepeatedReadsFitTheBudget(t *testing.T) {
	client, err := platform.New(platform.Config{URL: newFake(t).url, Budgets: readBudgets})
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 20 {
		_, err := client.Instances(ctx)
		require.NoError(t, err)
	}
}
