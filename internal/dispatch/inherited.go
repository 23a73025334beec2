package dispatch

import (
	"time"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

// stopTimeout is how long a server lists a run as working after it has carried out a stop: at most 0.9 s (stop_timeout_ms), on
// a clock that may be 2% slow.
const stopTimeout = time.Second

// settledAt returns when the orders of earlier leaders have taken effect on a server: from its first answer to this leader on it
// refuses them, and it may have carried out stops until then. known is false if it hasn't answered yet.
func settledAt(server *fleet.Server) (at time.Duration, known bool) {
	return server.FencedAt + stopTimeout, server.FencedAt > 0
}

// unsettled reports whether a run may have been stopped by an earlier leader since, although its server's newest report lists it.
func (o *order) unsettled(server *fleet.Server) bool {
	at, known := settledAt(server)
	return o.inherited && (!known || o.reportedAt < at)
}

// earlierStopUnderWayLocked reports whether a stop that an earlier leader sent for a run before its leadership ended may still arrive. o is
// the order of the run, or nil.
func (s *session) earlierStopUnderWayLocked(t *ledger.Task, o *order, now time.Duration) bool {
	if t.Phase != ledger.Live || o != nil && !o.inherited || now >= s.startedAt+callTimeout {
		return false
	}
	server := s.fleet.Get(t.Worker)
	return server != nil && server.FencedAt == 0
}
