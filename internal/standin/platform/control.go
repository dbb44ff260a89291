package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Control is the request body of POST /control. Absent fields change nothing.
// DelayMS is in milliseconds.
type Control struct {
	Down *bool `json:"down,omitempty"`
	// Hang makes calls that fail because of an outage or lose their response
	// wait until the client gives up.
	Hang    *bool `json:"hang,omitempty"`
	DelayMS *int  `json:"delay_ms,omitempty"`
	// LoseWrites is the number of next writes that take effect but whose
	// response is lost.
	LoseWrites *int `json:"lose_writes,omitempty"`
	// EndWatches and SilenceWatches affect the watches that are open now.
	EndWatches     bool `json:"end_watches,omitempty"`
	SilenceWatches bool `json:"silence_watches,omitempty"`
	// SilenceConnections makes the connections and watches that are open now
	// silent for good.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// Cut and Heal contain the names of listeners to cut off and to reconnect.
	Cut        []string `json:"cut,omitempty"`
	Heal       []string `json:"heal,omitempty"`
	ResetCalls bool     `json:"reset_calls,omitempty"`
	// Instances replaces the actual instance list. Each entry is an InstanceInfo
	// in Protobuf's JSON encoding.
	Instances []json.RawMessage `json:"instances,omitempty"`
	// Override sets entries of the served list without the list's lag.
	// ClearOverride contains the names of instances whose override is removed.
	Override      []json.RawMessage `json:"override,omitempty"`
	ClearOverride []string          `json:"clear_override,omitempty"`
}

// Status is the response body of /control. DelayMS is in milliseconds; Watches is
// the number of open watches.
type Status struct {
	Revision uint64          `json:"revision"`
	Down     bool            `json:"down"`
	DelayMS  int             `json:"delay_ms"`
	Watches  int             `json:"watches"`
	Calls    map[Call]uint64 `json:"calls"`
}

// Status returns the revision, faults and counters of the store without counting
// a call.
func (s *Store) Status() Status {
	calls := s.Calls()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Revision: s.revision, Down: s.faults.down, DelayMS: int(s.faults.delay / time.Millisecond),
		Watches: len(s.watches), Calls: calls}
}

// Apply executes a control request. It returns an *InvalidError, and changes
// nothing, if an entry of Instances or Override cannot be decoded.
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
		s.store.LoseWriteResponses(*c.LoseWrites)
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

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c Control
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueSize))
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
