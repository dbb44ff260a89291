package eventlog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// blockableOutput collects lines. If unblock is set, writes block until it is closed.
type blockableOutput struct {
	mu      sync.Mutex
	lines   bytes.Buffer
	unblock chan struct{}
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

func (o *blockableOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.String()
}

// Guards against log lines that lack their fields or the instance's name, and
// against computing the fields of a line whose level is disabled.
func TestLinesHaveKeysAndValues(t *testing.T) {
	out := &blockableOutput{}
	log := New("edge-a-1", logrus.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- log.Run(ctx, out) }()
	log.Event(logrus.InfoLevel, "started", logrus.Fields{"failure_domain": "a"})
	log.Flow(logrus.InfoLevel, "flow_forward", func() logrus.Fields { return logrus.Fields{"upstream": "i-1"} })
	log.Flow(logrus.DebugLevel, "hidden", func() logrus.Fields { t.Error("called for a line that is not written"); return nil })
	cancel()
	require.NoError(t, <-done)
	require.Equal(t, 2, strings.Count(out.String(), "\n"))
	for _, part := range []string{"event=started", "failure_domain=a", "instance=edge-a-1", "event=flow_forward", "upstream=i-1"} {
		require.Contains(t, out.String(), part)
	}
}

// Guards against a blocked output that delays callers, and against lost lines
// that are not counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockableOutput{unblock: make(chan struct{})}
	log := New("edge-a-1", logrus.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- log.Run(ctx, out) }()
	start := time.Now()
	for range 2 * queueLines {
		log.Event(logrus.InfoLevel, "line", nil)
	}
	require.Less(t, time.Since(start), 2*time.Second)
	_, overflowed := log.Lost()
	require.GreaterOrEqual(t, overflowed, int64(queueLines-2))
	close(out.unblock)
	cancel()
	require.NoError(t, <-done)
}

// Guards against a log volume that grows with the load: lines about flows are
// rate-limited.
func TestFlowLinesAreRateLimited(t *testing.T) {
	log := New("edge-a-1", logrus.InfoLevel)
	written := 0
	for range 3 * burstLines {
		log.Flow(logrus.InfoLevel, "flow_forward", func() logrus.Fields { written++; return nil })
	}
	limited, _ := log.Lost()
	require.InDelta(t, burstLines, written, linesPerSecond)
	require.EqualValues(t, 3*burstLines-written, limited)
	require.Positive(t, log.reportLost(0))
}
