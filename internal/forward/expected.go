package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// expectedResponse returns the time that a new request is expected to take at an upstream
// of a service; false when it is not known.
func (e *Engine) expectedResponse(now time.Time, service *catalog.ServiceView, entry *catalog.Entry) (time.Duration, bool) {
	if !e.cfg.OverloadControl {
		return 0, false
	}
	return e.speed.estimates.Expected(now, service.Name, entry.Cookie, e.requestsInFlight(now, entry), entry.Capacity)
}
