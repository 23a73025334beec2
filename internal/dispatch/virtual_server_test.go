package dispatch

import (
	"context"
	"slices"
	"time"

	"laburnumrouter/internal/request/ledger"
)

// vserver is a backend server with the platform's rules.
type vserver struct {
	w        *world
	id       string
	born     int64
	life     int // grows with each incarnation
	since    time.Duration
	rate     float64
	capacity ledger.Resources
	guards   bool
	up, cut  bool
	draining bool
	seq      int64

	fence    uint64
	deadline int64
	last     int64 // number of the newest end
	running  map[runKey]*vrun
	highest  map[ledger.TaskID]int // highest run that was stopped or ended
	finished []vend
}

// vend is an end that the server lists.
type vend struct {
	FinishedTask
	at time.Duration
	// void is set once the lease has lapsed after the end: it no longer counts as noted.
	void bool
	// startedAfter is set once the task has started again.
	startedAfter bool
}

type vrun struct {
	began, ends time.Duration
	how         ledger.How
}

func (w *world) addServer(id string, cpu int64, guards bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &vserver{
		w: w, id: id, rate: slowClock + (1-slowClock)*w.rng.Float64(), capacity: ledger.Resources{CPU: cpu, MemMB: 1 << 20}, guards: guards,
	}
	w.servers[id] = s
	s.beginLife()
	w.spawn(s.beat)
}

func (s *vserver) beginLife() {
	s.up, s.since, s.seq, s.fence, s.deadline, s.last = true, s.w.now(), 0, 0, 0, 0
	s.life++
	s.born = s.since.Milliseconds()
	s.running, s.highest, s.finished = make(map[runKey]*vrun), make(map[ledger.TaskID]int), nil
}

func (s *vserver) clock(now time.Duration) int64 {
	return int64(float64((now - s.since).Milliseconds()) * s.rate)
}

// timeOf returns when the clock shows a deadline.
func (s *vserver) timeOf(deadline int64) time.Duration {
	return s.since + time.Duration(float64(deadline)/s.rate*float64(time.Millisecond))
}

// beat announces the server.
func (s *vserver) beat() {
	for sleepFor(s.w.ctx, s.w.between(time.Second, 1500*time.Millisecond)) == nil {
		s.w.mu.Lock()
		if !s.up || s.cut {
			s.w.mu.Unlock()
			continue
		}
		s.seq++
		a := ledger.Server{
			ID: s.id, Pool: "p", Address: s.id, Capacity: s.capacity, Born: s.born, Seq: s.seq, ClockMS: s.clock(s.w.now()), Draining: s.draining,
		}
		s.w.mu.Unlock()
		ctx, cancel := context.WithTimeout(s.w.ctx, time.Second)
		s.w.do(ctx, &Call{Op: OpAnnounce, Server: &a})
		cancel()
	}
}

// crash ends the server and all that runs there; it starts again under its id unless away is 0.
func (s *vserver) crash(away time.Duration) {
	s.w.mu.Lock()
	if !s.up {
		s.w.mu.Unlock()
		return
	}
	s.w.settleLocked()
	s.up = false
	s.w.output.Info("server: crashes", "server", s.id, "life", s.life)
	for key := range s.running {
		delete(s.running, key)
		s.w.breakGangLocked(key, s.w.now())
	}
	s.finished = nil
	s.w.mu.Unlock()
	if away == 0 || sleepFor(s.w.ctx, away) != nil {
		return
	}
	s.w.mu.Lock()
	s.beginLife()
	s.w.mu.Unlock()
}

// settleLocked lets runs end whose time has come, on all servers, in the order of time.
func (w *world) settleLocked() {
	for w.settleNextLocked() {
	}
	now := w.now()
	for _, s := range w.servers {
		lapse := s.timeOf(s.deadline)
		for n := range s.finished {
			if f := &s.finished[n]; f.at <= lapse && lapse <= now {
				f.void = true
			}
		}
	}
}

// settleNextLocked carries out the earliest end that is due, and reports whether there was one.
func (w *world) settleNextLocked() bool {
	var server *vserver
	var next runKey
	at, how := w.now(), ledger.EndLapsed
	for _, s := range w.servers {
		lapse := s.timeOf(s.deadline)
		for key, r := range s.running {
			end, cause := r.ends, r.how
			if lapse < r.ends {
				end, cause = lapse, ledger.EndLapsed
			}
			if s.up && end <= at {
				server, next, at, how = s, key, end, cause
			}
		}
	}
	if server == nil {
		return false
	}
	server.endLocked(next, how, at)
	return true
}

func (s *vserver) endLocked(key runKey, how ledger.How, at time.Duration) {
	if s.running[key] == nil {
		return
	}
	delete(s.running, key)
	s.highest[key.task] = max(s.highest[key.task], key.run)
	s.last++
	s.finished = append(s.finished, vend{FinishedTask: FinishedTask{Number: s.last, Task: key.task, Run: key.run, How: how}, at: at})
	s.w.output.Info("server: ends", "task", key.task, "run", key.run, "server", s.id, "life", s.life, "how", how, "ago", s.w.now()-at)
	t := s.w.taskLocked(key.task)
	if how == ledger.EndDone {
		t.done = true
	} else {
		s.w.breakGangLocked(key, at)
	}
}

// breakGangLocked ends the other members of a gang's run.
func (w *world) breakGangLocked(key runKey, at time.Duration) {
	step := w.stepLocked(key.task)
	if step == nil || !step.Gang {
		return
	}
	for _, s := range w.servers {
		for other := range s.running {
			if s.up && sameStep(other.task, key.task) && other.run == key.run {
				s.endLocked(other, ledger.EndBroken, at)
			}
		}
	}
}

func (w *world) stepLocked(id ledger.TaskID) *ledger.Step {
	j := w.jobs[id.Job]
	if j == nil || id.Step >= len(j.s.Steps) {
		return nil
	}
	return &j.s.Steps[id.Step]
}

func (w *world) taskLocked(id ledger.TaskID) *vtask {
	j := w.jobs[id.Job]
	t := j.tasks[id]
	if t == nil {
		t = &vtask{}
		j.tasks[id] = t
	}
	return t
}

// extendLocked moves the end of the lease, which is never further than the platform allows.
func (s *vserver) extendLocked(deadline int64) {
	s.deadline = max(s.deadline, min(deadline, s.clock(s.w.now())+maxServerLease.Milliseconds()))
}

// startLocked carries out an order. late tells that it waited in the server.
func (s *vserver) startLocked(o StartOrder, late bool) StartAnswer {
	w := s.w
	w.settleLocked()
	now, key := w.now(), runKey{o.Task, o.Run}
	if o.Fence < s.fence {
		return StartFenced
	}
	s.fence = o.Fence
	switch {
	case s.running[key] != nil:
		return StartTaken
	case o.Run <= s.highest[o.Task]:
		s.extendLocked(o.DeadlineMS)
		return StartOld
	case o.DeadlineMS <= s.clock(now):
		return StartLate
	}
	s.extendLocked(o.DeadlineMS)
	step := w.stepLocked(o.Task)
	if step == nil {
		w.violated("UNASKED: %v was never handed in", o.Task)
		return StartInvalid
	}
	var used ledger.Resources
	for other := range s.running {
		used = used.Plus(w.stepLocked(other.task).Charge())
	}
	fits := used.Plus(step.Charge()).Within(s.capacity)
	if !fits && s.guards {
		return StartNoRoom
	}
	if !fits {
		w.violated("LIMIT: %v on %s", o.Task, s.id)
	}
	w.checkStartLocked(s, o, step, late)
	r := &vrun{began: now, ends: now + time.Duration(step.EstimateMS)*time.Millisecond, how: ledger.EndDone}
	switch {
	case step.Lasting:
		r.ends = now + time.Duration(2+w.rng.IntN(60))*time.Second
		r.how = ledger.EndFailed
	case w.rng.IntN(20) == 0:
		r.how = ledger.EndFailed
	}
	s.running[key] = r
	w.output.Info("server: starts", "task", o.Task, "run", o.Run, "server", s.id, "life", s.life, "fence", o.Fence)
	if step.Gang {
		w.gatherLocked(key, step, r)
	}
	return StartTaken
}

// gatherLocked lets a gang begin its work once all members are there; a member that waits too long ends alone.
func (w *world) gatherLocked(key runKey, step *ledger.Step, r *vrun) {
	var members []*vrun
	for _, s := range w.servers {
		for other, m := range s.running {
			if s.up && sameStep(other.task, key.task) && other.run == key.run {
				members = append(members, m)
			}
		}
	}
	if len(members) < step.Count {
		r.ends, r.how = w.now()+gangTimeout, ledger.EndAlone
		return
	}
	for _, m := range members {
		m.ends, m.how = w.now()+time.Duration(step.EstimateMS)*time.Millisecond, ledger.EndDone
	}
}

// checkStartLocked checks what callers rely on at the start of a task.
func (w *world) checkStartLocked(at *vserver, o StartOrder, step *ledger.Step, late bool) {
	j, t := w.jobs[o.Task.Job], w.taskLocked(o.Task)
	if j.attempts == 0 || o.Spec != j.s.Spec {
		w.violated("UNASKED: %v", o.Task)
	}
	var cpu int64
	spread := 0
	for _, s := range w.servers {
		for n := range s.finished {
			if f := &s.finished[n]; f.Task == o.Task && f.How == ledger.EndDone && !f.void {
				f.startedAfter = true
			}
		}
		for other := range s.running {
			if !s.up {
				continue
			}
			cpu += w.stepLocked(other.task).Need.CPU
			if other.task == o.Task {
				w.violated("TWICE: %v run %d on %s while run %d is on %s", o.Task, o.Run, at.id, other.run, s.id)
			}
			if s == at && sameStep(other.task, o.Task) {
				spread++
			}
			if step.Gang && sameStep(other.task, o.Task) && other.run != o.Run {
				w.violated("GANG: %v run %d beside run %d", o.Task, o.Run, other.run)
			}
		}
	}
	if step.Spread > 0 && spread >= step.Spread {
		w.violated("SPREAD: %v on %s", o.Task, at.id)
	}
	if w.teamCPU > 0 && cpu > w.teamCPU*11/10 {
		w.violated("QUOTA: %d running at the start of %v", cpu, o.Task)
	}
	if t.doneNoted {
		w.violated("TWICE: %v starts on %s after its end was noted", o.Task, at.id)
	}
	if t.failsNoted >= rigAttempts && !step.Lasting {
		w.violated("BUDGET: %v run %d", o.Task, o.Run)
	}
	if due := j.s.FirstMS + int64(o.Task.K)*j.s.EveryMS; j.s.Times > 0 && time.Now().UnixMilli() < due {
		w.violated("EARLY: %v", o.Task)
	}
	for _, before := range step.After {
		for index := range j.s.Steps[before].Count {
			if !w.taskLocked(ledger.TaskID{Job: o.Task.Job, K: o.Task.K, Step: before, Index: index}).done {
				w.violated("ORDER: %v before step %d", o.Task, before)
			}
		}
	}
	if j.cancelled > 0 && !late && w.now() > j.cancelled+cancelBound && o.Fence == w.term {
		w.violated("UNASKED: %v starts %v after its job was cancelled", o.Task, w.now()-j.cancelled)
	}
}

// noteLocked takes in that ends are acknowledged.
func (s *vserver) noteLocked(acked int64) {
	keep := s.finished[:0]
	for _, f := range s.finished {
		if f.Number > acked {
			keep = append(keep, f)
			continue
		}
		t := s.w.taskLocked(f.Task)
		if f.void {
			continue
		}
		switch f.How {
		case ledger.EndDone:
			if f.startedAfter {
				s.w.violated("TWICE: %v had started again before its end on %s was noted", f.Task, s.id)
			}
			t.doneNoted = true
		case ledger.EndFailed:
			t.failsNoted++
		}
	}
	s.finished = slices.Clip(keep)
}

// vcalls are an instance's calls to backend servers.
type vcalls struct{ i *vinstance }

// call carries a message there and its answer back. exec is carried out under the world's lock and returns the answer.
func (c *vcalls) call(ctx context.Context, to Target, exec func(s *vserver, late bool) any) (any, error) {
	w := c.i.w
	there, back := w.between(500*time.Microsecond, 3*time.Millisecond), w.between(500*time.Microsecond, 3*time.Millisecond)
	w.mu.Lock()
	late, lose := w.rng.Float64() < w.lateShare, w.rng.Float64() < w.loseShare
	w.mu.Unlock()
	answers := make(chan any, 1)
	w.spawn(func() {
		if sleepFor(w.ctx, there) != nil {
			return
		}
		w.mu.Lock()
		s := w.servers[to.Address]
		reached := s != nil && s.up && !s.cut && c.i.up
		life := 0
		if reached {
			life = s.life
		}
		w.mu.Unlock()
		if !reached {
			return
		}
		if late && sleepFor(w.ctx, w.between(2*time.Second, 12*time.Second)) != nil {
			return
		}
		w.mu.Lock()
		var answer any
		if s.up && s.life == life {
			answer = exec(s, late)
		}
		w.mu.Unlock()
		if late || lose || answer == nil || sleepFor(w.ctx, back) != nil {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !s.cut {
			answers <- answer
		}
	})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, errCut
	}
}

// started is the answer to a StartOrder.
type started struct {
	answer StartAnswer
	clock  int64
}

// Start implements Servers.
func (c *vcalls) Start(ctx context.Context, to Target, o StartOrder) (StartAnswer, int64, error) {
	answer, err := c.call(ctx, to, func(s *vserver, late bool) any {
		return started{s.startLocked(o, late), s.clock(s.w.now())}
	})
	if err != nil {
		return 0, 0, err
	}
	return answer.(started).answer, answer.(started).clock, nil
}

// Stop implements Servers.
func (c *vcalls) Stop(ctx context.Context, to Target, o StopOrder) error {
	fenced, err := c.call(ctx, to, func(s *vserver, _ bool) any {
		s.w.settleLocked()
		if o.Fence < s.fence {
			return true
		}
		s.fence = o.Fence
		s.highest[o.Task] = max(s.highest[o.Task], o.Run)
		s.endLocked(runKey{o.Task, o.Run}, ledger.EndStopped, s.w.now())
		return false
	})
	if err == nil && fenced.(bool) {
		return ErrFenced
	}
	return err
}

// Hold implements Servers.
func (c *vcalls) Hold(ctx context.Context, to Target, o HoldOrder) (*HoldReport, error) {
	end := c.i.w.now() + time.Duration(o.WaitMS)*time.Millisecond
	for first := true; ; first = false {
		answer, err := c.call(ctx, to, func(s *vserver, _ bool) any {
			s.w.settleLocked()
			if o.Fence < s.fence {
				return (*HoldReport)(nil)
			}
			s.fence = o.Fence
			if first {
				s.extendLocked(o.DeadlineMS)
				s.noteLocked(o.AckedEnd)
			}
			return s.reportLocked()
		})
		if err != nil {
			return nil, err
		}
		report := answer.(*HoldReport)
		switch {
		case report == nil:
			return nil, ErrFenced
		case len(report.Finished) > 0 || c.i.w.now() >= end:
			return report, nil
		}
		if sleepFor(ctx, 20*time.Millisecond) != nil {
			return nil, errCut
		}
	}
}

func (s *vserver) reportLocked() *HoldReport {
	r := &HoldReport{ClockMS: s.clock(s.w.now()), Born: s.born}
	for _, f := range s.finished {
		r.Finished = append(r.Finished, f.FinishedTask)
	}
	for key := range s.running {
		r.Running = append(r.Running, RunningTask{Task: key.task, Run: key.run, Percent: 100})
	}
	return r
}

// Pace implements Servers.
func (c *vcalls) Pace(context.Context, Target, PaceOrder) error { return nil }
