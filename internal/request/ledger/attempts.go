package ledger

import (
	"maps"
	"slices"

	"laburnumrouter/internal/version/accepted"
)

// taskFailed counts a failed run. A task whose attempts are used up is given up; lasting tasks have no limit of attempts. The failed
// runs of a gang are counted in the record of its first task, each once, by its number.
func (l *Ledger) taskFailed(j *Job, id TaskID, t *Task) {
	step := &j.Steps[id.Step]
	counter := t
	if step.Gang {
		counter = &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[0]
	}
	l.change(j, counter, func() {
		if !step.Gang || l.Format < FormatGangRuns {
			counter.Fails++ // before FormatGangRuns once for each member that failed
		} else if counter.FailedRun < t.Run {
			counter.FailedRun = t.Run
			counter.Fails++
		}
	})
	if step.Lasting || j.State.Final() {
		return
	}
	if limit, limited := l.maxAttempts(j); limited && counter.Fails >= limit {
		l.giveUp(j, id)
	}
}

// maxAttempts returns the number of failed runs of a task after which the job fails. While the job's queue isn't configured, no task
// of it is started and there is no limit: the one that counts is that of the configuration which has the queue again.
func (l *Ledger) maxAttempts(j *Job) (limit int, limited bool) {
	if q := l.configuredQueue(j); q != nil {
		return max(1, q.MaxAttempts), true
	}
	return 1, l.Format < FormatGangRuns
}

// queuesWithFewerAttempts returns the queues of a configuration whose tasks may have used up their attempts by it, and hadn't by the
// one before: those that are new and those with a lower limit.
func (l *Ledger) queuesWithFewerAttempts(before *accepted.Index, c *accepted.Config) map[accepted.Place]bool {
	fewer := make(map[accepted.Place]bool)
	for i := range c.Queues {
		q := &c.Queues[i]
		at := l.attemptsKey(q.Place(), q.Name)
		var earlier *accepted.Queue
		switch {
		case before == nil:
		case l.Format < FormatPlaces:
			earlier = before.Queue(q.Name)
		default:
			earlier = before.At(at)
		}
		if earlier == nil || q.MaxAttempts < earlier.MaxAttempts {
			fewer[at] = true
		}
	}
	return fewer
}

// attemptsKey returns what identifies a queue for its number of attempts: its place, or before FormatPlaces its name alone.
func (l *Ledger) attemptsKey(p accepted.Place, name string) accepted.Place {
	if l.Format < FormatPlaces {
		return accepted.Place{Host: name}
	}
	return p
}

// giveUpExhausted gives up the tasks of the given queues that have used up their attempts by the configuration in force.
func (l *Ledger) giveUpExhausted(queues map[accepted.Place]bool, r *Result) {
	var keys []string
	for key, j := range l.open {
		if queues[l.attemptsKey(j.Place(), j.Queue)] && !j.State.Final() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys) // the order in which jobs fail is part of the state
	for _, key := range keys {
		l.giveUpExhaustedOf(l.Jobs[key], r)
	}
}

func (l *Ledger) giveUpExhaustedOf(j *Job, r *Result) {
	limit, limited := l.maxAttempts(j)
	if !limited {
		return
	}
	for _, k := range slices.Sorted(maps.Keys(j.Occurrences)) {
		o := j.Occurrences[k]
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				t := &o.Steps[s].Tasks[i]
				if j.State.Final() {
					return
				}
				if j.Steps[s].Lasting || t.Phase == Done || t.GivenUp || t.Fails < limit {
					continue
				}
				id := TaskID{Job: j.Key(), Occurrence: k, Step: s, Index: i}
				r.Exhausted = append(r.Exhausted, id)
				l.giveUp(j, id)
			}
		}
	}
}

// raiseFormat puts a format of commands in force. That with places needs an update by the configuration in force.
func (l *Ledger) raiseFormat(format int, places *PlacesUpdate) {
	before := l.Format
	if before < FormatPlaces && format >= FormatPlaces && !l.mayRaise(places) {
		format = FormatPlaces - 1
	}
	l.Format = max(l.Format, format)
	if before < FormatGangRuns && l.Format >= FormatGangRuns {
		l.countFailedGangRuns()
	}
	if before < FormatGangCheckpoint && l.Format >= FormatGangCheckpoint {
		l.unifyCheckpoints()
	}
	if before < FormatCompletedWaves && l.Format >= FormatCompletedWaves {
		l.compactCompletedWaves()
	}
	if before < FormatPlaces && l.Format >= FormatPlaces {
		l.agreeOnPlaces(places)
	}
	if before != l.Format {
		l.countBytes()
	}
}

// countFailedGangRuns replaces the number of failed ends of all gangs.
func (l *Ledger) countFailedGangRuns() {
	for _, j := range l.open {
		for k, o := range j.Occurrences {
			for s := range o.Steps {
				if j.Steps[s].Gang && len(o.Steps[s].Tasks) > 0 && o.Steps[s].Tasks[0].Fails > 0 {
					j.countGangRuns(TaskID{Job: j.Key(), Occurrence: k, Step: s}, &o.Steps[s].Tasks[0])
				}
			}
		}
	}
}

// countGangRuns replaces the number of failed ends of a gang's members, which was counted before FormatGangRuns, by that of its failed
// runs. It uses what members of earlier versions hold alike: the recorded unsuccessful ends. Of ends that are no longer recorded, the
// fewest runs are assumed that they can belong to, so that no job fails early.
func (j *Job) countGangRuns(first TaskID, counter *Task) {
	type ends struct{ all, failed int }
	recorded := make(map[int]ends)
	oldest, newestFailed, noted := 0, 0, 0
	for _, n := range j.Notes {
		if n.Task.Occurrence != first.Occurrence || n.Task.Step != first.Step {
			continue
		}
		e := recorded[n.Run]
		e.all++
		if n.How == EndFailed {
			e.failed++
			noted++
			newestFailed = max(newestFailed, n.Run)
		}
		recorded[n.Run] = e
		if oldest == 0 || n.Run < oldest {
			oldest = n.Run
		}
	}
	runs := 0
	for _, e := range recorded {
		if e.failed > 0 {
			runs++
		}
	}
	if counter.Fails > noted {
		// The others belong to the oldest recorded run if that may lack ends and has a failed one, else to another run.
		if e := recorded[oldest]; e.all == j.Steps[first.Step].Count || e.failed == 0 {
			runs++
		}
	}
	counter.Fails, counter.FailedRun = runs, newestFailed
}
