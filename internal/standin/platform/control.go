package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Control is the body of a POST to /control. Absent fields change nothing.
type Control struct {
	Down *bool `json:"down,omitempty"`
	// Hang makes calls that fail by an outage or lose their answer wait for the
	// client's timeout.
	Hang    *bool `json:"hang,omitempty"`
	DelayMS *int  `json:"delay_ms,omitempty"`
	// LoseWrites loses the answers of the next writes that take effect.
	LoseWrites *int `json:"lose_writes,omitempty"`
	// EndWatches and SilenceWatches act on the present watches.
	EndWatches     bool `json:"end_watches,omitempty"`
	SilenceWatches bool `json:"silence_watches,omitempty"`
	// SilenceConnections makes the present connections silent for good.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// Cut and Heal name listeners.
	Cut        []string `json:"cut,omitempty"`
	Heal       []string `json:"heal,omitempty"`
	ResetCalls bool     `json:"reset_calls,omitempty"`
	// Instances replaces the true instance list. The entries are
	// InstanceInfo in Protobuf's JSON form.
	Instances []json.RawMessage `json:"instances,omitempty"`
	// Override sets entries of the served list at once.
	Override      []json.RawMessage `json:"override,omitempty"`
	ClearOverride []string          `json:"clear_override,omitempty"`
}

// Status is the answer of /control.
type Status struct {
	Revision uint64          `json:"revision"`
	Down     bool            `json:"down"`
	DelayMS  int             `json:"delay_ms"`
	Watches  int             `json:"watches"`
	Calls    map[Call]uint64 `json:"calls"`
}

// Status returns the state of the store.
func (s *Store) Status() Status {
	calls := s.Calls()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Revision: s.revision, Down: s.faults.down, DelayMS: int(s.faults.delay / time.Millisecond),
		Watches: len(s.watches), Calls: calls}
}

// Apply carries out a control request. It fails when an instance entry cannot
// be decoded, and then changes nothing.
func (s *Server) Apply(c *Control) error {
	instances, err := decodeInstances(c.Instances)
	if err != nil {
		return err
	}
	overrides, err := decodeInstances(c.Override)
	if err != nil {
		return err
	}
	if c.Hang != nil {
		s.SetHang(*c.Hang)
	}
	if c.Down != nil {
		s.store.SetDown(*c.Down)
	}
	if c.DelayMS != nil {
		s.store.SetDelay(time.Duration(*c.DelayMS) * time.Millisecond)
	}
	if c.LoseWrites != nil {
		s.store.LoseWriteAnswers(*c.LoseWrites)
	}
	if c.SilenceWatches {
		s.store.SilenceWatches()
	}
	if c.SilenceConnections {
		s.SilenceConnections()
	}
	if c.EndWatches {
		s.store.EndWatches()
	}
	for _, l := range c.Cut {
		s.SetCut(l, true)
	}
	for _, l := range c.Heal {
		s.SetCut(l, false)
	}
	if c.ResetCalls {
		s.store.ResetCalls()
	}
	if c.Instances != nil {
		s.store.SetInstances(instances)
	}
	for _, i := range overrides {
		s.store.OverrideInstance(i)
	}
	for _, name := range c.ClearOverride {
		s.store.ClearOverride(name)
	}
	return nil
}

func decodeInstances(raw []json.RawMessage) ([]*pb.InstanceInfo, error) {
	var list []*pb.InstanceInfo
	for _, r := range raw {
		i := new(pb.InstanceInfo)
		if err := protojson.Unmarshal(r, i); err != nil {
			return nil, &InvalidError{Key: "instances", Detail: err.Error()}
		}
		list = append(list, i)
	}
	return list, nil
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c Control
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValue))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&c)
		if err == nil {
			err = s.Apply(&c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.store.Status())
}
