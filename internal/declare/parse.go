package declare

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/chivemast/chivemast/internal/document"
)

// Error is a fault in a declaration. It names the path within the document.
type Error = document.Error

// Defaults of declared values.
const (
	defaultIdleTimeoutSeconds  = 300
	defaultMaxRequestTimeoutMS = 5000
	defaultSustainableOpens    = 10
	defaultRampSeconds         = 30
	defaultWeight              = 100
)

// SetDefaults sets the defaults.
func (s *Service) SetDefaults() {
	s.IdleTimeoutSeconds = defaultIdleTimeoutSeconds
	s.MaxRequestTimeoutMS = defaultMaxRequestTimeoutMS
	s.ColdStart.SetDefaults()
}

// SetDefaults sets the defaults.
func (c *ColdStart) SetDefaults() {
	c.SustainableOpensPerSecond = defaultSustainableOpens
	c.RampSeconds = defaultRampSeconds
}

// SetDefaults sets the defaults.
func (u *Upstream) SetDefaults() { u.Weight = defaultWeight }

// Parse decodes and validates the subtree of one team from JSON with
// comments. The source, usually a file name, appears in errors. The result is
// normalized; see Normalize. Parse fails with *Error.
func Parse(source string, data []byte) (*Team, error) {
	return ParseFiles([]File{{Name: source, Data: data}})
}

// File is one of several documents that declare a team together.
type File struct {
	Name string
	Data []byte
}

// ParseFiles is Parse for a team whose services are spread over several
// files. Every file names the team.
func ParseFiles(files []File) (*Team, error) { return parse(files, false) }

// parse decodes a stored object or operators' files, which must not contain
// what only the command line fills in.
func parse(files []File, stored bool) (*Team, error) {
	merged := &Team{}
	check := &checker{services: map[string]string{}, addresses: newAddressBook()}
	for _, file := range files {
		team := &Team{}
		doc, err := document.Decode(file.Name, file.Data, team)
		if err != nil {
			return nil, err
		}
		check.doc = doc
		if err := check.team(team); err != nil {
			return nil, err
		}
		if !stored && team.Released != nil {
			return nil, doc.Errorf("released", document.UnknownKey, "", "apply keeps the released addresses; files must not contain them")
		}
		if merged.Name != "" && merged.Name != team.Name {
			return nil, doc.Errorf("name", document.Duplicate, "team "+merged.Name,
				"file declares team %q, an earlier one team %q", team.Name, merged.Name)
		}
		merged.Name = team.Name
		merged.Services = append(merged.Services, team.Services...)
		merged.Released = team.Released
	}
	merged.Normalize()
	if _, err := Encode(merged); err != nil {
		return nil, err
	}
	return merged, nil
}

// Decode decodes and validates the value of a team object. Decode fails with
// *Error.
func Decode(key string, value []byte) (*Team, error) {
	return parse([]File{{Name: key, Data: value}}, true)
}

// Normalize sorts services and upstreams by name and replaces zero values by
// defaults, so that equal declarations have equal encodings.
func (t *Team) Normalize() {
	if t.Services == nil {
		t.Services = []Service{}
	}
	for i := range t.Services {
		s := &t.Services[i]
		setDefault(&s.IdleTimeoutSeconds, defaultIdleTimeoutSeconds)
		setDefault(&s.MaxRequestTimeoutMS, defaultMaxRequestTimeoutMS)
		setDefault(&s.ColdStart.SustainableOpensPerSecond, defaultSustainableOpens)
		setDefault(&s.ColdStart.RampSeconds, defaultRampSeconds)
		if s.Upstreams == nil {
			s.Upstreams = []Upstream{}
		}
		for j := range s.Upstreams {
			setDefault(&s.Upstreams[j].Weight, defaultWeight)
		}
		slices.SortStableFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	slices.SortStableFunc(t.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// Encode returns the canonical encoding of a team for storage: JSON without
// comments, normalized, with defaults written out, so that a later change of
// a default does not change stored declarations. It fails with *Error.
func Encode(t *Team) ([]byte, error) {
	normal := t.Clone()
	normal.Normalize()
	data, err := json.Marshal(normal)
	if err != nil {
		return nil, &Error{Source: t.Name, Kind: document.WrongType, Err: err}
	}
	if len(data) > document.MaxSize {
		return nil, &Error{Source: t.Name, Kind: document.TooLarge, Allowed: fmt.Sprintf("at most %d bytes", document.MaxSize),
			Err: fmt.Errorf("the encoded team has %d bytes", len(data))}
	}
	return data, nil
}

// Clone returns a deep copy.
func (t *Team) Clone() *Team {
	c := *t
	c.Services = slices.Clone(t.Services)
	c.Released = slices.Clone(t.Released)
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(c.Services[i].Upstreams)
	}
	return &c
}

// Key returns the key of a team's object.
func Key(team string) string { return KeyPrefix + team }

// KeyPrefix is the prefix of the keys of team objects.
const KeyPrefix = "teams/"
