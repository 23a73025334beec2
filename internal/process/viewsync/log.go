// Package viewsync replicates what a process has heard from instances, one view per instance, to other processes by
// deltas: a changed view is sent in full, an instance that was heard again without a change takes one bit.
//
// The sender keeps no state per receiver: a receiver sends the cursor of the last delta that it applied and
// gets everything newer. A lost delta is thus sent again.
package viewsync

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// tombstoneLifetime is how long a sender remembers that an instance was removed. Deltas name instances by small
// numbers, so that a bitmap can list them. A cursor older than the lifetime gets a full delta.
const tombstoneLifetime = time.Minute

type record struct {
	view    *laburnumv1.InstanceView
	changed time.Time
	heard   time.Time
	// omitted is set when a delta left the view out as too old: the receiver may not know the number.
	omitted bool
}

// tombstone records that an instance's number was removed.
type tombstone struct {
	number uint32
	at     time.Time
}

// Log holds the views that this process heard from the instances directly. It is safe for concurrent use.
type Log struct {
	mu           sync.Mutex
	generation   uint64
	start        time.Time
	numbers      map[string]uint32
	records      map[uint32]*record
	free         []uint32 // numbers that can be reused: no receiver still uses them
	next         uint32
	tombstones   []tombstone
	oldestCursor time.Time // cursors before it get a full delta
}

// NewLog returns an empty log. The generation must differ from that of any earlier run of the process;
// start is the origin of its cursors.
func NewLog(generation uint64, start time.Time) *Log {
	return &Log{
		generation:   generation,
		start:        start,
		oldestCursor: start,
		numbers:      make(map[string]uint32),
		records:      make(map[uint32]*record),
	}
}

// Record stores a view that an instance announced at now.
func (l *Log) Record(view *laburnumv1.InstanceView, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, ok := l.numbers[view.Instance]
	if !ok {
		number = l.allocateNumber()
		l.numbers[view.Instance] = number
		l.records[number] = &record{}
	}
	e := l.records[number]
	if e.view == nil || e.omitted || !EqualContent(e.view, view) {
		e.changed = now
		e.omitted = false
	}
	e.view = view
	e.heard = now
}

func (l *Log) allocateNumber() uint32 {
	if n := len(l.free); n > 0 {
		number := l.free[n-1]
		l.free = l.free[:n-1]
		return number
	}
	l.next++
	return l.next - 1
}

// EqualContent reports whether two views of an instance differ at most in fields that every announcement renews: its
// sequence, its age, and the pool to which the instance was told that it belongs.
func EqualContent(a, b *laburnumv1.InstanceView) bool {
	return a.Instance == b.Instance &&
		a.Address == b.Address &&
		a.DataCentre == b.DataCentre &&
		a.Rack == b.Rack &&
		a.Slots == b.Slots &&
		a.Incarnation == b.Incarnation &&
		a.Leaving == b.Leaving &&
		a.Epoch == b.Epoch &&
		a.Contested == b.Contested &&
		a.RunningComplete == b.RunningComplete &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.Running, b.Running) &&
		slices.Equal(a.RunningEntries, b.RunningEntries) &&
		proto.Equal(a.Resources, b.Resources)
}

// Expire removes instances that were last heard before the given time.
func (l *Log) Expire(before, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, e := range l.records {
		if e.heard.Before(before) {
			delete(l.numbers, e.view.Instance)
			delete(l.records, number)
			l.tombstones = append(l.tombstones, tombstone{number, now})
		}
	}
	l.expireTombstones(now)
}

// expireTombstones drops old tombstones and frees their numbers. Afterwards a cursor older than a dropped tombstone
// gets a full delta, so a number is reused only when every receiver of incremental deltas knows of its removal.
func (l *Log) expireTombstones(now time.Time) {
	kept := l.tombstones[:0]
	for _, t := range l.tombstones {
		if now.Sub(t.at) < tombstoneLifetime {
			kept = append(kept, t)
			continue
		}
		l.free = append(l.free, t.number)
		if t.at.After(l.oldestCursor) {
			l.oldestCursor = t.at
		}
	}
	l.tombstones = kept
}

// Since returns everything newer than a receiver's cursor. A nil cursor, or one of another generation, gets a full
// delta. Views that were not heard within lifetime are left out.
func (l *Log) Since(c *laburnumv1.ViewCursor, now time.Time, lifetime time.Duration) *laburnumv1.InstanceDelta {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, full := l.resolveCursor(c)
	d := &laburnumv1.InstanceDelta{
		Cursor: &laburnumv1.ViewCursor{Generation: l.generation, SinceMs: l.cursorMillis(now)},
		Full:   full,
	}
	oldest := now
	for number, e := range l.records {
		if now.Sub(e.heard) >= lifetime {
			e.omitted = true
			continue
		}
		if e.heard.Before(since) {
			continue
		}
		if e.heard.Before(oldest) {
			oldest = e.heard
		}
		if full || !e.changed.Before(since) {
			d.Views = append(d.Views, &laburnumv1.NumberedView{Number: number, View: e.view})
			continue
		}
		d.Heard = setBit(d.Heard, number)
	}
	for _, t := range l.tombstones {
		if !full && !t.at.Before(since) {
			d.Gone = append(d.Gone, t.number)
		}
	}
	d.AgeMs = uint32(now.Sub(oldest).Milliseconds()) + 1
	return d
}

// resolveCursor returns the time of a cursor and whether the receiver needs a full delta.
func (l *Log) resolveCursor(c *laburnumv1.ViewCursor) (since time.Time, full bool) {
	if c.GetGeneration() != l.generation {
		return time.Time{}, true
	}
	since = l.start.Add(time.Duration(c.SinceMs) * time.Millisecond)
	if since.Before(l.oldestCursor) {
		return time.Time{}, true
	}
	return since, false
}

// cursorMillis returns the cursor for now. It rounds down, so that a change in the same millisecond is sent again
// rather than lost.
func (l *Log) cursorMillis(now time.Time) uint64 { return uint64(now.Sub(l.start).Milliseconds()) }

func setBit(bitmap []byte, n uint32) []byte {
	for uint32(len(bitmap)) <= n/8 {
		bitmap = append(bitmap, 0)
	}
	bitmap[n/8] |= 1 << (n % 8)
	return bitmap
}
