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
	from    int // seconds of work that the checkpoint of its members stands for
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

// join adds a member of a run of a gang. All must carry the same checkpoint: members with another one can't work with the others.
func (g *gangs) join(task string, run, size int, took time.Duration, checkpoint string) *gang {
	step := task[:strings.LastIndex(task, ".")]
	key := fmt.Sprintf("%s/%d/%s", step, run, checkpoint)
	from := 0
	_, _ = fmt.Sscanf(checkpoint, checkpointFormat, &from)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	if r == nil {
		r = &gang{size: size, from: from, took: took - time.Duration(from)*time.Second, began: time.Now()}
		g.runs[key] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present++; r.present == size && !r.broken {
		r.endsAt = time.Now().Add(r.took)
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

// checkpointFormat is the format of a checkpoint: the seconds of work that it stands for.
const checkpointFormat = "saved%08d"

// saved returns the newest checkpoint: there is a new one with each second of work.
func (r *gang) saved() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := r.from
	if !r.endsAt.IsZero() {
		seconds += int((r.took - time.Until(r.endsAt)) / time.Second)
	}
	if seconds == 0 {
		return ""
	}
	return fmt.Sprintf(checkpointFormat, seconds)
}
