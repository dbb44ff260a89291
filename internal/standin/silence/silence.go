// Package silence injects a network fault into an HTTP server: connections that
// are open when the fault is set never answer again and are not closed, as if
// their network path failed without an error. Later connections work.
package silence

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Injector decides which connections of an http.Server are silent. Its zero
// value is ready for use. It must not be copied and is safe for concurrent use.
type Injector struct {
	// generation counts the calls of Silence. A connection is silent if it was
	// opened in an earlier generation.
	generation atomic.Uint64
}

type generationKey struct{}

// ConnContext stores the current generation in the context of a new connection.
// It has to be set as the ConnContext of the http.Server.
func (i *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, generationKey{}, i.generation.Load())
}

// Silence makes every connection that is open now silent for good.
func (i *Injector) Silence() { i.generation.Add(1) }

// Wrap returns a handler that passes requests on to next. On a silent connection
// it blocks until the client gives up and then aborts the request.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened, ok := r.Context().Value(generationKey{}).(uint64)
		if ok && opened < i.generation.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
