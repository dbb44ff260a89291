// Package eventlog writes log lines of key=value pairs without blocking the
// caller. Lines wait in a bounded queue for the goroutine that writes them, and
// lines about single flows are rate-limited first. Lines beyond these limits are
// dropped, counted and reported.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the maximum number of lines that wait for the output, about
	// 300 KB.
	queueLines = 1024
	// linesPerSecond and burstLines are the rate and the burst of lines about
	// single flows. In a deployment of the target size an instance opens 66 flows
	// a second; the limit leaves room for three lines per flow and for bursts.
	linesPerSecond = 400
	burstLines     = 800
	// reportInterval is the time between two checks for lost lines, which Run
	// reports in a log line.
	reportInterval = 5 * time.Second
	// flushTimeout is the maximum time that Run spends on queued lines after its
	// context ended.
	flushTimeout = 200 * time.Millisecond
)

// Log queues log lines for Run, which writes them. It is safe for concurrent use.
type Log struct {
	entry   *logrus.Entry
	logger  *logrus.Logger
	queue   queue
	limiter *rate.Limiter
	// limited is the number of lines that the rate limit dropped.
	limited atomic.Int64
}

// queue is the logger's output. It passes lines to the goroutine that writes them.
type queue struct {
	lines chan []byte
	// lost is the number of lines that found the queue full or that the output
	// failed to write.
	lost *atomic.Int64
}

// Write implements io.Writer. It never blocks and returns no error: a line that
// finds the queue full is counted as lost.
func (q queue) Write(line []byte) (int, error) {
	// The formatter reuses its buffer, so the queue needs a copy.
	lineCopy := append([]byte(nil), line...)
	select {
	case q.lines <- lineCopy:
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// New returns a log that adds the instance's name to each line and drops lines
// less severe than level. Run must be running for lines to be written.
func New(instance string, level logrus.Level) *Log {
	l := &Log{
		logger:  logrus.New(),
		queue:   queue{lines: make(chan []byte, queueLines), lost: &atomic.Int64{}},
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
	}
	l.logger.SetLevel(level)
	l.logger.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	l.logger.SetOutput(l.queue)
	l.entry = l.logger.WithField("instance", instance)
	return l
}

// SetLevel sets the least severe level that is written.
func (l *Log) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }

// Event logs a line about the instance itself. The rate limit does not apply.
func (l *Log) Event(level logrus.Level, event string, fields logrus.Fields) {
	l.entry.WithField("event", event).WithFields(fields).Log(level)
}

// Flow logs a line about a single flow, subject to the rate limit. fields is called
// only when the level is enabled and the rate limit allows the line.
func (l *Log) Flow(level logrus.Level, event string, fields func() logrus.Fields) {
	if !l.logger.IsLevelEnabled(level) {
		return
	}
	if !l.limiter.Allow() {
		l.limited.Add(1)
		return
	}
	l.Event(level, event, fields())
}

// Lost returns how many lines were not written since the log was created: limited
// by the rate limit, overflowed because the queue was full or the output failed.
func (l *Log) Lost() (limited, overflowed int64) { return l.limited.Load(), l.queue.lost.Load() }

// Run writes queued lines to output until ctx ends, and then those still queued,
// for flushTimeout at most. It returns a write error only from this last step;
// before, a line that cannot be written is counted as lost.
func (l *Log) Run(ctx context.Context, output io.Writer) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.queue.lines:
			if _, err := output.Write(line); err != nil {
				// The output itself fails, so the error can only be counted.
				l.queue.lost.Add(1)
			}
		case <-ticker.C:
			reported = l.reportLost(reported)
		case <-ctx.Done():
			return l.flush(output)
		}
	}
}

// reportLost logs the numbers of lost lines when their sum exceeds reported, and
// returns the sum.
func (l *Log) reportLost(reported int64) int64 {
	limited, overflowed := l.Lost()
	if limited+overflowed > reported {
		l.Event(logrus.WarnLevel, "log_lines_lost", logrus.Fields{"rate_limited": limited, "queue_full": overflowed})
	}
	return limited + overflowed
}

func (l *Log) flush(output io.Writer) error {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-l.queue.lines:
			if _, err := output.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}
