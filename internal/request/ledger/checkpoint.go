package ledger

// oneCheckpoint reports whether the tasks of a step carry one checkpoint: that of their gang.
func (l *Ledger) oneCheckpoint(step *Step) bool { return step.Gang && l.Format >= FormatGangCheckpoint }

// recordCheckpoint records the checkpoint that came with the end of a task's run; if there is none, the recorded one stays. That of a
// member of a gang becomes the gang's, and the tasks keep what the members of this run carry: an order to another of them may still be
// sent. An end that the leader has concluded doesn't replace what a member reported with its end of the same run, which is newer.
func (l *Ledger) recordCheckpoint(j *Job, e End, t *Task) {
	if e.Checkpoint == "" {
		return
	}
	if !l.oneCheckpoint(&j.Steps[e.Task.Step]) {
		l.change(j, t, func() { t.Checkpoint = e.Checkpoint })
		return
	}
	record := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	if record.CheckpointRun == e.Run && e.How == EndLost {
		return
	}
	l.grow(j, textBytes(e.Checkpoint)-textBytes(record.Checkpoint))
	record.Checkpoint, record.CheckpointRun = e.Checkpoint, e.Run
}

// unifyCheckpoints gives each gang one of the checkpoints that were recorded for its members before FormatGangCheckpoint.
func (l *Ledger) unifyCheckpoints() {
	for _, j := range l.open {
		for _, o := range j.Occurrences {
			for s := range o.Steps {
				for i := range o.Steps[s].Tasks {
					if record := &o.Steps[s]; j.Steps[s].Gang && record.Checkpoint == "" {
						record.Checkpoint = record.Tasks[i].Checkpoint
					}
				}
			}
		}
	}
}
