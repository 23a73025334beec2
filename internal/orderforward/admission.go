package orderforward

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// admission is what a forwarder knows about a call when it is about to execute it.
type admission struct {
	kind laburnumv1.OrderKind
	// budget is the time that was left to the caller when the leader built the batch.
	budget time.Duration
	// echo is the forwarder's mark that the leader had received by then; now is the current time on the same clock, which
	// also counts the time spent suspended. So now-echo is at least the age of the batch.
	echo, now time.Duration
	// term is the leader's; knownTerm is the highest that the forwarder knows of.
	term, knownTerm uint64
}

// admit returns the time left for the call, or the reason for which it must not be executed.
func (a admission) admit() (left time.Duration, reason laburnumv1.OrderRejection) {
	if a.term < a.knownTerm {
		return 0, laburnumv1.OrderRejection_ORDER_REJECTION_OLD_TERM
	}
	age := a.now - a.echo
	// A mark from the future or from no time isn't one of this stream.
	if a.echo <= 0 || age < 0 || age >= a.budget {
		return 0, laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED
	}
	// A hold carries a deadline on the backend server's clock, so it does no harm later.
	if a.kind != laburnumv1.OrderKind_ORDER_KIND_HOLD && age > maxRoundTrip {
		return 0, laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED
	}
	return a.budget - age, laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED
}
