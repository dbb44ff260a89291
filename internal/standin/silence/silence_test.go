package silence

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a fault that reaches new connections, or that ends old ones
// with an error instead of silence.
func TestOnlyPresentConnectionsAreSilent(t *testing.T) {
	var gate Gate
	server := httptest.NewUnstartedServer(gate.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	server.Config.ConnContext = gate.ConnContext
	server.Start()
	defer server.Close()
	client := func() *http.Client { return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}} }
	get := func(c *http.Client, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		resp, err := c.Do(req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	old := client()
	require.NoError(t, get(old, 10*time.Second))
	gate.Silence()
	require.ErrorIs(t, get(old, 50*time.Millisecond), context.DeadlineExceeded)
	require.NoError(t, get(client(), 10*time.Second))
}
