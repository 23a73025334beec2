package ledger

import "slices"

// CrashEvidence tells what the end of a backend server's incarnation says about a task that had a live run there.
type CrashEvidence string

// Kinds of evidence. An end without any says nothing: the server was leaving, say, or the run had hardly been ordered.
const (
	// CrashSuspected: no run of another job had begun there as late, so the task or its job has crashed the server, if a task has.
	CrashSuspected CrashEvidence = "suspected"
	// CrashShared: the run is among those of several jobs that began last, or may have ended before the crash.
	CrashShared CrashEvidence = "shared"
	// CrashPossible: the task is an unlikely cause, because the run had worked for a moment.
	CrashPossible CrashEvidence = "possible"
	// CrashUnclear: the run was ordered last, and isn't known to have begun.
	CrashUnclear CrashEvidence = "unclear"
	// CrashUnrelated: the run had worked for so long that its task doesn't crash servers by starting.
	CrashUnrelated CrashEvidence = "unrelated"
)

const (
	// maxSuspicions is the number of suspicions after which a task is given up. Crashes that it shares with other jobs give it
	// one at most, so that a task which shared servers with others that crash them isn't given up for that.
	maxSuspicions = 2
	// maxCrashes is the number of crashes after which a task is given up whatever the suspicions. Unclear ones count with two
	// of the others; maxUnclearCrashes is the number of all without these. The users forbid three starts after the third crash
	// and allow to give up a task only after two (RULES, BUDGET). crashesToIsolate is the number of all after which a task
	// starts alone.
	maxCrashes        = 4
	minClearCrashes   = 2
	maxUnclearCrashes = 5
	crashesToIsolate  = 2
	// maxResolveMS is how long after a lease lapsed a new incarnation shows that the server crashed then. Later it may have
	// been back in the meantime.
	maxResolveMS = 60_000
)

// UnresolvedRun is a run whose lease lapsed while its server was silent. A later incarnation shows that the server crashed;
// otherwise it may have been cut off.
type UnresolvedRun struct {
	Incarnation
	Address  string
	Evidence CrashEvidence
	// AtMS is the leader's time of day of the end in milliseconds since 1970.
	AtMS int64
}

// SuspectedOfCrashes reports whether a task may crash the backend servers that start it. It is started only where no other run
// has just begun, so that the next crash tells.
func (t *Task) SuspectedOfCrashes() bool {
	return t.Suspicions > 0 || t.Crashes+t.UnclearCrashes >= crashesToIsolate
}

// LastChance reports whether a further crash of whatever evidence may end the task.
func (t *Task) LastChance() bool { return t.Crashes+t.UnclearCrashes >= maxCrashes-1 }

// recordCrash counts the crash of a server under a task and reports whether the task is to be given up.
func (t *Task) recordCrash(evidence CrashEvidence) (giveUp bool) {
	switch evidence {
	case CrashSuspected:
		t.Suspicions++
		t.Crashes++
	case CrashShared:
		t.Suspicions = max(t.Suspicions, 1)
		t.Crashes++
	case CrashPossible:
		t.Crashes++
	case CrashUnclear:
		t.UnclearCrashes++
	case CrashUnrelated:
		t.Suspicions, t.Unresolved = 0, nil
		return false
	}
	all := t.Crashes + t.UnclearCrashes
	return t.Suspicions >= maxSuspicions || t.Crashes >= minClearCrashes && all >= maxCrashes || all >= maxUnclearCrashes
}

// crashedUnder records the evidence of an end. If only a lease lapsed, it counts once the server is known to have crashed.
func (l *Ledger) crashedUnder(j *Job, t *Task, e End, r *Result) {
	if e.Crash == "" || j.State.Final() || t.GivenUp {
		return
	}
	if e.How != EndLapsed {
		l.countCrash(j, e.Task, t, e.Crash, r)
		return
	}
	u := UnresolvedRun{
		Incarnation: Incarnation{ID: e.Worker, Born: t.Born}, Address: l.Servers[e.Worker].Address, Evidence: e.Crash, AtMS: l.ClockMS,
	}
	for _, s := range l.Servers {
		if u.endedBefore(s) {
			l.countCrash(j, e.Task, t, u.resolved(), r)
			return
		}
	}
	l.change(j, t, func() { t.Unresolved = append(t.Unresolved, u) })
	l.unresolved[e.Task] = t
	l.indexSuspect(j, e.Task, t)
}

// resolved returns what it says about the task that the server has crashed. The run may have ended in between.
func (u UnresolvedRun) resolved() CrashEvidence {
	if u.Evidence == CrashUnclear {
		return CrashUnclear
	}
	return CrashPossible
}

// countCrash counts a crash under a task, which may be given up for it.
func (l *Ledger) countCrash(j *Job, id TaskID, t *Task, evidence CrashEvidence, r *Result) {
	giveUp := false
	l.change(j, t, func() { giveUp = t.recordCrash(evidence) })
	l.indexSuspect(j, id, t)
	if giveUp {
		r.GivenUp = append(r.GivenUp, GivenUpTask{Task: id, Crashes: t.Crashes, Unclear: t.UnclearCrashes, Suspicions: t.Suspicions})
		l.giveUp(j, id)
	}
}

// giveUp gives up a task, and with it its gang. That fails the job, unless lasting tasks of it go on: they are stopped only if the
// job is cancelled.
func (l *Ledger) giveUp(j *Job, id TaskID) {
	if l.Format < FormatGivenUp {
		l.finish(j, Failed)
		return
	}
	record := &j.Occurrences[id.Occurrence].Steps[id.Step]
	for i := range record.Tasks {
		if i != id.Index && !j.Steps[id.Step].Gang {
			continue
		}
		t := &record.Tasks[i]
		l.change(j, t, func() { t.GivenUp = true })
		if t.Phase == Waiting {
			record.setPhase(t, Waiting)
		}
		member := id
		member.Index = i
		delete(l.suspects, member)
		delete(l.unresolved, member)
	}
	if j.HasGivenUp = true; !j.hasWaiting() {
		l.dropWaiting(j)
	}
	l.failUnlessServing(j)
}

// failUnlessServing fails a job that has given up tasks and of which no lasting task goes on.
func (l *Ledger) failUnlessServing(j *Job) {
	if j.HasGivenUp && !j.State.Final() && !j.serves() {
		l.finish(j, Failed)
	}
}

// GivenUpTask is a task that was given up because servers crashed under it.
type GivenUpTask struct {
	Task                         TaskID
	Suspicions, Crashes, Unclear int
}

// resolveRuns counts the crashes that the announcement of a new incarnation shows: of the server with the same ID or address.
func (l *Ledger) resolveRuns(s Server, r *Result) {
	var shown []TaskID
	for id, t := range l.unresolved {
		if slices.ContainsFunc(t.Unresolved, func(u UnresolvedRun) bool { return u.endedBefore(s) }) {
			shown = append(shown, id)
		}
	}
	slices.SortFunc(shown, TaskID.compare) // the order decides which task of a job is given up
	for _, id := range shown {
		j, t := l.Task(id)
		if t == nil {
			continue // its job was given up just now
		}
		var remaining []UnresolvedRun
		var evidence []CrashEvidence
		for _, u := range t.Unresolved {
			switch {
			case u.AtMS+maxResolveMS < l.ClockMS:
			case u.endedBefore(s):
				evidence = append(evidence, u.resolved())
			default:
				remaining = append(remaining, u)
			}
		}
		l.change(j, t, func() { t.Unresolved = remaining })
		if remaining == nil {
			delete(l.unresolved, id)
		}
		l.indexSuspect(j, id, t)
		for _, e := range evidence {
			if !j.State.Final() {
				l.countCrash(j, id, t, e, r)
			}
		}
	}
}

// endedBefore reports whether the incarnation of the run ended before that of an announcement began.
func (u UnresolvedRun) endedBefore(s Server) bool {
	return (s.Born > u.Born || s.Replaces != 0 && s.Replaces == u.Born) && (s.ID == u.ID || s.Address != "" && s.Address == u.Address)
}

// indexSuspect updates the index of suspected tasks.
func (l *Ledger) indexSuspect(j *Job, id TaskID, t *Task) {
	if !j.State.Final() && !t.GivenUp && t.SuspectedOfCrashes() {
		l.suspects[id] = t
	} else {
		delete(l.suspects, id)
	}
}

// dropSuspects removes the tasks of a job that is over from the indexes.
func (l *Ledger) dropSuspects(j *Job) {
	key := j.Key()
	for id := range l.suspects {
		if id.Job == key {
			delete(l.suspects, id)
		}
	}
	for id := range l.unresolved {
		if id.Job == key {
			delete(l.unresolved, id)
		}
	}
}

// Suspects returns the tasks of unfinished jobs that may crash the backend servers that start them, unless they are done. The
// caller must not change the map.
func (l *Ledger) Suspects() map[TaskID]*Task { return l.suspects }

// indexCrashes rebuilds the indexes for a job.
func (l *Ledger) indexCrashes(j *Job) {
	if j.State.Final() {
		return
	}
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				id, t := TaskID{Job: j.Key(), Occurrence: k, Step: s, Index: i}, &o.Steps[s].Tasks[i]
				if t.Phase == Done || t.GivenUp {
					continue
				}
				l.indexSuspect(j, id, t)
				if len(t.Unresolved) > 0 {
					l.unresolved[id] = t
				}
			}
		}
	}
}
