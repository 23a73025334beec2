package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks every Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	got      bytes.Buffer
}

func (p *blockedWriter) Write(line []byte) (int, error) {
	<-p.released
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.Write(line)
}

func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	p := &blockedWriter{released: make(chan struct{})}
	b := NewBoundedWriter(p)
	const excessLines = 100
	for i := range maxQueuedLines + excessLines {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		must.NoError(t, err)
	}
	// The writer goroutine may have taken one line out of the queue.
	must.Between(t, excessLines-1, b.Dropped(), excessLines)
	droppedLines := b.Dropped()
	close(p.released)
	b.Close()
	<-b.done
	text := p.got.String()
	must.StrContains(t, text, "line 0\n")
	must.StrContains(t, text, fmt.Sprintf("lines=%d\n", droppedLines))
	must.EqOp(t, maxQueuedLines+excessLines-int(droppedLines)+1, strings.Count(text, "\n"))
}
