package catalogsync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// historySpans lists numbers of revisions before the first list of the evacuations. The
// ends of evacuations are read for the first span whose history the store still has.
var historySpans = [...]uint64{1024, 128, 16}

// historyTimeout bounds the time by which reading the history delays the first list.
const historyTimeout = 400 * time.Millisecond

// readEvacuationEnds returns the evacuations that ended shortly before a list, as far as the
// store has its history: an instance that starts has not seen them, and no other one has
// when all start at the same time.
func (s *kindSyncer) readEvacuationEnds(ctx context.Context, list Update, stale bool) *catalog.EarlierEvacuationEnds {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var histories [len(historySpans)]Update
	var failures [len(historySpans)]error
	var group sync.WaitGroup
	for i, span := range historySpans {
		group.Go(func() { histories[i], failures[i] = s.readHistory(ctx, span, list, stale) })
	}
	group.Wait()
	for i, history := range histories {
		if failures[i] != nil {
			continue
		}
		ends := &catalog.EarlierEvacuationEnds{}
		for _, event := range history.Events {
			if changed, ok := event.(catalog.EvacuationsChanged); ok {
				ends.Add(changed)
			}
		}
		return ends
	}
	return &catalog.EarlierEvacuationEnds{Err: failures[len(failures)-1]}
}

// readHistory returns the changes in a span of revisions before a list. It fails with the
// error of the call, or an error that wraps ErrHistoryGone if the store was restored after
// the list.
func (s *kindSyncer) readHistory(ctx context.Context, span uint64, list Update, stale bool) (Update, error) {
	from := min(max(list.Revision, span+1)-span, list.Revision)
	history, err := s.store.Watch(ctx, s.kind, from, 0, stale)
	if stale && err == nil && history.Revision < list.Revision {
		// Another replica, which lags more than the one that answered the list.
		history, err = s.store.Watch(ctx, s.kind, from, 0, false)
	}
	if err == nil && history.Era != list.Era {
		err = fmt.Errorf("history of era %d after the list of era %d: %w", history.Era, list.Era, ErrHistoryGone)
	}
	return history, err
}
