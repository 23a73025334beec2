// Package fleettest runs planners and the state machine against fake instances and entries in virtual time.
// In a single-threaded loop, the fakes report at every tick, the planners plan, and the machine verifies the plans.
package fleettest

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/observed"
	"laburnumrouter/internal/version/sheet"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Tick is the default interval of reports and plans.
const Tick = 500 * time.Millisecond

// Instance is a fake backend server.
type Instance struct {
	View *laburnumv1.InstanceView
	// Down is set while the instance is silent: until the time Until, or for good if Until is zero.
	Down     bool
	Until    time.Time
	lastSent *laburnumv1.InstanceView // last view passed to Fleet.Observe
}

// Entry is a fake entry instance. While it is cut off, it neither reports nor learns of changes.
type Entry struct {
	Name   string
	CutOff bool
	// Outstanding is the number of the entry's unfinished requests, by instance.
	Outstanding map[string]int
}

// Planner is a planning function that does not change its input.
type Planner func(*capacity.Input) *laburnumv1.AssignmentPlan

// World simulates a fleet, its entries and its control log in virtual time.
type World struct {
	Now time.Time
	// Tick is the interval of reports and plans.
	Tick      time.Duration
	Machine   *machine.Machine
	Fleet     *observed.Fleet
	Instances map[string]*Instance
	Entries   []*Entry
	Planners  []Planner
	// Demand is the demand of callers for each pool.
	Demand     map[string]observed.Demand
	Platform   *Platform
	wavePolicy *wave.Policy // nil if no waves are planned
	// DropPlan reports whether the plan with this number, counted from 1, is dropped, as if the leader changed before
	// it was committed.
	DropPlan  func(plan int) bool
	planCount int
	index     uint64
}

// NewWorld returns a world without instances and with the given number of entries.
func NewWorld(entries int) *World {
	start := time.Unix(1_800_000_000, 0)
	w := &World{Now: start, Tick: Tick, Machine: machine.New(), Fleet: observed.NewFleet(start), Instances: make(map[string]*Instance)}
	for i := range entries {
		w.Entries = append(w.Entries, &Entry{Name: fmt.Sprintf("entry-%d", i), Outstanding: make(map[string]int)})
	}
	return w
}

// AddRacks adds racks with perRack instances each to a data centre; every instance offers the given services.
func (w *World) AddRacks(dataCentre string, racks, perRack int, services ...string) {
	for r := range racks {
		for i := range perRack {
			id := fmt.Sprintf("%s-r%02d-i%02d", dataCentre, r, i)
			w.Instances[id] = &Instance{View: &laburnumv1.InstanceView{
				Instance: id, DataCentre: dataCentre, Rack: fmt.Sprintf("%s-r%02d", dataCentre, r),
				Services: services, Slots: 8, RunningComplete: true, Incarnation: 1, Resources: &laburnumv1.Resources{MilliCpu: 32_000, MemoryBytes: 64 << 30},
			}}
		}
	}
}

// Apply commits a command at the current virtual time.
func (w *World) Apply(cmd *laburnumv1.Command) *laburnumv1.CommandResult {
	w.index++
	cmd.AtUnixMs = w.Now.UnixMilli()
	result, _ := w.Machine.Apply(w.index, cmd)
	return result
}

// ApplySheet commits a configuration.
func (w *World) ApplySheet(cfg *laburnumv1.Configuration) *laburnumv1.CommandResult {
	cfg.Digest = sheet.Digest(cfg)
	return w.Apply(&laburnumv1.Command{By: "operator", Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
}

// ApplyPlan commits an assignment plan.
func (w *World) ApplyPlan(plan *laburnumv1.AssignmentPlan) *laburnumv1.CommandResult {
	return w.Apply(&laburnumv1.Command{By: "planner", Kind: &laburnumv1.Command_Assignments{Assignments: plan}})
}

// Input returns the current input of the planners.
func (w *World) Input() *capacity.Input {
	return &capacity.Input{Now: w.Now, State: w.Machine.State, Roster: w.Machine.Roster, Fleet: w.Fleet}
}

// Failover replaces the planning process: the machine is restored from a snapshot, and all observations are lost.
func (w *World) Failover() error {
	data, err := w.Machine.Snapshot()
	if err != nil {
		return err
	}
	w.Machine = machine.New()
	if err := w.Machine.Restore(data); err != nil {
		return err
	}
	w.Fleet = observed.NewFleet(w.Now)
	return nil
}

// Step advances time by one interval, lets entries and instances report, and runs all planners once.
func (w *World) Step() {
	w.Now = w.Now.Add(w.Tick)
	for _, e := range w.Entries {
		w.report(e)
	}
	for _, plan := range w.Planners {
		p := plan(w.Input())
		if len(p.GetSteps()) == 0 {
			continue
		}
		w.planCount++
		if w.DropPlan == nil || !w.DropPlan(w.planCount) {
			w.ApplyPlan(p)
		}
	}
	if w.wavePolicy != nil {
		w.planWaves()
	}
}

// Run calls Step until done returns true. It returns false if done stays false for the virtual time limit.
func (w *World) Run(limit time.Duration, done func() bool) bool {
	for end := w.Now.Add(limit); w.Now.Before(end); {
		w.Step()
		if done() {
			return true
		}
	}
	return false
}

func (w *World) report(e *Entry) {
	if e.CutOff {
		return
	}
	r := &laburnumv1.ReportRequest{Entry: e.Name, Incarnation: 1, InForceIndex: w.index}
	for id := range w.Machine.Roster.OutOfService() {
		if e.Outstanding[id] == 0 {
			r.Drained = append(r.Drained, id)
		}
	}
	sort.Strings(r.Drained)
	if e != w.instanceListener() {
		w.Fleet.Report(r, w.Now)
		return
	}
	for name, d := range w.Demand {
		r.Pools = append(r.Pools, &laburnumv1.PoolDemand{Pool: name, Waiting: uint32(d.Waiting), Running: uint32(d.Running)})
	}
	w.Fleet.Report(r, w.Now)
	w.announce()
}

// instanceListener returns the entry to which the instances announce themselves, the first that is not cut off.
func (w *World) instanceListener() *Entry {
	for _, e := range w.Entries {
		if !e.CutOff {
			return e
		}
	}
	return nil
}

// announce makes every instance that is up announce itself and learn the epoch of its assignment. An instance
// whose outage is over restarts with a new incarnation.
func (w *World) announce() {
	for id, i := range w.Instances {
		if i.Down && (i.Until.IsZero() || w.Now.Before(i.Until)) {
			continue
		}
		if i.Down {
			i.Down = false
			i.View.Incarnation++
			i.View.Epoch = 0
			i.View.Running = nil
		}
		i.View.Sequence++
		w.deliverView(id, i)
		if a := w.Machine.State.Assignments[id]; a != nil {
			i.View.Epoch = max(i.View.Epoch, a.Epoch)
		}
	}
}

// deliverView passes an announcement to the fleet: with its view if that changed, else as a repetition.
func (w *World) deliverView(id string, i *Instance) {
	if i.lastSent != nil && w.Fleet.Instances[id] != nil && sameView(i.lastSent, i.View) {
		w.Fleet.Refresh(id, i.View.Incarnation, w.Now)
		return
	}
	i.lastSent = proto.Clone(i.View).(*laburnumv1.InstanceView)
	w.Fleet.Observe(i.lastSent, w.Now)
}

func sameView(a, b *laburnumv1.InstanceView) bool {
	return a.Incarnation == b.Incarnation && a.Epoch == b.Epoch && a.Leaving == b.Leaving && a.Contested == b.Contested &&
		a.RunningComplete == b.RunningComplete && slices.Equal(a.Running, b.Running)
}

// Fail makes an instance silent for the duration d, or for good if d is zero.
func (w *World) Fail(id string, d time.Duration) {
	i := w.Instances[id]
	i.Down = true
	i.Until = time.Time{}
	if d > 0 {
		i.Until = w.Now.Add(d)
	}
}

// FailRack makes every instance of a rack silent for the duration d, or for good if d is zero.
func (w *World) FailRack(rack string, d time.Duration) {
	for id, i := range w.Instances {
		if i.View.Rack == rack {
			w.Fail(id, d)
		}
	}
}

// Assigned returns the members of a pool that are assigned.
func (w *World) Assigned(pool string) []string {
	var ids []string
	for id, a := range w.Machine.Roster.Members(pool) {
		if a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
