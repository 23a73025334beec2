package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/request/placement"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	jobWaiting  = laburnumv1.JobState_JOB_STATE_WAITING
	jobStarting = laburnumv1.JobState_JOB_STATE_STARTING
	jobRunning  = laburnumv1.JobState_JOB_STATE_RUNNING
	jobDone     = laburnumv1.JobState_JOB_STATE_DONE

	jobTime     = 30 * time.Minute
	usageLag    = 5 // seconds
	jobWorkers  = 50
	jobClasses  = 8
	maxError    = 10.0 // by which declarations are off, either way
	allPermits  = 1 << 20
	jobPool     = "archive"
	placeEvery  = 200 * time.Millisecond // interval at which the leader surveys workers and permits
	urgentBound = 3.4                    // seconds to the first start of urgent work
	gib         = 1 << 30
)

var workerSize = placement.Size{MilliCPU: 32_000, Memory: 64 * gib}

// trueJob is a job with what it truly needs.
type trueJob struct {
	job     *laburnumv1.Job
	size    placement.Size
	left    float64 // seconds of work
	started int
}

// jobRun plays workers in steps of a second.
type jobRun struct {
	learns  bool
	s       *placement.Scheduler
	random  *rand.Rand
	jobs    map[string]*trueJob
	running map[string]map[string]*trueJob // by worker
	errors  []float64                      // factor of each class between truth and declaration
	next    int
	done    float64 // core-seconds of finished work
	killed  int
}

// measureJobs compares learned sizes and relief with placement by declared sizes alone.
func measureJobs(ctx context.Context, r *recorder.Recorder) error {
	ours, err := runJobs(ctx, true)
	if err != nil {
		return err
	}
	plain, err := runJobs(ctx, false)
	if err != nil {
		return err
	}
	capacity := float64(jobWorkers) * float64(workerSize.MilliCPU) / 1000 * jobTime.Seconds()
	r.Add(recorder.Figure{Area: area, Name: "jobs: finished work per unit of capacity, declarations off by up to 10x", Unit: "%",
		Value: 100 * ours.done / capacity, Baseline: 100 * plain.done / capacity, BaselineName: "same order, declared sizes", Better: recorder.Higher})
	r.Add(recorder.Figure{Area: area, Name: "jobs: tasks killed by workers out of memory", Unit: "tasks",
		Value: float64(ours.killed), Baseline: float64(plain.killed), BaselineName: "same order, declared sizes", Better: recorder.Lower})
	return nil
}

func runJobs(ctx context.Context, learns bool) (*jobRun, error) {
	v := &jobRun{
		learns: learns, s: placement.New(), random: rand.New(rand.NewPCG(3, 4)),
		jobs: make(map[string]*trueJob), running: make(map[string]map[string]*trueJob),
	}
	for i := range jobWorkers {
		id := fmt.Sprintf("w%03d", i)
		v.s.SetWorker(placement.Worker{ID: id, Pool: jobPool, Capacity: workerSize})
		v.running[id] = make(map[string]*trueJob)
	}
	for range jobClasses {
		v.errors = append(v.errors, math.Exp((2*v.random.Float64()-1)*math.Log(maxError)))
	}
	for second := range int(jobTime.Seconds()) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		v.second(second)
	}
	return v, nil
}

func team(class int) string { return fmt.Sprintf("team-%d", class) }

// second plays one second: submissions, starts, progress, usage reports.
func (v *jobRun) second(second int) {
	now := time.Unix(1_800_000_000+int64(second), 0)
	for v.backlog() < 400 {
		v.submit(now)
	}
	for _, job := range v.s.Plan(now, allPermits).Start {
		v.commit(job)
		t := v.jobs[job.Id]
		t.started = second
		v.running[job.Worker][job.Id] = t
	}
	for _, id := range sortedKeys(v.running) {
		v.progress(id, second)
	}
	if v.learns {
		v.report(second)
	}
}

func (v *jobRun) backlog() int {
	sum := 0
	for _, name := range v.s.Teams() {
		_, waiting := v.s.RunningAndWaiting(name)
		sum += waiting
	}
	return sum
}

func (v *jobRun) submit(now time.Time) {
	class := v.next % jobClasses
	v.s.SetTeam(placement.Team{Name: team(class), Share: 1, Permits: allPermits})
	size := placement.Size{MilliCPU: 500 + v.random.Int64N(4000), Memory: gib/4 + v.random.Int64N(12*gib)}
	factor := v.errors[class]
	declared := placement.Size{
		MilliCPU: min(workerSize.MilliCPU, int64(float64(size.MilliCPU)/factor)),
		Memory:   min(workerSize.Memory, int64(float64(size.Memory)/factor)),
	}
	id := fmt.Sprintf("j%06d", v.next)
	v.next++
	job := &laburnumv1.Job{Id: id, Team: team(class), Pool: jobPool, Declared: declared.Resources(), State: jobWaiting, SubmittedUnixMs: now.UnixMilli()}
	v.jobs[id] = &trueJob{job: job, size: size, left: 20 + 100*v.random.Float64()}
	v.commit(job)
}

func (v *jobRun) commit(job *laburnumv1.Job) {
	v.jobs[job.Id].job = job
	v.s.ApplyJob(job.Id, job)
}

func (v *jobRun) to(t *trueJob, state laburnumv1.JobState) {
	next := proto.Clone(t.job).(*laburnumv1.Job)
	next.State = state
	v.commit(next)
}

// progress runs the tasks of a worker: over its processors they slow down, over its memory the latest is killed.
func (v *jobRun) progress(worker string, second int) {
	tasks := v.running[worker]
	var used placement.Size
	latest := ""
	for _, id := range sortedKeys(tasks) {
		t := tasks[id]
		used.MilliCPU += t.size.MilliCPU
		used.Memory += t.size.Memory
		if latest == "" || t.started >= tasks[latest].started {
			latest = id
		}
	}
	if used.Memory > workerSize.Memory {
		t := tasks[latest]
		delete(tasks, latest)
		v.killed++
		t.left = 20 + 100*v.random.Float64() // its progress is lost
		v.to(t, jobWaiting)
	}
	speed := min(1, float64(workerSize.MilliCPU)/float64(max(used.MilliCPU, 1)))
	for _, id := range sortedKeys(tasks) {
		t := tasks[id]
		t.left -= speed
		v.done += speed * float64(t.size.MilliCPU) / 1000
		if t.left <= 0 {
			delete(tasks, id)
			if v.learns {
				v.s.Estimator().Observe(t.job, t.size)
			}
			v.to(t, jobDone)
		}
	}
	_ = second
}

// report hands in usage that lags, and carries out the relief that follows.
func (v *jobRun) report(second int) {
	for _, worker := range sortedKeys(v.running) {
		for _, id := range sortedKeys(v.running[worker]) {
			t := v.running[worker][id]
			if t == nil || second-t.started != usageLag {
				continue
			}
			for _, relief := range v.s.RecordUsage(id, t.size) {
				moved := v.jobs[relief.Job.Id]
				if relief.Throttle == nil && v.running[worker][moved.job.Id] != nil {
					delete(v.running[worker], moved.job.Id) // checkpointed: its progress is kept
					v.to(moved, jobWaiting)
				}
			}
		}
	}
}
