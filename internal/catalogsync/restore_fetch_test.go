package catalogsync

import (
	"context"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// FetchState implements Peers: it returns the state of an instance that holds a newer
// revision.
func (instance *simInstance) FetchState(ctx context.Context, kind catalog.Kind, newerThan uint64) (PeerState, error) {
	for {
		for _, other := range instance.fleet.others(instance.name) {
			snapshot := other.published()
			if snapshot == nil || snapshot.Confirmed[kind].IsZero() || snapshot.Revisions[kind] <= newerThan {
				continue
			}
			state := PeerState{
				Update: Update{Kind: kind, Era: snapshot.Eras[kind], Revision: snapshot.Revisions[kind]},
				Age:    time.Since(snapshot.Confirmed[kind]), Source: other.name,
			}
			if event := snapshot.StateEvent(kind); event != nil {
				state.Update.Events = []catalog.Event{event}
			}
			return state, nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return PeerState{}, ctx.Err()
		}
	}
}
