package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// pipe takes nothing until it is opened.
type pipe struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (p *pipe) Write(line []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.Write(line)
}

func TestFullPipeBlocksNobodyAndIsReported(t *testing.T) {
	p := &pipe{open: make(chan struct{})}
	b := NewBounded(p)
	const more = 100
	for i := range queuedLines + more {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		must.NoError(t, err)
	}
	// One line may be in the writer's hands.
	must.Between(t, more-1, b.LeftOut(), more)
	left := b.LeftOut()
	close(p.open)
	b.Close()
	<-b.done
	text := p.got.String()
	must.StrContains(t, text, "line 0\n")
	must.StrContains(t, text, fmt.Sprintf("lines=%d\n", left))
	must.EqOp(t, queuedLines+more-int(left)+1, strings.Count(text, "\n"))
}
