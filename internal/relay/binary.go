package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	relayv1 "github.com/chivemast/chivemast/gen/chivemast/relay/v1"
	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
)

// addressSize is the size in bytes of an encoded IPv4 address with its port.
const addressSize = 4 + 2

var (
	errNameIndex    = errors.New("index of a name is out of range")
	errUnknownEvent = errors.New("update contains an event of unknown type")
	errAddress      = fmt.Errorf("address does not have %d bytes", addressSize)
)

// nameTable collects the names of a message, which refers to them by index.
type nameTable struct {
	names   []string
	indexes map[string]uint32
}

func newNameTable() *nameTable { return &nameTable{indexes: map[string]uint32{}} }

func (t *nameTable) index(name string) uint32 {
	index, known := t.indexes[name]
	if !known {
		index = uint32(len(t.names))
		t.indexes[name] = index
		t.names = append(t.names, name)
	}
	return index
}

// nameReader resolves the indexes of a received message. It keeps the first error.
type nameReader struct {
	names []string
	err   error
}

func (r *nameReader) name(index uint32) string {
	if int64(index) >= int64(len(r.names)) {
		r.fail(errNameIndex)
		return ""
	}
	return r.names[index]
}

func (r *nameReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func appendAddress(address netip.AddrPort) []byte {
	if !address.Addr().Is4() {
		return nil
	}
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], address.Port())
}

// address decodes an address; an empty one is the zero value.
func (r *nameReader) address(data []byte) netip.AddrPort {
	switch len(data) {
	case 0:
		return netip.AddrPort{}
	case addressSize:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[:4])), binary.BigEndian.Uint16(data[4:]))
	}
	r.fail(errAddress)
	return netip.AddrPort{}
}

func (m *message) encodeBinary() ([]byte, error) {
	names := newNameTable()
	w := &relayv1.Message{
		From: names.member(mention{Member: m.From}), Hello: m.Hello, Announcement: m.Announcement,
		Silent: encodeIncarnations(m.Silent), Lost: encodeIncarnations(m.Lost),
		Replaced: encodeIncarnations(m.Replaced),
	}
	if m.Positions != nil {
		for _, position := range m.Positions {
			w.Revisions, w.Eras = append(w.Revisions, position.Revision), append(w.Eras, position.Era)
		}
	}
	for _, member := range m.Members {
		w.Members = append(w.Members, names.member(member))
	}
	w.Missing = names.missing(m.Missing)
	for _, ended := range m.EndedEvacuations {
		w.EndedEvacuations = append(w.EndedEvacuations, &relayv1.EndedEvacuation{
			FailureDomain: names.index(ended.FailureDomain), AgoMs: uint64(max(ended.Ago.Milliseconds(), 0)),
		})
	}
	w.Answering = encodeAnswering(m.Answering)
	if m.Update != nil {
		w.Update = names.update(*m.Update)
	}
	if m.Loads != nil {
		w.Loads = names.loads(m.Loads)
	}
	w.Names = names.names
	return proto.Marshal(w)
}

// positionsFrom returns the positions of the revisions and eras of all kinds. A version
// without eras reports none.
func positionsFrom(revisions, eras []uint64) *Positions {
	positions := &Positions{}
	for kind := range positions {
		if kind < len(revisions) {
			positions[kind].Revision = revisions[kind]
		}
		if kind < len(eras) {
			positions[kind].Era = eras[kind]
		}
	}
	return positions
}

func tenths(v float64) uint32 { return uint32(min(max(math.Round(10*v), 0), math.MaxUint32)) }

func decodeBinary(data []byte) (*message, error) {
	var w relayv1.Message
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	names := &nameReader{names: w.Names}
	m := &message{
		Hello: w.Hello, Announcement: w.Announcement, Silent: decodeIncarnations(w.Silent), Lost: decodeIncarnations(w.Lost),
		Past: Past{Replaced: decodeIncarnations(w.Replaced)}, format: formatBinary,
	}
	if len(w.Revisions) > 0 {
		m.Positions = positionsFrom(w.Revisions, w.Eras)
	}
	if w.From != nil {
		m.From = names.member(w.From).Member
	}
	for _, member := range w.Members {
		m.Members = append(m.Members, names.member(member))
	}
	m.Missing = names.missing(w.Missing)
	for _, ended := range w.EndedEvacuations {
		m.EndedEvacuations = append(m.EndedEvacuations, catalog.EndedEvacuation{
			FailureDomain: names.name(ended.FailureDomain), Ago: time.Duration(min(ended.AgoMs, math.MaxInt32)) * time.Millisecond,
		})
	}
	m.Answering = decodeAnswering(w.Answering)
	if w.Update != nil {
		update, err := names.update(w.Update)
		if err != nil {
			return nil, err
		}
		m.Update = &update
	}
	if w.Loads != nil {
		m.Loads = names.loads(w.Loads)
	}
	return m, names.err
}

func (t *nameTable) loads(report *LoadReport) *relayv1.Loads {
	w := &relayv1.Loads{}
	for _, r := range report.Services {
		w.Loads = append(w.Loads, &relayv1.Load{Service: t.index(r.Service), AnswersTenths: tenths(r.Answers), MeanTenthsMs: tenths(r.MeanMS), OccupancyHundredths: encodeOccupancy(r.Occupancy)})
	}
	for _, r := range report.Remote {
		encoded := &relayv1.RemoteLoad{
			FailureDomain: t.index(r.Domain), MeanTenthsMs: tenths(r.MeanMS), AgeMs: uint32(min(max(r.Age.Milliseconds(), 0), math.MaxUint32)),
			OccupancyHundredths: encodeOccupancy(r.Occupancy),
		}
		if r.Service != "" {
			service := t.index(r.Service)
			encoded.Service = &service
		}
		w.Remote = append(w.Remote, encoded)
	}
	if report.InFlight != nil {
		w.InFlight = report.InFlight.Encode()
	}
	return w
}

func (r *nameReader) loads(w *relayv1.Loads) *LoadReport {
	report := &LoadReport{}
	for _, l := range w.Loads {
		report.Services = append(report.Services, load.Report{
			Service: r.name(l.Service), Answers: float64(l.AnswersTenths) / 10, MeanMS: float64(l.MeanTenthsMs) / 10, Occupancy: decodeOccupancy(l.OccupancyHundredths),
		})
	}
	for _, l := range w.Remote {
		decoded := load.RemoteReport{
			Domain: r.name(l.FailureDomain), MeanMS: float64(l.MeanTenthsMs) / 10, Age: time.Duration(l.AgeMs) * time.Millisecond,
			Occupancy: decodeOccupancy(l.OccupancyHundredths),
		}
		if l.Service != nil {
			decoded.Service = r.name(*l.Service)
		}
		report.Remote = append(report.Remote, decoded)
	}
	if w.InFlight != nil {
		inFlight, err := inflight.Decode(w.InFlight)
		if err != nil {
			r.fail(err)
		}
		report.InFlight = inFlight
	}
	return report
}

// encodeState encodes the whole state of a kind, its age and a list of members.
func encodeState(update catalogsync.Update, age time.Duration, members []mention) ([]byte, error) {
	names := newNameTable()
	w := &relayv1.State{Update: names.update(update), AgeMs: uint64(age.Milliseconds())}
	for _, member := range members {
		w.Members = append(w.Members, names.member(member))
	}
	w.Names = names.names
	return proto.Marshal(w)
}

// decodeState decodes what encodeState has encoded. It fails with *MessageError.
func decodeState(data []byte) (catalogsync.Update, time.Duration, []mention, error) {
	var w relayv1.State
	if err := proto.Unmarshal(data, &w); err != nil {
		return catalogsync.Update{}, 0, nil, &MessageError{Err: err}
	}
	if w.Update == nil {
		return catalogsync.Update{}, 0, nil, &MessageError{Err: errStateEmpty}
	}
	names := &nameReader{names: w.Names}
	update, err := names.update(w.Update)
	var members []mention
	for _, member := range w.Members {
		members = append(members, names.member(member))
	}
	if err = errors.Join(err, names.err); err != nil {
		return catalogsync.Update{}, 0, nil, &MessageError{Err: err}
	}
	return update, milliseconds(w.AgeMs), members, nil
}

// milliseconds returns a duration, which is bounded to a day, because a sum with a
// larger one could overflow.
func milliseconds(ms uint64) time.Duration {
	const day = 24 * time.Hour
	return min(time.Duration(min(ms, uint64(day.Milliseconds())))*time.Millisecond, day)
}

func encodeIncarnations(incarnations []UpstreamIncarnation) []*relayv1.Incarnation {
	var encoded []*relayv1.Incarnation
	for _, u := range incarnations {
		encoded = append(encoded, &relayv1.Incarnation{Id: u.ID, Born: u.Born})
	}
	return encoded
}

func decodeIncarnations(encoded []*relayv1.Incarnation) []UpstreamIncarnation {
	var incarnations []UpstreamIncarnation
	for _, u := range encoded {
		incarnations = append(incarnations, UpstreamIncarnation{ID: u.Id, Born: u.Born})
	}
	return incarnations
}

// encodeAnswering returns nil for a message without answers or the number of a report.
func encodeAnswering(a Answering) *relayv1.Answering {
	if a.Report == 0 && len(a.Answers) == 0 {
		return nil
	}
	w := &relayv1.Answering{Report: a.Report, PassedOn: a.PassedOn}
	for _, answer := range a.Answers {
		w.Answers = append(w.Answers, &relayv1.Answer{
			Upstream: &relayv1.Incarnation{Id: answer.Upstream.ID, Born: answer.Upstream.Born},
			AgeMs:    uint32(min(max(answer.Age.Milliseconds(), 0), math.MaxUint32)),
		})
	}
	return w
}

func decodeAnswering(w *relayv1.Answering) Answering {
	a := Answering{Report: w.GetReport(), PassedOn: w.GetPassedOn()}
	for _, answer := range w.GetAnswers() {
		a.Answers = append(a.Answers, UpstreamAnswer{
			Upstream: UpstreamIncarnation{ID: answer.GetUpstream().GetId(), Born: answer.GetUpstream().GetBorn()},
			Age:      milliseconds(uint64(answer.GetAgeMs())),
		})
	}
	return a
}

func (t *nameTable) member(m mention) *relayv1.Member {
	w := &relayv1.Member{Name: m.Name, FailureDomain: t.index(m.FailureDomain), Address: appendAddress(m.Address)}
	if m.HeardMS != nil {
		heard := uint64(max(*m.HeardMS, 0))
		w.HeardMs = &heard
	}
	return w
}

func (r *nameReader) member(w *relayv1.Member) mention {
	m := mention{Member: Member{Name: w.Name, FailureDomain: r.name(w.FailureDomain), Address: r.address(w.Address)}}
	if w.HeardMs != nil {
		heard := milliseconds(*w.HeardMs).Milliseconds()
		m.HeardMS = &heard
	}
	return m
}

func encodeOccupancy(o load.Occupancy) *uint32 {
	if !o.Known {
		return nil
	}
	hundredths := tenths(10 * o.PerSlot)
	return &hundredths
}

func decodeOccupancy(hundredths *uint32) load.Occupancy {
	if hundredths == nil {
		return load.Occupancy{}
	}
	return load.Occupancy{PerSlot: float64(*hundredths) / 100, Known: true}
}
