package ledger

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/version/accepted"
)

// Apply applies a command.
func (l *Ledger) Apply(c *Command) *Result {
	r := &Result{}
	l.ClockMS = max(l.ClockMS, c.NowMS)
	if c.Config != nil {
		r.Config = l.applyConfig(c.Config)
	}
	if c.Submit != nil {
		r.Submit = l.applySubmit(c.Submit)
	}
	if c.Cancel != "" {
		r.Cancel = l.applyCancel(c.Cancel)
	}
	for _, e := range c.Ends {
		if l.applyEnd(e) {
			r.Ended = append(r.Ended, e)
		}
	}
	r.Started = l.applyStarts(c.Starts)
	for _, s := range c.Servers {
		l.applyServer(s)
	}
	for _, g := range c.Gone {
		if held, ok := l.Servers[g.ID]; ok && held.Born == g.Born {
			delete(l.Servers, g.ID)
		}
	}
	if c.Wave != nil {
		r.Wave = l.applyWave(c.Wave)
	}
	for _, m := range c.Upkeep {
		l.applyUpkeep(m)
		if m.Phase == UpkeepOrdered {
			l.Orders[m.Machine] = c.By
		}
	}
	for _, m := range c.Moves {
		l.Orders[m.Machine] = c.By
	}
	for pool, n := range c.Sizes {
		if _, known := l.Sizes[pool]; !known {
			l.Sizes[pool] = n
		}
	}
	l.expire()
	return r
}

// applyConfig takes a configuration with a higher version than the one in force. One that was overtaken is
// acknowledged without effect; other content under the version held is a conflict.
func (l *Ledger) applyConfig(c *accepted.Config) Verdict {
	if l.Config != nil && c.Version <= l.Config.Version {
		if c.Version < l.Config.Version {
			return Superseded
		}
		if c.SameContent(l.Config) {
			return Taken
		}
		return Conflict
	}
	l.Config = c
	l.index = accepted.NewIndex(c)
	return Taken
}

// applySubmit takes a job. The same ID again is the same job, whatever became of it.
func (l *Ledger) applySubmit(s *Submission) Verdict {
	if l.Jobs[s.ID] != nil {
		return Taken
	}
	if l.index == nil {
		return Unserved
	}
	q := l.index.Queue(s.Queue)
	if q == nil || (!q.Open && l.index.Team(s.Team) == nil) {
		return Unserved
	}
	j := &Job{Submission: *s, State: Queued, AcceptedMS: l.ClockMS, Occurrences: make(map[int]*Occurrence), Work: s.work()}
	l.Jobs[s.ID] = j
	l.open[s.ID] = j
	l.waiting[s.Queue]++
	return Taken
}

// applyCancel cancels a job. An unknown ID leaves a cancelled job, so that a submission which arrives later
// does not run.
func (l *Ledger) applyCancel(id string) Verdict {
	j := l.Jobs[id]
	if j == nil {
		l.Jobs[id] = &Job{Submission: Submission{ID: id}, State: Cancelled, AcceptedMS: l.ClockMS, FinishedMS: l.ClockMS}
		l.final = append(l.final, id)
		return Unknown
	}
	if !j.State.Final() {
		l.finish(j, Cancelled)
	}
	return Taken
}

// finish gives a job its final state. Its records stay while runs are live.
func (l *Ledger) finish(j *Job, s JobState) {
	if !j.Started {
		l.waiting[j.Queue]--
	}
	j.State, j.FinishedMS = s, l.ClockMS
	l.final = append(l.final, j.ID)
	l.settle(j)
}

// settle drops what a final job no longer needs.
func (l *Ledger) settle(j *Job) {
	if !j.State.Final() || j.Live > 0 {
		return
	}
	delete(l.open, j.ID)
	j.Spec, j.Steps, j.Occurrences = "", nil, nil
}

func (l *Ledger) sortFinal() {
	slices.SortFunc(l.final, func(a, b string) int {
		if c := cmp.Compare(l.Jobs[a].FinishedMS, l.Jobs[b].FinishedMS); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
}

// expire forgets jobs that finished longer ago than the retention.
func (l *Ledger) expire() {
	for len(l.final) > 0 {
		j := l.Jobs[l.final[0]]
		if j != nil && (j.FinishedMS+retentionMS > l.ClockMS || j.Live > 0) {
			return
		}
		delete(l.Jobs, l.final[0])
		l.final = l.final[1:]
	}
}

// applyStarts takes the starts that hold in the present state. Those of a gang are taken all or none.
func (l *Ledger) applyStarts(starts []Start) []Start {
	var taken []Start
	for len(starts) > 0 {
		n := l.groupSize(starts)
		if l.startsHold(starts[:n]) {
			for _, s := range starts[:n] {
				l.applyStart(s)
			}
			taken = append(taken, starts[:n]...)
		}
		starts = starts[n:]
	}
	return taken
}

// groupSize returns how many of the first starts belong together.
func (l *Ledger) groupSize(starts []Start) int {
	first := starts[0].Task
	j := l.Jobs[first.Job]
	if j == nil || first.Step >= len(j.Steps) || !j.Steps[first.Step].Gang {
		return 1
	}
	n := 1
	for n < len(starts) && starts[n].Task.Job == first.Job && starts[n].Task.K == first.K && starts[n].Task.Step == first.Step {
		n++
	}
	return n
}

func (l *Ledger) startsHold(group []Start) bool {
	var need Resources
	for _, s := range group {
		j := l.Jobs[s.Task.Job]
		if j == nil || j.State.Final() || s.Task.Step >= len(j.Steps) || s.Task.K >= j.occurrences() {
			return false
		}
		step := &j.Steps[s.Task.Step]
		if step.Gang && len(group) != step.Count {
			return false
		}
		o := j.Occurrences[s.Task.K]
		if o == nil {
			o = newOccurrence(j)
		}
		t := &o.Steps[s.Task.Step].Tasks[s.Task.Index]
		if t.Phase != Waiting || s.Run <= t.Run || !j.ready(o, s.Task.Step) {
			return false
		}
		need = need.Plus(step.Need)
		if !l.served(j) || !l.WithinLimit(j.Team, need) {
			return false
		}
	}
	return true
}

// served reports whether the configuration in force still has the queue of a job.
func (l *Ledger) served(j *Job) bool { return l.index != nil && l.index.Queue(j.Queue) != nil }

func newOccurrence(j *Job) *Occurrence {
	o := &Occurrence{Steps: make([]StepRecord, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
	}
	return o
}

func (l *Ledger) applyStart(s Start) {
	j := l.Jobs[s.Task.Job]
	if j.Occurrences[s.Task.K] == nil {
		j.Occurrences[s.Task.K] = newOccurrence(j)
	}
	t := j.task(s.Task)
	t.Phase, t.Run, t.Worker, t.Born, t.OrderedMS = Live, s.Run, s.Worker, s.Born, l.ClockMS
	j.Live++
	j.Runs++
	if !j.Started {
		j.Started, j.FirstStartMS = true, l.ClockMS
		l.waiting[j.Queue]--
		j.State = Running
	}
	l.addLive(j, s.Task, t)
}

// applyEnd closes a run. An end of any run but the live one was concluded otherwise before, and is void.
func (l *Ledger) applyEnd(e End) bool {
	j, t := l.Task(e.Task)
	if t == nil || t.Phase != Live || t.Run != e.Run || t.Worker != e.Worker {
		return false
	}
	l.dropLive(j, e.Task, t)
	j.Live--
	t.Phase, t.EndedMS = Waiting, l.ClockMS
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	if e.How != EndDone {
		j.note(Note{Task: e.Task, Run: e.Run, Worker: e.Worker, How: e.How, AtMS: l.ClockMS})
	}
	step := &j.Steps[e.Task.Step]
	switch {
	case e.How == EndDone && !step.Lasting:
		l.taskDone(j, e.Task)
	case e.How == EndFailed:
		l.taskFailed(j, e.Task, t)
	}
	l.settle(j)
	return true
}

// taskDone closes a task, and with a gang's task all of the gang.
func (l *Ledger) taskDone(j *Job, id TaskID) {
	o := j.Occurrences[id.K]
	record := &o.Steps[id.Step]
	if j.Steps[id.Step].Gang {
		for i := range record.Tasks {
			l.closeMember(j, TaskID{Job: j.ID, K: id.K, Step: id.Step, Index: i}, &record.Tasks[i])
		}
		record.Done = len(record.Tasks)
	} else {
		j.task(id).Phase = Done
		record.Done++
	}
	if record.Done < len(record.Tasks) {
		return
	}
	o.Done++
	if o.Done < len(j.Steps) {
		return
	}
	j.Ended++
	if j.Ended == j.occurrences() && !j.State.Final() {
		l.finish(j, Completed)
	}
}

func (l *Ledger) closeMember(j *Job, id TaskID, t *Task) {
	if t.Phase == Live {
		l.dropLive(j, id, t)
		j.Live--
	}
	t.Phase = Done
}

// taskFailed counts a failed run. A gang's run counts once, at its first task. A task whose attempts are
// used up fails its job; lasting tasks have no such limit.
func (l *Ledger) taskFailed(j *Job, id TaskID, t *Task) {
	counter := t
	if j.Steps[id.Step].Gang {
		counter = &j.Occurrences[id.K].Steps[id.Step].Tasks[0]
	}
	counter.Fails++
	if j.Steps[id.Step].Lasting || j.State.Final() {
		return
	}
	if counter.Fails >= l.attempts(j) {
		l.finish(j, Failed)
	}
}

// attempts returns how many runs of a task of the job may end failed.
func (l *Ledger) attempts(j *Job) int {
	const fallback = 1 // the queue was removed from the configuration
	if l.index == nil || l.index.Queue(j.Queue) == nil {
		return fallback
	}
	return max(1, l.index.Queue(j.Queue).MaxAttempts)
}

func (l *Ledger) applyWave(w *WaveOrder) Verdict {
	if held := l.Waves[w.Number]; held != nil {
		if slices.Equal(held.Machines, w.Machines) && held.DurationMS == w.DurationMS && held.Bound == w.Bound {
			return Taken
		}
		return Conflict
	}
	l.Waves[w.Number] = &Wave{WaveOrder: *w, StartedMS: l.ClockMS, Phases: make(map[string]UpkeepPhase)}
	return Taken
}

func (l *Ledger) applyUpkeep(m UpkeepMark) {
	w := l.Waves[m.Wave]
	if w != nil && m.Phase > w.Phases[m.Machine] {
		w.Phases[m.Machine] = m.Phase
	}
}

// applyServer takes in what a backend server said, unless something newer is known.
func (l *Ledger) applyServer(s Server) {
	held, ok := l.Servers[s.ID]
	if ok && (s.Born < held.Born || (s.Born == held.Born && s.Seq < held.Seq)) {
		return
	}
	// An incarnation that began to leave doesn't come back.
	s.Draining = s.Draining || (ok && s.Born == held.Born && held.Draining)
	l.Servers[s.ID] = s
}
