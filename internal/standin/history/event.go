// Package history records the events that callers and upstreams observe and
// checks them against the guarantees of the load balancer.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Kind is the type of an event.
type Kind string

// Events of an upstream. Upstream and BootID are set on all of them.
const (
	// UpstreamBoot: the upstream started or restarted; earlier flows are lost.
	UpstreamBoot Kind = "boot"
	// UpstreamOpened: a flow was opened on the upstream.
	UpstreamOpened Kind = "opened"
	// UpstreamData: a DATA packet of a known flow arrived.
	UpstreamData Kind = "data"
	// UpstreamRun: a request started to run.
	UpstreamRun Kind = "run"
	// UpstreamDone: the run of a request ended.
	UpstreamDone Kind = "done"
	// UpstreamRefused: an OPEN or a request was refused without running.
	UpstreamRefused Kind = "refused"
	// UpstreamCancelled: a request was cancelled while it ran.
	UpstreamCancelled Kind = "cancelled"
	// UpstreamUnknownFlow: a packet arrived whose flow the upstream does not know.
	UpstreamUnknownFlow Kind = "unknown_flow"
	// UpstreamWrongService: a packet of another service arrived.
	UpstreamWrongService Kind = "wrong_service"
	// UpstreamClosed: a flow was closed or ended by its idle timeout.
	UpstreamClosed Kind = "closed"
	// UpstreamOverload: a cold upstream received more OPENs than it can sustain.
	UpstreamOverload Kind = "overload"
	// UpstreamDrain: the upstream started to drain.
	UpstreamDrain Kind = "drain"
)

// Events of a caller. Source is set on all of them.
const (
	CallerOpen        Kind = "open"
	CallerEstablished Kind = "established"
	CallerOpenRefused Kind = "open_refused"
	CallerOpenTimeout Kind = "open_timeout"
	// CallerReset: the caller received UNKNOWN_FLOW or DOMAIN_OUT for an
	// established flow.
	CallerReset   Kind = "reset"
	CallerRequest Kind = "request"
	// CallerAnswer: a whole answer arrived.
	CallerAnswer Kind = "answer"
	// CallerMixed and CallerTruncated: an answer was delivered as complete
	// although it mixes several runs, flows or requests, or lacks parts.
	CallerMixed          Kind = "mixed_answer"
	CallerTruncated      Kind = "truncated_answer"
	CallerRequestRefused Kind = "request_refused"
	// CallerLateNotRun: a "not run" refusal arrived after the outcome of the
	// request had been recorded.
	CallerLateNotRun     Kind = "late_not_run"
	CallerRequestTimeout Kind = "request_timeout"
	CallerCancel         Kind = "cancel"
	CallerData           Kind = "data_sent"
	CallerDataEchoed     Kind = "data_echoed"
	CallerDataTimeout    Kind = "data_timeout"
	CallerClose          Kind = "close"
)

// Event is one recorded event, stored as one JSON line.
type Event struct {
	// TimeUS is the time of the event in microseconds since the Unix epoch.
	TimeUS int64 `json:"t_us"`
	Kind   Kind  `json:"event"`
	// Source is the name of the recording caller; empty for upstreams.
	Source string `json:"source,omitempty"`
	// Upstream is the name of the recording upstream or, in events of a caller,
	// of the upstream that replied. BootID is the id of its boot.
	Upstream string `json:"upstream,omitempty"`
	BootID   uint64 `json:"boot_id,omitempty"`
	// Caller and Service are addresses as ip:port.
	Caller     string           `json:"caller,omitempty"`
	Service    string           `json:"service,omitempty"`
	FlowID     uint64           `json:"flow,omitempty"`
	RequestID  uint64           `json:"request,omitempty"`
	Attempt    uint32           `json:"attempt,omitempty"`
	Idempotent bool             `json:"idempotent,omitempty"`
	PacketKind pb.PacketKind    `json:"kind,omitempty"`
	Reason     pb.RefusalReason `json:"reason,omitempty"`
	NotRun     bool             `json:"not_run,omitempty"`
	// Run identifies one execution of a request.
	Run uint64 `json:"run,omitempty"`
	// Partial is set if some but not all parts of an answer had arrived when the
	// request timed out.
	Partial bool `json:"partial,omitempty"`
	// ReceivedUS is the time at which the packet arrived, in microseconds since
	// the Unix epoch. It is set in run and refused events, whose request may have
	// waited for a slot, and is 0 in other events.
	ReceivedUS int64 `json:"received_us,omitempty"`
	// Cold and Draining are the state of the recording upstream.
	Cold     bool `json:"cold,omitempty"`
	Draining bool `json:"draining,omitempty"`
}

// received returns the time at which the packet that caused the event arrived.
func (e *Event) received() time.Time {
	if e.ReceivedUS != 0 {
		return time.UnixMicro(e.ReceivedUS)
	}
	return e.Time()
}

// Time returns the time of the event.
func (e *Event) Time() time.Time { return time.UnixMicro(e.TimeUS) }

// Recorder receives events when they occur.
type Recorder interface{ Record(Event) }

// Memory is a Recorder that stores events in memory. It is safe for concurrent
// use.
type Memory struct {
	mu     sync.Mutex
	events []Event
}

// Record stores an event.
func (m *Memory) Record(e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

// Events returns a copy of the events recorded so far.
func (m *Memory) Events() []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Event(nil), m.events...)
}

// Tee is a Recorder that passes each event to several recorders.
type Tee []Recorder

// Record passes an event to every recorder in order.
func (t Tee) Record(e Event) {
	for _, r := range t {
		r.Record(e)
	}
}

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record discards an event.
func (Discard) Record(Event) {}

// Writer is a Recorder that writes JSON lines. It does not buffer, so that no
// event is lost if the process is killed. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	enc *json.Encoder
	err error
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Record writes an event. After a write error it discards all further events; see
// Err.
func (w *Writer) Record(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.enc.Encode(&e)
	}
}

// Err returns the first write error, or nil.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Read decodes JSON lines. A last line without a newline is ignored, because a
// killed process may leave an incomplete line. For an invalid line it returns the
// events before it and an error with the line number.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	in := bufio.NewReaderSize(r, 1<<16)
	for number := 1; ; number++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, fmt.Errorf("history line %d: %w", number, err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return events, fmt.Errorf("history line %d: %w", number, err)
		}
		events = append(events, e)
	}
}

// ReadFile decodes a file of JSON lines like Read. It returns no events if it
// fails.
func ReadFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	defer f.Close()
	events, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}
