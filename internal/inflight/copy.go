package inflight

import "maps"

// CopyForReading returns a view with the same requests and reports. Only Add and methods
// that read may be called on it; they do not change the original.
func (v *View) CopyForReading() *View {
	copied := *v
	meter := *v.Meter
	copied.Meter, copied.peers, copied.sums, copied.short = &meter, maps.Clone(v.peers), maps.Clone(v.sums), maps.Clone(v.short)
	meter.upstreams = maps.Clone(v.Meter.upstreams)
	for cookie, counter := range meter.upstreams {
		next := *counter
		meter.upstreams[cookie] = &next
	}
	for sender, peer := range copied.peers {
		next := *peer
		copied.peers[sender] = &next
	}
	return &copied
}
