// Package observed combines the reports of entries into the view of the live fleet on which planners decide.
//
// All times are on the clock of the process that receives the reports. The package does not read a clock.
package observed

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// Lifetime is how long an instance counts as present after its last announcement.
	Lifetime = 5 * time.Second
	// reportLifetime is how long the report of an entry counts as current.
	reportLifetime = 5 * time.Second
	// silentRetention is how long a silent entry or instance is kept.
	silentRetention = time.Hour
	// ViewExpiry is how long an entry may route on a view of an instance after the instance announced it, plus
	// dispatchMargin for a request that is on its way to the instance.
	ViewExpiry = 3*time.Second + dispatchMargin
	// dispatchMargin is the longest time from the choice of an instance to its receipt of the request.
	dispatchMargin = 2 * time.Second
)

// Instance is the latest view of an instance.
type Instance struct {
	View    *laburnumv1.InstanceView
	HeardAt time.Time
	// UpSince is when the current, unbroken period began in which this incarnation has been up.
	UpSince time.Time
	// EpochAnnouncedAt is when the instance first announced the epoch of View.
	EpochAnnouncedAt time.Time
	// RestartedAt is when a later incarnation was last seen to take over; zero if none was.
	RestartedAt time.Time
}

// Up reports whether the instance is present, is not leaving and does not share its name with another process.
func (i *Instance) Up(now time.Time) bool {
	return i.Heard(now) && !i.View.Leaving && !i.View.Contested
}

// Heard reports whether the instance announced itself within Lifetime.
func (i *Instance) Heard(now time.Time) bool { return i != nil && now.Sub(i.HeardAt) < Lifetime }

// UpFor returns how long the instance has been up without interruption.
func (i *Instance) UpFor(now time.Time) time.Duration {
	if i == nil || !i.Up(now) {
		return 0
	}
	return now.Sub(i.UpSince)
}

// Entry is the latest report of an entry instance.
type Entry struct {
	Report *laburnumv1.ReportRequest
	At     time.Time
	// drained maps each instance that this report confirms as drained to the first of the consecutive reports that
	// confirmed it.
	drained map[string]confirmation
}

// confirmation records that an entry no longer routes to an instance and has no request left on it, as of the
// state at an index of the control log.
type confirmation struct {
	at    time.Time
	index uint64
}

// Fresh reports whether the entry reported within reportLifetime.
func (e *Entry) Fresh(now time.Time) bool { return now.Sub(e.At) < reportLifetime }

// Fleet holds what this process knows of instances and entries. It is not safe for concurrent use.
type Fleet struct {
	// Since is when this process began to receive reports.
	Since     time.Time
	Instances map[string]*Instance
	Entries   map[string]*Entry
}

// NewFleet returns a fleet without known instances or entries.
func NewFleet(now time.Time) *Fleet {
	return &Fleet{Since: now, Instances: make(map[string]*Instance), Entries: make(map[string]*Entry)}
}

// Report stores the report of an entry. The views of instances in it are passed to Observe and Refresh instead.
func (f *Fleet) Report(r *laburnumv1.ReportRequest, now time.Time) {
	known := f.Entries[r.Entry]
	entry := &Entry{Report: r, At: now, drained: make(map[string]confirmation, len(r.Drained))}
	for _, id := range r.Drained {
		entry.drained[id] = confirmation{now, r.InForceIndex}
		if known == nil || known.Report.Incarnation != r.Incarnation {
			continue
		}
		if first, ok := known.drained[id]; ok {
			entry.drained[id] = first
		}
	}
	f.Entries[r.Entry] = entry
}

// Observe stores a view of an instance that was heard at the given time. It returns false, and changes nothing,
// if the announcement is older than the known one.
func (f *Fleet) Observe(v *laburnumv1.InstanceView, heard time.Time) bool {
	known := f.Instances[v.Instance]
	if known == nil {
		f.Instances[v.Instance] = &Instance{View: v, HeardAt: heard, UpSince: heard, EpochAnnouncedAt: heard}
		return true
	}
	if v.Incarnation < known.View.Incarnation {
		return false
	}
	if v.Incarnation == known.View.Incarnation && v.Sequence < known.View.Sequence {
		return false
	}
	next := *known
	next.View = v
	next.HeardAt = later(heard, known.HeardAt)
	if v.Incarnation != known.View.Incarnation {
		next.RestartedAt = heard
	}
	if v.Incarnation != known.View.Incarnation || !known.Up(heard) || v.Leaving || v.Contested {
		next.UpSince = heard
	}
	if v.Epoch != known.View.Epoch || v.Incarnation != known.View.Incarnation {
		next.EpochAnnouncedAt = heard
	}
	f.Instances[v.Instance] = &next
	return true
}

// Refresh records an announcement that repeats the known view of an incarnation.
func (f *Fleet) Refresh(instance string, incarnation uint64, heard time.Time) {
	known := f.Instances[instance]
	if known == nil || known.View.Incarnation != incarnation || !heard.After(known.HeardAt) {
		return
	}
	if !known.Up(heard) {
		known.UpSince = heard
	}
	known.HeardAt = heard
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire removes entries and instances that have been silent for longer than silentRetention.
func (f *Fleet) Expire(now time.Time) {
	for name, e := range f.Entries {
		if now.Sub(e.At) > silentRetention {
			delete(f.Entries, name)
		}
	}
	for id, i := range f.Instances {
		if now.Sub(i.HeardAt) > silentRetention {
			delete(f.Instances, id)
		}
	}
}

// Idle reports whether an instance that has been draining since an epoch runs no work and will receive none; if not,
// it also returns the reason. Every entry that reports must have confirmed that it is done with the instance. A
// silent entry may still route on an old view of the instance. No entry routes to an instance that announces a later
// epoch than the entry's own state, so such views have expired when ViewExpiry has passed since the instance first
// announced the epoch.
func (f *Fleet) Idle(instance string, epoch uint64, now time.Time) (bool, string) {
	i := f.Instances[instance]
	if !i.Heard(now) {
		return false, "not heard"
	}
	if i.View.Contested {
		return false, "two processes announce it"
	}
	drainedAt, reason := f.lastConfirmation(instance, epoch, now)
	if reason != "" {
		return false, reason
	}
	if f.mayHaveSilentEntries(now) {
		if i.View.Epoch < epoch {
			return false, "an entry is silent and the instance has not learned that it drains"
		}
		drainedAt = later(drainedAt, i.EpochAnnouncedAt.Add(ViewExpiry))
	}
	if !i.HeardAt.After(drainedAt) {
		return false, "views have not lapsed"
	}
	if !i.View.RunningComplete {
		return false, "not all running work is reported yet"
	}
	if n := len(i.View.Running); n > 0 {
		return false, "work in progress"
	}
	return true, ""
}

// lastConfirmation returns when the last of the reporting entries confirmed that it is done with an instance. If one
// has not confirmed that for the state at epoch or later, it returns a reason instead.
func (f *Fleet) lastConfirmation(instance string, epoch uint64, now time.Time) (time.Time, string) {
	var last time.Time
	for name, e := range f.Entries {
		if !e.Fresh(now) {
			continue
		}
		first, ok := e.drained[instance]
		if !ok || e.Report.InForceIndex < epoch {
			return last, "entry " + name + " has not confirmed"
		}
		if first.index < epoch {
			first.at = e.At // the first confirmation was for an earlier drain
		}
		last = later(last, first.at)
	}
	return last, ""
}

// mayHaveSilentEntries reports whether an entry may be routing requests without reporting. That is so if a known entry
// is silent, if no entry is known, and in the first reportLifetime of this process, when it may not know every entry.
func (f *Fleet) mayHaveSilentEntries(now time.Time) bool {
	if now.Sub(f.Since) < reportLifetime {
		return true
	}
	for _, e := range f.Entries {
		if !e.Fresh(now) {
			return true
		}
	}
	return len(f.Entries) == 0
}
