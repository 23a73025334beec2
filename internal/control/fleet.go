package control

import (
	"sort"
	"sync"
	"time"

	"laburnumrouter/internal/process/viewsync"
	"laburnumrouter/internal/version/observed"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// fleet holds the state that entries reported to this control instance, guarded by one mutex.
type fleet struct {
	mu       sync.Mutex
	observed *observed.Fleet
	mirrors  map[string]*viewsync.Mirror // by entry name
}

func newFleet(now time.Time) *fleet {
	return &fleet{observed: observed.NewFleet(now), mirrors: make(map[string]*viewsync.Mirror)}
}

// applyReport merges a report into the observed fleet. It returns the cursor from which the entry's next report continues.
func (f *fleet) applyReport(req *laburnumv1.ReportRequest, now time.Time) *laburnumv1.ViewCursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed.Report(req, now)
	mirror := f.mirrors[req.Entry]
	if mirror == nil {
		mirror = viewsync.NewMirror()
		f.mirrors[req.Entry] = mirror
	}
	mirror.Apply(req.Instances, now, f.observed)
	return mirror.Cursor()
}

// read calls g with the observed fleet while holding the mutex. g must not retain or modify it.
func (f *fleet) read(g func(*observed.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g(f.observed)
}

// expire removes entries and instances that have not been heard from for too long, and the mirrors of removed entries.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed.Expire(now)
	for name := range f.mirrors {
		if f.observed.Entries[name] == nil {
			delete(f.mirrors, name)
		}
	}
}

// recentInstances returns the views of the instances that were heard from recently.
func (f *fleet) recentInstances(now time.Time) []*laburnumv1.InstanceView {
	f.mu.Lock()
	defer f.mu.Unlock()
	var views []*laburnumv1.InstanceView
	for _, i := range f.observed.Instances {
		if i.Heard(now) {
			views = append(views, i.View)
		}
	}
	return views
}

// dataCentreStatuses returns a status for each data centre: the lowest in-force index, the lowest in-force sheet number
// and the greatest report age of its entries.
func (f *fleet) dataCentreStatuses(now time.Time) []*laburnumv1.DataCentreStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := make(map[string]*laburnumv1.DataCentreStatus)
	for _, e := range f.observed.Entries {
		r := e.Report
		age := now.Sub(e.At).Milliseconds()
		dc := byName[r.DataCentre]
		if dc == nil {
			dc = &laburnumv1.DataCentreStatus{DataCentre: r.DataCentre, InForceIndex: r.InForceIndex, InForceSheet: r.InForceSheet, AgeMs: age}
			byName[r.DataCentre] = dc
		}
		dc.Entries++
		dc.InForceIndex = min(dc.InForceIndex, r.InForceIndex)
		dc.InForceSheet = min(dc.InForceSheet, r.InForceSheet)
		dc.AgeMs = max(dc.AgeMs, age)
	}
	list := make([]*laburnumv1.DataCentreStatus, 0, len(byName))
	for _, dc := range byName {
		list = append(list, dc)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].DataCentre < list[j].DataCentre })
	return list
}

// waitingByPoolAndRunningByWorkspace sums the waiting requests of each pool and the running requests of each workspace over all
// entries.
func (f *fleet) waitingByPoolAndRunningByWorkspace() (waitingByPool, runningByWorkspace map[string]uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waitingByPool = make(map[string]uint32)
	runningByWorkspace = make(map[string]uint32)
	for _, e := range f.observed.Entries {
		for _, p := range e.Report.Pools {
			waitingByPool[p.Pool] += p.Waiting
		}
		for _, t := range e.Report.Teams {
			runningByWorkspace[t.Team] += t.Running
		}
	}
	return waitingByPool, runningByWorkspace
}
