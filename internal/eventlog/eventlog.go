// Package eventlog writes key=value lines without ever blocking the caller:
// lines pass a rate limit and a bounded queue, and what exceeds them is counted
// and reported instead of written.
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
	// queueLines is the number of lines that may wait for the output; about
	// 300 KB.
	queueLines = 1024
	// linesPerSecond and burstLines bound the lines about single flows. An
	// instance of the target size opens 66 flows a second; the limit leaves room
	// for a burst, and for three lines per flow.
	linesPerSecond = 400
	burstLines     = 800
	// reportInterval is how often lost lines are reported.
	reportInterval = 5 * time.Second
	// flushTimeout bounds how long the end of the process waits for the output.
	flushTimeout = 200 * time.Millisecond
)

// Log writes lines. It is safe for concurrent use.
type Log struct {
	entry   *logrus.Entry
	logger  *logrus.Logger
	queue   queue
	limiter *rate.Limiter
	limited atomic.Int64
}

// queue hands lines to the goroutine that writes them.
type queue struct {
	lines chan []byte
	lost  *atomic.Int64
}

// Write implements io.Writer; it never blocks and never fails.
func (q queue) Write(line []byte) (int, error) {
	// The formatter uses its buffer again.
	kept := append([]byte(nil), line...)
	select {
	case q.lines <- kept:
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// New returns a log whose lines carry the instance's name.
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

// SetLevel changes the least severe level that is written.
func (l *Log) SetLevel(level logrus.Level) { l.logger.SetLevel(level) }

// Event writes a line about the instance itself. It passes the rate limit.
func (l *Log) Event(level logrus.Level, event string, fields logrus.Fields) {
	l.entry.WithField("event", event).WithFields(fields).Log(level)
}

// Flow writes a line about a flow; fields is only called for a line that is
// written.
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

// Lost returns the number of lines that were not written: by the rate limit and
// because the output was too slow.
func (l *Log) Lost() (limited, overflowed int64) { return l.limited.Load(), l.queue.lost.Load() }

// Run writes to the output until ctx ends, and then what still waits.
func (l *Log) Run(ctx context.Context, output io.Writer) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.queue.lines:
			if _, err := output.Write(line); err != nil {
				// There is nowhere left to report it but the count.
				l.queue.lost.Add(1)
			}
		case <-ticker.C:
			reported = l.report(reported)
		case <-ctx.Done():
			return l.flush(output)
		}
	}
}

func (l *Log) report(reported int64) int64 {
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
