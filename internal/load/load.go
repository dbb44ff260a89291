// Package load estimates how long requests take at the upstreams of each service in each
// failure domain, and how much quicker they are answered in another failure domain. A
// View combines the answers that an instance sees with the reports of other instances.
// It reads no clock and has no I/O.
package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of the weight of an answer in the own failure domain:
	// long enough for a dozen answers on an instance with little traffic, short against
	// the 2 s in which a queue of an overloaded domain becomes full.
	halfLife = 400 * time.Millisecond
	// minAnswers is the least weight of answers with which a response time is used.
	minAnswers = 4
	// reportSmoothing is the weight of a new report of another failure domain against
	// the earlier ones.
	reportSmoothing = 0.5
	// answerSmoothing is the weight of one answer from another failure domain.
	answerSmoothing = 0.1
	// reportTimeout is the age from which a report of another failure domain is not used.
	reportTimeout = 3 * time.Second
	// othersInterval is the mean time between two reports to other failure domains of an
	// instance that is one of domainReporters in its own. With more instances, each one
	// reports less often: bytes between failure domains are dear, and peers pass on what
	// they receive. After a change by reportedChange, the next report follows within a
	// quarter of that time.
	othersInterval  = 500 * time.Millisecond
	domainReporters = 4
	reportedChange  = 0.15
	// remoteCost is the response time that a request must save to leave its failure
	// domain, besides the standard error of the estimate: the longest round trip between
	// the users' domains.
	remoteCost = 3 * time.Millisecond
	// estimateMargin is the number of standard errors of the own estimate that count in
	// addition: with one, flows crossed failure domains in calm deployments of 70
	// instances, and the other domains noticed a crash later.
	estimateMargin = 1.5
	// MaxReports is the largest number of services in one report, and of reports of other
	// failure domains that one message passes on.
	MaxReports = 16
	// maxDomains bounds the failure domains that a View knows, because their names come
	// from messages.
	maxDomains = 64
)

// Report is what an instance tells others about one service in its failure domain. To
// its peers it tells the answers since the last report, to other failure domains the
// estimate of the domain.
type Report struct {
	Service string
	// Answers is the number of answers, or the weight of the estimate.
	Answers float64
	// MeanMS is their mean response time in ms.
	MeanMS float64
	// Occupancy is that of the domain, in a report to other failure domains.
	Occupancy Occupancy
}

// RemoteReport is what another failure domain has reported, as a peer passes it on.
type RemoteReport struct {
	Domain string
	// Service is empty for a report that says only that the domain was heard.
	Service   string
	MeanMS    float64
	Occupancy Occupancy
	// Age is the time since the report.
	Age time.Duration
}

// Reports holds the reports that an instance sends.
type Reports struct {
	// Peers and Remote go to instances of the same failure domain, Others to other ones.
	// Remote holds what has arrived from other domains since the last call. Others is nil
	// when no report is due, and empty when there is nothing to report: the receivers
	// then know that the domain is within reach.
	Peers, Others []Report
	Remote        []RemoteReport
}

// answers is a sum over answers. Its weight may decay.
type answers struct {
	weight, totalMS float64
	// at is the time of the last decay.
	at time.Time
}

func (a *answers) add(weight, meanMS float64) {
	a.weight += weight
	a.totalMS += weight * meanMS
}

func (a *answers) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(a.at)) / float64(halfLife))
	a.weight, a.totalMS, a.at = a.weight*factor, a.totalMS*factor, now
}

func (a *answers) meanMS() float64 { return a.totalMS / a.weight }

// standardErrorMS returns the standard error of the mean in ms, for response times whose
// standard deviation is as large as their mean.
func (a *answers) standardErrorMS() float64 { return a.meanMS() / math.Sqrt(a.weight) }

// remoteLoad is the estimate of a service in another failure domain.
type remoteLoad struct {
	meanMS float64
	// at is the time of the last report or answer, reportedAt that of the last report.
	at, reportedAt time.Time
	// occupancy is that of the last report.
	occupancy Occupancy
}

// remoteKey names a service in another failure domain; without a service, the domain.
type remoteKey struct{ service, domain string }

// View is what an instance knows about the load of services. It is not safe for
// concurrent use.
type View struct {
	// local stores the estimate of the own failure domain by service, unreported the
	// own answers since the last report. Entries are not deleted: there are as many as
	// services.
	local, unreported map[string]*answers
	remote            map[remoteKey]remoteLoad
	// news holds the keys of the reports that TakeReports passes on next.
	news map[remoteKey]bool
	// othersDue is the time of the next report to other failure domains; zero before the
	// first call of TakeReports. hastened is set when a change has moved it forward.
	// othersMS is what the last report said by service.
	othersDue time.Time
	hastened  bool
	othersMS  map[string]float64
	rng       *rand.Rand
	// occupancies stores the occupancies of the own failure domain by service,
	// othersOccupancy those that the last report to others said.
	occupancies, othersOccupancy map[string]float64
	// tellsOccupancy holds the failure domains whose reports contain occupancies.
	tellsOccupancy map[string]bool
	// heard stores when another failure domain last reported anything.
	heard map[string]time.Time
}

// NewView returns a view without any answers. The seed spreads the reports of instances
// over time.
func NewView(seed uint64) *View {
	return &View{
		local: map[string]*answers{}, unreported: map[string]*answers{}, remote: map[remoteKey]remoteLoad{}, news: map[remoteKey]bool{},
		heard: map[string]time.Time{}, othersMS: map[string]float64{}, occupancies: map[string]float64{}, othersOccupancy: map[string]float64{},
		tellsOccupancy: map[string]bool{},
		rng:            rand.New(rand.NewPCG(seed, 0)),
	}
}

// RecordRemoteAnswer records the response time of an upstream of another failure domain.
// It includes the way there.
func (v *View) RecordRemoteAnswer(now time.Time, service, domain string, took time.Duration) {
	key := remoteKey{service, domain}
	known := v.remote[key]
	known.smooth(now, float64(took)/float64(time.Millisecond), answerSmoothing)
	v.remote[key] = known
}

// smooth adds a response time from the time at with a weight. It replaces an estimate
// that is not used any more.
func (r *remoteLoad) smooth(at time.Time, meanMS, weight float64) {
	if !r.at.IsZero() && at.Sub(r.at) < reportTimeout {
		meanMS = weight*meanMS + (1-weight)*r.meanMS
	}
	r.meanMS = meanMS
	if at.After(r.at) {
		r.at = at
	}
}

// RecordAnswer records the response time of an upstream of the own failure domain.
func (v *View) RecordAnswer(now time.Time, service string, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	v.addLocal(now, service, 1, ms)
	unreported := v.unreported[service]
	if unreported == nil {
		unreported = &answers{}
		v.unreported[service] = unreported
	}
	unreported.add(1, ms)
}

func (v *View) addLocal(now time.Time, service string, weight, meanMS float64) {
	local := v.local[service]
	if local == nil {
		local = &answers{at: now}
		v.local[service] = local
	}
	local.decay(now)
	local.add(weight, meanMS)
}

// TakeReports returns the reports to send now: at most MaxReports services each, those
// with the most answers. instances is the number of instances in the own failure domain.
func (v *View) TakeReports(now time.Time, instances int) Reports {
	var peers []Report
	for service, unreported := range v.unreported {
		peers = append(peers, newReport(service, unreported))
	}
	clear(v.unreported)
	return Reports{Peers: largest(peers), Remote: v.takeNews(now), Others: v.takeOthers(now, instances)}
}

// takeNews returns the newest reports of other failure domains since the last call.
func (v *View) takeNews(now time.Time) []RemoteReport {
	var news []RemoteReport
	for key := range v.news {
		age := now.Sub(v.heard[key.domain])
		if key.service != "" {
			age = now.Sub(v.remote[key].reportedAt)
		}
		news = append(news, RemoteReport{Domain: key.domain, Service: key.service, MeanMS: v.remote[key].meanMS, Occupancy: v.remote[key].occupancy, Age: age})
	}
	clear(v.news)
	slices.SortFunc(news, func(a, b RemoteReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service))
	})
	return news[:min(len(news), MaxReports)]
}

// takeOthers returns the report to other failure domains, or nil when none is due.
func (v *View) takeOthers(now time.Time, instances int) []Report {
	interval := float64(othersInterval) * max(1, float64(instances)/domainReporters)
	if v.othersDue.IsZero() {
		v.othersDue = now.Add(time.Duration(interval * v.rng.Float64()))
	}
	others, changed := []Report{}, false
	for service, local := range v.local {
		if local.decay(now); local.weight < minAnswers {
			continue
		}
		report := newReport(service, local)
		report.Occupancy = v.ownOccupancy(service)
		others = append(others, report)
		changed = changed || math.Abs(report.Occupancy.PerSlot-v.othersOccupancy[service]) > reportedOccupancyChange
		margin := max(reportedChange*v.othersMS[service], estimateMargin*local.standardErrorMS())
		changed = changed || math.Abs(report.MeanMS-v.othersMS[service]) > margin
	}
	if changed && !v.hastened {
		v.hastened = true
		if soon := now.Add(time.Duration(interval / 4 * v.rng.Float64())); soon.Before(v.othersDue) {
			v.othersDue = soon
		}
	}
	if now.Before(v.othersDue) {
		return nil
	}
	v.othersDue, v.hastened = now.Add(time.Duration(interval*(0.5+v.rng.Float64()))), false
	for _, report := range others {
		v.othersMS[report.Service], v.othersOccupancy[report.Service] = report.MeanMS, report.Occupancy.PerSlot
	}
	return largest(others)
}

// newReport returns a report with one decimal place.
func newReport(service string, a *answers) Report {
	return Report{Service: service, Answers: math.Round(10*a.weight) / 10, MeanMS: math.Round(10*a.meanMS()) / 10}
}

func largest(reports []Report) []Report {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Answers, a.Answers), cmp.Compare(a.Service, b.Service))
	})
	return reports[:min(len(reports), MaxReports)]
}

// HandlePeerReports adds the answers that an instance of the own failure domain has
// seen, and what it passes on from others. Reports with values out of range are ignored.
func (v *View) HandlePeerReports(now time.Time, reports []Report, remote []RemoteReport) {
	for _, report := range reports {
		if report.valid() {
			v.addLocal(now, report.Service, report.Answers, report.MeanMS)
		}
	}
	for _, report := range remote {
		if report.Age < 0 || report.Age >= reportTimeout || !v.hear(now, report.Domain, report.Age) {
			continue
		}
		if report.Service != "" && validMS(report.MeanMS) {
			v.handleRemote(now.Add(-report.Age), report.Service, report.Domain, report.MeanMS, report.Occupancy)
		}
	}
}

// HandleReports records the estimates of another failure domain.
func (v *View) HandleReports(now time.Time, domain string, reports []Report) {
	if !v.hear(now, domain, 0) {
		return
	}
	for _, report := range reports {
		if report.valid() {
			v.handleRemote(now, report.Service, domain, report.MeanMS, report.Occupancy)
		}
	}
}

// hear records that a failure domain was heard the time age ago. It returns false when
// too many domains are known.
func (v *View) hear(now time.Time, domain string, age time.Duration) bool {
	at, known := v.heard[domain]
	if !known && len(v.heard) >= maxDomains {
		return false
	}
	if heard := now.Add(-age); heard.After(at) {
		v.heard[domain] = heard
		v.news[remoteKey{domain: domain}] = true
	}
	return true
}

// handleRemote adds an estimate that another failure domain reported at a time, unless a
// report as new is known: peers pass on the same one several times.
func (v *View) handleRemote(at time.Time, service, domain string, meanMS float64, occupancy Occupancy) {
	key := remoteKey{service, domain}
	known := v.remote[key]
	if !at.After(known.reportedAt) {
		return
	}
	known.smooth(at, meanMS, reportSmoothing)
	known.reportedAt, known.occupancy = at, occupancy.valid()
	v.tellsOccupancy[domain] = known.occupancy.Known
	v.remote[key] = known
	v.news[key] = true
}

// Heard tells whether an instance of another failure domain has reported within
// reportTimeout, so that this one is not partitioned from the domain.
func (v *View) Heard(now time.Time, domain string) bool {
	at, known := v.heard[domain]
	return known && now.Sub(at) < reportTimeout
}

// valid tells whether the values of a report are in range: reports come from other
// instances, which may be faulty.
func (r Report) valid() bool {
	const maxAnswers = 1e6
	return r.Answers > 0 && r.Answers < maxAnswers && validMS(r.MeanMS)
}

func validMS(ms float64) bool {
	const maxMS = 1e6
	return ms >= 0 && ms < maxMS
}

// Advantage returns the part of the response time, 0 to 1, that a request saves in
// another failure domain beyond remoteCost and estimateMargin. A domain that is heard but
// says nothing about the service has little traffic; it counts as the quickest one that
// is known. The advantage is 0 when the domain is not heard, or the own response time is
// not known.
func (v *View) Advantage(now time.Time, service, domain string) float64 {
	local := v.local[service]
	if local == nil || !v.Heard(now, domain) {
		return 0
	}
	if local.decay(now); local.weight < minAnswers {
		return 0
	}
	remoteMS, known := v.remoteMS(now, service, domain)
	if !known {
		remoteMS = v.quickestMS(now, service, local.meanMS())
	}
	costMS := float64(remoteCost)/float64(time.Millisecond) + estimateMargin*local.standardErrorMS()
	return max(0, 1-(remoteMS+costMS)/local.meanMS())
}

// remoteMS returns the response time of another failure domain in ms, if it is known.
func (v *View) remoteMS(now time.Time, service, domain string) (float64, bool) {
	remote := v.remote[remoteKey{service, domain}]
	return remote.meanMS, !remote.at.IsZero() && now.Sub(remote.at) < reportTimeout
}

// quickestMS returns the least of localMS and the known response times of the other
// failure domains, in ms.
func (v *View) quickestMS(now time.Time, service string, localMS float64) float64 {
	for domain := range v.heard {
		if ms, known := v.remoteMS(now, service, domain); known {
			localMS = min(localMS, ms)
		}
	}
	return localMS
}
