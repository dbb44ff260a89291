package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/platform"
)

// Guards against a failure domain that is shown as unreachable, as if the network
// had failed, because it was taken out and gets no packets.
func TestTakenOutDomainIsNotUnreachable(t *testing.T) {
	answers := []*pb.StatusResponse{{Instance: "i1", Domains: []*pb.DomainStatus{
		{Name: "a", Out: true}, {Name: "b"}, {Name: "c", Reachable: true},
	}}}
	require.Equal(t, []domainState{
		{Name: "a", Out: true}, {Name: "b", UnreachableFrom: []string{"i1"}}, {Name: "c"},
	}, mergeDomains(answers))
}

// Guards against a used-up budget after a few reads: a command that repeats reads
// during an outage would report the budget instead of the outage. The 20 reads fit
// the burst, so none of them waits.
func TestRepeatedReadsFitTheBudget(t *testing.T) {
	client, err := platform.New(platform.Config{URL: newFakePlatform(t).url, Budgets: readBudgets})
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 20 {
		_, err := client.Instances(ctx)
		require.NoError(t, err)
	}
}
