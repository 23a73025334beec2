package faults

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/test/soak/cluster"
	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/link"
)

const (
	// stopLimit is how long a process may take to stop before it is killed.
	stopLimit = 15 * time.Second
	killLimit = 5 * time.Second
	// refuseLimit is how long an instance with a damaged log gets to refuse it.
	refuseLimit = 2 * time.Second
	slowRate    = 20 << 10 // bytes a second
)

// Injector injects faults.
type Injector struct {
	Cluster *cluster.Cluster
	Out     *history.Writer
	Seed    uint64
}

// Run injects the faults of a schedule and returns when the last one is over.
func (j *Injector) Run(ctx context.Context, schedule []Fault) error {
	began := time.Now()
	var group errgroup.Group
	for i, f := range schedule {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-time.After(time.Until(began.Add(f.At))):
		}
		rng := rand.New(rand.NewPCG(j.Seed, uint64(i)))
		group.Go(func() error { return j.inject(f, rng) })
	}
	return group.Wait()
}

// inject injects a fault and returns when it is over.
func (j *Injector) inject(f Fault, rng *rand.Rand) error {
	p := j.Cluster.Find(f.Target)
	switch f.Kind {
	case Term, Kill, Tear, Wipe, Flip:
		return j.restart(p, f)
	case Freeze:
		j.mark(f, false)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		p.Signal(syscall.SIGCONT)
		j.mark(f, true)
	case Reload:
		j.mark(f, false)
		p.Signal(syscall.SIGHUP)
		j.mark(f, true)
	case Rolling:
		return j.rolling(f)
	case AllOff:
		return j.allOff(f)
	default:
		j.harmLink(f, rng)
	}
	return nil
}

// mark records the beginning or the end of a fault for each process that it acts on.
func (j *Injector) mark(f Fault, over bool) {
	e := history.Event{
		Kind: history.Fault, Cause: string(f.Kind), Target: f.Target, MS: f.For.Milliseconds(), Over: over,
		Planned: f.Kind == Term || f.Kind == Rolling || f.Kind == Reload,
	}
	j.Out.Add(e)
	if f.Peer != "" {
		e.Target = f.Peer
		j.Out.Add(e)
	}
}

// restart ends a process, changes its data folder, and starts it again. If another fault is about to restart the process,
// it gets the signal only.
func (j *Injector) restart(p *cluster.Process, f Fault) error {
	j.mark(f, false)
	defer j.mark(f, true)
	release, ok := p.HoldDown()
	if !ok {
		p.Signal(f.signal())
		return nil
	}
	defer release()
	p.End(f.signal(), stopLimit)
	var err error
	switch f.Kind {
	case Wipe:
		err = p.Wipe()
	case Tear:
		_ = p.Tear() // there is no log yet
	case Flip:
		err = j.flip(p)
	}
	time.Sleep(f.For)
	if err != nil {
		return err
	}
	return p.Start()
}

// signal returns the signal by which the fault ends a process.
func (f Fault) signal() syscall.Signal {
	if f.Kind == Term {
		return syscall.SIGTERM
	}
	return syscall.SIGKILL
}

// flip damages the log of an instance, lets the instance refuse it, and replaces the disk.
func (j *Injector) flip(p *cluster.Process) error {
	if p.Flip() == nil {
		p.ExpectExit(true)
		defer p.ExpectExit(false)
		if err := p.Start(); err != nil {
			return err
		}
		p.Wait(refuseLimit)
		p.End(syscall.SIGKILL, killLimit)
	}
	return p.Wipe()
}

// rolling restarts all processes of a class gracefully, one after the other.
func (j *Injector) rolling(f Fault) error {
	list := j.Cluster.Entries
	if f.Target == cluster.Control {
		list = j.Cluster.Controls
	}
	for _, p := range list {
		if err := j.restart(p, Fault{Kind: Term, Target: p.Name, For: f.For / 8}); err != nil {
			return err
		}
	}
	return nil
}

// allOff kills all control instances at once and starts them again after some time.
func (j *Injector) allOff(f Fault) error {
	var group errgroup.Group
	for _, p := range j.Cluster.Controls {
		group.Go(func() error { return j.restart(p, Fault{Kind: Kill, Target: p.Name, For: f.For}) })
	}
	return group.Wait()
}

// harmLink harms the links between Target and Peer.
func (j *Injector) harmLink(f Fault, rng *rand.Rand) {
	network := j.Cluster.Network
	j.mark(f, false)
	defer j.mark(f, true)
	there, back := link.Rule{From: f.Target, To: f.Peer}, link.Rule{From: f.Peer, To: f.Target}
	switch f.Kind {
	case Reset:
		network.Reset(f.Target, f.Peer)
		return
	case Silence:
		network.Silence(f.Target, f.Peer)
		return
	case Delay:
		there.Delay = time.Duration(20+rng.IntN(300)) * time.Millisecond
		back.Delay = there.Delay
	case Slow:
		there.BytesPerSecond, back.BytesPerSecond = slowRate, slowRate
	case Cut:
		there.Cut, back.Cut = true, true
	case CutTo:
		there.Cut = true
	case CutFrom:
		back.Cut = true
	}
	defer network.Add(there)()
	defer network.Add(back)()
	time.Sleep(f.For)
}
