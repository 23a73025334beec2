package check

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/soak/history"
)

// at returns the time of an event some milliseconds after the start of a history.
func at(ms int64) int64 { return ms * int64(time.Millisecond) }

const (
	calmMS = 60_000
	jobID  = "00000000000000aa"
	first  = jobID + ".0.0.0"
	second = jobID + ".0.1.0"
)

var twoSteps = []history.Step{{Count: 1, CPU: 1000, MS: 100}, {Count: 1, CPU: 1000, MS: 100, After: []int{0}}}

func put(version, sent, t int64, status int, keys, queues []string) history.Event {
	return history.Event{
		Kind: history.Order, Op: history.Put, Node: "control-1", Version: version, Sent: at(sent), T: at(t), Status: status,
		Keys: keys, Queues: queues, Digest: "digest-" + string(rune('0'+version)),
	}
}

func read(version, sent int64) history.Event {
	return history.Event{
		Kind: history.Order, Op: history.Read, Node: "control-2", Version: version, Sent: at(sent), T: at(sent + 10), Status: 200,
		Digest: "digest-" + string(rune('0'+version)),
	}
}

func call(op string, sent, t int64, status int) history.Event {
	e := history.Event{Kind: history.Call, Op: op, Node: "entry-1", Key: "key", Queue: "alpha", Sent: at(sent), T: at(t), Status: status}
	if op != history.Pending {
		e.Job = jobID
	}
	if op == history.Submit {
		e.Steps = twoSteps
	}
	return e
}

func state(sent int64, status int, state string) history.Event {
	e := call(history.State, sent, sent+10, status)
	e.State = state
	return e
}

func pending(sent int64, n int) history.Event {
	e := call(history.Pending, sent, sent+10, 200)
	e.Pending = n
	return e
}

func onWorker(kind history.Kind, node string, t int64) history.Event {
	return history.Event{Kind: kind, Node: node, Life: 1, T: at(t)}
}

func start(node, task string, run int, t int64) history.Event {
	e := onWorker(history.Start, node, t)
	e.Task, e.Run = task, run
	return e
}

func end(node, task string, run int, t int64, how string, number int64) history.Event {
	e := onWorker(history.End, node, t)
	e.Task, e.Run, e.How, e.Number = task, run, how, number
	return e
}

func ack(node string, t, number int64) history.Event {
	e := onWorker(history.Ack, node, t)
	e.Number = number
	return e
}

func lease(node string, t, until int64) history.Event {
	e := onWorker(history.Lease, node, t)
	e.Until = at(until)
	return e
}

func fault(cause, target string, t int64, planned, over bool) history.Event {
	return history.Event{Kind: history.Fault, Cause: cause, Target: target, T: at(t), Planned: planned, Over: over}
}

// sound returns a history that breaks no rule: a job of two steps whose tasks run on two workers.
func sound() []history.Event {
	last := state(calmMS+2000, 200, "completed")
	last.Last = true
	final := read(1, calmMS+3000)
	final.Last = true
	return []history.Event{
		{Kind: history.Settings, T: at(0), Seed: 1, Size: 10, Capacity: 2000, Attempts: 3},
		put(1, 1, 10, 200, []string{"key", "old"}, []string{"alpha"}),
		lease("worker-1", 20, 50_000), lease("worker-2", 20, 50_000),
		call(history.Submit, 100, 110, 200),
		start("worker-1", first, 1, 200), end("worker-1", first, 1, 300, "done", 1), ack("worker-1", 400, 1),
		start("worker-2", second, 1, 500), end("worker-2", second, 1, 600, "done", 1), ack("worker-2", 700, 1),
		state(1000, 200, "completed"),
		{Kind: history.Calm, T: at(calmMS)},
		submitOther(calmMS + 100),
		put(1, calmMS+100, calmMS+200, 200, []string{"key", "old"}, []string{"alpha"}),
		last, final,
		{Kind: history.Finished, T: at(calmMS + 4000)},
	}
}

// submitOther is a submission of another job that is accepted and soon cancelled.
func submitOther(sent int64) history.Event {
	e := call(history.Submit, sent, sent+10, 200)
	e.Job = "00000000000000bb"
	return e
}

func cancelOther(sent int64) history.Event {
	e := call(history.Cancel, sent, sent+10, 200)
	e.Job = "00000000000000bb"
	return e
}

// with returns the sound history with further events, in the order of time.
func with(events ...history.Event) []history.Event {
	all := append(append(sound(), cancelOther(calmMS+500)), events...)
	slices.SortStableFunc(all, func(a, b history.Event) int { return int(a.T - b.T) })
	return all
}

// without returns a history without the events that satisfy drop.
func without(events []history.Event, drop func(history.Event) bool) []history.Event {
	return slices.DeleteFunc(events, drop)
}

// changed returns a history in which the events that satisfy which are changed.
func changed(events []history.Event, which func(history.Event) bool, change func(*history.Event)) []history.Event {
	for i := range events {
		if which(events[i]) {
			change(&events[i])
		}
	}
	return events
}

func is(kind history.Kind, op string) func(history.Event) bool {
	return func(e history.Event) bool { return e.Kind == kind && e.Op == op && e.Job != "00000000000000bb" }
}

func rules(violations []Violation) []string {
	var list []string
	for _, v := range violations {
		list = append(list, v.Rule)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func TestSoundHistoryBreaksNoRule(t *testing.T) {
	must.SliceEmpty(t, Check(with()))
}

// Each history breaks the rule that is named, and no other.
func TestBrokenRulesAreFound(t *testing.T) {
	withdrawn := put(2, 2000, 2010, 200, []string{"key"}, []string{"alpha"})
	oldKey := func(sent int64) history.Event {
		e := state(sent, 200, "completed")
		e.Key = "old"
		return e
	}
	for _, c := range []struct {
		name, rule, text string
		events           []history.Event
	}{
		{"two runs at a time", "TWICE", "works on", with(start("worker-2", first, 2, 250), end("worker-2", first, 2, 260, "stopped", 9))},
		{"a run after an acknowledged end", "TWICE", "was acknowledged", with(start("worker-2", first, 2, 450), end("worker-2", first, 2, 460, "stopped", 9))},
		{"a run after completion", "TWICE", "shown as completed", with(start("worker-2", second, 2, 3000), end("worker-2", second, 2, 3100, "done", 9))},
		{"a step before the one that it needs", "ORDER", "before", with(start("worker-2", second, 2, 250), end("worker-2", second, 2, 260, "stopped", 9))},
		{"a job that nobody submitted", "UNASKED", "nobody", with(start("worker-2", "00000000000000ff.0.0.0", 1, 800), end("worker-2", "00000000000000ff.0.0.0", 1, 900, "done", 9))},
		{"a task that the job doesn't have", "UNASKED", "nobody", with(start("worker-2", jobID+".0.0.7", 1, 800), end("worker-2", jobID+".0.0.7", 1, 900, "done", 9))},
		{"a cancelled job", "UNASKED", "cancelling", cancelledJobStarts()},
		{"a refused job", "REFUSED", "refused", refusedJobRuns()},
		{"a server over its capacity", "LIMIT", "brings", crowdedServer()},
		{"a server that drains", "DRAIN", "drains", drainingServer()},
		{"completed before the end", "MIXED", "not done", with(state(550, 200, "completed"))},
		{"an answer that can't be read", "MIXED", "can't be read", with(unreadable())},
		{"too few pending jobs", "MIXED", "are said to wait", waitingJobs(0)},
		{"an accepted job is unknown", "LOST", "unknown", with(state(5000, 410, ""))},
		{"an accepted job isn't found at the end", "LOST", "not found", without(with(), func(e history.Event) bool { return e.Last && e.Kind == history.Call })},
		{"an accepted job doesn't end", "LOST", "still running", changed(with(), func(e history.Event) bool { return e.Last && e.Kind == history.Call }, func(e *history.Event) { e.State = "running" })},
		{"failed without cause", "LOST", "without cause", with(state(900, 200, "failed"))},
		{"cancelled by nobody", "LOST", "nobody cancelled", with(state(900, 200, "cancelled"))},
		{"an answer is cut off in calm", "LOST", "ends without an answer", with(cutCall(5000, 5300))},
		{"an answer is cut off by a planned stop", "LOST", "ends without an answer", with(fault("term", "entry-1", 4900, true, false), cutCall(5000, 5300), fault("term", "entry-1", 9000, true, true))},
		{"a key that was never configured", "ROUTE", "no configuration held", with(changed([]history.Event{oldKey(900)}, is(history.Call, history.State), func(e *history.Event) { e.Key = "none" })...)},
		{"a withdrawn key", "CONFIG", "withdrawn", with(withdrawn, put(2, 20_000, 20_010, 200, nil, nil), oldKey(8000))},
		{"a dropped queue", "CONFIG", "dropped", with(put(2, 2000, 2010, 200, []string{"key", "old"}, []string{"beta"}), pending(5000, 0), put(3, 9000, 9010, 200, []string{"key", "old"}, []string{"alpha"}))},
		{"a key that is there is refused", "CONFIG", "401", with(state(5000, 401, ""))},
		{"a queue that is there is refused", "CONFIG", "404", with(call(history.Pending, 5000, 5010, 404))},
		{"an old configuration is read", "CONFIG", "acknowledged over", with(withdrawn, read(1, 5000), readLast(2))},
		{"other content is read", "CONFIG", "other content", with(changed([]history.Event{read(1, 5000)}, is(history.Order, history.Read), func(e *history.Event) { e.Digest = "other" })...)},
		{"a configuration that nobody sent", "CONFIG", "nobody sent", with(read(7, 5000))},
		{"a valid configuration is refused", "CONFIG", "refuses", with(put(2, 5000, 5010, 409, []string{"key", "old"}, []string{"alpha"}))},
		{"a configuration is lost", "LOST", "at the end", with(put(2, calmMS+2500, calmMS+2900, 200, []string{"key", "old"}, []string{"alpha"}))},
		{"a process ends by itself", "FAULT", "by itself", with(history.Event{Kind: history.Gone, Node: "control-1", Life: 1, T: at(5000), Cause: "exit status 1"})},
		{"a stop fails", "FAULT", "on SIGTERM", with(history.Event{Kind: history.Gone, Node: "control-1", Life: 1, T: at(5000), Op: "terminated", Cause: "exit status 1"})},
		{"a stop is not handled", "FAULT", "on SIGTERM", with(launch("control-1", 2000), terminated("control-1", 5000))},
		{"a stop takes too long", "FAULT", "to stop", with(fault("term", "control-1", 5000, true, false), history.Event{Kind: history.Gone, Node: "control-1", Life: 1, T: at(12_000), Op: "terminated", Cause: "exit status 0"}, fault("term", "control-1", 12_100, true, true))},
		{"too much memory", "FAULT", "memory", with(history.Event{Kind: history.Usage, Node: "control-1", T: at(5000), MemoryMB: 400})},
		{"too many descriptors", "FAULT", "descriptors", with(history.Event{Kind: history.Usage, Node: "control-1", T: at(calmMS + 3000), Descriptors: 1000, Last: true})},
		{"an entry doesn't recover", "RECOVER", "entry-1", changed(with(), func(e history.Event) bool {
			return e.Kind == history.Call && e.Op == history.Submit && e.T > at(calmMS)
		}, func(e *history.Event) { e.Status = 503 })},
		{"operators can't change anything", "RECOVER", "configuration", changed(with(), func(e history.Event) bool { return e.Op == history.Put && e.T > at(calmMS) }, func(e *history.Event) { e.Status = 503 })},
		{"an incomplete history", "HISTORY", "incomplete", without(with(), func(e history.Event) bool { return e.Kind == history.Finished })},
	} {
		t.Run(c.name, func(t *testing.T) {
			slices.SortStableFunc(c.events, func(a, b history.Event) int { return int(a.T - b.T) })
			violations := Check(c.events)
			must.Eq(t, []string{c.rule}, rules(violations), must.Sprint(violations))
			must.True(t, slices.ContainsFunc(violations, func(v Violation) bool { return strings.Contains(v.Text, c.text) }), must.Sprint(violations))
		})
	}
}

// What the rules allow is no violation.
func TestAllowedHistoriesBreakNoRule(t *testing.T) {
	for name, events := range map[string][]history.Event{
		"a run after the lease of the first has lapsed": with(
			lease("worker-3", 10, 150), start("worker-3", first, 1, 120), start("worker-1", first, 2, 160), end("worker-1", first, 2, 190, "failed", 9)),
		"a run after the server of the first is gone": with(
			lease("worker-3", 10, 9000), start("worker-3", first, 1, 120), history.Event{Kind: history.Gone, Node: "worker-3", Life: 1, T: at(150), Op: "killed"}),
		"an answer cut off by a kill":             with(fault("kill", "entry-1", 4900, false, false), cutCall(5000, 5300), fault("kill", "entry-1", 6000, false, true)),
		"a connection that ends before a request": with(cutCall(5000, 5050)),
		"a withdrawn key within its time": without(with(
			put(2, 2000, 2010, 200, []string{"key"}, []string{"alpha"}), changedKey(state(6000, 200, "completed"), "old"), readLast(2)),
			func(e history.Event) bool { return e.Op == history.Read && e.Version == 1 }),
		"a change that may be in force":             with(put(2, 2000, 2010, 0, []string{"key"}, []string{"alpha"}), changedKey(state(9000, 401, ""), "old")),
		"a stop before the process handles signals": with(launch("control-1", 4900), terminated("control-1", 5000)),
		"half of the pending jobs":                  waitingJobs(1),
	} {
		t.Run(name, func(t *testing.T) {
			slices.SortStableFunc(events, func(a, b history.Event) int { return int(a.T - b.T) })
			must.SliceEmpty(t, Check(events))
		})
	}
}

func changedKey(e history.Event, key string) history.Event {
	e.Key = key
	return e
}

func readLast(version int64) history.Event {
	e := read(version, calmMS+3500)
	e.Last = true
	return e
}

func unreadable() history.Event {
	e := state(5000, 200, "")
	e.Error = "unreadable"
	return e
}

func launch(node string, t int64) history.Event {
	return history.Event{Kind: history.Launch, Node: node, Life: 1, T: at(t)}
}

func terminated(node string, t int64) history.Event {
	return history.Event{Kind: history.Gone, Node: node, Life: 1, T: at(t), Op: "terminated", Cause: "signal: terminated"}
}

func cutCall(sent, t int64) history.Event {
	e := call(history.State, sent, t, 0)
	e.Error = "cut"
	return e
}

func cancelledJobStarts() []history.Event {
	cancel := call(history.Cancel, 120, 130, 200)
	events := changed(with(cancel), func(e history.Event) bool { return e.Node == "worker-2" && e.T > at(20) && e.T < at(800) }, func(e *history.Event) { e.T += at(5000) })
	return without(events, func(e history.Event) bool { return e.Kind == history.Call && e.Op == history.State })
}

func refusedJobRuns() []history.Event {
	refused := submitOther(2000)
	refused.Job, refused.Status = "00000000000000cc", 503
	return with(refused, start("worker-1", "00000000000000cc.0.0.0", 1, 3000), end("worker-1", "00000000000000cc.0.0.0", 1, 3100, "done", 9))
}

func crowdedServer() []history.Event {
	other := submitOther(2000)
	other.Job, other.Steps = "00000000000000cc", []history.Step{{Count: 3, CPU: 1000, MS: 100}}
	events := with(other, changedJob(cancelOther(calmMS+100), "00000000000000cc"))
	for i, task := range []string{"00000000000000cc.0.0.0", "00000000000000cc.0.0.1", "00000000000000cc.0.0.2"} {
		events = append(events, start("worker-1", task, 1, 3000), end("worker-1", task, 1, 3100+int64(i), "done", int64(10+i)))
	}
	return events
}

func changedJob(e history.Event, job string) history.Event {
	e.Job = job
	return e
}

func drainingServer() []history.Event {
	other := submitOther(2000)
	other.Job = "00000000000000cc"
	return with(other, changedJob(cancelOther(calmMS+100), "00000000000000cc"), onWorker(history.Drained, "worker-1", 10_000),
		start("worker-1", "00000000000000cc.0.0.0", 1, 13_000), end("worker-1", "00000000000000cc.0.0.0", 1, 13_100, "done", 9))
}

// waitingJobs returns a history in which two jobs wait for 10 s, and a number of them is reported.
func waitingJobs(reported int) []history.Event {
	one, two := submitOther(2000), submitOther(2001)
	one.Job, two.Job = "00000000000000cc", "00000000000000dd"
	return with(one, two, pending(12_000, reported), changedJob(cancelOther(20_000), one.Job), changedJob(cancelOther(20_000), two.Job))
}
