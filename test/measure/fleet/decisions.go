package fleet

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/request/placement"
	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	rounds           = 200 // calls of each timed decision
	designWorkspaces = 660
	// linearGrowth is the exponent of a cost that is proportional to the size of the fleet.
	linearGrowth = 1.0
)

var fleetSizes = []int{50, 500, 4400}

// measureDecisions times each kind of decision after one event at three fleet sizes, and computes the exponent of its
// growth with the size.
func measureDecisions(ctx context.Context, r *recorder.Recorder) error {
	costs := make(map[string][]float64)
	for _, n := range fleetSizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		times, err := decisionTimes(n)
		if err != nil {
			return err
		}
		for name, t := range times {
			costs[name] = append(costs[name], t)
		}
	}
	for _, name := range sortedKeys(costs) {
		t := costs[name]
		last := len(t) - 1
		r.Add(recorder.Figure{Area: area, Name: "decision at 4,400 workers: " + name, Unit: "us", Value: t[last], Baseline: t[0],
			BaselineName: "at 50 workers", Better: recorder.Lower})
		exponent := math.Log(t[last]/t[0]) / math.Log(float64(fleetSizes[last])/float64(fleetSizes[0]))
		r.Add(recorder.Figure{Area: area, Name: "growth of a decision from 50 to 4,400 workers: " + name, Unit: "exponent",
			Value: exponent, Target: linearGrowth, HasTarget: true, Better: recorder.Lower})
		var points []recorder.Point
		for i, n := range fleetSizes {
			points = append(points, recorder.Point{X: float64(n), Y: t[i]})
		}
		r.AddSeries(recorder.Series{Plot: "Time of a decision", Name: name, XLabel: "workers", YLabel: "us", Points: points})
	}
	return measureUrgentStart(r)
}

// medianMicroseconds calls f for a number of rounds and returns the median duration in microseconds.
func medianMicroseconds(f func(i int)) float64 {
	times := make([]float64, rounds)
	for i := range times {
		begin := time.Now()
		f(i)
		times[i] = float64(time.Since(begin).Nanoseconds()) / 1000
	}
	slices.Sort(times)
	return times[rounds/2]
}

// decisionTimes returns the median duration of each kind of decision in a fleet of about n instances.
func decisionTimes(n int) (map[string]float64, error) {
	s := scaled(n)
	w, err := s.world()
	if err != nil {
		return nil, err
	}
	w.Step()
	in := w.Input()
	times := map[string]float64{
		"moves, nothing changed": medianMicroseconds(func(int) { capacity.PlanMoves(in) }),
	}
	policy, _ := capacity.PolicyOf(capacity.Responsive)
	forecast := capacity.NewForecast(policy)
	times["rebalance, steady demand"] = medianMicroseconds(func(int) { capacity.Rebalance(in, forecast, policy) })
	plan := &laburnumv1.Maintenance{Name: planName, StartUnix: w.Now.Unix(), EndUnix: w.Now.Add(planPeriod).Unix(), MaxStep: 8}
	w.ApplySheet(&laburnumv1.Configuration{SheetNumber: 2, Pools: s.pools, Maintenance: []*laburnumv1.Maintenance{plan}})
	w.UseWaves(wave.DefaultPolicy())
	w.Step()
	in = w.Input()
	times["wave step"] = medianMicroseconds(func(int) { wave.Plan(in, wave.DefaultPolicy()) })
	scheduler := backlogged(n, min(designWorkspaces, n))
	times["job submitted and placed"] = medianMicroseconds(func(i int) { submitAndPlace(scheduler, fmt.Sprintf("u%d", i), true) })
	times["job ended"] = medianMicroseconds(func(i int) { endJob(scheduler, fmt.Sprintf("u%d", i)) })
	return times, nil
}

// backlogged returns a scheduler whose workers have free capacity and whose workspaces have many jobs waiting for permits.
func backlogged(workers, workspaces int) *placement.Scheduler {
	s := placement.New()
	for i := range workers {
		s.SetWorker(placement.Worker{ID: fmt.Sprintf("w%d", i), Pool: jobPool, Capacity: workerSize})
	}
	for i := range workspaces {
		name := fmt.Sprintf("team-%d", i)
		s.SetWorkspace(placement.Workspace{Name: name, Share: 1, Permits: 2})
		for j := range 20 {
			id := fmt.Sprintf("%s-%d", name, j)
			s.ApplyJob(id, jobOf(id, name, false))
		}
	}
	s.SetWorkspace(placement.Workspace{Name: "urgent", Share: 1, Permits: allPermits})
	commitAll(s, s.Plan(time.Now(), allPermits).Start)
	return s
}

func jobOf(id, workspace string, urgent bool) *laburnumv1.Job {
	size := placement.Size{MilliCPU: 1000, Memory: gib}
	return &laburnumv1.Job{Id: id, Team: workspace, Pool: jobPool, Declared: size.Resources(), State: jobWaiting, Urgent: urgent}
}

func commitAll(s *placement.Scheduler, starts []*laburnumv1.Job) {
	for _, job := range starts {
		s.ApplyJob(job.Id, job)
	}
}

// submitAndPlace submits a job of a workspace that has permits and commits the planned starts. It returns their number.
func submitAndPlace(s *placement.Scheduler, id string, urgent bool) int {
	s.ApplyJob(id, jobOf(id, "urgent", urgent))
	starts := s.Plan(time.Unix(1_800_000_000, 0), allPermits).Start
	commitAll(s, starts)
	return len(starts)
}

// endJob marks a job as done and plans again.
func endJob(s *placement.Scheduler, id string) {
	job := jobOf(id, "urgent", true)
	next := proto.Clone(job).(*laburnumv1.Job)
	next.State = jobDone
	s.ApplyJob(id, next)
	s.Plan(time.Unix(1_800_000_000, 0), allPermits)
}

// measureUrgentStart measures the longest time from the submission of an urgent job to the decision to start it, in a
// fleet of the size to design for: the full interval until the next survey of workers and permits, plus the decision.
// The commit and the answer of the platform come on top.
func measureUrgentStart(r *recorder.Recorder) error {
	s := backlogged(4400, designWorkspaces)
	worst := 0.0
	for i := range rounds {
		begin := time.Now()
		if submitAndPlace(s, fmt.Sprintf("now%d", i), true) != 1 {
			return fmt.Errorf("urgent job %d was not placed", i)
		}
		worst = max(worst, time.Since(begin).Seconds())
	}
	r.Add(recorder.Figure{Area: area, Name: "urgent work at the letter's size: first start, longest of 200 (decision and survey, without commit and platform)",
		Unit: "s", Value: placeInterval.Seconds() + worst, Target: urgentTargetSeconds, HasTarget: true, Better: recorder.Lower})
	return nil
}
