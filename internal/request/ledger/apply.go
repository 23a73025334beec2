package ledger

import "laburnumrouter/internal/version/accepted"

// Apply applies a command and returns the outcome of its parts. A command that can't be decoded has no effect, and its result is
// nil.
func (l *Ledger) Apply(c *Command) *Result {
	if c.unpack() != nil {
		return nil
	}
	r := &Result{}
	l.ClockMS = max(l.ClockMS, c.NowMS)
	if c.Config != nil {
		r.Config = l.applyConfig(c.Config, r)
		if l.Config == c.Config {
			l.packed = packedConfig{config: c.Config, bytes: c.PackedConfig}
		}
	}
	l.stage(c.Chunks)
	if c.Manifest != nil {
		r.Config = l.applyManifest(c.Manifest, r)
	}
	if c.Submit != nil {
		r.Submit = l.applySubmit(c.Submit)
	}
	for _, s := range c.Submits {
		r.Submits = append(r.Submits, l.applySubmit(s))
	}
	if c.Cancel != "" {
		r.Cancel = l.applyCancel(c.Cancel)
	}
	for _, id := range c.Cancels {
		r.Cancels = append(r.Cancels, l.applyCancel(id))
	}
	for _, ref := range c.CancelsAt {
		r.CancelsAt = append(r.CancelsAt, l.applyCancelAt(ref))
	}
	if c.Evacuation != nil {
		r.Evacuation, r.EvacuationNumber = l.applyEvacuation(c.Evacuation)
	}
	l.raiseFormat(c.Format, c.Places)
	l.applyBegun(c.Begun)
	l.applyUnanswered(c.Unanswered)
	for _, e := range c.Ends {
		if l.applyEnd(e, r) {
			r.Ended = append(r.Ended, e)
		}
	}
	r.Started = l.applyStarts(c.Starts)
	for _, s := range c.Servers {
		l.applyServer(s, r)
	}
	for _, g := range c.Gone {
		if existing, ok := l.Servers[g.ID]; ok && existing.Born == g.Born {
			l.replaceServer(g.ID, nil)
		}
	}
	for _, g := range c.Left {
		l.recordDeparture(g)
	}
	if c.Wave != nil {
		r.Wave = l.applyWave(c.Wave)
	}
	for _, m := range c.Upkeep {
		l.applyUpkeep(m)
		if m.Phase == UpkeepOrdered {
			l.Orders[m.Machine] = c.By
			l.contents.Intents[m.Machine] = MachineIntent{Server: m.Server}
		} else if m.Phase == UpkeepDone {
			delete(l.contents.Intents, m.Machine)
		}
	}
	for _, m := range c.Moves {
		l.Orders[m.Machine] = c.By
		l.contents.Intents[m.Machine] = MachineIntent{Pool: m.Pool, Server: m.Server}
	}
	for _, m := range c.Unmoved {
		if l.contents.Intents[m.Machine].Pool == m.Pool {
			delete(l.contents.Intents, m.Machine)
		}
	}
	for pool, n := range c.Sizes {
		if _, known := l.Sizes[pool]; !known {
			l.Sizes[pool] = n
		}
	}
	l.expireFinished()
	l.expireDepartures()
	l.expireChunks()
	return r
}

// applyConfig puts a configuration in force if its version is higher than the present one. A lower version has no effect
// and is reported as superseded; different content under the present version is a conflict.
func (l *Ledger) applyConfig(c *accepted.Config, r *Result) Verdict {
	if l.Config != nil && c.Version <= l.Config.Version {
		return l.verdictOnVersion(c.Version, c.SameContent(l.Config))
	}
	l.putInForce(c, nil, r)
	return Accepted
}

// verdictOnVersion returns the verdict on a configuration whose version isn't higher than the present one.
func (l *Ledger) verdictOnVersion(version int64, sameContent bool) Verdict {
	switch {
	case version < l.Config.Version:
		return Superseded
	case sameContent:
		return Accepted
	}
	return Conflict
}

// putInForce replaces the configuration; the manifest is nil if it came whole.
func (l *Ledger) putInForce(c *accepted.Config, m *accepted.Manifest, r *Result) {
	index := accepted.NewIndex(c)
	fewer := l.queuesWithFewerAttempts(l.index, c)
	if l.Format >= FormatPlaces {
		l.replaceWorkspaces(index)
	}
	l.Config, l.index, l.packed = c, index, packedConfig{}
	l.replaceChunks(m)
	l.placeByName()
	if l.Format >= FormatGangRuns && len(fewer) > 0 {
		l.giveUpExhausted(fewer, r)
	}
}

// applySubmit accepts a job. One whose steps are inconsistent is not accepted; Check, which the leader has called, rejects more.
// Submission is idempotent: submitting a known job again changes nothing and is accepted, whatever the state of the recorded one.
func (l *Ledger) applySubmit(s *Submission) Verdict {
	if s == nil {
		return NotConfigured // a null in a list; no replica writes one
	}
	if l.Format < FormatPlaces {
		return l.submitByName(s)
	}
	if l.Find(s.Place(), s.ID) != nil {
		return Accepted
	}
	if l.index == nil || s.checkSteps() != nil {
		return NotConfigured
	}
	if s.Version != l.Config.Version {
		return Reconfigured // the name of the workspace may be another's by now
	}
	q := l.index.At(s.Place())
	if q == nil || (!q.Open && l.index.Workspace(s.Workspace) == nil) {
		return NotConfigured
	}
	if l.Clashes(s.ID, q.Pool) {
		return Conflict
	}
	l.addJob(s, q.Place())
	return Accepted
}

// submitByName accepts a job as members of versions before FormatPlaces do.
func (l *Ledger) submitByName(s *Submission) Verdict {
	if l.Jobs[s.ID] != nil {
		return Accepted
	}
	if l.index == nil || s.checkSteps() != nil {
		return NotConfigured
	}
	q := l.index.Queue(s.Queue)
	if q == nil || (!q.Open && l.index.Workspace(s.Workspace) == nil) {
		return NotConfigured
	}
	at := s.Place()
	if at.Prefix == "" {
		at = q.Place()
	}
	l.addJob(s, at)
	return Accepted
}

func (l *Ledger) addJob(s *Submission, at accepted.Place) {
	j := &Job{Submission: *s, Number: l.freeNumber(s.ID), State: Queued, AcceptedMS: l.ClockMS, Occurrences: make(map[int]*Occurrence), Work: s.estimatedWork()}
	j.Version = 0
	j.placeAt(at)
	l.Jobs[j.Key()] = j
	l.addNumbered(j)
	l.open[j.Key()] = j
	l.resize(j)
	l.addWaiting(j)
	l.unstarted[at]++
}

// applyCancel cancels a job. For an unknown ID it records a cancelled job, so that a submission that arrives after its
// cancellation doesn't run.
func (l *Ledger) applyCancel(id string) Verdict {
	j := l.Jobs[id]
	if j == nil {
		l.addCancelled(JobRef{ID: id})
		return Unknown
	}
	l.cancel(j)
	return Accepted
}

// applyCancelAt does the same for the job with an ID at a place.
func (l *Ledger) applyCancelAt(r JobRef) Verdict {
	j := l.Find(r.Place(), r.ID)
	if j == nil {
		l.addCancelled(r)
		return Unknown
	}
	l.cancel(j)
	return Accepted
}

func (l *Ledger) cancel(j *Job) {
	if !j.State.Final() {
		l.finish(j, Cancelled)
	}
}

// addCancelled records a job that is cancelled before its submission.
func (l *Ledger) addCancelled(r JobRef) {
	j := &Job{Submission: Submission{ID: r.ID, Host: r.Host, Prefix: r.Prefix}, Number: l.freeNumber(r.ID), State: Cancelled, AcceptedMS: l.ClockMS, FinishedMS: l.ClockMS}
	l.Jobs[j.Key()] = j
	l.addNumbered(j)
	l.addFinished(j)
	l.resize(j)
}

// finish moves a job to a final state. Its steps and occurrences are kept while it has live runs.
func (l *Ledger) finish(j *Job, s JobState) {
	if !j.Started {
		l.unstarted[j.Place()]--
	}
	j.State, j.FinishedMS = s, l.ClockMS
	l.dropWaiting(j)
	l.dropSuspects(j)
	l.addFinished(j)
	l.releaseFinished(j)
}

// releaseFinished drops the spec, steps and occurrences of a job that is in a final state and has no live runs.
func (l *Ledger) releaseFinished(j *Job) {
	if !j.State.Final() || j.Live > 0 {
		return
	}
	delete(l.open, j.Key())
	j.Spec, j.Steps, j.Occurrences = "", nil, nil
	l.resize(j)
}

// applyStarts applies the starts that are valid in the present state and returns them. The starts of a gang are applied
// all or none.
func (l *Ledger) applyStarts(starts []Start) []Start {
	var valid []Start
	for len(starts) > 0 {
		n := l.firstGroupSize(starts)
		if l.startsValid(starts[:n]) {
			for _, s := range starts[:n] {
				l.applyStart(s)
			}
			valid = append(valid, starts[:n]...)
		}
		starts = starts[n:]
	}
	return valid
}

// firstGroupSize returns how many starts at the head of the list form one unit: all consecutive starts of the same gang
// step, or a single start.
func (l *Ledger) firstGroupSize(starts []Start) int {
	first := starts[0].Task
	j := l.Jobs[first.Job]
	if j == nil || first.Step < 0 || first.Step >= len(j.Steps) || !j.Steps[first.Step].Gang {
		return 1
	}
	n := 1
	for n < len(starts) && starts[n].Task.Job == first.Job && starts[n].Task.Occurrence == first.Occurrence && starts[n].Task.Step == first.Step {
		n++
	}
	return n
}

// startsValid reports whether a group of starts may be applied: each task is waiting, its run number is higher than any
// before, the steps it depends on are done, the group starts all tasks of a gang, the job's queue is configured, the
// workspace stays within its limit, and no server is in an evacuated data centre.
func (l *Ledger) startsValid(group []Start) bool {
	var need Resources
	for _, s := range group {
		j := l.Jobs[s.Task.Job]
		if j == nil || j.State.Final() || !j.hasTask(s.Task) {
			return false
		}
		if l.evacuated[l.Servers[s.Worker].DataCentre] {
			return false
		}
		step := &j.Steps[s.Task.Step]
		if step.Gang && len(group) != step.Count {
			return false
		}
		o := j.Occurrences[s.Task.Occurrence]
		if o == nil {
			o = newOccurrence(j)
		}
		t := &o.Steps[s.Task.Step].Tasks[s.Task.Index]
		if t.Phase != Waiting || s.Run <= t.Run || !j.ready(o, s.Task.Step) {
			return false
		}
		need = need.Plus(step.Need)
		if l.configuredQueue(j) == nil || !l.WithinLimit(j.Workspace, need) {
			return false
		}
	}
	return true
}

// configuredQueue returns the queue of a job by the configuration in force, or nil, alike on members of all versions. The leader follows
// QueueOf, which is stricter before FormatPlaces.
func (l *Ledger) configuredQueue(j *Job) *accepted.Queue {
	if l.Format < FormatPlaces && l.index != nil {
		return l.index.Queue(j.Queue)
	}
	return l.QueueOf(j)
}

func newOccurrence(j *Job) *Occurrence {
	o := &Occurrence{Steps: make([]StepRecord, len(j.Steps))}
	for i := range j.Steps {
		o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
		o.Steps[i].waiting = j.Steps[i].Count
	}
	return o
}

func (l *Ledger) applyStart(s Start) {
	j := l.Jobs[s.Task.Job]
	if j.Occurrences[s.Task.Occurrence] == nil {
		if j.Occurrences[s.Task.Occurrence] = newOccurrence(j); len(j.Occurrences) > 1 {
			l.grow(j, j.occurrenceBytes())
		}
	}
	t, record := j.task(s.Task), &j.Occurrences[s.Task.Occurrence].Steps[s.Task.Step]
	record.setPhase(t, Live)
	l.change(j, t, func() {
		if l.oneCheckpoint(&j.Steps[s.Task.Step]) {
			t.Checkpoint = record.Checkpoint
		}
		t.Run, t.Worker, t.Born, t.OrderedMS, t.Unanswered = s.Run, s.Worker, s.Born, l.ClockMS, false
	})
	j.Live++
	j.Runs++
	if !j.hasWaiting() {
		l.dropWaiting(j)
	}
	l.addLive(j, s.Task, t)
}

func (l *Ledger) applyBegun(ids []string) {
	for _, id := range ids {
		if j := l.Jobs[id]; j != nil {
			l.markStarted(j)
		}
	}
}

// applyUnanswered records that the starts of live runs got no answer.
func (l *Ledger) applyUnanswered(starts []Start) {
	for _, s := range starts {
		if j, t := l.Task(s.Task); t != nil && t.Phase == Live && t.Run == s.Run && t.Worker == s.Worker {
			l.change(j, t, func() { t.Unanswered = true })
		}
	}
}

// markStarted moves a queued job to the state Running.
func (l *Ledger) markStarted(j *Job) {
	if !j.Started && !j.State.Final() {
		j.Started, j.FirstStartMS, j.State = true, l.ClockMS, Running
		l.unstarted[j.Place()]--
	}
}

// applyEnd closes a task's live run and reports whether it did. An end of any other run has no effect, because that run
// was already closed with another outcome.
func (l *Ledger) applyEnd(e End, r *Result) bool {
	j, t := l.Task(e.Task)
	if t == nil || t.Phase != Live || t.Run != e.Run || t.Worker != e.Worker {
		return false
	}
	l.dropLive(j, e.Task, t)
	j.Live--
	j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step].setPhase(t, Waiting)
	t.EndedMS = l.ClockMS
	l.recordCheckpoint(j, e, t)
	if e.How != EndDone {
		l.addUnsuccessfulEnd(j, UnsuccessfulEnd{Task: e.Task, Run: e.Run, Worker: e.Worker, How: e.How, Crash: e.Crash, AtMS: l.ClockMS})
	}
	step := &j.Steps[e.Task.Step]
	if e.How.provesBegin(step.Gang) {
		l.markStarted(j)
	}
	switch {
	case e.How == EndDone && !step.Lasting:
		l.taskDone(j, e.Task)
	case e.How == EndFailed:
		l.taskFailed(j, e.Task, t)
	default:
		l.crashedUnder(j, t, e, r)
	}
	l.failUnlessServing(j)
	if !j.State.Final() && j.hasWaiting() {
		l.addWaiting(j)
	}
	l.releaseFinished(j)
	return true
}

// taskDone marks a task as done; if it belongs to a gang, all tasks of the gang are done. The job completes with its last
// occurrence.
func (l *Ledger) taskDone(j *Job, id TaskID) {
	o := j.Occurrences[id.Occurrence]
	record := &o.Steps[id.Step]
	if j.Steps[id.Step].Gang {
		for i := range record.Tasks {
			l.closeGangTask(j, TaskID{Job: j.Key(), Occurrence: id.Occurrence, Step: id.Step, Index: i}, record, &record.Tasks[i])
		}
		record.Done = len(record.Tasks)
	} else {
		record.setPhase(j.task(id), Done)
		record.Done++
		delete(l.suspects, id)
		delete(l.unresolved, id)
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

func (l *Ledger) closeGangTask(j *Job, id TaskID, record *StepRecord, t *Task) {
	if t.Phase == Live {
		l.dropLive(j, id, t)
		j.Live--
	}
	record.setPhase(t, Done)
	delete(l.suspects, id)
	delete(l.unresolved, id)
}

// applyServer records a backend server's announcement unless a newer one is recorded already or the incarnation has left.
func (l *Ledger) applyServer(s Server, r *Result) {
	if l.HasLeft(s.ID, s.Born) {
		return
	}
	existing, ok := l.Servers[s.ID]
	replaces := ok && l.Format >= FormatPlaces && s.Replaces != 0 && s.Replaces == existing.Born
	if ok && (s.Born < existing.Born && !replaces || (s.Born == existing.Born && s.Seq < existing.Seq)) {
		return
	}
	// Draining is permanent: an incarnation that began to leave doesn't take work again.
	s.Draining = s.Draining || (ok && s.Born == existing.Born && existing.Draining)
	stored := s
	stored.Replaces = 0
	_, left := l.departed[s.ID]
	stored.Restarted = l.Format >= FormatIncarnations && (left || ok && (existing.Restarted || existing.Born != s.Born))
	l.replaceServer(s.ID, &stored)
	l.resolveRuns(s, r)
}
