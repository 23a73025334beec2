// Package worker is a stand-in for one backend server of mode jobs: it runs tasks under a lease, as the users' platform
// describes, and records what it runs in a history.
package worker

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/soak/history"
)

// maxLease is the longest time that a lease lasts (hold_max_ms).
const maxLease = 10 * time.Second

// Work is the specification of a job, which its tasks carry as text: how much CPU each step takes, how long its tasks run,
// and how many percent of the runs fail.
type Work struct {
	CPU         []int64 `json:"cpu"`
	MS          []int64 `json:"ms"`
	FailPercent uint32  `json:"fail,omitempty"`
}

// Settings configures a worker.
type Settings struct {
	Name     string
	Life     int
	ID       string
	Capacity int64 // in thousandths of a core
	Guards   bool  // reject what does not fit
	// Rate is the rate of the worker's clock, 0.98 to 1.
	Rate  float64
	Plant string
}

// Worker holds the runs of a backend server. Its decisions are made at the times of its events, also if the process was
// suspended in between. It is safe for concurrent use.
type Worker struct {
	settings Settings
	out      *history.Writer
	born     int64 // by history.Now
	bornUnix int64

	mu       sync.Mutex
	fence    uint64
	deadline int64 // by history.Now
	running  map[string]*run
	highest  map[string]int // highest run of each task that was stopped or has ended
	ends     []end
	number   int64
	acked    int64
	changed  chan struct{} // closed at each end
	starts   int
}

type run struct {
	task          string
	number        int
	cpu           int64
	began, endsAt int64
	how           string
	listed        int64 // number of its end in the reports
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// New returns a worker that runs nothing.
func New(s Settings, out *history.Writer) *Worker {
	return &Worker{
		settings: s, out: out, born: history.Now(), bornUnix: time.Now().UnixMilli(),
		running: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
}

// clockMS returns the worker's clock at a time.
func (w *Worker) clockMS(t int64) int64 {
	return int64(float64(t-w.born) * w.settings.Rate / float64(time.Millisecond))
}

// timeOf returns the time at which the worker's clock shows ms.
func (w *Worker) timeOf(ms int64) int64 {
	return w.born + int64(float64(ms)*float64(time.Millisecond)/w.settings.Rate)
}

// advance ends the runs that have finished or lapsed until now, in the order of their ends.
func (w *Worker) advance(now int64) {
	for {
		var next *run
		for _, r := range w.running {
			if at := min(r.endsAt, w.deadline); at <= now && (next == nil || at < min(next.endsAt, w.deadline)) {
				next = r
			}
		}
		switch {
		case next == nil:
			return
		case next.endsAt <= w.deadline:
			w.end(next, next.how, next.endsAt)
		default:
			w.end(next, "lapsed", w.deadline)
		}
	}
}

// end ends a run at a time. The caller holds w.mu.
func (w *Worker) end(r *run, how string, at int64) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	if r.listed == 0 {
		w.list(r, how)
	}
	w.out.Add(history.Event{T: at, Kind: history.End, Node: w.settings.Name, Life: w.settings.Life, Task: r.task, Run: r.number, How: how, Number: r.listed})
}

// list adds an end to those that the worker reports.
func (w *Worker) list(r *run, how string) {
	w.number++
	r.listed = w.number
	w.ends = append(w.ends, end{number: w.number, task: r.task, run: r.number, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// nextEnd returns the time of the next end, or 0 if nothing runs.
func (w *Worker) nextEnd() int64 {
	var at int64
	for _, r := range w.running {
		if t := min(r.endsAt, w.deadline); at == 0 || t < at {
			at = t
		}
	}
	return at
}

// extend moves the deadline, which only grows.
func (w *Worker) extend(deadlineMS, now int64) {
	if deadlineMS == 0 {
		return
	}
	until := min(w.timeOf(deadlineMS), now+int64(maxLease))
	if until <= w.deadline {
		return
	}
	w.deadline = until
	w.out.Add(history.Event{T: now, Kind: history.Lease, Node: w.settings.Name, Life: w.settings.Life, Until: until})
}

// start starts a run and returns the status and the reason of a rejection.
func (w *Worker) start(o outside.StartOrder, now int64) (status int, reason string) {
	var work Work
	step, index := stepOf(o.Task), o.Task
	if json.Unmarshal([]byte(o.Spec), &work) != nil || step < 0 || step >= len(work.MS) {
		return 400, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if o.Fence < w.fence {
		return 409, "fence"
	}
	w.fence = o.Fence
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.DeadlineMS, now)
		return 200, ""
	}
	if o.DeadlineMS <= w.clockMS(now) && w.deadline <= now {
		return 409, "late"
	}
	w.extend(o.DeadlineMS, now)
	if o.Run <= w.highest[o.Task] {
		return 409, "old"
	}
	if w.settings.Guards && w.used()+work.CPU[step] > w.settings.Capacity {
		return 409, "room"
	}
	r := &run{task: o.Task, number: o.Run, cpu: work.CPU[step], began: now, how: "done"}
	r.endsAt = now + work.MS[step]*int64(time.Millisecond)
	if draw(index, o.Run) < work.FailPercent {
		r.how = "failed"
	}
	w.running[o.Task] = r
	w.record(r, now)
	return 200, ""
}

func (w *Worker) record(r *run, now int64) {
	e := history.Event{T: now, Kind: history.Start, Node: w.settings.Name, Life: w.settings.Life, Task: r.task, Run: r.number}
	w.out.Add(e)
	w.starts++
	w.plantAtStart(r, e)
}

func (w *Worker) used() int64 {
	var sum int64
	for _, r := range w.running {
		sum += r.cpu
	}
	return sum
}

// stop ends a run and all earlier ones of its task; later starts of them are rejected.
func (w *Worker) stop(task string, number int, fence uint64, now int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if fence < w.fence {
		return false
	}
	w.fence = fence
	w.highest[task] = max(w.highest[task], number)
	if r := w.running[task]; r != nil && r.number <= number {
		w.end(r, "stopped", now)
	}
	return true
}

// hold renews the lease and takes note of acknowledged ends. It returns false if the fencing token is too low, and a channel
// that is closed at the next end.
func (w *Worker) hold(o outside.HoldOrder, now int64) (ok bool, changed <-chan struct{}, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if o.Fence < w.fence {
		return false, nil, false
	}
	w.fence = o.Fence
	w.extend(o.DeadlineMS, now)
	if o.AckCursor > w.acked {
		w.acked = o.AckCursor
		w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.AckCursor })
		w.out.Add(history.Event{T: now, Kind: history.Ack, Node: w.settings.Name, Life: w.settings.Life, Number: o.AckCursor})
	}
	return true, w.changed, len(w.ends) > 0
}

// maxListedEnds is how many ends one report lists.
const maxListedEnds = 500

// report returns what runs and what has ended, in the form of the platform's protocol.
func (w *Worker) report(now int64) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", 100, r.cpu})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clockMS(now), "born": w.bornUnix, "running": running, "finished": finished}
}

// idle reports whether nothing runs and all ends are acknowledged.
func (w *Worker) idle(now int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return len(w.running) == 0 && len(w.ends) == 0
}

// draw returns a number below 100 that depends on task and run only.
func draw(task string, run int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	_, _ = h.Write([]byte{byte(run)})
	return h.Sum32() % 100
}
