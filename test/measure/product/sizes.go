// Package product measures, for several fleet sizes, what the accepted state costs one process in memory, processor
// time and bytes, and what the running programs use. docs/CAPACITY.md derives its growth rates from these figures.
package product

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"syscall"
	"time"

	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const area = "product"

// size is a fleet to measure. Its entry and control instances are no more than the number that may be set aside for
// them.
type size struct {
	instances, pools, workspaces, dataCentres int
	entries, controls                         int
}

// sizes are the current fleet of a user, a fleet ten times as large, and the fleet to design for.
var sizes = []size{
	{instances: 50, pools: 5, workspaces: 6, dataCentres: 4, entries: 8, controls: 3},
	{instances: 500, pools: 34, workspaces: 75, dataCentres: 5, entries: 10, controls: 5},
	{instances: 4400, pools: 298, workspaces: 660, dataCentres: 10, entries: 16, controls: 5},
}

func (s size) String() string {
	return fmt.Sprintf("%d instances, %d teams", s.instances, s.workspaces)
}

// Run records all figures of the area.
func Run(ctx context.Context, r *recorder.Recorder) error {
	return errors.Join(measureSheet(r), measureStore(r), measureLog(r), measureProcesses(ctx, r))
}

// configuration returns a valid configuration for a fleet of this size.
func (s size) configuration(number uint64) *laburnumv1.Configuration {
	cfg := &laburnumv1.Configuration{SheetNumber: number}
	for i := range s.pools {
		pool := fmt.Sprintf("pool-%03d", i)
		instances := uint32(s.instances / s.pools)
		cfg.Pools = append(cfg.Pools, &laburnumv1.Pool{
			Name: pool, Service: "service", Instances: instances, MinAvailable: instances * 3 / 4, MaxInstances: 2 * instances,
		})
		cfg.Queues = append(cfg.Queues, &laburnumv1.Queue{
			Name: pool, Pool: pool, MaxWaitMs: 2000, MaxRunMs: 60_000, MaxWaiting: 1000,
		})
	}
	for i := range s.workspaces {
		workspace := fmt.Sprintf("team-%03d", i)
		sum := sha256.Sum256([]byte(workspace))
		cfg.Teams = append(cfg.Teams, &laburnumv1.Team{
			Name: workspace, Share: 1 + uint32(i%8), Limit: 100 + uint32(i), WhenCutOff: laburnumv1.CutOffPolicy_CUT_OFF_POLICY_SERVE,
		})
		cfg.Keys = append(cfg.Keys, &laburnumv1.Key{Team: workspace, Sha256: sum[:]})
	}
	cfg.Digest = sheet.Digest(cfg)
	return cfg
}

// assignment returns the assignment of instance i in the given epoch.
func (s size) assignment(i int, epoch uint64) *laburnumv1.Assignment {
	return &laburnumv1.Assignment{
		Instance:   fmt.Sprintf("instance-%05d", i),
		Pool:       fmt.Sprintf("pool-%03d", i%s.pools),
		Epoch:      epoch,
		State:      laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED,
		DataCentre: fmt.Sprintf("dc%d", i%s.dataCentres),
		Rack:       fmt.Sprintf("rack-%04d", i/4),
		Services:   []string{"service"},
		Slots:      8,
	}
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
