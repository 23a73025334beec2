package worker

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/soak/history"
)

const spec = `{"cpu":[1000],"ms":[100]}`

func newWorker(t *testing.T) (*Worker, func() []history.Event) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "history.jsonl")
	out, err := history.Create(path)
	must.NoError(t, err)
	w := New(Settings{Name: "w", Life: 1, ID: "w", Capacity: 2000, Guards: true, Rate: 1}, out)
	return w, func() []history.Event {
		events, err := history.Load(path)
		must.NoError(t, err)
		return events
	}
}

func (w *Worker) after(ms int64) int64 { return w.born + ms*int64(time.Millisecond) }

func order(task string, run int, fence uint64, deadline int64) outside.StartOrder {
	return outside.StartOrder{Task: task, Run: run, Spec: spec, DeadlineMS: deadline, Fence: fence}
}

func startAt(t *testing.T, w *Worker, o outside.StartOrder, ms int64, status int, reason string) {
	t.Helper()
	s, r := w.start(o, w.after(ms))
	must.Eq(t, []any{status, reason}, []any{s, r})
}

// The worker rejects starts as the platform's protocol says.
func TestStartsAreRejected(t *testing.T) {
	w, _ := newWorker(t)
	startAt(t, w, order("j.0.0.0", 2, 5, 1000), 10, 200, "")
	startAt(t, w, order("j.0.0.0", 2, 5, 1000), 20, 200, "")
	startAt(t, w, order("j.0.0.1", 1, 4, 1000), 20, 409, "fence")
	startAt(t, w, order("j.0.0.1", 1, 5, 1000), 20, 200, "")
	startAt(t, w, order("j.0.0.2", 1, 5, 1000), 20, 409, "room")
	startAt(t, w, order("j.0.0.0", 2, 5, 2000), 200, 409, "old")
	startAt(t, w, order("j.0.7.0", 1, 5, 2000), 200, 400, "")
	startAt(t, w, order("j.0.0.3", 1, 5, 2000), 3000, 409, "late")
	must.True(t, w.stop("j.0.0.4", 3, 5, w.after(3000)))
	startAt(t, w, order("j.0.0.4", 3, 5, 9000), 3000, 409, "old")
}

// A worker that was suspended ends its runs at the times at which they finished or their lease lapsed.
func TestRunsEndInTimeOrderAfterSuspension(t *testing.T) {
	w, events := newWorker(t)
	startAt(t, w, order("j.0.0.0", 1, 1, 150), 0, 200, "")
	startAt(t, w, order("j.0.0.1", 1, 1, 150), 90, 200, "")
	ok, _, listed := w.hold(outside.HoldOrder{Fence: 1, DeadlineMS: 9000}, w.after(5000))
	must.True(t, ok)
	must.True(t, listed)
	var ends []history.Event
	for _, e := range events() {
		if e.Kind == history.End {
			ends = append(ends, e)
		}
	}
	must.SliceLen(t, 2, ends)
	must.Eq(t, []any{"j.0.0.0", "done", w.after(100)}, []any{ends[0].Task, ends[0].How, ends[0].T})
	must.Eq(t, []any{"j.0.0.1", "lapsed", w.after(150)}, []any{ends[1].Task, ends[1].How, ends[1].T})
}

func TestAcknowledgedEndsAreForgotten(t *testing.T) {
	w, _ := newWorker(t)
	startAt(t, w, order("j.0.0.0", 1, 1, 1000), 0, 200, "")
	_, _, listed := w.hold(outside.HoldOrder{Fence: 1}, w.after(200))
	must.True(t, listed)
	must.False(t, w.idle(w.after(200)))
	_, _, listed = w.hold(outside.HoldOrder{Fence: 1, AckCursor: 1}, w.after(210))
	must.False(t, listed)
	ok, _, _ := w.hold(outside.HoldOrder{Fence: 0}, w.after(220))
	must.False(t, ok)
}
