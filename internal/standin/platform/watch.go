package platform

import (
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Watch delivers the changes under a key prefix.
type Watch struct {
	store  *Store
	prefix string
	sent   uint64
	wake   chan struct{}
	// err ends the watch.
	err error
	// silent stops delivery without an error.
	silent bool
}

// Watch starts a watch of the changes after a revision. It fails with
// *UnavailableError or *RateError. Close frees it.
func (s *Store) Watch(prefix string, since uint64) (*Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(CallWatch); err != nil {
		return nil, err
	}
	w := &Watch{store: s, prefix: prefix, sent: since, wake: make(chan struct{}, 1)}
	s.watches[w] = struct{}{}
	w.notify()
	return w, nil
}

// Next returns the changes since the last call and the revision up to which
// they are complete, and does not wait. The flag is false while the watch is
// silent, and then nothing must be delivered, not even progress. It fails with
// *UnavailableError when the watch has ended.
func (w *Watch) Next() (changed []*pb.Object, revision uint64, ok bool, err error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.silent {
		return nil, 0, false, nil
	}
	if w.err != nil {
		return nil, 0, false, w.err
	}
	changed = w.store.changed(w.prefix, w.sent)
	w.sent = max(w.sent, w.store.revision)
	return changed, w.store.revision, true, nil
}

// Wake receives a value when Next may have something new.
func (w *Watch) Wake() <-chan struct{} { return w.wake }

// Close ends the watch.
func (w *Watch) Close() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	delete(w.store.watches, w)
}

func (w *Watch) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (s *Store) wakeWatches(key string) {
	for w := range s.watches {
		if strings.HasPrefix(key, w.prefix) {
			w.notify()
		}
	}
}
