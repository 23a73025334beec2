package viewsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	_ "laburnumrouter/test/seed"
)

const lifetime = 3 * time.Second

// sink records the calls that a mirror makes.
type sink struct {
	views map[string]*laburnumv1.InstanceView
	heard map[string]time.Time
}

func newSink() *sink {
	return &sink{views: make(map[string]*laburnumv1.InstanceView), heard: make(map[string]time.Time)}
}

func (s *sink) Observe(v *laburnumv1.InstanceView, heard time.Time) bool {
	s.views[v.Instance] = v
	s.heard[v.Instance] = heard
	return true
}

func (s *sink) Refresh(instance string, _ uint64, heard time.Time) {
	if heard.After(s.heard[instance]) {
		s.heard[instance] = heard
	}
}

func view(instance string, slots uint32) *laburnumv1.InstanceView {
	return &laburnumv1.InstanceView{Instance: instance, Slots: slots, Incarnation: 1}
}

func TestUnchangedInstanceCostsOneBit(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewLog(1, start)
	mirror := NewMirror()
	s := newSink()
	for i := range 100 {
		log.Record(view(fmt.Sprintf("i%d", i), 8), start.Add(time.Second))
	}
	at := start.Add(1100 * time.Millisecond)
	first := log.Since(mirror.Cursor(), at, lifetime)
	must.True(t, first.Full)
	must.Len(t, 100, first.Views)
	must.True(t, mirror.Apply(first, at, s))

	for i := range 100 {
		log.Record(view(fmt.Sprintf("i%d", i), 8), start.Add(2*time.Second))
	}
	at = start.Add(2100 * time.Millisecond)
	second := log.Since(mirror.Cursor(), at, lifetime)
	must.False(t, second.Full)
	must.SliceEmpty(t, second.Views)
	must.Len(t, 13, second.Heard) // bytes, for 100 bits
	must.True(t, mirror.Apply(second, at, s))
	must.True(t, s.heard["i7"].After(start.Add(1900*time.Millisecond)))
}

// TestOmittedViewIsSentInFull guards against a heard bit for a number that receivers do not know: an instance is heard
// once, is left out of a delta as too old, and is then heard again unchanged.
func TestOmittedViewIsSentInFull(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewLog(1, start)
	mirror := NewMirror()
	s := newSink()
	log.Record(view("a", 8), start)
	for _, at := range []time.Duration{lifetime + time.Second, lifetime + 3*time.Second} {
		now := start.Add(at)
		must.True(t, mirror.Apply(log.Since(mirror.Cursor(), now, lifetime), now, s))
		log.Record(view("a", 8), now.Add(time.Second))
	}
	must.MapContainsKey(t, s.views, "a")
}

// TestViewHeardInCursorMillisecondIsSent hears an instance after a delta was built, in the same millisecond: the next
// delta must hold it.
func TestViewHeardInCursorMillisecondIsSent(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewLog(1, start)
	mirror := NewMirror()
	s := newSink()
	now := start.Add(time.Second)
	must.True(t, mirror.Apply(log.Since(mirror.Cursor(), now, lifetime), now, s))
	log.Record(view("a", 8), now)
	now = now.Add(time.Second)
	must.True(t, mirror.Apply(log.Since(mirror.Cursor(), now, lifetime), now, s))
	must.MapContainsKey(t, s.views, "a")
}

func TestCursorOfOtherGenerationGetsFullDelta(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewLog(2, start)
	log.Record(view("a", 8), start.Add(time.Second))
	d := log.Since(&laburnumv1.ViewCursor{Generation: 1, SinceMs: 5000}, start.Add(2*time.Second), lifetime)
	must.True(t, d.Full)
	must.Len(t, 1, d.Views)
}

// TestMirrorNeverUnderstatesAge drives a log and a mirror through random schedules of announcements, lost and
// late responses, restarts and expiry. The mirror must never report an instance as heard later than it was, and
// must hold the latest view after a successful exchange.
func TestMirrorNeverUnderstatesAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		generation := uint64(1)
		log := NewLog(generation, start)
		mirror := NewMirror()
		s := newSink()
		lastAnnounced := make(map[string]time.Time)
		latestSlots := make(map[string]uint32)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				generation++
				log = NewLog(generation, now)
			case 1:
				log.Expire(now.Add(-lifetime), now)
			case 2, 3, 4, 5:
				id := fmt.Sprintf("i%d", rapid.IntRange(0, 12).Draw(t, "instance"))
				slots := uint32(rapid.IntRange(1, 2).Draw(t, "slots"))
				log.Record(view(id, slots), now)
				lastAnnounced[id], latestSlots[id] = now, slots
			default:
				requestedAt := now
				d := log.Since(mirror.Cursor(), now, lifetime)
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond)
				must.True(t, mirror.Apply(d, requestedAt, s))
				for id, heard := range s.heard {
					must.False(t, heard.After(lastAnnounced[id]))
				}
				for _, v := range d.Views {
					must.Eq(t, latestSlots[v.View.Instance], s.views[v.View.Instance].Slots)
				}
			}
		}
		d := log.Since(mirror.Cursor(), now, lifetime)
		must.True(t, mirror.Apply(d, now, s))
		for id, heard := range lastAnnounced {
			if _, known := log.numbers[id]; known && now.Sub(heard) < lifetime {
				must.Eq(t, latestSlots[id], s.views[id].Slots)
				must.True(t, now.Sub(s.heard[id]) < 2*lifetime)
			}
		}
	})
}

func TestProjectKeepsRequestsOfDeadProcesses(t *testing.T) {
	v := view("a", 8)
	v.Running = []string{"entry-2.x.1.soap", "entry-1.x.1.soap", "entry-1.w.3.soap", "entry-2.x.2.oil"}
	p := Project(v, false, []string{"entry-1.x", "entry-2"})
	must.Eq(t, []string{"entry-1.w.3.soap", "entry-2.x.1.soap", "entry-2.x.2.oil"}, p.Running)
	must.True(t, AccountsFor(p, "entry-2.x"))
	must.True(t, AccountsFor(p, "entry-1.w"))
	must.False(t, AccountsFor(p, "entry-1.x"))
	must.False(t, AccountsFor(p, "entry-3.x"))
	must.Len(t, 4, Project(v, true, nil).Running)
}
