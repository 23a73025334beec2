package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// JobView is a job as the ledger records it. Times are Unix milliseconds by the leaders' clocks.
type JobView struct {
	// ID is followed by a number if a job of another queue had it when this one was submitted.
	ID string
	// Host and Prefix are where the job was submitted, and Queue is the name of the queue there; empty if there is none now.
	Host, Prefix string
	Queue        string
	Workspace    string `json:"Team"`
	State        ledger.JobState
	AcceptedMS   int64
	FirstStartMS int64 `json:",omitempty"`
	FinishedMS   int64 `json:",omitempty"`
	// Runs is the number of runs of its tasks.
	Runs int
	// Steps are the steps of due occurrences; empty once the job is in a final state.
	Steps []StepView `json:",omitempty"`
	// Ends are the most recent runs that ended without success.
	Ends []ledger.UnsuccessfulEnd `json:",omitempty"`
}

// StepView is one step of an occurrence.
type StepView struct {
	Occurrence, Step, Count, Done int
	Gang, Lasting                 bool `json:",omitempty"`
	// GivenUp counts the tasks that aren't started again.
	GivenUp int `json:",omitempty"`
	// Running lists the backend servers of its live runs.
	Running []string `json:",omitempty"`
	// Waits explains why tasks wait; empty if none waits.
	Waits string `json:",omitempty"`
}

// PoolView is a pool as the leader sees it.
type PoolView struct {
	Name string
	// Servers counts all backend servers of the pool. Each is also counted in the first of these that applies: Leaving if
	// it drains or has left, Silent if it can't be given work now, Suspect if its runs fail or are slow.
	Servers, Leaving, Silent, Suspect int
	Runs                              int
	// UsedCPU and CPU are in millicores.
	UsedCPU, CPU int64
}

// WaveView is a maintenance wave.
type WaveView struct {
	Number int64
	// Down counts the machines whose upkeep was ordered and isn't over, Over those whose upkeep is over or that have
	// none because the platform refused it.
	Machines, Down, Over  int
	StartedMS, DurationMS int64
}

// StatusView is the state of the fleet as the leader sees it.
type StatusView struct {
	Leader string
	Term   uint64
	// Version is that of the configuration in force; 0 if there is none.
	Version int64
	// Open is the number of jobs that aren't in a final state or have live runs.
	Open int
	// Pending is the number of unfinished jobs of each queue of which no task is known to have begun. Queues without any are
	// left out.
	Pending map[string]int
	// Unrouted and Unowned list the open jobs that the configuration leaves without a queue or without their workspace.
	Unrouted []UnroutedView `json:",omitempty"`
	Unowned  []UnownedView  `json:",omitempty"`
	Pools    []PoolView
	Waves    []WaveView
	// Evacuated lists the evacuated data centres.
	Evacuated []EvacuationView
}

// explain describes the state of a job and why its waiting tasks wait.
func (s *session) explain(c *Call) *Reply {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	var views []*JobView
	for _, j := range s.engine.ledger.Namesakes(c.Path) {
		views = append(views, s.jobViewLocked(j))
	}
	if len(views) == 0 {
		return &Reply{Outcome: NotFound, Reason: "no such job is in the record"}
	}
	return &Reply{Outcome: OK, Job: views[0], Namesakes: views[1:]}
}

func (s *session) jobViewLocked(j *ledger.Job) *JobView {
	v := &JobView{
		ID: j.Key(), Host: j.Host, Prefix: j.Prefix, Workspace: j.Workspace, State: s.stateLocked(j), AcceptedMS: j.AcceptedMS, FirstStartMS: j.FirstStartMS,
		FinishedMS: j.FinishedMS, Runs: j.Runs, Ends: j.Notes,
	}
	if q := s.engine.ledger.QueueOf(j); q != nil {
		v.Queue = q.Name
	}
	in := s.planInputLocked()
	if !j.State.Final() {
		j.EachRunnableStep(in.WallMS, func(k int, o *ledger.Occurrence, step int) {
			v.Steps = append(v.Steps, stepView(in, j, k, o, step, s.unservedLabels))
		})
	}
	return v
}

func stepView(in *schedule.Input, j *ledger.Job, k int, o *ledger.Occurrence, step int, unserved map[string]bool) StepView {
	st := &j.Steps[step]
	v := StepView{Occurrence: k, Step: step, Count: st.Count, Gang: st.Gang, Lasting: st.Lasting}
	if o != nil {
		v.Done = o.Steps[step].Done
		for _, t := range o.Steps[step].Tasks {
			switch t.Phase {
			case ledger.Live:
				v.Running = append(v.Running, t.Worker)
			case ledger.GivenUp:
				v.GivenUp++
			}
		}
	}
	if v.Done+v.GivenUp+len(v.Running) < v.Count {
		v.Waits = schedule.ExplainWaiting(in, j, k, step)
	}
	if v.Waits != "" && st.Label != "" && unserved[st.Label] {
		v.Waits += fmt.Sprintf("; no machine of the fleet has the label %q", st.Label)
	}
	if v.GivenUp > 0 {
		v.Waits = strings.TrimSuffix(fmt.Sprintf("%d given up, not started again; %s", v.GivenUp, v.Waits), "; ")
	}
	return v
}

// status describes the state of the fleet.
func (s *session) status() *Reply {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	v := &StatusView{Leader: s.holder.Name, Term: s.holder.Fence, Open: len(s.engine.ledger.Open()), Pending: make(map[string]int)}
	if index := s.engine.ledger.Index(); index != nil {
		v.Version = index.Config().Version
	}
	for place, p := range s.pendingJobsLocked() {
		v.Pending[s.queueNameLocked(place)] += p.count
	}
	left := s.orphanedLocked()
	v.Unrouted, v.Unowned = left.unrouted, left.unowned
	v.Pools = s.poolViewsLocked()
	v.Evacuated = s.evacuationViewsLocked()
	for n, w := range s.engine.ledger.Waves {
		v.Waves = append(v.Waves, WaveView{
			Number: n, Machines: w.Size(), Down: w.Down(), Over: w.Over(), StartedMS: w.StartedMS, DurationMS: w.DurationMS,
		})
	}
	slices.SortFunc(v.Waves, func(a, b WaveView) int { return cmp.Compare(a.Number, b.Number) })
	return &Reply{Outcome: OK, Status: v}
}

func (s *session) poolViewsLocked() []PoolView {
	now := s.planInputLocked().Now
	byName := make(map[string]*PoolView)
	for id, server := range s.fleet.All() {
		p := byName[server.Pool]
		if p == nil {
			p = &PoolView{Name: server.Pool}
			byName[server.Pool] = p
		}
		p.Servers++
		switch {
		case server.Draining || server.Left:
			p.Leaving++
		case !server.Usable(now, schedule.AnnouncementTimeout):
			p.Silent++
		case server.Health.Suspect() || server.Health.Slow(now):
			p.Suspect++
		}
		p.Runs += len(s.engine.ledger.LiveOn(id))
		p.UsedCPU += s.engine.ledger.Load(id).CPU
		p.CPU += server.Capacity.CPU
	}
	var views []PoolView
	for _, p := range byName {
		views = append(views, *p)
	}
	slices.SortFunc(views, func(a, b PoolView) int { return strings.Compare(a.Name, b.Name) })
	return views
}
