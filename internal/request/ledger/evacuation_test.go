package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func order(l *Ledger, dataCentre string, evacuate bool, id string, after int64) (Verdict, int64) {
	r := l.Apply(&Command{NowMS: 1000, Evacuation: &EvacuationOrder{DataCentre: dataCentre, Evacuate: evacuate, RequestID: id, After: after}})
	return r.Evacuation, r.EvacuationNumber
}

// Guards against a start that was planned before an evacuation and is committed after it or with it, also as part of a gang,
// and after a restart from a snapshot.
func TestNoStartIsCommittedInEvacuatedDataCentre(t *testing.T) {
	l := newLedger(t)
	l.Apply(&Command{Servers: []Server{{ID: "w", DataCentre: "a", Born: 1}, {ID: "v", DataCentre: "b", Born: 1}}})
	submit(t, l, "j", Step{Count: 2})
	submit(t, l, "gang", Step{Count: 2, Gang: true})
	must.True(t, start(l, task("j", 0, 0), 1))
	late := &Command{Evacuation: &EvacuationOrder{DataCentre: "a", Evacuate: true, RequestID: "1"}, Starts: []Start{{Task: task("j", 0, 1), Run: 1, Worker: "w"}}}
	must.SliceEmpty(t, l.Apply(late).Started)
	gang := &Command{Starts: []Start{{Task: task("gang", 0, 0), Run: 1, Worker: "v"}, {Task: task("gang", 0, 1), Run: 1, Worker: "w"}}}
	must.SliceEmpty(t, l.Apply(gang).Started)
	l = reload(t, l)
	must.False(t, start(l, task("j", 0, 1), 1))
	must.True(t, end(l, task("j", 0, 0), 1, EndDone)) // what runs there goes on
	verdict, _ := order(l, "a", false, "2", 1)
	must.EqOp(t, Accepted, verdict)
	must.True(t, start(l, task("j", 0, 1), 1))
	must.SliceLen(t, 2, l.Apply(gang).Started)
}

// Guards against an order that is applied after a later one: a repetition of a request, and one that was delayed on its way
// and not applied before. The later order may have changed nothing.
func TestDelayedOrderDoesNotUndoLaterOne(t *testing.T) {
	type step struct {
		evacuate bool
		id       string
		after    int64
		verdict  Verdict
		number   int64
		want     bool // the data centre is evacuated afterwards
	}
	for name, steps := range map[string][]step{
		"repetition":                     {{true, "1", 0, Accepted, 1, true}, {true, "1", 0, Accepted, 1, true}},
		"repetition after restoration":   {{true, "1", 0, Accepted, 1, true}, {false, "2", 1, Accepted, 2, false}, {true, "1", 2, Accepted, 2, false}},
		"delayed evacuation":             {{true, "2", 0, Accepted, 1, true}, {false, "3", 1, Accepted, 2, false}, {true, "1", 0, Outdated, 2, false}},
		"delayed restoration":            {{true, "1", 0, Accepted, 1, true}, {true, "3", 1, Accepted, 2, true}, {false, "2", 1, Outdated, 2, true}},
		"order prepared before the last": {{false, "1", 0, Accepted, 1, false}, {true, "2", 0, Outdated, 1, false}, {true, "2", 1, Accepted, 2, true}},
	} {
		l := newLedger(t)
		for _, s := range steps {
			verdict, number := order(l, "a", s.evacuate, s.id, s.after)
			must.EqOp(t, s.verdict, verdict, must.Sprint(name, s))
			must.EqOp(t, s.number, number, must.Sprint(name, s))
			l = reload(t, l)
			must.EqOp(t, s.want, l.Evacuated()["a"], must.Sprint(name, s))
		}
		must.False(t, l.Evacuated()["b"])
	}
}

// Guards against a state that grows with each order.
func TestOnlyRecentOrdersAreRetained(t *testing.T) {
	l := newLedger(t)
	for n := range int64(3 * retainedOrderIDs) {
		order(l, "a", n%2 == 0, fmt.Sprint(n), n)
	}
	must.SliceLen(t, retainedOrderIDs, l.Evacuation("a").RequestIDs)
	must.EqOp(t, fmt.Sprint(3*retainedOrderIDs-1), l.Evacuation("a").RequestIDs[retainedOrderIDs-1])
}

// Guards against an instance that can't start from the data folder of the former version.
func TestFormerSnapshotAndCommandAreReadable(t *testing.T) {
	l := New()
	must.NoError(t, l.Restore([]byte(`{"Jobs":{},"Servers":{"w":{"ID":"w","DataCentre":"a","Born":1}},"ClockMS":5}`)))
	var c Command
	must.NoError(t, json.Unmarshal([]byte(`{"NowMS":6,"Cancel":"j"}`), &c))
	must.EqOp(t, Unknown, l.Apply(&c).Cancel)
	verdict, _ := order(l, "a", true, "1", 0)
	must.EqOp(t, Accepted, verdict)
	must.True(t, l.Evacuated()["a"])
}

// An order for a data centre isn't merged with others into a command that holds parts of jobs only, where it would be lost.
func TestOrderForDataCentreIsNoPartOfJobs(t *testing.T) {
	must.True(t, (&Command{NowMS: 1, Cancel: "j", Begun: []string{"j"}, Ends: []End{{}}, Starts: []Start{{}}}).OnlyJobs())
	must.False(t, (&Command{Cancel: "j", Evacuation: &EvacuationOrder{DataCentre: "dc1"}}).OnlyJobs())
	must.False(t, (&Command{Left: []Incarnation{{ID: "s"}}}).OnlyJobs())
}
