package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader: at 300 bytes a line 1.2 MB.
	queuedLines = 4096
	// closeTimeout bounds the wait for a slow reader when a process stops.
	closeTimeout = 500 * time.Millisecond
)

// Bounded is a writer that never blocks its callers: lines wait in a queue for the reader behind it, and those that
// find no place are left out and counted. It is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Int64
	stopped sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// NewBounded returns a writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns how many lines were left out and not reported yet.
func (b *Bounded) LeftOut() int64 { return b.leftOut.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.pass(line)
		case <-b.stop:
			b.drain()
			return
		}
	}
}

// pass hands one line to the reader. A log that can't be written has nowhere to say so.
func (b *Bounded) pass(line []byte) {
	_, _ = b.out.Write(line)
	if len(b.lines) == 0 {
		b.report()
	}
}

// drain hands over what is queued.
func (b *Bounded) drain() {
	for {
		select {
		case line := <-b.lines:
			b.pass(line)
		default:
			b.report()
			return
		}
	}
}

// report writes how many lines were left out since the last report.
func (b *Bounded) report() {
	if n := b.leftOut.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.out, "%s [WARN]  log: lines left out because the reader was too slow: lines=%d\n",
			time.Now().Format(timeFormat), n)
	}
}

// Close writes what is queued, as far as the reader takes it in time. Lines that come later may be lost.
func (b *Bounded) Close() {
	b.stopped.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
