package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is how long an answer of the store takes.
const storeAnswer = 4 * time.Millisecond

// change is one change of one object.
type change struct {
	revision uint64
	at       time.Time
	kind     string
	name     string
	spec     json.RawMessage
	deleted  bool
}

// store is the platform's metadata store, as far as instances read it. Every answer is
// linearizable unless the call has allow_stale=1 and age says otherwise.
type store struct {
	mu      sync.Mutex
	changes []change
	changed chan struct{}
	// pageSize is the largest number of items of one answer to a list.
	pageSize int
	// age returns how old the answer to a call with allow_stale=1 is: kind is that of
	// the call, after its parameter of that name, watch whether it is a watch.
	age func(kind, after string, watch bool) time.Duration
	// record writes a line for each list that is older than now.
	record func(format string, args ...any)
}

func newStore(pageSize int) *store {
	return &store{changed: make(chan struct{}), pageSize: pageSize, age: func(string, string, bool) time.Duration { return 0 }}
}

// put writes the spec of an object and returns the time of the confirmation. A spec that
// equals the stored one changes nothing.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.objects(kind, s.revision())[name]; ok && string(now.spec) == string(data) {
		return time.Now()
	}
	return s.add(change{kind: kind, name: name, spec: data})
}

// remove removes an object and returns the time of the confirmation.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.objects(kind, s.revision())[name]; ok {
		return s.add(change{kind: kind, name: name, spec: now.spec, deleted: true})
	}
	return time.Now()
}

func (s *store) add(c change) time.Time {
	c.revision, c.at = s.revision()+1, time.Now()
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return c.at
}

// revision returns the last revision; the first one is 10.
func (s *store) revision() uint64 { return 10 + uint64(len(s.changes)) }

// revisionAt returns the last revision at a time.
func (s *store) revisionAt(at time.Time) uint64 {
	n := len(s.changes)
	for n > 0 && s.changes[n-1].at.After(at) {
		n--
	}
	return 10 + uint64(n)
}

// objects returns the objects of a kind at a revision.
func (s *store) objects(kind string, revision uint64) map[string]change {
	objects := map[string]change{}
	for _, c := range s.changes[:revision-10] {
		switch {
		case c.kind != kind:
		case c.deleted:
			delete(objects, c.name)
		default:
			objects[c.name] = c
		}
	}
	return objects
}

func (c change) object() map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": c.name, "revision": c.revision, "created": 10, "finalizers": []string{}, "deleting": false},
		"spec": c.spec, "status": nil,
	}
}

// wake makes waiting watches look again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers a list or a watch. A watch is cut off when refused becomes true.
func (s *store) serve(w http.ResponseWriter, r *http.Request, refused func() bool) {
	time.Sleep(storeAnswer)
	kind, found := strings.CutPrefix(r.URL.Path, "/-/objects/")
	query := r.URL.Query()
	if !found || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	watch := query.Get("watch") != ""
	var age time.Duration
	if query.Get("allow_stale") == "1" {
		age = s.age(kind, query.Get("after"), watch)
	}
	if watch {
		s.serveWatch(w, r, kind, age, refused)
		return
	}
	s.mu.Lock()
	asOf := s.revisionAt(time.Now().Add(-age))
	objects := s.objects(kind, asOf)
	if asOf < s.revision() && age > 0 {
		if s.record != nil {
			s.record("store list kind=%s after=%q as_of=%d of=%d caller=%s", kind, query.Get("after"), asOf, s.revision(), r.RemoteAddr)
		}
	}
	s.mu.Unlock()
	var names []string
	for name := range objects {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > s.pageSize
	items := []any{}
	for _, name := range names[:min(len(names), s.pageSize)] {
		items = append(items, objects[name].object())
	}
	answer(w, map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, age time.Duration, refused func() bool) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if from > s.revision() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		asOf, changed := s.revisionAt(time.Now().Add(-age)), s.changed
		events := []any{}
		for _, c := range s.changes[:asOf-10] {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object(), "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if refused() {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			answer(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		if age > 0 {
			// A replica that lags has the change later.
			left = min(left, 5*time.Millisecond)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}
