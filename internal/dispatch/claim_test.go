package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// claimRig returns a rig with the servers a, on which the job j runs, and b, on which it doesn't fit.
func claimRig(t *testing.T) *rig {
	t.Helper()
	f := newFakeServers("a", "b")
	f.capacity = map[string]int64{"b": 500}
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	return r
}

// staysInUse checks that the run of the job j goes on undisturbed on the server a, and that it gets further work.
func (r *rig) staysInUse() {
	r.t.Helper()
	time.Sleep(9 * time.Second) // longer than any lease
	must.Eq(r.t, []runKey{key("j", 0, 1)}, r.servers.runs("a"))
	r.submit("next", small)
	r.until(func() bool { return len(r.servers.runs("a")) == 2 })
	r.servers.finish("a", key("j", 0, 1), ledger.EndDone)
	r.servers.finish("a", key("next", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed && r.state("next") == ledger.Completed })
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	must.EqOp(r.t, 2, len(r.servers.starts))
}

// Guards against tasks that run twice because of another writer's announcement, for a new server at the address of a working one or in
// the working one's own name: whoever announces can name any server, incarnation, address, pool and number.
func TestForeignAnnouncementEndsNoWork(t *testing.T) {
	const later, number = 1 << 41, 1 << 52
	room := ledger.Resources{CPU: 8000, MemMB: 8000}
	for name, a := range map[string]ledger.Server{
		"other ID, other pool":               {ID: "agent", Pool: "host-metrics", Address: "a", Born: later, Seq: 1},
		"other ID, pool of the queue":        {ID: "agent", Pool: "p", Address: "a", Capacity: room, Born: later, Seq: 1},
		"other ID, draining":                 {ID: "agent", Pool: "p", Address: "a", Born: later, Seq: 1, Draining: true},
		"other ID, no birth":                 {ID: "agent", Pool: "p", Address: "a", Seq: 1},
		"known ID of another server":         {ID: "b", Pool: "p", Address: "a", Born: later, Seq: 1},
		"own ID, later birth":                {ID: "a", Pool: "p", Address: "a", Capacity: room, Born: later, Seq: 1},
		"own ID, later birth, draining":      {ID: "a", Pool: "p", Address: "a", Born: later, Seq: 1, Draining: true},
		"own ID, later birth, other address": {ID: "a", Pool: "p", Address: "elsewhere", Born: later, Seq: 1},
		"own ID, address of another server":  {ID: "a", Pool: "p", Address: "b", Born: later, Seq: 1},
		"own ID, later birth, other pool":    {ID: "a", Pool: "host-metrics", Address: "a", Born: later, Seq: 1},
		"own ID and birth, other pool":       {ID: "a", Pool: "host-metrics", Address: "a", Capacity: room, Born: 1, Seq: number},
		"own ID and birth, other address":    {ID: "a", Pool: "p", Address: "elsewhere", Capacity: room, Born: 1, Seq: number},
		"own ID and birth, huge clock":       {ID: "a", Pool: "p", Address: "a", Capacity: room, Born: 1, Seq: number, ClockMS: 1 << 50},
		"own ID and birth, no clock":         {ID: "a", Pool: "p", Address: "a", Capacity: room, Born: 1, Seq: number},
		"own ID, earlier birth":              {ID: "a", Pool: "host-metrics", Address: "elsewhere", Seq: number, Draining: true},
		"own ID, negative numbers":           {ID: "a", Pool: "p", Address: "a", Capacity: ledger.Resources{CPU: -1}, Born: 1, Seq: -1, ClockMS: -1 << 62},
		"own ID, numbers out of range":       {ID: "a", Pool: "p", Address: "a", Capacity: ledger.Resources{CPU: 1 << 62}, Born: 1 << 62, Seq: 1 << 62, ClockMS: 1 << 62},
	} {
		for _, newLeader := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					r := claimRig(t)
					if newLeader {
						r.changeLeader(2)
					}
					for range 3 {
						copied := a
						r.do(&Call{Op: OpAnnounce, Server: &copied})
						time.Sleep(200 * time.Millisecond)
					}
					r.staysInUse()
				})
			})
		}
	}
}

// Guards against a server that gets no work any more, or whose tasks start again elsewhere, because of a departure that another writer or an
// earlier incarnation under its ID sent. It had runs, or none.
func TestForeignDepartureTakesNoServerOutOfUse(t *testing.T) {
	for _, idle := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			r := claimRig(t)
			if idle {
				r.servers.finish("a", key("j", 0, 1), ledger.EndDone)
				r.until(func() bool { return r.state("j") == ledger.Completed })
			}
			must.EqOp(t, OK, r.do(&Call{Op: OpLeave, Server: &ledger.Server{ID: "a"}}).Outcome)
			time.Sleep(2 * departureCheckDelay)
			r.submit("next", small)
			r.until(func() bool { return slices.Contains(r.servers.runs("a"), key("next", 0, 1)) })
			must.False(t, r.recorded("a").Draining)
			if !idle {
				r.servers.finish("a", key("j", 0, 1), ledger.EndDone)
			}
			r.servers.finish("a", key("next", 0, 1), ledger.EndDone)
			r.until(func() bool { return r.state("j") == ledger.Completed && r.state("next") == ledger.Completed })
		})
	}
}

// Guards against a server that is used for long after it said that it leaves, without having announced that it drains, and ended: another
// one is at its address then, or none.
func TestEndAfterUnannouncedDepartureIsFound(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			f := newFakeServers("a")
			r := newRig(t, f)
			must.EqOp(t, OK, r.do(&Call{Op: OpLeave, Server: &ledger.Server{ID: "a"}}).Outcome)
			f.mu.Lock()
			f.replaced["a"], f.silent["a"] = replaced, !replaced
			f.mu.Unlock()
			r.submit("j", small)
			time.Sleep(departureCheckDelay + callTimeout)
			s := r.d.session.Load()
			s.engine.mu.Lock()
			must.False(t, s.fleet.Get("a").Usable(boottime.Now(), time.Hour))
			s.engine.mu.Unlock()
			f.mu.Lock()
			defer f.mu.Unlock()
			must.SliceEmpty(t, f.starts)
		})
	}
}

// Guards against a restart that is found late, now that announcements are checked: as soon as the server announces it, at its old address
// and at another one, its earlier runs end.
func TestRestartUnderSameIDIsFoundAtOnce(t *testing.T) {
	for _, address := range []string{"a", "elsewhere"} {
		inVirtualTime(t, func(t *testing.T) {
			r := claimRig(t)
			r.servers.setSilent("a", true)
			time.Sleep(500 * time.Millisecond)
			r.servers.setSilent("a", false)
			r.servers.restart("a", 2)
			restarted := r.serverOf("a", 1)
			restarted.Born, restarted.Address = 2, address
			at := boottime.Now()
			must.EqOp(t, OK, r.do(&Call{Op: OpAnnounce, Server: restarted}).Outcome)
			r.until(func() bool { return len(r.servers.runs("a")) == 1 })
			must.Less(t, 500*time.Millisecond, boottime.Now()-at)
			must.EqOp(t, 2, r.servers.runs("a")[0].run)
		})
	}
}

// Guards against runs of a new incarnation, or of a server at its new address, that end because a call to the earlier one was answered
// late that another is at its address.
func TestLateMisdirectedAnswerEndsNoWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := claimRig(t)
		s := r.d.session.Load()
		s.engine.mu.Lock()
		s.misdirectedLocked(incarnationAt{Target{ID: "a", Address: "a"}, 0})
		s.misdirectedLocked(incarnationAt{Target{ID: "a", Address: "before"}, 1})
		s.engine.mu.Unlock()
		r.staysInUse()
	})
}

// Guards against a server that is never heard again after an announcement in its name with a sequence number that it doesn't reach: idle,
// it would get no work, and its draining would be ignored.
func TestFalseSequenceNumberIsForgotten(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newRig(t, newFakeServers("a"))
		r.announce("a", 1<<52)
		time.Sleep(15 * time.Second)
		draining := r.serverOf("a", 1000)
		r.submit("j", small)
		time.Sleep(time.Second)
		must.EqOp(t, 1, len(r.servers.runs("a")))
		draining.Draining = true
		must.EqOp(t, OK, r.do(&Call{Op: OpAnnounce, Server: draining}).Outcome)
		must.True(t, r.recorded("a").Draining)
	})
}
