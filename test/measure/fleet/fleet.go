// Package fleet measures the decisions about capacity, maintenance waves and jobs in virtual time, and compares each
// with a simple policy in the same run.
package fleet

import (
	"context"
	"fmt"
	"time"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/test/measure/recorder"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const area = "fleet"

// Run records all figures of the area.
func Run(ctx context.Context, r *recorder.Recorder) error {
	for _, step := range []func(context.Context, *recorder.Recorder) error{measureWaves, measureCapacity, measureJobs, measureDecisions} {
		if err := step(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// size is a fleet to measure at.
type size struct {
	name        string
	dataCentres int
	racks       int // in each data centre
	perRack     int
	pools       []*laburnumv1.Pool
	tick        time.Duration
}

func (s size) instances() int { return s.dataCentres * s.racks * s.perRack }

// kljuc returns the fleet of the user of that name.
func kljuc() size {
	return size{"kljuc", 4, 3, 4, []*laburnumv1.Pool{
		pool("release-check", 15, 11), pool("record-check", 12, 8), pool("archive", 8, 5), pool("labels", 8, 5), spare(5),
	}, time.Second}
}

// drenq returns the fleet of the user of that name.
func drenq() size {
	return size{"drenq", 3, 4, 4, []*laburnumv1.Pool{
		pool("drum-log", 14, 10), pool("rinse-check", 10, 7), pool("pickup", 12, 8), pool("refund", 7, 4), spare(5),
	}, time.Second}
}

// designFleet returns the fleet to design for: 4,400 instances in 298 pools, the spare pool included.
func designFleet() size {
	s := size{name: "letter", dataCentres: 10, racks: 110, perRack: 4, tick: 4 * time.Second}
	for i := range 297 {
		s.pools = append(s.pools, pool(fmt.Sprintf("pool-%03d", i), 14, 10))
	}
	s.pools = append(s.pools, spare(4400-297*14))
	return s
}

// scaled returns a fleet with about n instances and one pool per 15 instances.
func scaled(n int) size {
	s := size{name: fmt.Sprint(n), dataCentres: 2, racks: n / 8, perRack: 4, tick: time.Second}
	for i := range max(1, n/15) {
		s.pools = append(s.pools, pool(fmt.Sprintf("pool-%03d", i), 14, 10))
	}
	return s
}

func pool(name string, instances, minAvailable uint32) *laburnumv1.Pool {
	return &laburnumv1.Pool{Name: name, Service: name, Instances: instances, MinAvailable: minAvailable, MaxInstances: 2 * instances}
}

func spare(instances uint32) *laburnumv1.Pool {
	return &laburnumv1.Pool{Name: "spare", Service: "spare", Instances: instances, Spare: true}
}

// world returns a simulated fleet of this size whose instances are all assigned to pools.
func (s size) world(maintenance ...*laburnumv1.Maintenance) (*fleettest.World, error) {
	w := fleettest.NewWorld(2)
	w.Tick = s.tick
	var services []string
	for _, p := range s.pools {
		services = append(services, p.Service)
	}
	for dc := range s.dataCentres {
		w.AddRacks(fmt.Sprintf("dc%d", dc), s.racks, s.perRack, services...)
	}
	w.Planners = []fleettest.Planner{capacity.PlanMoves}
	w.ApplySheet(&laburnumv1.Configuration{SheetNumber: 1, Pools: s.pools, Maintenance: maintenance})
	wanted := 0
	for _, p := range s.pools {
		wanted += int(p.Instances)
	}
	ready := func() bool { return w.Machine.Roster.Len() >= min(wanted, s.instances()) }
	if !w.Run(10*time.Minute, ready) {
		return nil, fmt.Errorf("%s: %d of %d instances were assigned", s.name, w.Machine.Roster.Len(), wanted)
	}
	return w, nil
}
