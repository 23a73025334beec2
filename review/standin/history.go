package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// doneRun is a run that ended done on a minion.
type doneRun struct {
	minion string
	n      int64
	run    int
	at     time.Time
	noted  bool
	// lapsedFirst is set if the minion's lease lapsed before the end was taken note of.
	lapsedFirst bool
}

// lateStart is a start after a run of the task had ended done.
type lateStart struct {
	task, minion string
	run          int
	after        *doneRun
}

// history is what all minions have run, for the check of the rule TWICE.
type history struct {
	mu      sync.Mutex
	starts  map[string]int                // starts by task
	active  map[string]map[string]int     // run by minion, by task
	done    map[string]*doneRun           // first run that ended done, by task
	byEnd   map[string]map[int64]*doneRun // by minion and number
	late    []lateStart
	overlap []string
	ends    map[string][]string // how the runs of a task ended
	values  map[string][]string // checkpoints that the starts of a run of a step carried
}

func newHistory() *history {
	return &history{
		starts: make(map[string]int), active: make(map[string]map[string]int), done: make(map[string]*doneRun),
		byEnd: make(map[string]map[int64]*doneRun), ends: make(map[string][]string), values: make(map[string][]string),
	}
}

func (h *history) started(minion, task string, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[task]++
	for other, r := range h.active[task] {
		h.overlap = append(h.overlap, fmt.Sprintf("%s run %d starts on %s while run %d is on %s", task, run, minion, r, other))
	}
	if h.active[task] == nil {
		h.active[task] = make(map[string]int)
	}
	h.active[task][minion] = run
	if d := h.done[task]; d != nil {
		h.late = append(h.late, lateStart{task, minion, run, d})
	}
}

func (h *history) gone(minion, task string, _ int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.active[task], minion)
}

func (h *history) ended(minion string, n int64, task string, run int, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.active[task], minion)
	h.ends[task] = append(h.ends[task], how)
	if how != "done" {
		return
	}
	d := &doneRun{minion: minion, n: n, run: run, at: time.Now()}
	if h.done[task] == nil {
		h.done[task] = d
	}
	if h.byEnd[minion] == nil {
		h.byEnd[minion] = make(map[int64]*doneRun)
	}
	h.byEnd[minion][n] = d
}

// lapsed records that the lease of a minion has lapsed.
func (h *history) lapsed(minion string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.byEnd[minion] {
		if !d.noted {
			d.lapsedFirst = true
		}
	}
}

// acknowledged records that the ends of a minion up to cursor are taken note of.
func (h *history) acknowledged(minion string, cursor int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n, d := range h.byEnd[minion] {
		if n <= cursor {
			d.noted = true
		}
	}
}

// twice returns the breaks of the rule TWICE.
func (h *history) twice() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := append([]string{}, h.overlap...)
	for _, s := range h.late {
		if s.after.noted && !s.after.lapsedFirst {
			list = append(list, fmt.Sprintf("%s run %d starts on %s after run %d ended done on %s (end %d), which was taken note of",
				s.task, s.run, s.minion, s.after.run, s.after.minion, s.after.n))
		}
	}
	return list
}

// count returns the numbers of tasks started, of starts, and of tasks done.
func (h *history) count() (tasks, starts, done int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.starts {
		starts += n
	}
	return len(h.starts), starts, len(h.done)
}

// endsOf returns how the runs of a task ended.
func (h *history) endsOf(task string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.ends[task]...)
}

// runsOn returns the minion on which a task runs, or "".
func (h *history) runsOn(task string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for minion := range h.active[task] {
		return minion
	}
	return ""
}

// carried records the checkpoint that a start carried.
func (h *history) carried(task string, run int, checkpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := fmt.Sprintf("%s run %d", task[:strings.LastIndex(task, ".")], run)
	h.values[key] = append(h.values[key], checkpoint)
}

// mixed returns the runs of steps whose starts carried different checkpoints.
func (h *history) mixed() (list []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, values := range h.values {
		for _, v := range values[1:] {
			if v != values[0] {
				list = append(list, fmt.Sprintf("%s: %q", key, values))
				break
			}
		}
	}
	return list
}
