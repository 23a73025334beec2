package ledger

import (
	"encoding/base64"

	"laburnumrouter/internal/version/accepted"
)

// Approximate sizes of records without their texts, in bytes: at least what they take up in a snapshot, and about what they take up
// in memory.
const (
	jobBytes        = 432
	stepBytes       = 352
	dependencyBytes = 8
	// taskBytes covers a task that has begun, with taskTextBytes of texts; failureBytes is added once a run has failed or crashed.
	taskBytes       = 192
	taskTextBytes   = 64
	failureBytes    = 128
	unresolvedBytes = 128
	occurrenceBytes = 64
	recordBytes     = 96 // of a step of an occurrence
	endBytes        = 160
	serverBytes     = 512
	waveBytes       = 256
	machineBytes    = 48
	departureBytes  = 64
	// entryBytes is that of an entry of the maps by machine or pool, and evacuationBytes that of the state of a data centre.
	entryBytes      = 256
	evacuationBytes = 2048
	// unpackedFactor is the size of a configuration that isn't packed in relation to its bytes as sent: these in base64, and its
	// decoded parts.
	unpackedFactor = 3
)

// Bytes returns the approximate size of all records and of the chunks of ExpiringBytes. It is an upper bound of their size in a
// snapshot, which has the configuration in force beside them.
func (l *Ledger) Bytes() int { return l.RecordBytes() + l.ExpiringBytes() }

// RecordBytes returns the approximate size of the records of jobs, waves, servers and machines.
func (l *Ledger) RecordBytes() int {
	n := l.bytes + entryBytes*(len(l.Orders)+len(l.contents.Intents)+len(l.Sizes)) + evacuationBytes*len(l.Evacuations)
	for name, w := range l.FormerWorkspaces {
		n += entryBytes + textBytes(name) + digestBytes*len(w.Keys)
	}
	return n
}

// ExpiringBytes returns the approximate size of the staged and the former chunks, at most MaxStagedBytes and maxFormerBytes.
func (l *Ledger) ExpiringBytes() int { return l.stagedBytes + l.formerBytes }

// Bytes returns the approximate size of the record of a job when it is accepted.
func (s *Submission) Bytes() int { return (&Job{Submission: *s}).size() }

// CommandBytes returns an upper bound of the size of a submission in a command, which doesn't name its tasks.
func (s *Submission) CommandBytes() int {
	j := &Job{Submission: *s}
	return j.size() - j.occurrenceBytes()
}

// Bytes returns the approximate size of the record of a wave.
func (o *WaveOrder) Bytes() int { return (&Wave{WaveOrder: *o}).size() }

// CancelledBytes returns the approximate size of the record of a job that was cancelled before it was submitted.
func CancelledBytes(r JobRef) int {
	return (&Job{Submission: Submission{ID: r.ID, Host: r.Host, Prefix: r.Prefix}}).size()
}

// ConfigBytes returns the approximate size of the configuration in force in a snapshot.
func (l *Ledger) ConfigBytes() int {
	if l.Config == nil {
		return 0
	}
	if l.Manifest != nil {
		return manifestBytes + digestBytes*len(l.Manifest.Chunks) + l.chunksBytes
	}
	if l.packed.config != l.Config {
		return configBytes(l.Config, nil)
	}
	return configBytes(l.Config, l.packed.bytes)
}

// ConfigBytes returns the approximate size of the whole configuration of a command in a snapshot.
func (c *Command) ConfigBytes() int { return configBytes(c.Config, c.PackedConfig) }

func configBytes(c *accepted.Config, packed []byte) int {
	if packed == nil {
		return unpackedFactor * len(c.Raw)
	}
	return base64.StdEncoding.EncodedLen(len(packed))
}

// textBytes returns an upper bound of the size of a text in JSON, which writes some bytes as six.
func textBytes(s string) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += 5
		}
	}
	return n
}

// size returns the approximate size of a job's record. One that hasn't begun counts with the tasks of one occurrence.
func (j *Job) size() int {
	n := jobBytes + 2*textBytes(j.ID) + textBytes(j.Queue) + textBytes(j.Host) + textBytes(j.Prefix) + textBytes(j.Workspace) + textBytes(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + len(s.After)*dependencyBytes + textBytes(s.Label) + textBytes(s.Rack) + textBytes(s.Image)
	}
	if len(j.Steps) > 0 {
		n += j.occurrenceBytes() * max(1, len(j.Occurrences))
	}
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			n += textBytes(o.Steps[s].Checkpoint)
			for i := range o.Steps[s].Tasks {
				n += o.Steps[s].Tasks[i].extraBytes()
			}
		}
	}
	for i := range j.Notes {
		n += j.Notes[i].size()
	}
	return n
}

// occurrenceBytes returns the approximate size of the record of an occurrence whose runs don't fail.
func (j *Job) occurrenceBytes() int {
	n := occurrenceBytes
	for i := range j.Steps {
		n += recordBytes + j.Steps[i].Count*taskBytes
	}
	return n
}

// extraBytes returns what the record of a task takes up beyond taskBytes.
func (t *Task) extraBytes() int {
	if t.Run == 0 {
		return 0
	}
	n := max(0, textBytes(t.Worker)+textBytes(t.Checkpoint)-taskTextBytes)
	if t.Fails+t.Crashes+t.UnclearCrashes+t.Suspicions+len(t.Unresolved) > 0 || t.GivenUp {
		n += failureBytes
	}
	for i := range t.Unresolved {
		n += unresolvedBytes + textBytes(t.Unresolved[i].ID) + textBytes(t.Unresolved[i].Address)
	}
	return n
}

func (e *UnsuccessfulEnd) size() int { return endBytes + textBytes(e.Task.Job) + textBytes(e.Worker) }

func (s *Server) size() int {
	n := serverBytes + 2*textBytes(s.ID) + textBytes(s.Pool) + textBytes(s.Address) + textBytes(s.DataCentre)
	for _, label := range s.Labels {
		n += len(`"",`) + textBytes(label)
	}
	return n
}

// size returns the approximate size of a wave's record, with a phase for each machine.
func (w *Wave) size() int {
	n := waveBytes
	for _, m := range w.Machines {
		n += machineBytes + 2*textBytes(m)
	}
	return n
}

func (d *Departure) size() int { return departureBytes + textBytes(d.ID) }

// resize accounts for a change of a job's record.
func (l *Ledger) resize(j *Job) { l.grow(j, j.size()-j.bytes) }

// grow accounts for a change of a job's record by a number of bytes.
func (l *Ledger) grow(j *Job, bytes int) {
	j.bytes += bytes
	l.bytes += bytes
}

// change applies a change to a task and accounts for it.
func (l *Ledger) change(j *Job, t *Task, f func()) {
	before := t.extraBytes()
	f()
	l.grow(j, t.extraBytes()-before)
}

// replaceServer records a server; nil removes the one with the ID.
func (l *Ledger) replaceServer(id string, s *Server) {
	if old, ok := l.Servers[id]; ok {
		l.bytes -= old.size()
		delete(l.Servers, id)
	}
	if s != nil {
		l.Servers[id] = *s
		l.bytes += s.size()
	}
}

// countBytes derives the size of all records.
func (l *Ledger) countBytes() {
	l.bytes = 0
	for _, j := range l.Jobs {
		j.bytes = 0
		l.resize(j)
	}
	for _, s := range l.Servers {
		l.bytes += s.size()
	}
	for _, w := range l.Waves {
		l.bytes += w.size()
	}
	for i := range l.Departures {
		l.bytes += l.Departures[i].size()
	}
}
