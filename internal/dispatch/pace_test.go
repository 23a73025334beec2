package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Tasks that use spare capacity are throttled while they slow down a serving task on the same server, also if a pace call
// gets no answer, and get their full speed back afterwards.
func TestFillTasksAreThrottledBesideServingTasks(t *testing.T) {
	f := newFakeServers("a")
	f.unansweredPaces = 1
	r := newRig(t, f)
	r.submit("serves", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, TargetMS: 100})
	r.submit("fills", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, Fills: true})
	serves, fills := key("serves", 0, 1).task, key("fills", 0, 1).task
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.setFigure(serves, 150)
	r.until(func() bool { return f.pace(fills) == 0 })
	must.EqOp(t, -1, f.pace(serves))
	f.setFigure(serves, 50)
	r.until(func() bool { return f.pace(fills) == 100 })
}

// throttledRig returns a rig with a serving task and a filler task on one server. The leader has stopped the filler task.
func throttledRig(t *testing.T) (r *rig, serves, fills ledger.TaskID) {
	f := newFakeServers("a")
	r = newRig(t, f)
	r.submit("serves", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, TargetMS: 100})
	r.submit("fills", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, Fills: true})
	serves, fills = key("serves", 0, 1).task, key("fills", 0, 1).task
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.setFigure(serves, 150)
	r.until(func() bool { return f.pace(fills) == 0 })
	return r, serves, fills
}

// Guards against a filler task that stays stopped for good after a change of leader: the new leader took the pace of a task
// that the earlier one had throttled for full.
func TestNewLeaderRestoresThrottledTask(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r, serves, fills := throttledRig(t)
		r.log.lead(2)
		r.servers.setFigure(serves, 50)
		r.until(func() bool { return r.servers.pace(fills) == 100 })
	})
}

// Guards against a serving task that is slowed after a change of leader by a filler task which the earlier leader had
// throttled: the new leader speeds it up only once the serving task leaves headroom.
func TestNewLeaderSpeedsUpNoThrottledTaskWithoutHeadroom(t *testing.T) {
	for _, tail := range []int64{150, 95} {
		inVirtualTime(t, func(t *testing.T) {
			r, serves, fills := throttledRig(t)
			r.log.lead(2)
			r.servers.setFigure(serves, tail)
			for range 15 {
				time.Sleep(100 * time.Millisecond)
				must.EqOp(t, 0, r.servers.pace(fills))
			}
		})
	}
}

// lapsedLease is a leader lease that isn't held.
type lapsedLease struct{}

func (lapsedLease) Held() bool { return false }

// Guards against a filler task that keeps its pace although the leader believes that it has changed it: the lease wasn't held
// when the order was due, so it wasn't sent.
func TestUnsentPaceIsNotTakenForSent(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	leads := r.d.session.Load()
	s := &session{
		engine: leads.engine, fleet: leads.fleet, servers: f, log: leads.log, leaderLease: lapsedLease{}, ctx: t.Context(),
		sentPaces: map[runKey]sentPace{key("j", 0, 1): {percent: 25}},
	}
	s.sendPace("a", key("j", 0, 1), 25)
	must.EqOp(t, unknownPace, s.sentPaces[key("j", 0, 1)].percent)
	s.sendPace("a", key("ended", 0, 1), 0)
	must.MapNotContainsKey(t, s.sentPaces, key("ended", 0, 1))
}

// Guards against a serving task that stays slow because the leader gave up throttling as without effect, although the orders
// that stop the filler task got no answer and it ran on.
func TestThrottlingIsNotJudgedBeforeItIsAcknowledged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFakeServers("a")
		r := newRig(t, f)
		r.submit("serves", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, TargetMS: 100})
		r.submit("fills", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, Fills: true})
		serves, fills := key("serves", 0, 1).task, key("fills", 0, 1).task
		r.until(func() bool { return len(f.runs("a")) == 2 })
		f.losePaces(8)
		f.setFigure(serves, 150)
		r.until(func() bool { return f.pace(fills) >= 0 })
		must.EqOp(t, 0, f.pace(fills))
	})
}
