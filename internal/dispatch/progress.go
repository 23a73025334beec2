package dispatch

import (
	"context"
	"sync"
	"time"
)

// progress is the index of the newest log entry that is applied.
type progress struct {
	mu    sync.Mutex
	index uint64
	// moved is closed when the index grows; nil while nobody waits.
	moved chan struct{}
}

func (p *progress) advance(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if index <= p.index {
		return
	}
	p.index = index
	if p.moved != nil {
		close(p.moved)
		p.moved = nil
	}
}

func (p *progress) current() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index
}

// await waits until an entry is applied, for a time at most, and reports whether it is.
func (p *progress) await(ctx context.Context, index uint64, most time.Duration) bool {
	if p.current() >= index {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		p.mu.Lock()
		if p.index >= index {
			p.mu.Unlock()
			return true
		}
		if p.moved == nil {
			p.moved = make(chan struct{})
		}
		moved := p.moved
		p.mu.Unlock()
		select {
		case <-moved:
		case <-ctx.Done():
			return false
		}
	}
}
