// Package follow keeps an instance's knowledge up to date: it lists each kind
// once, watches it in the store while that is this instance's duty, and takes
// the changes that the watching instances of the failure domain pass on
// otherwise. Every instance asks the store itself when it has not heard in time.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// ErrHistoryGone says that the store no longer has the changes since a
// revision, so that the kind must be listed again.
var ErrHistoryGone = errors.New("the store's history since the revision is gone")

// Update is a set of changes of one kind.
type Update struct {
	Kind catalog.Kind `json:"kind"`
	// Base is the revision that the changes follow; 0 for a complete list.
	Base uint64 `json:"base"`
	// Revision is the revision that the knowledge has with them.
	Revision uint64 `json:"revision"`
	// Events are the changes in order; none when nothing has changed.
	Events []catalog.Event `json:"-"`
}

// Store reads and watches the platform's store.
type Store interface {
	// List returns everything of a kind. With stale, a replica may answer.
	List(ctx context.Context, kind catalog.Kind, stale bool) (Update, error)
	// Watch returns the changes since a revision as soon as there is one, and
	// none after the wait. It fails with an error that wraps ErrHistoryGone
	// when they are no longer known.
	Watch(ctx context.Context, kind catalog.Kind, revision uint64, wait time.Duration) (Update, error)
}

// Mates are the other instances of the failure domain.
type Mates interface {
	// OnDuty tells whether this instance watches a kind.
	OnDuty(now time.Time, kind catalog.Kind) bool
	// Pass hands an update that the store gave to the mates.
	Pass(update Update)
	// Knowledge asks a mate for all that it knows; an instance that starts
	// while the store is away uses it. Age is the time since the store
	// confirmed the knowledge of the kind.
	Knowledge(ctx context.Context, kind catalog.Kind) (update Update, age time.Duration, err error)
}
