package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	poolName = "release-desk"
	wholeCPU = 32_000
)

// minions starts n minions of the pool, each in its own zone, and their machines.
func (w *world) minions(n int, cpuOfTask int64) ([]*minion, error) {
	var list []*minion
	for i := range n {
		zone := fmt.Sprintf("z%d", i%3+1)
		id := fmt.Sprintf("i-00000a%d", i+1)
		m, err := startMinion(w.rec, w.history, id, poolName, zone, fmt.Sprintf("127.0.71.%d:0", 101+i), w.cluster.controlAddresses(), wholeCPU,
			func(string) int64 { return cpuOfTask })
		if err != nil {
			return nil, err
		}
		m.gangs = w.gangs
		w.platform.add(fmt.Sprintf("m-%d", i+1), poolName, zone, id, wholeCPU)
		list = append(list, m)
	}
	return list, nil
}

// waitFor waits until f holds and reports whether it did in time.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// announced waits until the heartbeats of all minions are acknowledged, and a little longer.
func announced(minions []*minion) error {
	for _, m := range minions {
		if !waitFor(15*time.Second, func() bool { return m.heartbeatAddress() != "" }) {
			return errors.New("the minions' heartbeats are not acknowledged")
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// busiest returns the minion with the most runs.
func busiest(minions []*minion) *minion {
	best := minions[0]
	for _, m := range minions {
		if m.runs() > best.runs() {
			best = m
		}
	}
	return best
}

// reportTwice says what breaks the rule TWICE.
func (w *world) reportTwice() bool {
	breaks := w.history.twice()
	tasks, starts, done := w.history.count()
	w.rec.say("tasks %d, starts %d, done %d, breaks of TWICE %d", tasks, starts, done, len(breaks))
	for i, b := range breaks {
		if i < 5 {
			w.rec.say("TWICE: %s", b)
		} else {
			w.rec.add("TWICE: %s", b)
		}
	}
	return len(breaks) > 0
}

// manyEnds: a job of many short tasks, and a minion that is cut off for some seconds while they end there.
func manyEnds(w *world) (bool, error) {
	const tasks, cpu, cutTime = 1200, 25, 3 * time.Second
	minions, err := w.minions(8, cpu)
	if err != nil {
		return false, err
	}
	if err := w.cluster.putConfig(configuration(3, []object{route("r-check", testPrefix, poolName, 3)}, []object{service(poolName)})); err != nil {
		return false, err
	}
	if err := announced(minions); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	// Each task runs for 3 to 3.6 s.
	job := object{"spec": "ms=3000 spread=600", "phases": []object{{"count": tasks, "cpu": cpu, "mem_mb": 16, "estimate_ms": 3200}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { n, _, _ := w.history.count(); return n == tasks }) {
		return false, errors.New("not all tasks were started")
	}
	w.rec.say("all %d tasks were started", tasks)
	time.Sleep(2400 * time.Millisecond)
	if w.trouble {
		m := busiest(minions)
		w.rec.say("%s, which runs %d tasks, is cut off for %v; its runs go on", m.id, m.runs(), cutTime)
		m.link.cut(cutTime)
	}
	if !waitFor(40*time.Second, func() bool {
		s, _ := w.cluster.state(testPrefix, id)
		time.Sleep(500 * time.Millisecond)
		return s == "completed"
	}) {
		w.rec.say("the job is not completed")
	}
	time.Sleep(2 * time.Second)
	return w.reportTwice(), nil
}

// foreignHeartbeat: a heartbeat of another writer, for a service that no configuration names, comes while tasks run.
func foreignHeartbeat(w *world) (bool, error) {
	const tasks, cpu = 12, 2000
	minions, err := w.minions(3, cpu)
	if err != nil {
		return false, err
	}
	if err := w.cluster.putConfig(configuration(3, []object{route("r-check", testPrefix, poolName, 3)}, []object{service(poolName)})); err != nil {
		return false, err
	}
	if err := announced(minions); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	job := object{"spec": "ms=8000", "phases": []object{{"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": 8000, "anti_affinity": 6}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { n, _, _ := w.history.count(); return n == tasks }) {
		return false, errors.New("not all tasks were started")
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		busy := busiest(minions)
		w.rec.say("%s runs %d tasks", busy.id, busy.runs())
		w.foreignBeat(busy.address)
	}
	time.Sleep(1500 * time.Millisecond)
	if !waitFor(30*time.Second, func() bool {
		s, _ := w.cluster.state(testPrefix, id)
		time.Sleep(500 * time.Millisecond)
		return s == "completed"
	}) {
		w.rec.say("the job is not completed")
	}
	time.Sleep(2 * time.Second)
	return w.reportTwice(), nil
}

// foreignBeat sends one heartbeat of another writer. It names a service that isn't in the configuration, and an address.
func (w *world) foreignBeat(address string) {
	host, port, _ := net.SplitHostPort(address)
	body := fmt.Sprintf(`{"service":"host-metrics","address":"%s:%s","zone":"z1","version":"2.1","slots":1,"state":"ready","cold_left_ms":0,`+
		`"capacity":{"cpu":0,"mem_mb":0,"gpu":0},"labels":[],"clock_ms":1000,"seq":1,"born":%d}`, host, port, time.Now().UnixMilli())
	at := w.cluster.controlAddress(w.cluster.controls[0])
	status, data := request("PUT", "http://"+at+"/laburnumrouter/instances/agent-17", "", nil, []byte(body), time.Second)
	w.rec.say("another writer: PUT instances/agent-17 %s -> %d %s", body, status, data)
}

// gangOnSickMinion: a gang is started, and one of the minions fails all that it starts.
func gangOnSickMinion(w *world) (bool, error) {
	const tasks, cpu = 8, 8000
	minions, err := w.minions(9, cpu)
	if err != nil {
		return false, err
	}
	if err := w.cluster.putConfig(configuration(3, []object{route("r-check", testPrefix, poolName, 3)}, []object{service(poolName)})); err != nil {
		return false, err
	}
	if err := announced(minions); err != nil {
		return false, err
	}
	if w.trouble {
		w.rec.say("%s fails all that it starts from now on", minions[0].id)
		minions[0].setSick(true)
	}
	const id = "5c0e7a21d94b36f8"
	job := object{"spec": fmt.Sprintf("ms=2000 gang=%d", tasks), "phases": []object{{"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": 2000, "gang": true}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	state := ""
	waitFor(30*time.Second, func() bool {
		state, _ = w.cluster.state(testPrefix, id)
		time.Sleep(500 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	most, runs := 0, 0
	for i := range tasks {
		failed, all := 0, w.history.endsOf(fmt.Sprintf("%s.0.0.%d", id, i))
		for _, how := range all {
			if how == "failed" {
				failed++
			}
		}
		w.rec.say("task %d: its runs ended %v", i, all)
		most, runs = max(most, failed), max(runs, len(all))
	}
	w.rec.say("state %q after %d runs of the gang; no task has more than %d runs that ended failed, of the 3 of max_attempts", state, runs, most)
	return state == "failed" && runs < 3, nil
}

// gangAfterCrash: a gang that saves checkpoints loses one of its minions, and is started again.
func gangAfterCrash(w *world) (bool, error) {
	minions, err := w.minions(9, 0)
	if err != nil {
		return false, err
	}
	if err := w.cluster.putConfig(configuration(3, []object{route("r-check", testPrefix, poolName, 3)}, []object{service(poolName)})); err != nil {
		return false, err
	}
	if err := announced(minions); err != nil {
		return false, err
	}
	const id, small = "5c0e7a21d94b36f8", "00000000000000"
	job := object{"spec": "ms=12000 gang=2", "phases": []object{{"count": 2, "cpu": 20000, "mem_mb": 256, "estimate_ms": 12000, "gang": true, "checkpointing": true}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	host := func() string { return w.history.runsOn(id + ".0.0.0") }
	if !waitFor(10*time.Second, func() bool { return host() != "" }) {
		return false, errors.New("the gang was not started")
	}
	// A short task beside the gang: its end is reported 2.5 s after the gang has begun, and the next report comes a second later.
	if !w.cluster.submit(testPrefix, small+"01", object{"spec": "ms=2500", "phases": []object{{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 2500}}}) {
		return false, errors.New("the short job was not accepted")
	}
	time.Sleep(3300 * time.Millisecond)
	if w.trouble {
		at := host()
		for i, m := range minions {
			if m.id != at {
				continue
			}
			w.rec.say("%s, which runs a member of the gang, crashes", m.id)
			m.crash()
			time.Sleep(4500 * time.Millisecond)
			if minions[i], err = startMinion(w.rec, w.history, m.id, poolName, m.zone, m.address, w.cluster.controlAddresses(), wholeCPU,
				func(string) int64 { return 0 }); err != nil {
				return false, err
			}
			minions[i].gangs = w.gangs
		}
	}
	first := id + ".0.0.0"
	time.Sleep(4 * time.Second) // contact_ms is 3 s; from here on no disruption is near
	before := len(w.history.endsOf(first))
	state := ""
	waitFor(45*time.Second, func() bool {
		state, _ = w.cluster.state(testPrefix, id)
		time.Sleep(time.Second)
		return state == "completed" || state == "failed"
	})
	mixed := w.history.mixed()
	for i, m := range mixed {
		if i < 3 {
			w.rec.say("different checkpoints: %s", m)
		}
	}
	ends, alone := w.history.endsOf(first), 0
	for _, how := range ends[before:] {
		if how == "alone" {
			alone++
		}
	}
	w.rec.say("%d runs of the gang with different checkpoints; its first task ended %v, %d times alone with no disruption near; the job is shown as %q",
		len(mixed), ends, alone, state)
	return alone > 0, nil
}

// oneCrash: a minion is cut off and crashes behind the cut, after the run there has ended; then the minion of the next run crashes.
func oneCrash(w *world) (bool, error) {
	const cpu = 2000
	minions, err := w.minions(9, cpu)
	if err != nil {
		return false, err
	}
	if err := w.cluster.putConfig(configuration(3, []object{route("r-check", testPrefix, poolName, 3)}, []object{service(poolName)})); err != nil {
		return false, err
	}
	if err := announced(minions); err != nil {
		return false, err
	}
	const id = "5c0e7a21d94b36f8"
	job := object{"spec": "ms=400", "phases": []object{{"count": 1, "cpu": cpu, "mem_mb": 256, "estimate_ms": 400}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	first := id + ".0.0.0"
	find := func(id string) int {
		for i, m := range minions {
			if m.id == id {
				return i
			}
		}
		return -1
	}
	restart := func(i int) error {
		old := minions[i]
		minions[i], err = startMinion(w.rec, w.history, old.id, poolName, old.zone, old.address, w.cluster.controlAddresses(), wholeCPU, func(string) int64 { return cpu })
		return err
	}
	if !waitFor(5*time.Second, func() bool { return w.history.runsOn(first) != "" }) {
		return false, errors.New("the task was not started")
	}
	if w.trouble {
		i := find(w.history.runsOn(first))
		time.Sleep(100 * time.Millisecond)
		w.rec.say("%s is cut off while it runs the task", minions[i].id)
		minions[i].link.cut(5 * time.Second)
		time.Sleep(time.Second)
		w.rec.say("the run has ended %v there; the minion crashes behind the cut", w.history.endsOf(first))
		minions[i].crashBehindCut()
		time.Sleep(2 * time.Second)
		minions[i].link.close()
		if err := restart(i); err != nil {
			return false, err
		}
		if !waitFor(15*time.Second, func() bool { return w.history.runsOn(first) != "" }) {
			return false, errors.New("the task was not started again")
		}
		i = find(w.history.runsOn(first))
		time.Sleep(200 * time.Millisecond)
		w.rec.say("%s crashes while it runs the task", minions[i].id)
		minions[i].crash()
		time.Sleep(4500 * time.Millisecond)
		if err := restart(i); err != nil {
			return false, err
		}
	}
	state := ""
	waitFor(20*time.Second, func() bool {
		state, _ = w.cluster.state(testPrefix, id)
		time.Sleep(500 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	w.rec.say("the runs of the task ended %v, and one minion crashed under one; the job is shown as %q", w.history.endsOf(first), state)
	return state == "failed", nil
}

// removedRoute: the operator removes a route and adds it again while a job of it runs; one run of its task fails meanwhile.
func removedRoute(w *world) (bool, error) {
	if _, err := w.minions(3, 2000); err != nil {
		return false, err
	}
	const other = "/other/"
	both := []object{route("r-check", testPrefix, poolName, 3), route("r-other", other, poolName, 3)}
	if err := w.cluster.putConfig(configuration(3, both, []object{service(poolName)})); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	const id = "5c0e7a21d94b36f8"
	// The first run of each task fails after 5 s; later ones succeed.
	job := object{"spec": "ms=5000 fails=1", "phases": []object{{"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 5000}}}
	if !w.cluster.submit(testPrefix, id, job) {
		return false, errors.New("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { n, _, _ := w.history.count(); return n == 2 }) {
		return false, errors.New("the tasks were not started")
	}
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.cluster.putConfig(configuration(7, both[1:], []object{service(poolName)})); err != nil {
			return false, err
		}
	}
	time.Sleep(7 * time.Second)
	if w.trouble {
		if err := w.cluster.putConfig(configuration(12, both, []object{service(poolName)})); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // config_apply_ms is 2 s
	state, status := "", 0
	waitFor(20*time.Second, func() bool {
		state, status = w.cluster.state(testPrefix, id)
		time.Sleep(500 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	failed := 0
	for i := range 2 {
		n := 0
		for _, how := range w.history.endsOf(fmt.Sprintf("%s.0.0.%d", id, i)) {
			if how == "failed" {
				n++
			}
		}
		failed = max(failed, n)
	}
	w.rec.say("status %d, state %q; no task has more than %d runs that ended failed, of the 3 of max_attempts", status, state, failed)
	return state == "failed" && failed < 3, nil
}
