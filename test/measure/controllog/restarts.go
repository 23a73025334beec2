package controllog

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/process/replica"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

// logLengths are the numbers of commands after which a node is restarted.
var logLengths = []int{1_000, 10_000, 50_000}

// neverSnapshot is a snapshot interval in entries that no log here reaches.
const neverSnapshot = 1 << 40

// measureRestarts measures the time from opening the data folder until all committed entries are applied.
func measureRestarts(ctx context.Context, r *recorder.Recorder, dir string) error {
	withSnapshots := recorder.Series{Plot: "restart time by log length", Name: "with snapshots", XLabel: "commands", YLabel: "ms"}
	withoutSnapshots := recorder.Series{Plot: withSnapshots.Plot, Name: "log only", XLabel: withSnapshots.XLabel, YLabel: withSnapshots.YLabel}
	for _, length := range logLengths {
		snapshots, err := runRestart(ctx, filepath.Join(dir, fmt.Sprint("with-", length)), length, replica.DefaultSnapshotEvery)
		if err != nil {
			return err
		}
		logOnly, err := runRestart(ctx, filepath.Join(dir, fmt.Sprint("without-", length)), length, neverSnapshot)
		if err != nil {
			return err
		}
		r.Add(recorder.Figure{
			Area: area, Name: fmt.Sprintf("restart after %d commands", length), Unit: "ms",
			Value: milliseconds(snapshots), Baseline: milliseconds(logOnly), BaselineName: "replay of the whole log",
		})
		withSnapshots.Points = append(withSnapshots.Points, recorder.Point{X: float64(length), Y: milliseconds(snapshots)})
		withoutSnapshots.Points = append(withoutSnapshots.Points, recorder.Point{X: float64(length), Y: milliseconds(logOnly)})
	}
	r.AddSeries(withSnapshots)
	r.AddSeries(withoutSnapshots)
	return nil
}

// runRestart commits length commands on a single node and returns how long the node takes to restart.
func runRestart(ctx context.Context, dir string, length int, snapshotEvery uint64) (time.Duration, error) {
	open := func() (*replica.Node, error) {
		return replica.Open(replica.Options{
			Name: "a", Voters: []*laburnumv1.Member{{Name: "a"}}, Dir: dir, Machine: newAdapter(), Transport: &memoryTransport{},
			Tick: time.Millisecond, SnapshotEvery: snapshotEvery,
		})
	}
	n, err := open()
	if err != nil {
		return 0, err
	}
	err = whileRunning(ctx, n, func() error { return fill(ctx, n, length) })
	if err != nil {
		return 0, err
	}
	committed := n.Status().Committed
	begin := time.Now()
	if n, err = open(); err != nil {
		return 0, err
	}
	var took time.Duration
	err = whileRunning(ctx, n, func() error {
		for n.Status().Applied < committed {
			time.Sleep(time.Millisecond)
		}
		took = time.Since(begin)
		return nil
	})
	return took, err
}

// whileRunning runs the node while f runs, and stops it when f returns.
func whileRunning(ctx context.Context, n *replica.Node, f func() error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return n.Run(ctx) })
	err := f()
	cancel()
	if stopErr := group.Wait(); err == nil {
		err = stopErr
	}
	return err
}

// fill commits length commands, up to maxInFlight at a time.
func fill(ctx context.Context, n *replica.Node, length int) error {
	const maxInFlight = 500
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	for i := range length {
		group.Go(func() error {
			command, err := waveCommand(i)
			if err != nil {
				return err
			}
			_, err = n.Propose(ctx, command)
			return err
		})
	}
	return group.Wait()
}
