package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMS  = 10_000
	stopTakes  = 100 * time.Millisecond
	listedEnds = 500 // ends that one answer lists
)

// run is a run of a task on a minion.
type run struct {
	task     string
	run      int
	need     int64
	endsAt   time.Time
	how      string
	stopping bool
	gang     *gang // nil for a task that works alone
}

// end is an end that a minion lists until it is acknowledged.
type end struct {
	n    int64
	task string
	run  int
	how  string
	save string
}

// minion is a stand-in for a server of the platform. It follows the pages: one life, one id, fencing tokens, a lease on its own
// steady clock, and a numbered list of ends of which an answer holds 500 at most.
type minion struct {
	rec     *record
	history *history
	id      string
	service string
	zone    string
	rack    string
	needs   func(task string) int64
	// spec of a task tells how long it runs and whether it fails.
	address string
	control []string
	born    time.Time

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each end
	running   map[string]*run
	ended     map[string]int // highest run that was stopped or has ended, by task
	ends      []end
	nextEnd   int64
	fence     uint64
	deadline  int64
	free      int64
	down      bool
	leader    string // address for heartbeats, as the last answer named it
	server    *http.Server
	link      *link // all calls to the minion and its heartbeats pass it
	seq       int64
	stopBeats chan struct{}
	gangs     *gangs
	sick      bool // every run fails as it starts
}

// startMinion starts a minion with a capacity of cpu thousandths of a core. needs returns what a task takes.
func startMinion(rec *record, h *history, id, service, zone, address string, control []string, cpu int64, needs func(string) int64) (*minion, error) {
	m := &minion{
		rec: rec, history: h, id: id, service: service, zone: zone, rack: "r-" + zone, control: control, born: time.Now(), needs: needs,
		changed: make(chan struct{}), running: make(map[string]*run), ended: make(map[string]int), free: cpu, stopBeats: make(chan struct{}),
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	if m.link, err = startLink(address, l.Addr().String()); err != nil {
		return nil, err
	}
	m.address = m.link.address
	mux := http.NewServeMux()
	mux.HandleFunc("POST /laburnumrouter/run-start", m.serveStart)
	mux.HandleFunc("POST /laburnumrouter/run-stop", m.serveStop)
	mux.HandleFunc("POST /laburnumrouter/hold", m.serveHold)
	mux.HandleFunc("POST /laburnumrouter/pace", func(w http.ResponseWriter, r *http.Request) { m.answer(w, 200, nil) })
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.work()
	go m.beat(cpu)
	rec.add("minion %s of %s up at %s", id, service, m.address)
	return m, nil
}

// crash ends a minion at once, without a word: its address refuses connections.
func (m *minion) crash() {
	m.crashBehindCut()
	m.link.close()
}

// crashBehindCut ends a minion that is cut off: its address stays silent until its link is closed.
func (m *minion) crashBehindCut() {
	m.mu.Lock()
	m.down = true
	for key, r := range m.running {
		if r.gang != nil {
			r.gang.ended("crashed")
		}
		m.history.gone(m.id, r.task, r.run)
		delete(m.running, key)
	}
	m.mu.Unlock()
	close(m.stopBeats)
	_ = m.server.Close()
	m.rec.add("minion %s crashed", m.id)
}

func (m *minion) clockMS() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// beat sends heartbeats.
func (m *minion) beat(cpu int64) {
	for i := 0; ; i++ {
		m.mu.Lock()
		m.seq++
		body, _ := json.Marshal(object{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": object{"cpu": cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", m.rack}, "clock_ms": m.clockMS(),
			"seq": m.seq, "born": m.born.UnixMilli(),
		})
		to := m.leader
		m.mu.Unlock()
		m.link.wait()
		pause := 1500 * time.Millisecond
		if to == "" {
			to = m.control[i%len(m.control)]
		}
		status, data := request("PUT", "http://"+to+"/laburnumrouter/instances/"+m.id, "", nil, body, time.Second)
		var reply struct {
			Address string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(data, &reply)
		m.mu.Lock()
		m.leader = reply.Address
		m.mu.Unlock()
		if status != 200 {
			pause = 100 * time.Millisecond
		}
		select {
		case <-m.stopBeats:
			return
		case <-time.After(pause):
		}
	}
}

// heartbeatAddress returns the address that the last answer to a heartbeat named.
func (m *minion) heartbeatAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// setSick makes every later run fail as it starts, or ends that.
func (m *minion) setSick(sick bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sick = sick
}

// runs returns the number of runs on the minion.
func (m *minion) runs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

// parseSpec reads "ms=BASE spread=SPREAD fails=RUNS" of a task: it runs for BASE ms and up to SPREAD more, by its index, and its
// first RUNS runs fail.
func parseSpec(spec, task string) (took time.Duration, failingRuns int) {
	var base, spread, fails int64
	for _, word := range strings.Fields(spec) {
		name, value, _ := strings.Cut(word, "=")
		var n int64
		_, _ = fmt.Sscan(value, &n)
		switch name {
		case "ms":
			base = n
		case "spread":
			spread = n
		case "fails":
			fails = n
		}
	}
	if spread > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		base += int64(h.Sum32()) % spread
	}
	return time.Duration(base) * time.Millisecond, int(fails)
}

// gangSize returns the number after "gang=" in a spec, or 0.
func gangSize(spec string) (n int) {
	for _, word := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(word, "gang="); ok {
			_, _ = fmt.Sscan(value, &n)
		}
	}
	return n
}

// work ends runs whose time is over, and all of them once the lease has lapsed.
func (m *minion) work() {
	for {
		select {
		case <-m.stopBeats:
			return
		case <-time.After(5 * time.Millisecond):
		}
		m.mu.Lock()
		now := time.Now()
		lapsed := m.clockMS() > m.deadline
		if lapsed && len(m.running) > 0 {
			m.history.lapsed(m.id)
			m.rec.add("minion %s lease lapsed, %d runs", m.id, len(m.running))
		}
		for _, r := range m.running {
			if r.gang != nil {
				if how, over := r.gang.state(now); over {
					m.endLocked(r, how)
					continue
				}
			}
			switch {
			case lapsed:
				m.endLocked(r, "lapsed")
			case r.gang == nil && !now.Before(r.endsAt) || r.stopping && !now.Before(r.endsAt):
				m.endLocked(r, r.how)
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) endLocked(r *run, how string) {
	m.nextEnd++
	save := ""
	if r.gang != nil {
		save = r.gang.saved()
	}
	m.ends = append(m.ends, end{m.nextEnd, r.task, r.run, how, save})
	m.ended[r.task] = max(m.ended[r.task], r.run)
	delete(m.running, r.task)
	m.free += r.need
	if r.gang != nil {
		r.gang.ended(how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	m.history.ended(m.id, m.nextEnd, r.task, r.run, how)
	m.rec.add("minion %s end %d: %s run %d %s, saved %q", m.id, m.nextEnd, r.task, r.run, how, save)
}

// order is the body of each call to a minion.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (m *minion) answer(w http.ResponseWriter, status int, body object) {
	if body == nil {
		body = object{}
	}
	body["clock_ms"], body["born"] = m.clockMS(), m.born.UnixMilli()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// open reads an order and checks its receiver and its fencing token. It returns with the lock held if it is to be carried out.
func (m *minion) open(w http.ResponseWriter, r *http.Request) (*order, bool) {
	data, err := io.ReadAll(r.Body)
	o := &order{}
	if err != nil || json.NewDecoder(bytes.NewReader(data)).Decode(o) != nil {
		m.answer(w, 400, nil)
		return nil, false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		m.answer(w, 421, nil)
		return nil, false
	}
	m.mu.Lock()
	if o.Fence < m.fence {
		m.mu.Unlock()
		m.answer(w, 409, object{"reason": "fence"})
		return nil, false
	}
	m.fence = o.Fence
	return o, true
}

// extendLocked extends the lease.
func (m *minion) extendLocked(deadlineMS int64) {
	m.deadline = max(m.deadline, min(deadlineMS, m.clockMS()+holdMaxMS))
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.open(w, r)
	if !ok {
		return
	}
	status, reason := m.startLocked(o)
	m.mu.Unlock()
	if status == 200 {
		m.answer(w, 200, nil)
		return
	}
	m.rec.add("minion %s rejects %s run %d: %s", m.id, o.Task, o.Run, reason)
	m.answer(w, status, object{"reason": reason})
}

func (m *minion) startLocked(o *order) (int, string) {
	if o.DeadlineMS <= m.clockMS() {
		return 409, "late"
	}
	if r := m.running[o.Task]; r != nil && r.run == o.Run {
		m.extendLocked(o.DeadlineMS)
		return 200, ""
	}
	need := m.needs(o.Task)
	m.extendLocked(o.DeadlineMS)
	switch {
	case o.Run <= m.ended[o.Task] || m.running[o.Task] != nil:
		return 409, "old"
	case need > m.free:
		return 409, "room"
	}
	took, fails := parseSpec(o.Spec, o.Task)
	how := "done"
	if o.Run <= fails {
		how = "failed"
	}
	m.free -= need
	m.running[o.Task] = &run{task: o.Task, run: o.Run, need: need, endsAt: time.Now().Add(took), how: how}
	m.rec.add("minion %s starts %s run %d, checkpoint %q", m.id, o.Task, o.Run, o.Checkpoint)
	m.history.carried(o.Task, o.Run, o.Checkpoint)
	m.history.started(m.id, o.Task, o.Run)
	r := m.running[o.Task]
	if size := gangSize(o.Spec); size > 0 {
		r.gang = m.gangs.join(o.Task, o.Run, size, took, o.Checkpoint)
	}
	if m.sick {
		m.endLocked(r, "failed")
	}
	return 200, ""
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.open(w, r)
	if !ok {
		return
	}
	m.rec.add("minion %s is told to stop %s run %d", m.id, o.Task, o.Run)
	m.ended[o.Task] = max(m.ended[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping, r.how = true, "stopped"
		r.endsAt = time.Now().Add(stopTakes)
	}
	m.mu.Unlock()
	m.answer(w, 200, nil)
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.open(w, r)
	if !ok {
		return
	}
	m.extendLocked(o.DeadlineMS)
	if o.AckCursor > 0 {
		kept := m.ends[:0:0]
		for _, e := range m.ends {
			if e.n > o.AckCursor {
				kept = append(kept, e)
			}
		}
		if len(kept) < len(m.ends) {
			m.history.acknowledged(m.id, o.AckCursor)
			m.rec.add("minion %s ack_cursor %d", m.id, o.AckCursor)
		}
		m.ends = kept
	}
	wait := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for len(m.ends) == 0 && o.WaitMS > 0 {
		changed := m.changed
		m.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-wait:
			over = true
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
		if over {
			break
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		save := ""
		if r.gang != nil {
			save = r.gang.saved()
		}
		running = append(running, []any{r.task, r.run, save, 100, m.needs(r.task)})
	}
	for _, e := range m.ends[:min(len(m.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.save})
	}
	unlisted := len(m.ends) - len(finished)
	m.mu.Unlock()
	if len(finished) > 0 {
		m.rec.add("minion %s answers a hold: %d running, %d ends listed, %d not listed yet", m.id, len(running), len(finished), unlisted)
	}
	m.answer(w, 200, object{"running": running, "finished": finished})
}
