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

// output collects lines; while stuck, it takes none.
type output struct {
	mu    sync.Mutex
	lines bytes.Buffer
	stuck chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.stuck != nil {
		<-o.stuck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.String()
}

// Guards against a line without its fields or its instance.
func TestLinesHaveKeysAndValues(t *testing.T) {
	out := &output{}
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

// Guards against a slow output that holds up traffic, and against lost lines
// that nobody counts.
func TestStuckOutputNeverBlocks(t *testing.T) {
	out := &output{stuck: make(chan struct{})}
	log := New("edge-a-1", logrus.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- log.Run(ctx, out) }()
	began := time.Now()
	for range 2 * queueLines {
		log.Event(logrus.InfoLevel, "line", nil)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	_, overflowed := log.Lost()
	require.GreaterOrEqual(t, overflowed, int64(queueLines-2))
	close(out.stuck)
	cancel()
	require.NoError(t, <-done)
}

// Guards against a volume that grows with the load: lines about flows are
// limited, lines about the instance are not.
func TestFlowLinesAreLimited(t *testing.T) {
	log := New("edge-a-1", logrus.InfoLevel)
	built := 0
	for range 3 * burstLines {
		log.Flow(logrus.InfoLevel, "flow_forward", func() logrus.Fields { built++; return nil })
	}
	limited, _ := log.Lost()
	require.InDelta(t, burstLines, built, linesPerSecond)
	require.EqualValues(t, 3*burstLines-built, limited)
	require.Positive(t, log.report(0))
}
