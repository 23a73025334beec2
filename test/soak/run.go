package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/process/server"
	"laburnumrouter/test/harness"
	"laburnumrouter/test/soak/cluster"
	"laburnumrouter/test/soak/faults"
	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/link"
	"laburnumrouter/test/soak/load"
)

const (
	startLimit = 60 * time.Second
	// afterFaults is how long callers go on as usual after the last fault.
	afterFaults = 2 * time.Second
	// recoveryLimit bounds the probes after the last fault, and endLimit the wait for the end of all accepted jobs.
	recoveryLimit = 60 * time.Second
	endLimit      = 90 * time.Second
	// settleTime is how long the system is idle before its memory and descriptors are read for the last time.
	settleTime = 500 * time.Millisecond
	stopLimit  = 20 * time.Second

	usageInterval = time.Second
	stallInterval = 20 * time.Millisecond
	minStall      = 100 * time.Millisecond
)

// plantCut leaves a link cut after the last fault.
const plantCut = "cut-stays"

// soak is one run.
type soak struct {
	*runCommand
	dir       string
	out       *history.Writer
	cluster   *cluster.Cluster
	callers   *load.Callers
	operators *load.Operators
	schedule  []faults.Fault
}

// Run runs the soak and checks its history. The files of a run that passes are removed.
func (r *runCommand) Run() error {
	dir := filepath.Join(r.Out, fmt.Sprintf("seed-%d", r.Seed))
	if r.Plant != "" {
		dir += "-" + r.Plant
	}
	if err := errs.Combine(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
		return err
	}
	if r.Bin == "" {
		r.Bin = filepath.Join(dir, "bin")
		if err := harness.Build(r.Bin); err != nil {
			return err
		}
	}
	s := &soak{runCommand: r, dir: dir}
	if err := s.play(); err != nil {
		fmt.Println("files are in", dir)
		return err
	}
	events, err := history.Load(filepath.Join(dir, "history.jsonl"))
	if err == nil {
		err = printVerdict(events)
	}
	if err != nil || r.Keep {
		fmt.Println("files are in", dir)
		return err
	}
	return os.RemoveAll(dir)
}

// play runs the fleet from its start to its stop and writes the history.
func (s *soak) play() (err error) {
	soakFile := filepath.Join(s.dir, "soak.jsonl")
	if s.out, err = history.Create(soakFile); err != nil {
		return err
	}
	if err := s.prepare(); err != nil {
		return err
	}
	defer s.cluster.Close()
	stop := s.killOnSignal()
	defer stop()
	background, stopBackground := context.WithCancel(context.Background())
	var watchers errgroup.Group
	watchers.Go(func() error { s.watchStalls(background); return nil })
	watchers.Go(func() error { s.watchUsage(background); return nil })
	err = s.phases()
	stopBackground()
	_ = watchers.Wait()
	s.stop()
	s.out.Add(history.Event{Kind: history.Finished})
	if err := errs.Combine(err, s.out.Close()); err != nil {
		return err
	}
	files, err := s.cluster.HistoryFiles()
	if err != nil {
		return err
	}
	return history.Merge(filepath.Join(s.dir, "history.jsonl"), append(files, soakFile)...)
}

// prepare draws the schedule and sets up fleet, callers and operators.
func (s *soak) prepare() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	shape := cluster.ShapeOf(s.Size)
	s.cluster, err = cluster.New(s.dir, s.Bin, program, s.Plant, shape, s.out)
	if err != nil {
		return err
	}
	names := faults.Names{Controls: processNames(s.cluster.Controls), Entries: processNames(s.cluster.Entries), Workers: processNames(s.cluster.Workers)}
	s.schedule = faults.Schedule(s.Seed, s.Duration, names)
	tamper := &load.Tamper{Plant: s.Plant}
	s.operators = &load.Operators{Out: s.out, Names: names.Controls, Addresses: s.cluster.Public, Pools: cluster.Pools, Refused: s.cluster.Network.Refused, Tamper: tamper, Storms: load.DrawStorms(s.Seed, s.Duration)}
	s.callers = &load.Callers{
		Out: s.out, Names: names.Entries, Addresses: s.cluster.Frontends, Operators: s.operators, Refused: s.cluster.Network.Refused, Tamper: tamper,
		Rate: min(60, 4*float64(shape.Workers)), Bursts: drawBursts(s.Seed, s.Duration), Capacity: int64(shape.Workers) * cluster.WorkerCapacity,
	}
	s.out.Add(history.Event{
		Kind: history.Settings, Seed: s.Seed, Size: s.Size, MS: s.Duration.Milliseconds(), Capacity: cluster.WorkerCapacity,
		Attempts: load.MaxAttempts, Plant: s.Plant,
	})
	return s.writeSchedule()
}

func processNames(list []*cluster.Process) []string {
	var names []string
	for _, p := range list {
		names = append(names, p.Name)
	}
	return names
}

func (s *soak) writeSchedule() error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, duration %s, size %d\n", s.Seed, s.Duration, s.Size)
	for _, f := range s.schedule {
		fmt.Fprintln(&b, f)
	}
	for _, u := range s.callers.Bursts {
		fmt.Fprintf(&b, "%8.3fs for %.3fs  burst of %.1f times the load\n", u.From.Seconds(), (u.Until - u.From).Seconds(), u.Factor)
	}
	for _, storm := range s.operators.Storms {
		fmt.Fprintln(&b, storm)
	}
	return os.WriteFile(filepath.Join(s.dir, "schedule.txt"), []byte(b.String()), 0o600)
}

// drawBursts draws times in which callers send far more than the workers can run.
func drawBursts(seed uint64, duration time.Duration) []load.Burst {
	const every, length = 10 * time.Second, 5 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	var list []load.Burst
	for at := time.Duration(rng.Int64N(int64(every))) / 4; at < duration; at += every + time.Duration(rng.Int64N(int64(every))) {
		list = append(list, load.Burst{From: at, Until: at + length, Factor: 2 + 2*rng.Float64()})
	}
	return list
}

// phases starts the fleet, plays load and faults, and asks for everything after the last fault.
func (s *soak) phases() error {
	if err := s.start(); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var group errgroup.Group
	callers := 6 + s.Size/4
	group.Go(func() error { return s.callers.Run(work, s.Seed, callers) })
	changes, stopChanges := context.WithCancel(work)
	var changing errgroup.Group
	changing.Go(func() error { return s.operators.Run(changes, s.Seed) })

	injector := &faults.Injector{Cluster: s.cluster, Out: s.out, Seed: s.Seed}
	began := time.Now()
	err := injector.Run(work, s.schedule)
	time.Sleep(time.Until(began.Add(s.Duration)))
	stopChanges()
	_ = changing.Wait()
	if err == nil {
		err = s.recover(func() error {
			stopWork()
			return group.Wait()
		})
	}
	stopWork()
	return errs.Combine(err, group.Wait())
}

// start starts the fleet and waits until each entry instance answers.
func (s *soak) start() error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := s.cluster.Start(); err != nil {
		return err
	}
	if err := s.operators.First(ctx, rand.New(rand.NewPCG(s.Seed, 4))); err != nil {
		return err
	}
	return s.callers.AwaitService(ctx)
}

// recover asks for all that was acknowledged once no fault acts any more.
func (s *soak) recover(stopCallers func() error) error {
	if s.Plant == plantCut {
		s.cluster.Network.Add(link.Rule{From: cluster.Callers, To: s.cluster.Entries[0].Name, Cut: true})
	}
	for _, p := range s.cluster.All() {
		p.Signal(syscall.SIGCONT)
	}
	if err := s.cluster.Start(); err != nil {
		return err
	}
	s.out.Add(history.Event{Kind: history.Calm})
	probes, cancel := context.WithTimeout(context.Background(), recoveryLimit)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { s.callers.Probe(probes, s.Seed); return nil })
	group.Go(func() error { s.operators.Change(probes, s.Seed); return nil })
	_ = group.Wait()
	time.Sleep(afterFaults)
	s.callers.SendNoMoreJobs()
	end, cancelEnd := context.WithTimeout(context.Background(), endLimit)
	defer cancelEnd()
	s.callers.AwaitJobs(end, s.Seed)
	if err := stopCallers(); err != nil {
		return err
	}
	s.callers.AwaitJobs(end, s.Seed)
	s.operators.ReadAll(end)
	time.Sleep(settleTime)
	s.recordUsage(true)
	return nil
}

// stop stops all processes gracefully, the workers last.
func (s *soak) stop() {
	for _, list := range [][]*cluster.Process{s.cluster.Entries, s.cluster.Controls, s.cluster.Workers} {
		var group errgroup.Group
		for _, p := range list {
			group.Go(func() error {
				p.Signal(syscall.SIGCONT)
				sig := syscall.SIGTERM
				if p.Class == cluster.Worker {
					sig = syscall.SIGKILL // it would wait for acknowledgements
				}
				p.End(sig, stopLimit)
				return nil
			})
		}
		_ = group.Wait()
	}
}

// killOnSignal ends the fleet and this process on SIGINT and SIGTERM, until the function that it returns is called.
func (s *soak) killOnSignal() (stop func() bool) {
	ctx, cancel := server.SignalContext()
	return context.AfterFunc(ctx, func() {
		for _, p := range s.cluster.All() {
			p.Signal(syscall.SIGKILL)
		}
		cancel()
		os.Exit(exitFailed)
	})
}

func (s *soak) recordUsage(last bool) {
	for _, p := range append(append([]*cluster.Process(nil), s.cluster.Controls...), s.cluster.Entries...) {
		if memory, descriptors, ok := p.Usage(); ok {
			s.out.Add(history.Event{Kind: history.Usage, Node: p.Name, MemoryMB: memory, Descriptors: descriptors, Last: last})
		}
	}
}

func (s *soak) watchUsage(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageInterval):
			s.recordUsage(false)
		}
	}
}

// watchStalls records the times in which this process was not scheduled, by which the checker extends its bounds.
func (s *soak) watchStalls(ctx context.Context) {
	last := history.Now()
	for ctx.Err() == nil {
		time.Sleep(stallInterval)
		now := history.Now()
		if late := time.Duration(now-last) - stallInterval; late > minStall {
			s.out.Add(history.Event{T: now, Kind: history.Stall, MS: late.Milliseconds()})
		}
		last = now
	}
}
