// Package silence makes open HTTP connections silent for good while new ones
// work, the fault of a network path that dies without an error.
package silence

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Gate knows which connections are silent. Its zero value is ready for use and
// must not be copied.
type Gate struct {
	// generation counts the calls of Silence. A connection is silent when it
	// was opened in an earlier generation.
	generation atomic.Uint64
}

type generationKey struct{}

// ConnContext is the ConnContext of the http.Server.
func (g *Gate) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, generationKey{}, g.generation.Load())
}

// Silence makes every present connection silent.
func (g *Gate) Silence() { g.generation.Add(1) }

// Wrap returns a handler that never answers on a silent connection.
func (g *Gate) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened, ok := r.Context().Value(generationKey{}).(uint64)
		if ok && opened < g.generation.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
