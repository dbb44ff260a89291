package declare

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/chivemast/chivemast/internal/document"
)

// Error reports a fault in a declaration. It names the document and the path
// within it.
type Error = document.Error

// Defaults of values that a declaration leaves out.
const (
	defaultIdleTimeoutSeconds  = 300
	defaultMaxRequestTimeoutMS = 5000
	defaultSustainableOpens    = 10
	defaultRampSeconds         = 30
	defaultWeight              = 100
)

// SetDefaults sets the default timeouts and the defaults of ColdStart.
func (s *Service) SetDefaults() {
	s.IdleTimeoutSeconds = defaultIdleTimeoutSeconds
	s.MaxRequestTimeoutMS = defaultMaxRequestTimeoutMS
	s.ColdStart.SetDefaults()
}

// SetDefaults sets the default rate and ramp.
func (c *ColdStart) SetDefaults() {
	c.SustainableOpensPerSecond = defaultSustainableOpens
	c.RampSeconds = defaultRampSeconds
}

// SetDefaults sets the default weight.
func (u *Upstream) SetDefaults() { u.Weight = defaultWeight }

// Parse decodes and validates the declaration of one team from JSON with
// comments, as operators write it. The source, usually a file name, appears in
// errors. The result is normalized; see Normalize. Errors are of type *Error.
func Parse(source string, data []byte) (*Team, error) {
	return ParseFiles([]File{{Name: source, Data: data}})
}

// File is one of the documents that together declare a team.
type File struct {
	Name string // appears in errors
	Data []byte // JSON with comments
}

// ParseFiles decodes and validates a team whose services are declared in several
// files. Every file has to name the same team. The result is normalized; see
// Normalize. Errors are of type *Error.
func ParseFiles(files []File) (*Team, error) { return parse(files, false) }

// parse decodes, validates and merges documents of one team. If stored is false,
// they are operators' files, which must not contain the list of released
// addresses because the command line maintains it.
func parse(files []File, stored bool) (*Team, error) {
	merged := &Team{}
	validator := &checker{services: map[string]string{}, addresses: newAddressIndex()}
	for _, file := range files {
		team := &Team{}
		doc, err := document.Decode(file.Name, file.Data, team)
		if err != nil {
			return nil, err
		}
		validator.doc = doc
		if err := validator.checkTeam(team); err != nil {
			return nil, err
		}
		if !stored && team.Released != nil {
			return nil, doc.Errorf("released", document.UnknownKey, "", "the apply command maintains the released addresses; remove this key from the file")
		}
		if merged.Name != "" && merged.Name != team.Name {
			return nil, doc.Errorf("name", document.Duplicate, "team "+merged.Name,
				"file declares team %q, but an earlier file declares team %q", team.Name, merged.Name)
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

// Decode decodes and validates the stored value of a team object. The key appears
// in errors, which are of type *Error.
func Decode(key string, value []byte) (*Team, error) {
	return parse([]File{{Name: key, Data: value}}, true)
}

// Normalize sorts services and upstreams by name, replaces zero values by their
// defaults and nil lists by empty ones, so that equal declarations have equal
// encodings.
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

// setDefault replaces a zero value by its default.
func setDefault(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Encode returns the canonical encoding of a team for storage: JSON without
// comments, normalized, with defaults written out, so that a later change of a
// default does not change stored declarations. It fails with *Error, in particular
// if the encoding is larger than document.MaxSize bytes.
func Encode(t *Team) ([]byte, error) {
	normalized := t.Clone()
	normalized.Normalize()
	data, err := json.Marshal(normalized)
	if err != nil {
		return nil, &Error{Source: t.Name, Kind: document.WrongType, Err: err}
	}
	if len(data) > document.MaxSize {
		return nil, &Error{Source: t.Name, Kind: document.TooLarge, Allowed: fmt.Sprintf("at most %d bytes", document.MaxSize),
			Err: fmt.Errorf("encoded team has %d bytes", len(data))}
	}
	return data, nil
}

// Clone returns a deep copy of the team.
func (t *Team) Clone() *Team {
	c := *t
	c.Services = slices.Clone(t.Services)
	c.Released = slices.Clone(t.Released)
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(c.Services[i].Upstreams)
	}
	return &c
}

// Key returns the key of the object that stores a team.
func Key(team string) string { return KeyPrefix + team }

// KeyPrefix is the prefix of the keys of team objects.
const KeyPrefix = "teams/"
