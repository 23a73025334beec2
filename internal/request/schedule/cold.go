package schedule

import (
	"time"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

// provenAfterMS is how long a run must have lasted to prove that its server works. The users' sick servers fail a run within
// 50 ms.
const provenAfterMS = 1000

// ColdSettings bounds the starts on a server that is slow after its start and whose pool tells how many it carries: Overshoot
// times that many a second, with a burst of Slack.
type ColdSettings struct{ Overshoot, Slack float64 }

// ColdLimit returns the bound of starts on a cold server. limited is false if the server isn't cold or its pool doesn't tell
// how many starts it carries.
func (in *Input) ColdLimit(s *fleet.Server) (limit fleet.ColdLimit, limited bool) {
	left, perS, _ := in.coldState(s)
	if left <= 0 || perS <= 0 {
		return fleet.ColdLimit{}, false
	}
	return fleet.ColdLimit{PerS: in.Cold.Overshoot * perS, Burst: in.Cold.Slack}, true
}

// coldState returns how much longer a server is slow, and what the configuration says about cold servers of its pool: how
// many starts they carry per second and for how long they are slow.
func (in *Input) coldState(s *fleet.Server) (left time.Duration, perS float64, total time.Duration) {
	index := in.Ledger.Index()
	if index == nil {
		return 0, 0, 0
	}
	var coldStartMS int64
	if pool := index.Pool(s.Pool); pool != nil {
		perS, coldStartMS = pool.ColdPerS, pool.ColdStartMS
	}
	return s.ColdLeft(in.Now, in.WallMS, coldStartMS), perS, time.Duration(coldStartMS) * time.Millisecond
}

// limitCold sets how much more work a server gets in this plan while it is cold. Without a known rate, it gets one start for
// each of its runs that has proved that it works, or one if it has none, and otherwise what fits in the part of its capacity
// that grows with the elapsed part of its cold time.
func (in *Input) limitCold(r *serverState) {
	left, _, total := in.coldState(r.server)
	if left <= 0 {
		return
	}
	r.cold = true
	if limit, limited := in.ColdLimit(r.server); limited {
		r.coldStarts = r.server.ColdStarts(in.Now, limit)
		return
	}
	live, proven := 0, 0
	for _, t := range in.Ledger.LiveOn(r.server.ID) {
		live++
		if in.WallMS-t.OrderedMS >= provenAfterMS {
			proven++
		}
	}
	r.coldStarts = max(1, 2*proven) - live
	if total == 0 {
		total = left + max(0, time.Duration(in.WallMS-r.server.Born)*time.Millisecond)
	}
	withheld := min(1, left.Seconds()/total.Seconds())
	part := func(n int64) int64 { return int64(float64(n) * withheld) }
	c := r.server.Capacity
	r.coldGrows, r.coldWithheld = true, ledger.Resources{CPU: part(c.CPU), MemMB: part(c.MemMB), GPU: part(c.GPU)}
}

// carries reports whether a server that may be cold gets one more task of a step, besides extra others that this plan
// doesn't contain yet, with free capacity.
func (r *serverState) carries(step *ledger.Step, extra int, free ledger.Resources) bool {
	return !r.cold || r.planned+extra < r.coldStarts || r.coldGrows && step.CapacityUse().FitsIn(free.Minus(r.coldWithheld))
}
