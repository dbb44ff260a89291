package platform

import (
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Watch delivers the changes of the objects with a key prefix.
type Watch struct {
	store  *Store
	prefix string
	// sentRevision is the revision up to which changes have been delivered.
	sentRevision  uint64
	notifications chan struct{}
	// err is the error with which the watch ended, or nil.
	err error
	// silent is set if the watch delivers neither changes nor an error.
	silent bool
}

// Watch starts a watch of the changes with a revision greater than since to
// objects with the key prefix. The caller has to Close it. It returns an
// *UnavailableError during an outage and a *RateError above the read limit.
func (s *Store) Watch(prefix string, since uint64) (*Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitCall(CallWatch); err != nil {
		return nil, err
	}
	w := &Watch{store: s, prefix: prefix, sentRevision: since, notifications: make(chan struct{}, 1)}
	s.watches[w] = struct{}{}
	w.notify()
	return w, nil
}

// Next returns, without waiting, the changes since the last call and the revision
// up to which they are complete. ok is false if the watch is silent; then nothing
// must be sent to the client, not even progress. Next returns an
// *UnavailableError if the watch has ended.
func (w *Watch) Next() (changed []*pb.Object, revision uint64, ok bool, err error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.silent {
		return nil, 0, false, nil
	}
	if w.err != nil {
		return nil, 0, false, w.err
	}
	changed = w.store.changedObjects(w.prefix, w.sentRevision)
	w.sentRevision = max(w.sentRevision, w.store.revision)
	return changed, w.store.revision, true, nil
}

// Notifications returns a channel that receives a value when Next may have new
// changes or an error.
func (w *Watch) Notifications() <-chan struct{} { return w.notifications }

// Close ends the watch and removes it from the store.
func (w *Watch) Close() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	delete(w.store.watches, w)
}

func (w *Watch) notify() {
	select {
	case w.notifications <- struct{}{}:
	default:
	}
}

func (s *Store) notifyWatches(key string) {
	for w := range s.watches {
		if strings.HasPrefix(key, w.prefix) {
			w.notify()
		}
	}
}
