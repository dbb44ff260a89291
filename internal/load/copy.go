package load

import "maps"

// CopyForReading returns a view with the same estimates. Only methods that read estimates
// may be called on it; they do not change the original.
func (v *View) CopyForReading() *View {
	copied := *v
	copied.local = maps.Clone(v.local)
	for service, local := range copied.local {
		next := *local
		copied.local[service] = &next
	}
	return &copied
}
