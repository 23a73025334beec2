package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"laburnumrouter/test/soak/history"
)

// Process is one program of the fleet, which can be signalled and started again at the same addresses.
type Process struct {
	Name string
	// Class is control, entry or worker.
	Class string
	// Listen is the address for callers, or for operators and workers; the others are those of an entry instance.
	Listen, ReadyListen, MetricsListen string

	cluster *Cluster
	command func(life int) (program string, args []string, err error)
	dataDir string // of a control instance

	// lifecycle is held by HoldDown.
	lifecycle sync.Mutex

	mu         sync.Mutex
	cmd        *exec.Cmd
	gone       chan struct{} // closed once the process has ended
	life       int
	signals    []syscall.Signal // that may end this life
	expectExit bool
}

// Start starts the process if it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningLocked() {
		return nil
	}
	p.life++
	program, args, err := p.command(p.life)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.cluster.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cluster.out.Add(history.Event{Kind: history.Launch, Node: p.Name, Life: p.life})
	p.cmd, p.gone, p.signals = cmd, make(chan struct{}), nil
	go p.wait(cmd, p.gone, p.life)
	return nil
}

// wait records the end of a life.
func (p *Process) wait(cmd *exec.Cmd, gone chan struct{}, life int) {
	err := cmd.Wait()
	cause := "exit status 0"
	if err != nil {
		cause = err.Error()
	}
	p.mu.Lock()
	e := history.Event{Kind: history.Gone, Node: p.Name, Life: life, Cause: cause, Planned: p.expectExit}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		if slices.Contains(p.signals, sig) {
			e.Op = sig.String() // SIGKILL counts if both were sent
		}
	}
	p.cluster.out.Add(e)
	close(gone)
	p.mu.Unlock()
}

// HoldDown keeps others from restarting the process until release is called. Signals still reach it. It returns false if
// another one holds it down.
func (p *Process) HoldDown() (release func(), ok bool) {
	return p.lifecycle.Unlock, p.lifecycle.TryLock()
}

func (p *Process) runningLocked() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.gone:
		return false
	default:
		return true
	}
}

// Running reports whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// Signal sends a signal if the process runs.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.signals = append(p.signals, sig)
	}
	_ = p.cmd.Process.Signal(sig) // fails only if the process has just ended
}

// ExpectExit says whether the process may end by itself, because its data folder was damaged.
func (p *Process) ExpectExit(expect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expectExit = expect
}

// Wait waits until the process has ended, and returns whether it has within the limit.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if gone == nil {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

// End ends the process with a signal, and kills it if it still runs after the limit.
func (p *Process) End(sig syscall.Signal, limit time.Duration) {
	p.Signal(sig)
	if !p.Wait(limit) {
		p.Signal(syscall.SIGKILL)
		p.Wait(limit)
	}
}

// PID returns the process's id, or 0 if it doesn't run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Usage returns the resident memory and the open descriptors of the process; ok is false if it doesn't run.
func (p *Process) Usage() (memoryMB int64, descriptors int, ok bool) {
	pid := p.PID()
	if pid == 0 {
		return 0, 0, false
	}
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	statm, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return 0, 0, false
	}
	list, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return 0, 0, false
	}
	return residentPages(string(statm)) * int64(os.Getpagesize()) >> 20, len(list), true
}
