package silence

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a silence fault that also affects connections opened later, or
// that closes the affected connections instead of leaving them unanswered.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	var injector Injector
	server := httptest.NewUnstartedServer(injector.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	server.Config.ConnContext = injector.ConnContext
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
	connected := client()
	require.NoError(t, get(connected, 10*time.Second))
	injector.Silence()
	require.ErrorIs(t, get(connected, 50*time.Millisecond), context.DeadlineExceeded)
	require.NoError(t, get(client(), 10*time.Second))
}
