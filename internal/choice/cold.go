package choice

// ColdRequest describes a new flow for which only cold upstreams are left.
type ColdRequest struct {
	// Highest is true when no route of a higher priority to the service is active.
	Highest bool
	// HasTurn is true for the callers of lower priorities that are admitted in any case.
	HasTurn bool
	// Budget is the number of opening packets that this instance may send to the cold
	// upstreams of the service in a second. HighestWanted is the number of those of the
	// highest active priority that arrived in the last second, LowerSent that of the lower
	// priorities that were sent.
	Budget, HighestWanted, LowerSent int
}

// MayUseCold tells whether a new flow may go to a cold upstream. Lower priorities get what
// the highest active one does not use, and the floor.
func MayUseCold(r ColdRequest) bool {
	return r.Highest || r.HasTurn || r.LowerSent < r.Budget-r.HighestWanted
}
