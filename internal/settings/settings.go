// Package settings reads the settings file of an instance. The file is JSON with
// comments; unknown keys, wrong types and values out of range are errors.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/document"
)

// Error reports a fault in a settings file. It names the file, the key and the
// allowed values.
type Error = document.Error

// Settings is the content of the settings file.
type Settings struct {
	// Instance is the name of this instance, unique in the fleet. Required;
	// lower-case letters, digits and inner hyphens, at most 63 characters.
	Instance string `json:"instance"`
	// FailureDomain is the name of the failure domain in which this instance
	// runs. Required; same form as Instance.
	FailureDomain string `json:"failure_domain"`
	// TrafficAddress is the UDP ip:port that receives packets from the
	// fabric. Required; the IP must not be unspecified.
	TrafficAddress netip.AddrPort `json:"traffic_address"`
	// PeerAddress is the ip:port, on UDP and TCP, that receives messages of other
	// instances and answers of upstreams. Required; the IP must not be
	// unspecified, because other processes send to this address.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// AdminAddress is the ip:port of the HTTP server for AdminService,
	// /healthz, /readyz and /metrics. Required.
	AdminAddress netip.AddrPort `json:"admin_address"`
	// PlatformURL is the base URL of the platform's object API. Required; the
	// scheme is http or https, and a host is present.
	PlatformURL string `json:"platform_url"`
	// Peers lists the other instances known at start. Default none; at most
	// 1,000, with unique names and peer addresses. An entry for this instance
	// itself is allowed, so that all instances can share one list.
	Peers []Peer `json:"peers"`
	// LogLevel is the least severe level that is logged. Default info; one of error,
	// warn, info and debug.
	LogLevel string `json:"log_level" default:"info"`
	// Limits holds the tunable limits.
	Limits Limits `json:"limits"`
}

// Peer is another instance known at start.
type Peer struct {
	// Name is the instance name of the peer. Required; same form as Instance.
	Name string `json:"name"`
	// FailureDomain is the failure domain of the peer. Required; same form as
	// Instance.
	FailureDomain string `json:"failure_domain"`
	// PeerAddress is the peer address of the peer as ip:port. Required.
	PeerAddress netip.AddrPort `json:"peer_address"`
}

// SetDefaults sets the defaults of all fields, including those of Limits.
func (s *Settings) SetDefaults() { setDefaults(reflect.ValueOf(s).Elem()) }

// SetDefaults sets the defaults of all limits.
func (l *Limits) SetDefaults() { setDefaults(reflect.ValueOf(l).Elem()) }

// Default returns settings with only the defaults set. They are not valid, since
// the required keys are empty.
func Default() *Settings {
	s := &Settings{}
	s.SetDefaults()
	return s
}

// Load reads, decodes and validates a settings file. It fails with *Error.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Source: file, Kind: document.Unreadable, Err: err}
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file. The file name
// appears in errors, which are of type *Error.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	doc, err := document.Decode(file, data, s)
	if err != nil {
		return nil, err
	}
	if err := s.validate(doc); err != nil {
		return nil, err
	}
	return s, nil
}

// maxPeers is the largest number of configured peers.
const maxPeers = 1000

// validate returns the first fault as *Error, nil if there is none.
func (s *Settings) validate(doc *document.Document) error {
	checks := []error{
		doc.CheckName("instance", s.Instance),
		doc.CheckName("failure_domain", s.FailureDomain),
		doc.CheckAddress("traffic_address", s.TrafficAddress, false),
		doc.CheckAddress("peer_address", s.PeerAddress, false),
		doc.CheckAddress("admin_address", s.AdminAddress, true),
		s.checkDistinctAddresses(doc),
		checkURL(doc, "platform_url", s.PlatformURL),
		s.checkPeers(doc),
		checkLogLevel(doc, s.LogLevel),
		s.Limits.validate(doc),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkDistinctAddresses rejects addresses that cannot be bound at the same time:
// the traffic and peer addresses both use UDP, the admin and peer addresses both
// use TCP.
func (s *Settings) checkDistinctAddresses(doc *document.Document) error {
	const allowed = "an address of its own"
	if s.TrafficAddress == s.PeerAddress {
		return doc.Errorf("peer_address", document.Duplicate, allowed, "is the same as traffic_address %s", s.TrafficAddress)
	}
	if s.AdminAddress == s.PeerAddress {
		return doc.Errorf("admin_address", document.Duplicate, allowed, "is the same as peer_address %s", s.PeerAddress)
	}
	return nil
}

// checkURL checks a required base URL.
func checkURL(doc *document.Document, path, value string) error {
	const allowed = "http://host:port or https://host:port"
	if value == "" {
		return doc.Errorf(path, document.Missing, allowed, "required key is missing or empty")
	}
	u, err := url.Parse(value)
	if err != nil {
		return doc.Errorf(path, document.OutOfRange, allowed, "%w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return doc.Errorf(path, document.OutOfRange, allowed, "%q is not a base URL", value)
	}
	return nil
}

// checkPeers checks the number of peers, each entry, that names and addresses are
// unique, and that an entry for this instance has both its name and its address.
func (s *Settings) checkPeers(doc *document.Document) error {
	if len(s.Peers) > maxPeers {
		return doc.Errorf("peers", document.OutOfRange, fmt.Sprintf("at most %d", maxPeers), "file lists %d peers", len(s.Peers))
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, peer := range s.Peers {
		path := document.Index("peers", i)
		if err := doc.CheckName(path+".name", peer.Name); err != nil {
			return err
		}
		if err := doc.CheckName(path+".failure_domain", peer.FailureDomain); err != nil {
			return err
		}
		if err := doc.CheckAddress(path+".peer_address", peer.PeerAddress, false); err != nil {
			return err
		}
		if names[peer.Name] {
			return doc.Errorf(path+".name", document.Duplicate, "a unique name", "peer %q appears twice", peer.Name)
		}
		if addresses[peer.PeerAddress] {
			return doc.Errorf(path+".peer_address", document.Duplicate, "a unique address", "peer address %s appears twice", peer.PeerAddress)
		}
		if (peer.Name == s.Instance) != (peer.PeerAddress == s.PeerAddress) {
			return doc.Errorf(path, document.Duplicate, "the entry of this instance has its name and its peer address",
				"peer %q at %s and this instance %q at %s have the same name or the same peer address, but not both",
				peer.Name, peer.PeerAddress, s.Instance, s.PeerAddress)
		}
		names[peer.Name], addresses[peer.PeerAddress] = true, true
	}
	return nil
}

func checkLogLevel(doc *document.Document, level string) error {
	switch level {
	case "error", "warn", "info", "debug":
		return nil
	}
	return doc.Errorf("log_level", document.OutOfRange, "error, warn, info, debug", "unknown level %q", level)
}

// Level returns the log level for logrus; an unknown level counts as info.
func (s *Settings) Level() logrus.Level {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// OtherPeers returns the configured peers without the entry of this instance.
func (s *Settings) OtherPeers() []Peer {
	var others []Peer
	for _, peer := range s.Peers {
		if peer.Name != s.Instance {
			others = append(others, peer)
		}
	}
	return others
}

// setDefaults stores the values of the default tags in the fields of a struct, and
// of structs in it that implement document.Defaulter.
func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Type.Kind() == reflect.Struct && v.Field(i).Addr().Type().Implements(reflect.TypeFor[document.Defaulter]()) {
			setDefaults(v.Field(i))
			continue
		}
		text, ok := field.Tag.Lookup("default")
		if !ok {
			continue
		}
		if field.Type.Kind() == reflect.String {
			v.Field(i).SetString(text)
			continue
		}
		// The error is ignored because a test parses the tags of all limits.
		n, _ := strconv.ParseInt(text, 10, 64)
		v.Field(i).SetInt(n)
	}
}
