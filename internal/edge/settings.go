package edge

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/peerauth"
)

// Settings holds the settings file of an instance, which is JSON with comments.
type Settings struct {
	// Instance is the name of this instance, unique in the deployment. Required.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain of this instance. Required.
	FailureDomain string `json:"failure_domain"`
	// TrafficAddress is the UDP address that receives packets of callers. Required.
	TrafficAddress netip.AddrPort `json:"traffic_address"`
	// ReadinessAddress is the HTTP address for the fabric's readiness probes.
	// Required.
	ReadinessAddress netip.AddrPort `json:"readiness_address"`
	// ReadinessPath is the path of the readiness probe. Default /readyz.
	ReadinessPath string `json:"readiness_path"`
	// MetricsAddress is the HTTP address of /metrics, /status and /explain. Required.
	MetricsAddress netip.AddrPort `json:"metrics_address"`
	// StoreAddress is the address of the platform's store. Required.
	StoreAddress netip.AddrPort `json:"store_address"`
	// PeerAddress is the UDP address for messages of other instances and the HTTP
	// address for instances that start while the store is unavailable. Required.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// Peers lists the peer addresses that the instance contacts at its start; its
	// own is skipped. Default none.
	Peers []netip.AddrPort `json:"peers"`
	// PeerKeys lists the secrets that the instances share, 32 bytes in base64, at
	// most two: the first one signs messages to other instances, both are
	// accepted. A reload changes them. Default none: whoever reaches the peer
	// address can then send messages.
	PeerKeys []string `json:"peer_keys"`
	// LogLevel is the least severe level to log: error, warn, info or debug.
	// A reload changes it. Default info.
	LogLevel string `json:"log_level"`
	// ColdFactor and ColdSlack limit the new flows per second that a cold upstream
	// gets from all instances together: its own rate times the factor, plus the slack.
	// Defaults 1.0 and 0, ranges 0 to 100 and 0 to 1,000.
	ColdFactor float64 `json:"cold_factor"`
	ColdSlack  float64 `json:"cold_slack"`
	// ShutdownMS is the maximum time for which the instance forwards packets after
	// a shutdown made it unready, in ms. It exits earlier when the routers have
	// stopped sending. Default 5,000, range 0 to 60,000.
	ShutdownMS int64 `json:"shutdown_ms"`
	// MaxFlows is the maximum number of flows that are remembered for the choice of
	// upstreams. Further flows are forwarded too. Default 65,536, range
	// 0 to 4,000,000.
	MaxFlows int64 `json:"max_flows"`
	OverloadSettings
	HedgeSettings
	// CookieByID makes new flows carry the cookie format that leads to an upstream by its
	// id alone. Instances of earlier versions do not know it and reset such flows. Default
	// false.
	CookieByID bool `json:"cookie_by_id"`
}

// Defaults of Settings.
const (
	defaultReadinessPath = "/readyz"
	defaultLogLevel      = "info"
	// defaultShutdownMS leaves one second of the platform's grace period of 6 s.
	defaultShutdownMS = 5000
	// defaultMaxFlows is more than twice the 28,000 flows of an instance in a
	// deployment of the target size; about 18 MB when full.
	defaultMaxFlows = 65536
)

// SetDefaults sets the settings that are not required to their defaults.
func (s *Settings) SetDefaults() {
	s.ReadinessPath, s.LogLevel = defaultReadinessPath, defaultLogLevel
	s.ColdFactor, s.ShutdownMS, s.MaxFlows = 1, defaultShutdownMS, defaultMaxFlows
	s.OverloadSettings.setDefaults()
	s.HedgeSettings.setDefaults()
}

// LoadSettings reads and validates a settings file. It returns a *document.Error when
// the file cannot be read or is invalid.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &document.Error{Source: file, Kind: document.Unreadable, Err: err}
	}
	return ParseSettings(file, data)
}

// ParseSettings decodes and validates settings. file is the name that errors give. It
// returns a *document.Error for the first invalid key.
func ParseSettings(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	s.SetDefaults()
	doc, err := document.Decode(file, data, s)
	if err != nil {
		return nil, err
	}
	if err := s.check(doc); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check(doc *document.Document) error {
	checks := []error{
		doc.CheckName("instance", s.Instance),
		doc.CheckName("failure_domain", s.FailureDomain),
		doc.CheckAddress("traffic_address", s.TrafficAddress, false),
		doc.CheckAddress("readiness_address", s.ReadinessAddress, true),
		doc.CheckAddress("metrics_address", s.MetricsAddress, true),
		doc.CheckAddress("store_address", s.StoreAddress, false),
		doc.CheckAddress("peer_address", s.PeerAddress, false),
		checkFloat(doc, "cold_factor", s.ColdFactor, 0, 100),
		checkFloat(doc, "cold_slack", s.ColdSlack, 0, 1000),
		doc.CheckRange("shutdown_ms", s.ShutdownMS, 0, 60_000),
		doc.CheckRange("max_flows", s.MaxFlows, 0, 4_000_000),
	}
	for i, peer := range s.Peers {
		checks = append(checks, doc.CheckAddress(document.Index("peers", i), peer, false))
	}
	checks = append(checks, s.checkKeys(doc), s.OverloadSettings.check(doc), s.HedgeSettings.check(doc))
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		checks = append(checks, doc.Errorf("log_level", document.OutOfRange, "error, warn, info, debug", "unknown level %q", s.LogLevel))
	}
	if s.ReadinessPath == "" || s.ReadinessPath[0] != '/' {
		checks = append(checks, doc.Errorf("readiness_path", document.OutOfRange, "a path that starts with /", "%q does not start with /", s.ReadinessPath))
	}
	return firstError(checks...)
}

func (s *Settings) checkKeys(doc *document.Document) error {
	if len(s.PeerKeys) > peerauth.MaxKeys {
		return doc.Errorf("peer_keys", document.OutOfRange, fmt.Sprintf("at most %d keys", peerauth.MaxKeys), "got %d keys", len(s.PeerKeys))
	}
	for i, text := range s.PeerKeys {
		if _, err := peerauth.ParseKey(text); err != nil {
			return doc.Errorf(document.Index("peer_keys", i), document.OutOfRange, fmt.Sprintf("%d bytes in base64", peerauth.KeySize), "%w", err)
		}
	}
	return nil
}

// keys returns the parsed PeerKeys.
func (s *Settings) keys() []peerauth.Key {
	var keys []peerauth.Key
	for _, text := range s.PeerKeys {
		// ParseSettings rejects invalid keys.
		if key, err := peerauth.ParseKey(text); err == nil {
			keys = append(keys, key)
		}
	}
	return keys
}

func checkFloat(doc *document.Document, path string, value, low, high float64) error {
	if value < low || value > high {
		return doc.Errorf(path, document.OutOfRange, fmt.Sprintf("%g to %g", low, high), "%g is outside the range", value)
	}
	return nil
}

// Level returns LogLevel as a level of the log library.
func (s *Settings) Level() logrus.Level {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		// ParseSettings rejects unknown levels.
		return logrus.InfoLevel
	}
	return level
}

func (s *Settings) shutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownMS) * time.Millisecond
}

func (s *Settings) equal(other *Settings) bool { return reflect.DeepEqual(s, other) }
