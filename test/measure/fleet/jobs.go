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

	jobTime             = 30 * time.Minute
	usageLagSeconds     = 5 // from the start of a job to the report of its usage
	jobWorkers          = 50
	jobClasses          = 8
	maxDeclarationError = 10.0 // largest factor by which a declared size is too high or too low
	allPermits          = 1 << 20
	jobPool             = "archive"
	placeInterval       = 200 * time.Millisecond // interval at which the leader surveys workers and permits
	urgentTargetSeconds = 3.4                    // from the submission of urgent work to its first start
	gib                 = 1 << 30
)

var workerSize = placement.Size{MilliCPU: 32_000, Memory: 64 * gib}

// simulatedJob is a job with the resources that it really uses.
type simulatedJob struct {
	job           *laburnumv1.Job
	size          placement.Size
	leftSeconds   float64 // of work
	startedSecond int
}

// jobRun simulates workers in steps of one second.
type jobRun struct {
	learnsSizes       bool
	scheduler         *placement.Scheduler
	random            *rand.Rand
	jobs              map[string]*simulatedJob
	running           map[string]map[string]*simulatedJob // by worker
	declarationErrors []float64                           // ratio of real to declared size, by class
	next              int                                 // number of the next job
	done              float64                             // core-seconds of work, including that of tasks killed later
	killed            int
}

// measureJobs compares placement by learned sizes, with relief of overcommitted workers, with placement by declared
// sizes alone.
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
		learnsSizes: learns, scheduler: placement.New(), random: rand.New(rand.NewPCG(3, 4)),
		jobs: make(map[string]*simulatedJob), running: make(map[string]map[string]*simulatedJob),
	}
	for i := range jobWorkers {
		id := fmt.Sprintf("w%03d", i)
		v.scheduler.SetWorker(placement.Worker{ID: id, Pool: jobPool, Capacity: workerSize})
		v.running[id] = make(map[string]*simulatedJob)
	}
	for range jobClasses {
		v.declarationErrors = append(v.declarationErrors, math.Exp((2*v.random.Float64()-1)*math.Log(maxDeclarationError)))
	}
	for second := range int(jobTime.Seconds()) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		v.step(second)
	}
	return v, nil
}

func workspaceName(class int) string { return fmt.Sprintf("team-%d", class) }

// step simulates one second: submissions, starts, progress and usage reports.
func (v *jobRun) step(second int) {
	now := time.Unix(1_800_000_000+int64(second), 0)
	for v.backlog() < 400 {
		v.submit(now)
	}
	for _, job := range v.scheduler.Plan(now, allPermits).Start {
		v.commit(job)
		t := v.jobs[job.Id]
		t.startedSecond = second
		v.running[job.Worker][job.Id] = t
	}
	for _, id := range sortedKeys(v.running) {
		v.progress(id, second)
	}
	if v.learnsSizes {
		v.reportUsage(second)
	}
}

// backlog returns the number of waiting jobs of all workspaces.
func (v *jobRun) backlog() int {
	sum := 0
	for _, name := range v.scheduler.Workspaces() {
		_, waiting := v.scheduler.RunningAndWaiting(name)
		sum += waiting
	}
	return sum
}

func (v *jobRun) submit(now time.Time) {
	class := v.next % jobClasses
	v.scheduler.SetWorkspace(placement.Workspace{Name: workspaceName(class), Share: 1, Permits: allPermits})
	size := placement.Size{MilliCPU: 500 + v.random.Int64N(4000), Memory: gib/4 + v.random.Int64N(12*gib)}
	factor := v.declarationErrors[class]
	declared := placement.Size{
		MilliCPU: min(workerSize.MilliCPU, int64(float64(size.MilliCPU)/factor)),
		Memory:   min(workerSize.Memory, int64(float64(size.Memory)/factor)),
	}
	id := fmt.Sprintf("j%06d", v.next)
	v.next++
	job := &laburnumv1.Job{Id: id, Team: workspaceName(class), Pool: jobPool, Declared: declared.Resources(), State: jobWaiting, SubmittedUnixMs: now.UnixMilli()}
	v.jobs[id] = &simulatedJob{job: job, size: size, leftSeconds: 20 + 100*v.random.Float64()}
	v.commit(job)
}

func (v *jobRun) commit(job *laburnumv1.Job) {
	v.jobs[job.Id].job = job
	v.scheduler.ApplyJob(job.Id, job)
}

func (v *jobRun) setState(t *simulatedJob, state laburnumv1.JobState) {
	next := proto.Clone(t.job).(*laburnumv1.Job)
	next.State = state
	v.commit(next)
}

// progress runs the tasks of a worker for one second. If they need more processors than it has, all slow down; if they
// need more memory, the one that started last is killed.
func (v *jobRun) progress(worker string, second int) {
	tasks := v.running[worker]
	var used placement.Size
	latest := ""
	for _, id := range sortedKeys(tasks) {
		t := tasks[id]
		used.MilliCPU += t.size.MilliCPU
		used.Memory += t.size.Memory
		if latest == "" || t.startedSecond >= tasks[latest].startedSecond {
			latest = id
		}
	}
	if used.Memory > workerSize.Memory {
		t := tasks[latest]
		delete(tasks, latest)
		v.killed++
		t.leftSeconds = 20 + 100*v.random.Float64() // its progress is lost
		v.setState(t, jobWaiting)
	}
	speed := min(1, float64(workerSize.MilliCPU)/float64(max(used.MilliCPU, 1)))
	for _, id := range sortedKeys(tasks) {
		t := tasks[id]
		t.leftSeconds -= speed
		v.done += speed * float64(t.size.MilliCPU) / 1000
		if t.leftSeconds <= 0 {
			delete(tasks, id)
			if v.learnsSizes {
				v.scheduler.Estimator().Observe(t.job, t.size)
			}
			v.setState(t, jobDone)
		}
	}
	_ = second
}

// reportUsage reports the usage of each job usageLagSeconds after its start, and moves the jobs that the scheduler
// wants moved to relieve a worker.
func (v *jobRun) reportUsage(second int) {
	for _, worker := range sortedKeys(v.running) {
		for _, id := range sortedKeys(v.running[worker]) {
			t := v.running[worker][id]
			if t == nil || second-t.startedSecond != usageLagSeconds {
				continue
			}
			for _, relief := range v.scheduler.RecordUsage(id, t.size) {
				moved := v.jobs[relief.Job.Id]
				if relief.Throttle == nil && v.running[worker][moved.job.Id] != nil {
					delete(v.running[worker], moved.job.Id) // checkpointed: its progress is kept
					v.setState(moved, jobWaiting)
				}
			}
		}
	}
}
