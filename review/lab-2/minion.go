package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// work is what the spec of a job tells about its tasks, by step.
type work struct {
	CPU     []int64 `json:"cpu"`
	MS      []int64 `json:"ms"` // 0: the task lasts
	Startup int64   `json:"startup,omitempty"`
	// Gang is the number of tasks of a gang; 0 for other tasks. Fails is set if each run fails.
	Gang  int  `json:"gang,omitempty"`
	Fails bool `json:"fails,omitempty"`
}

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second
	stopTime          = 300 * time.Millisecond
	settledSteps      = 500
)

// run is a run of a task.
type run struct {
	task     string
	number   int
	cpu      int64
	began    time.Time
	endsAt   time.Time // zero: it lasts
	stopAt   time.Time // zero: it isn't being stopped
	workFrom time.Time
	how      string // how it ends by itself
	gang     *gang  // nil if it belongs to none
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// minion is one life of a machine. It behaves as the pages say, and runs nothing real.
type minion struct {
	c        *cluster
	id       string
	machine  *machine
	pool     string
	address  string
	capacity int64
	guards   bool
	born     time.Time
	bornMS   int64

	server *http.Server
	cancel context.CancelFunc

	mu       sync.Mutex
	fence    uint64
	deadline time.Time
	running  map[string]*run
	highest  map[string]int
	ends     []ended
	number   int64
	changed  chan struct{}
	seq      int64
	draining bool
	dead     bool
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() + 1000 }

// begin lets the minion listen and announce itself.
func (m *minion) begin() error {
	m.running, m.highest, m.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /laburnumrouter/run-start", m.start)
	mux.HandleFunc("POST /laburnumrouter/run-stop", m.stop)
	mux.HandleFunc("POST /laburnumrouter/hold", m.hold)
	mux.HandleFunc("POST /laburnumrouter/pace", m.pace)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.c.rec.add("minion %s of %s begins at %s, born %d", m.id, m.pool, m.address, m.bornMS)
	go m.beat(ctx)
	go m.watch(ctx)
	return nil
}

// crash ends the minion at once: connections are reset, and what ran is gone.
func (m *minion) crash(why string) {
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		return
	}
	m.dead = true
	tasks := make([]string, 0, len(m.running))
	for _, r := range m.running {
		if r.gang != nil {
			r.gang.leave("gone")
		}
		tasks = append(tasks, fmt.Sprintf("%s/%d", r.task, r.number))
	}
	m.running = nil
	m.mu.Unlock()
	slices.Sort(tasks)
	m.c.rec.add("minion %s ends (%s); it ran %v", m.id, why, tasks)
	m.cancel()
	_ = m.server.Close()
}

// beat sends heartbeats.
func (m *minion) beat(ctx context.Context) {
	at := 0
	for {
		m.mu.Lock()
		m.seq++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": m.pool, "address": m.address, "zone": m.machine.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": m.capacity, "mem_mb": 65536, "gpu": 0}, "labels": []string{m.machine.kind, m.machine.rack},
			"clock_ms": m.clock(time.Now()), "seq": m.seq, "born": m.bornMS,
		})
		m.mu.Unlock()
		for range controlCount {
			status, _ := call(ctx, time.Second, "PUT", "http://"+m.c.control(at)+"/laburnumrouter/instances/"+m.id, nil, body)
			if status == 200 || ctx.Err() != nil {
				break
			}
			at = (at + 1) % controlCount
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// watch ends runs at their times.
func (m *minion) watch(ctx context.Context) {
	for {
		m.mu.Lock()
		m.advance(time.Now())
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// advance ends the runs that are over. The caller holds m.mu.
func (m *minion) advance(now time.Time) {
	for _, r := range m.running {
		switch {
		case !now.Before(m.deadline):
			m.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			m.end(r, "stopped")
		case r.gang != nil:
			if how := r.gang.outcome(r, now); how != "" {
				m.end(r, how)
			}
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
			m.end(r, r.how)
		}
	}
}

func (m *minion) end(r *run, how string) {
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	if r.gang != nil {
		r.gang.leave(how)
	}
	m.number++
	m.ends = append(m.ends, ended{m.number, r.task, r.number, how})
	close(m.changed)
	m.changed = make(chan struct{})
	m.c.rec.add("minion %s: run %s/%d ends %s", m.id, r.task, r.number, how)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// receive decodes an order and checks its receiver and its fencing token. The caller must unlock m.mu if ok is set.
func (m *minion) receive(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if id := r.Header.Get("X-Expect-Instance"); id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	m.advance(time.Now())
	if o.Fence < m.fence {
		m.mu.Unlock()
		m.answer(w, 409, map[string]any{"reason": "fence"})
		return o, false
	}
	m.fence = o.Fence
	return o, true
}

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock(time.Now()), m.bornMS
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only if the caller has left
}

// extend moves the lease, which never shortens. The caller holds m.mu.
func (m *minion) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	until := m.born.Add(time.Duration(deadlineMS-1000) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if until.After(m.deadline) {
		m.deadline = until
	}
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	status, reason := m.startLocked(o)
	m.mu.Unlock()
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	m.answer(w, status, body)
}

func (m *minion) startLocked(o order) (status int, reason string) {
	var spec work
	parts := strings.Split(o.Task, ".")
	step := 0
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &step)
	}
	if json.Unmarshal([]byte(o.Spec), &spec) != nil || step >= len(spec.MS) {
		return 400, ""
	}
	now := time.Now()
	if known := m.running[o.Task]; known != nil && known.number == o.Run {
		m.extend(o.DeadlineMS)
		return 200, ""
	}
	if o.DeadlineMS <= m.clock(now) && !m.deadline.After(now) {
		return 409, "late"
	}
	m.extend(o.DeadlineMS)
	if o.Run <= m.highest[o.Task] {
		return 409, "old"
	}
	used := spec.CPU[step]
	for _, other := range m.running {
		used += other.cpu
	}
	if m.guards && used > m.capacity {
		return 409, "room"
	}
	started := &run{how: "done", task: o.Task, number: o.Run, cpu: spec.CPU[step], began: now, workFrom: now.Add(time.Duration(spec.Startup) * time.Millisecond)}
	if spec.MS[step] > 0 {
		started.endsAt = now.Add(time.Duration(spec.MS[step]) * time.Millisecond)
	}
	if spec.Fails {
		started.how = "failed"
	}
	if spec.Gang > 0 {
		started.gang = m.c.joinGang(started, spec.Gang, spec.MS[step])
	}
	m.running[o.Task] = started
	m.c.rec.add("minion %s: run %s/%d starts, token %d", m.id, o.Task, o.Run, o.Fence)
	m.c.rec.started(m, started)
	return 200, ""
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if known := m.running[o.Task]; known != nil && known.number <= o.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(stopTime)
		m.c.rec.add("minion %s: run %s/%d is stopped", m.id, o.Task, o.Run)
	}
	m.mu.Unlock()
	m.answer(w, 200, map[string]any{})
}

func (m *minion) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.receive(w, r); ok {
		m.mu.Unlock()
		m.answer(w, 200, map[string]any{})
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	m.extend(o.DeadlineMS)
	m.ends = slices.DeleteFunc(m.ends, func(e ended) bool { return e.number <= o.AckCursor })
	changed, wait := m.changed, len(m.ends) == 0
	m.mu.Unlock()
	if wait && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
	}
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := 100
		if now.Before(r.workFrom) {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, r.cpu})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	for _, e := range m.ends[:min(len(m.ends), settledSteps)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.mu.Unlock()
	m.answer(w, 200, map[string]any{"running": running, "finished": finished})
}
