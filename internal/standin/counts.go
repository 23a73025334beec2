package standin

import (
	"sync"
	"time"
)

// maxEvents bounds the events that a stand-in keeps; later ones are dropped.
const maxEvents = 1_000_000

// Event is the start (+1) or end (-1) of a run. The events of several stand-ins on one machine can be merged by
// time to compute what ran concurrently.
type Event struct {
	AtUnixNano int64  `json:"at"`
	Workspace  string `json:"team"`
	Delta      int    `json:"delta"`
}

// Counts holds the numbers of requests that a stand-in actually ran.
type Counts struct {
	Requests int            `json:"requests"`
	Runs     map[string]int `json:"runs"`     // by Idempotency-Key
	Peak     map[string]int `json:"peak"`     // highest number of concurrent runs, by workspace
	ByServer map[string]int `json:"byServer"` // requests by server
	Cut      int            `json:"cut"`      // requests that were aborted before the answer: by the caller or by a reboot
}

// runRecorder counts runs and records their starts and ends. It is safe for concurrent use.
type runRecorder struct {
	mu      sync.Mutex
	counts  Counts
	running map[string]int // by workspace
	events  []Event
}

func newRunRecorder() *runRecorder {
	return &runRecorder{
		counts:  Counts{Runs: make(map[string]int), Peak: make(map[string]int), ByServer: make(map[string]int)},
		running: make(map[string]int),
	}
}

func (r *runRecorder) start(server, workspace, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.counts.ByServer[server]++
	if key != "" {
		r.counts.Runs[key]++
	}
	r.running[workspace]++
	r.record(workspace, 1)
	r.counts.Peak[workspace] = max(r.counts.Peak[workspace], r.running[workspace])
}

func (r *runRecorder) end(workspace string, aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[workspace]--
	r.record(workspace, -1)
	if aborted {
		r.counts.Cut++
	}
}

// record appends an event. The caller must hold r.mu.
func (r *runRecorder) record(workspace string, delta int) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, Event{AtUnixNano: time.Now().UnixNano(), Workspace: workspace, Delta: delta})
	}
}

// copyEvents returns a copy of the events so far.
func (r *runRecorder) copyEvents() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// snapshot returns a copy of the counts.
func (r *runRecorder) snapshot() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Runs = copyCounts(r.counts.Runs)
	c.Peak = copyCounts(r.counts.Peak)
	c.ByServer = copyCounts(r.counts.ByServer)
	return c
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
