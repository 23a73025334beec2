package dispatch

import (
	"slices"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// pendingLogInterval is the minimum time between log lines about the pending jobs of a queue.
const pendingLogInterval = 250 * time.Millisecond

// maxRecordDelay is how long it may stay unrecorded in the log that a job has begun. Usually the next command records it.
const maxRecordDelay = 500 * time.Millisecond

// begunJobs holds when the first evidence that a job has begun arrived, by the key of the job.
type begunJobs map[string]time.Duration

// runBeganLocked notes that a backend server has accepted or reported a run. A committed or sent order is no evidence.
func (s *session) runBeganLocked(key runKey, serverID string) {
	j := s.engine.ledger.Job(key.task.Job)
	if j == nil || s.hasBegunLocked(j) || j.State.Final() || !s.gangPresentLocked(j, key) {
		return
	}
	s.begun[j.Key()] = boottime.Now()
	s.log.Info("job began", "job", j.ID, "queue", j.Queue, "task", key.task, "run", key.run, "server", serverID,
		"since_accepted_ms", time.Now().UnixMilli()-j.AcceptedMS)
}

// gangPresentLocked reports whether all members of the run's gang are present at the same time: backend servers have accepted or
// reported them, and each of these has answered since the last one did. Its tasks wait for each other, and the server of one may have
// crashed before another member was there. A run that belongs to no gang needs no others.
func (s *session) gangPresentLocked(j *ledger.Job, key runKey) bool {
	if !j.Steps[key.task.Step].Gang {
		return true
	}
	var complete time.Duration
	members := make([]ledger.TaskID, j.Steps[key.task.Step].Count)
	for i := range members {
		member := key
		member.task.Index = i
		o := s.orders[member]
		if o == nil || o.state != orderTaken {
			return false
		}
		members[i], complete = member.task, max(complete, o.since)
	}
	return !slices.ContainsFunc(members, func(id ledger.TaskID) bool {
		_, t := s.engine.ledger.Task(id)
		server := s.fleet.Get(t.Worker)
		return server == nil || t.Born != 0 && server.Born != t.Born || server.AnsweredAt < complete
	})
}

// hasBegunLocked reports whether a run of a job is known to have begun.
func (s *session) hasBegunLocked(j *ledger.Job) bool {
	_, noted := s.begun[j.Key()]
	return noted || j.Started
}

// stateLocked returns the state of a job as callers see it.
func (s *session) stateLocked(j *ledger.Job) ledger.JobState {
	if j.State == ledger.Queued && s.hasBegunLocked(j) {
		return ledger.Running
	}
	return j.State
}

// unrecorded returns the jobs that have begun and that the ledger doesn't know as started.
func (s *session) unrecorded() []string {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	ids := make([]string, 0, len(s.begun))
	for id := range s.begun {
		ids = append(ids, id)
	}
	return ids
}

// recordOverdue reports whether a job has been unrecorded for maxRecordDelay.
func (s *session) recordOverdue() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, since := range s.begun {
		if boottime.Now()-since >= maxRecordDelay {
			return true
		}
	}
	return false
}

// forgetRecordedLocked drops the jobs that a command may have started or finished if the ledger knows them as such.
func (s *session) forgetRecordedLocked(c *ledger.Command, r *ledger.Result) {
	if len(s.begun) == 0 {
		return
	}
	forget := func(id string) {
		if j := s.engine.ledger.Job(id); j == nil || j.Started || j.State.Final() {
			delete(s.begun, id)
		}
	}
	for _, id := range c.Begun {
		forget(id)
	}
	for _, e := range r.Ended {
		forget(e.Task.Job)
	}
	for _, key := range s.cancelledLocked(c) {
		forget(key)
	}
}

// logPendingLocked logs what an answer about the pending jobs of a queue rests on, at most once every pendingLogInterval.
func (s *session) logPendingLocked(c *Call, q *accepted.Queue) {
	now, place := boottime.Now(), q.Place()
	if at, logged := s.pendingLoggedAt[place]; logged && now-at < pendingLogInterval {
		return
	}
	s.pendingLoggedAt[place] = now
	p := s.pendingJobsLocked()[place]
	s.log.Info("pending jobs reported", "request", c.RequestID, "queue", q.Name, "pending", p.count, "ordered", p.ordered,
		"oldest_ms", p.oldestMS)
}

// pendingJobs describes the unfinished jobs of a queue of which no task is known to have begun.
type pendingJobs struct {
	count int
	// ordered is the number of those of which a run was ordered.
	ordered int
	// oldestMS is the age of the oldest, in milliseconds since its acceptance, without scheduled jobs.
	oldestMS int64
}

// pendingJobsLocked returns the pending jobs by the place of their queue.
func (s *session) pendingJobsLocked() map[accepted.Place]pendingJobs {
	nowMS := time.Now().UnixMilli()
	byPlace := make(map[accepted.Place]pendingJobs)
	for _, j := range s.engine.ledger.Open() {
		if j.State.Final() || s.hasBegunLocked(j) {
			continue
		}
		p := byPlace[j.Place()]
		p.count++
		if j.Runs > 0 {
			p.ordered++
		}
		if j.Times == 0 {
			p.oldestMS = max(p.oldestMS, nowMS-j.AcceptedMS)
		}
		byPlace[j.Place()] = p
	}
	return byPlace
}
