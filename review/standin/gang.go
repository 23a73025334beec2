package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second

// gang is one run of a gang. Its members work once all are present, and end together.
type gang struct {
	mu      sync.Mutex
	size    int
	present int
	took    time.Duration
	began   time.Time
	endsAt  time.Time // zero until all members are present
	broken  bool
}

// gangs holds the runs of all gangs, by step and run.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gang
}

func newGangs() *gangs { return &gangs{runs: make(map[string]*gang)} }

// join adds a member of a run of a gang.
func (g *gangs) join(task string, run, size int, took time.Duration) *gang {
	step := task[:strings.LastIndex(task, ".")]
	key := fmt.Sprintf("%s/%d", step, run)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	if r == nil {
		r = &gang{size: size, took: took, began: time.Now()}
		g.runs[key] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present++; r.present == size && !r.broken {
		r.endsAt = time.Now().Add(took)
	}
	return r
}

// ended records that a member has ended.
func (r *gang) ended(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how != "done" {
		r.broken = true
	}
}

// state reports whether a member that runs is to end now, and how.
func (r *gang) state(now time.Time) (how string, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.broken:
		return "broken", true
	case r.endsAt.IsZero():
		return "alone", now.Sub(r.began) > gangTimeout
	}
	return "done", !now.Before(r.endsAt)
}
