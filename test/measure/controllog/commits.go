package controllog

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/process/replica"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	commitTime   = 4 * time.Second // during which the proposers send commands
	proposers    = 64
	settleTime   = 10 * time.Second // within which a leader or quorum must be found
	pollInterval = 5 * time.Millisecond
)

// memoryTransport delivers messages between nodes in the same process.
type memoryTransport struct {
	mu    sync.Mutex
	nodes map[string]*replica.Node
}

func (m *memoryTransport) node(name string) *replica.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[name]
}

// Send implements replica.Transport.
func (m *memoryTransport) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	if n := m.node(to.Name); n != nil {
		go func() { _ = n.Receive(context.Background(), messages) }()
	}
}

// Propose implements replica.Transport.
func (m *memoryTransport) Propose(ctx context.Context, to *laburnumv1.Member, command []byte) ([]byte, uint64, error) {
	return m.node(to.Name).ProposeLocal(ctx, command)
}

// commitFigures are the results of one run of commits.
type commitFigures struct {
	perSecond float64
	p99       time.Duration
}

// measureCommits compares group commit with one write per command, on three nodes that write to real files.
func measureCommits(ctx context.Context, r *recorder.Recorder, dir string) error {
	serial, err := runCommits(ctx, filepath.Join(dir, "serial"), fleet{names: []string{"a", "b", "c"}, serial: true})
	if err != nil {
		return err
	}
	group, err := runCommits(ctx, filepath.Join(dir, "group"), fleet{names: []string{"a", "b", "c"}})
	if err != nil {
		return err
	}
	const baseline = "one write a command"
	r.Add(recorder.Figure{
		Area: area, Name: fmt.Sprintf("commits a second, %d proposers, 3 nodes", proposers), Unit: "1/s",
		Value: group.perSecond, Baseline: serial.perSecond, BaselineName: baseline, Better: recorder.Higher,
	})
	r.Add(recorder.Figure{
		Area: area, Name: fmt.Sprintf("commit p99, %d proposers, 3 nodes", proposers), Unit: "ms",
		Value: milliseconds(group.p99), Baseline: milliseconds(serial.p99), BaselineName: baseline,
	})
	return nil
}

// measureSlowDisk compares commits with one slow disk, that of the leader, among six nodes with those without.
func measureSlowDisk(ctx context.Context, r *recorder.Recorder, dir string) error {
	six := fleet{names: []string{"a", "b", "c", "d", "e", "f"}}
	even, err := runCommits(ctx, filepath.Join(dir, "even"), six)
	if err != nil {
		return err
	}
	six.slow = true
	slow, err := runCommits(ctx, filepath.Join(dir, "slow"), six)
	if err != nil {
		return err
	}
	const baseline = "all disks alike"
	r.Add(recorder.Figure{
		Area: area, Name: fmt.Sprintf("commits a second, leader's sync takes %s, 6 nodes", slowSync), Unit: "1/s",
		Value: slow.perSecond, Baseline: even.perSecond, BaselineName: baseline, Better: recorder.Higher,
	})
	r.Add(recorder.Figure{
		Area: area, Name: fmt.Sprintf("commit p99, leader's sync takes %s, 6 nodes", slowSync), Unit: "ms",
		Value: milliseconds(slow.p99), Baseline: milliseconds(even.p99), BaselineName: baseline,
	})
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// fleet describes the nodes of a run.
type fleet struct {
	names  []string
	serial bool // no group commit
	slow   bool // each sync of the leader takes slowSync
}

// runCommits starts nodes in dir and measures commits at their leader.
func runCommits(ctx context.Context, dir string, f fleet) (commitFigures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	net := &memoryTransport{nodes: make(map[string]*replica.Node)}
	disks := make(map[string]*delayedFS)
	var voters []*laburnumv1.Member
	for _, name := range f.names {
		voters = append(voters, &laburnumv1.Member{Name: name, Address: name})
	}
	var running errgroup.Group
	for _, name := range f.names {
		disks[name] = &delayedFS{}
		n, err := replica.Open(replica.Options{
			Name: name, Voters: voters, Dir: filepath.Join(dir, name), Machine: newAdapter(), Transport: net,
			FS: disks[name], SerialCommits: f.serial,
		})
		if err != nil {
			return commitFigures{}, err
		}
		net.mu.Lock()
		net.nodes[name] = n
		net.mu.Unlock()
		running.Go(func() error { return n.Run(ctx) })
	}
	leader, err := awaitLeader(net)
	if err != nil {
		return commitFigures{}, err
	}
	disks[leader.Status().Node].slow.Store(f.slow)
	figures, err := proposeFor(ctx, leader)
	cancel()
	if stopErr := running.Wait(); err == nil {
		err = stopErr
	}
	return figures, err
}

func awaitLeader(net *memoryTransport) (*replica.Node, error) {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		for _, n := range net.nodes {
			if n.Status().IsLeader {
				return n, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return nil, fmt.Errorf("no leader within %s", settleTime)
}

// proposeFor runs concurrent proposers for commitTime. Each waits for its command to be committed before the next.
func proposeFor(ctx context.Context, leader *replica.Node) (commitFigures, error) {
	var next atomic.Int64
	latencies := make([][]time.Duration, proposers)
	begin := time.Now()
	var group errgroup.Group
	for w := range proposers {
		group.Go(func() error {
			for time.Since(begin) < commitTime {
				command, err := waveCommand(int(next.Add(1)))
				if err != nil {
					return err
				}
				sent := time.Now()
				if _, err := leader.Propose(ctx, command); err != nil {
					return err
				}
				latencies[w] = append(latencies[w], time.Since(sent))
			}
			return nil
		})
	}
	err := group.Wait()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if err != nil || len(all) == 0 {
		return commitFigures{}, err
	}
	return commitFigures{
		perSecond: float64(len(all)) / time.Since(begin).Seconds(),
		p99:       all[len(all)*99/100],
	}, nil
}
