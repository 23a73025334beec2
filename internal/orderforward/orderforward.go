// Package orderforward sends the leader's calls to backend servers through other control instances, called forwarders.
// Client is the leader's side and implements dispatch.Servers; Service is the forwarder's side.
package orderforward

import (
	"time"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("order forwarding")

const (
	// forwardingThreshold is the number of calls per second from which calls are forwarded. Below it, a direct call costs
	// less in total and is answered sooner.
	forwardingThreshold = 200
	// maxRoundTrip is the greatest age of the round trip with the leader on which a forwarder executes a start, stop or pace
	// order. It equals the bound that the session sets for a call (callTimeout).
	maxRoundTrip = 400 * time.Millisecond
	// batchDelay is how long the first call or result of a batch waits for others.
	batchDelay = 5 * time.Millisecond
	// maxBatchItems bounds the calls or results in a batch; a batch that is full is sent without delay.
	maxBatchItems = 256
	// maxBatchBytes bounds the specs, or the results, in a batch, unless it has only one.
	maxBatchBytes = 1 << 20
	// maxMessageBytes bounds a message. An answer of a backend server has at most 4 MiB, as JSON.
	maxMessageBytes = 8 << 20
	// markInterval is the longest time between marks of a forwarder. It is part of the age of a call, which the forwarder
	// can only bound from its last mark.
	markInterval = 50 * time.Millisecond
	// writeTimeout bounds a write to a stream. A stream whose write takes longer is closed.
	writeTimeout = 250 * time.Millisecond
)

// rejectionNames are the names of rejections in logs and errors.
var rejectionNames = map[laburnumv1.OrderRejection]string{
	laburnumv1.OrderRejection_ORDER_REJECTION_UNSPECIFIED: "forwarder not available",
	laburnumv1.OrderRejection_ORDER_REJECTION_EXPIRED:     "call too old",
	laburnumv1.OrderRejection_ORDER_REJECTION_OLD_TERM:    "forwarder knows of a higher term",
	laburnumv1.OrderRejection_ORDER_REJECTION_BUSY:        "too many calls in progress",
	laburnumv1.OrderRejection_ORDER_REJECTION_NO_SPEC:     "spec not known yet",
	laburnumv1.OrderRejection_ORDER_REJECTION_UNREACHABLE: "backend server not reachable from the forwarder",
	laburnumv1.OrderRejection_ORDER_REJECTION_STOPPING:    "forwarder stops",
}
