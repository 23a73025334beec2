package orderforward

import "github.com/uber-go/tally/v4"

// stats are the metrics of the leader's side.
type stats struct {
	forwarded, direct, batches tally.Counter
	scope                      tally.Scope
}

func newStats(scope tally.Scope) *stats {
	return &stats{
		forwarded: scope.Counter("order_calls_forwarded"), direct: scope.Counter("order_calls_direct"),
		batches: scope.Counter("order_batches"), scope: scope,
	}
}

// failed counts a call that a forwarder didn't execute, or that got no answer through it.
func (s *stats) failed(forwarder, reason string) {
	s.scope.Tagged(map[string]string{"forwarder": forwarder, "reason": reason}).Counter("order_forward_failures").Inc(1)
}
