package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait for a slow output: 1.2 MB at 300 bytes per line.
	maxQueuedLines = 4096
	// closeTimeout limits the wait for a slow output when the process stops.
	closeTimeout = 500 * time.Millisecond
)

// BoundedWriter is a writer that never blocks its callers: it queues lines for a slow output, and drops and counts lines
// when the queue is full. It is safe for concurrent use.
type BoundedWriter struct {
	out      io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a copy of one line, or drops the line if the queue is full. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the output yet.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeLine(line)
		case <-b.stop:
			b.drain()
			return
		}
	}
}

// writeLine writes one line to the output. Errors are ignored: if the log can't be written, there is nowhere to report it.
func (b *BoundedWriter) writeLine(line []byte) {
	_, _ = b.out.Write(line)
	if len(b.lines) == 0 {
		b.reportDropped()
	}
}

// drain writes all queued lines.
func (b *BoundedWriter) drain() {
	for {
		select {
		case line := <-b.lines:
			b.writeLine(line)
		default:
			b.reportDropped()
			return
		}
	}
}

// reportDropped logs how many lines were dropped since the last report.
func (b *BoundedWriter) reportDropped() {
	if n := b.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.out, "%s [WARN]  log: lines left out because the reader was too slow: lines=%d\n",
			time.Now().Format(timeFormat), n)
	}
}

// Close writes the queued lines, for at most closeTimeout. Lines that are written after Close may be lost.
func (b *BoundedWriter) Close() {
	b.stopOnce.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
