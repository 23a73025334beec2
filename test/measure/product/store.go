package product

import (
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/feed"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const (
	changesMeasured = 400
	// memoryTargetMB is the memory that a node may use for control, in MB. A store is only part of it.
	memoryTargetMB = 32
	// changesPerDay is the rate of configuration changes to design for.
	changesPerDay        = 14_000
	secondsPerDay        = 86_400
	coreTargetPercent    = 1.7  // processor time of control on a node, percent of a core
	bytesPerSecondTarget = 4096 // control traffic of a node, bytes a second
)

// measureStore records memory, processor time and bytes of the accepted state in one process.
func measureStore(r *recorder.Recorder) error {
	memory := recorder.Series{Plot: "Memory of the accepted state", Name: "store", XLabel: "instances", YLabel: "MB"}
	changeTimes := recorder.Series{Plot: "Processor time of a change", Name: "store", XLabel: "instances", YLabel: "microseconds"}
	for _, s := range sizes {
		store, megabytes, err := filledStore(s)
		if err != nil {
			return err
		}
		r.Add(recorder.Figure{Area: area, Name: "accepted state in memory, " + s.String(), Unit: "MB",
			Value: megabytes, Target: memoryTargetMB, HasTarget: true})
		memory.Points = append(memory.Points, recorder.Point{X: float64(s.instances), Y: megabytes})

		perChange, err := changeCost(store, s)
		if err != nil {
			return err
		}
		changeTimes.Points = append(changeTimes.Points, recorder.Point{X: float64(s.instances), Y: perChange})
		r.Add(recorder.Figure{Area: area, Name: "processor time of a change, " + s.String(), Unit: "us", Value: perChange})
		r.Add(recorder.Figure{Area: area, Name: "processor time of 14,000 changes a day, " + s.String(), Unit: "% of a core",
			Value: perChange / 1e6 * changesPerDay / secondsPerDay * 100, Target: coreTargetPercent, HasTarget: true})
		recordChangeBytes(r, store, s)
	}
	r.AddSeries(memory)
	r.AddSeries(changeTimes)
	return nil
}

// filledStore returns a store with the configuration, assignments and slices of a fleet of size s, and the memory
// that it uses in MB.
func filledStore(s size) (*feed.Store, float64, error) {
	before := heapInUse()
	store := feed.NewStore()
	snapshot := &laburnumv1.AcceptedState{Index: 1, Configuration: s.configuration(1)}
	for i := range s.instances {
		snapshot.Assignments = append(snapshot.Assignments, s.assignment(i, 1))
	}
	for i := range s.workspaces * s.dataCentres {
		snapshot.Slices = append(snapshot.Slices, &laburnumv1.Slice{
			Team: fmt.Sprintf("team-%03d", i/s.dataCentres), DataCentre: fmt.Sprintf("dc%d", i%s.dataCentres), Permits: 10, Incarnation: 1,
		})
	}
	if err := store.Restore(snapshot); err != nil {
		return nil, 0, err
	}
	snapshot = nil
	return store, float64(heapInUse()-before) / 1e6, nil
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// changeCost applies changes one at a time, each of which is published to the request path. It returns the processor
// time per change in microseconds.
func changeCost(store *feed.Store, s size) (float64, error) {
	begin := processorTime()
	for i := range uint64(changesMeasured) {
		change := &laburnumv1.Change{Index: 2 + i, Kind: &laburnumv1.Change_Assignment{Assignment: s.assignment(int(i)%s.instances, 2+i)}}
		if err := store.Advance([]*laburnumv1.Change{change}, change.Index); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - begin).Microseconds()) / changesMeasured, nil
}

// recordChangeBytes records the bytes sent to one process for a change, compared with sending the whole state.
func recordChangeBytes(r *recorder.Recorder, store *feed.Store, s size) {
	change := &laburnumv1.FetchResponse{Index: 1 << 20, Changes: []*laburnumv1.Change{
		{Index: 1 << 20, Kind: &laburnumv1.Change_Assignment{Assignment: s.assignment(s.instances-1, 1<<20)}}}}
	var whole int
	store.Read(func(st *state.State) { whole = proto.Size(st.Snapshot()) })
	r.Add(recorder.Figure{Area: area, Name: "bytes of a change to one process, " + s.String(), Unit: "bytes",
		Value: float64(proto.Size(change)), Baseline: float64(whole), BaselineName: "whole state"})
	r.Add(recorder.Figure{Area: area, Name: "14,000 changes a day to one process, " + s.String(), Unit: "bytes/s",
		Value:    float64(proto.Size(change)) * changesPerDay / secondsPerDay,
		Baseline: float64(whole) * changesPerDay / secondsPerDay, BaselineName: "whole state",
		Target: bytesPerSecondTarget, HasTarget: true})
}
