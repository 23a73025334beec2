package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// contactBound is how long before its lease ends a server has to be reachable to keep it: a call under way has to run into its time
// limit, and one call has to find the server before the next renews the lease.
const contactBound = 700 * time.Millisecond

const (
	testLease   = 5 * time.Second
	testWait    = time.Second
	testLimit   = 400 * time.Millisecond
	testRetry   = 100 * time.Millisecond
	testPause   = 15 * time.Millisecond
	testLatency = 20 * time.Millisecond // one way, at most
)

// span is a time during which a server is silent, or refuses calls, or the caller aborts calls.
type span struct {
	from, to time.Duration
	refuses  bool
}

// loop plays a caller that follows Renewal against a server whose faults are spans.
type loop struct {
	random *rand.Rand
	now    time.Duration
	faults []span
	aborts []time.Duration // reports are asked for at these times
	// refusals and losses are the shares of all calls that are refused, and that don't arrive.
	refusals, losses float64
	r                Renewal
	// deadline is the end of the server's lease; granted is the latest deadline that the caller has sent.
	deadline, granted time.Duration
	reachedAt         time.Duration // last time at which a call reached the server
}

// fault returns the fault at a time.
func (l *loop) fault(at time.Duration) (s span, faulty bool) {
	for _, s := range l.faults {
		if at >= s.from && at < s.to {
			return s, true
		}
	}
	return span{}, false
}

// call makes one call.
func (l *loop) call() {
	granting, wait := l.r.MayGrant(l.now), time.Duration(0)
	if l.r.MayWait() {
		wait = testWait
	}
	sent := l.now
	if granting {
		l.granted = max(l.granted, sent+testLease)
	}
	arrives := sent + time.Duration(l.random.Int64N(int64(testLatency)))
	s, faulty := l.fault(arrives)
	if faulty && s.refuses || l.random.Float64() < l.refusals {
		l.now = arrives + testLatency
		l.r.Refused(l.now)
		l.now += testRetry
		return
	}
	if faulty = faulty || l.random.Float64() < l.losses; !faulty {
		l.deadline = max(l.deadline, l.granted)
	}
	if wait > 0 {
		for _, at := range l.aborts {
			if at > sent && at < sent+wait {
				l.now = at
				l.r.Aborted()
				return
			}
		}
	}
	answers := arrives + wait
	if _, lost := l.fault(answers); faulty || lost {
		l.now = sent + wait + testLimit
		l.r.Unanswered()
		l.now += testRetry
		return
	}
	l.reachedAt = answers
	l.now = answers + time.Duration(l.random.Int64N(int64(testLatency)))
	l.r.Answered(granting)
	l.now += testPause
}

// reachableSince returns since when the server has been without a fault at a time.
func (l *loop) reachableSince(at time.Duration) (since time.Duration) {
	for _, s := range l.faults {
		if s.from < at {
			since = max(since, min(s.to, at))
		}
	}
	return since
}

// Guards against a lease that lapses on a server which can be reached before its end, whatever failed before: calls without an
// answer, refusals, and calls that are given up because reports are wanted at once.
func TestReachableServerKeepsItsLease(t *testing.T) {
	for seed := range uint64(3000) {
		l := &loop{random: rand.New(rand.NewPCG(seed, 1)), deadline: testLease}
		for at := time.Duration(0); at < 60*time.Second; {
			from := at + time.Duration(l.random.Int64N(int64(3*time.Second)))
			at = from + time.Duration(l.random.Int64N(int64(6*time.Second)))
			l.faults = append(l.faults, span{from, at, l.random.IntN(3) == 0})
		}
		for at := time.Duration(0); at < 60*time.Second; at += time.Duration(1 + l.random.Int64N(int64(2*time.Second))) {
			l.aborts = append(l.aborts, at)
		}
		for l.now < 60*time.Second {
			before := l.deadline
			l.call()
			if l.deadline == before && l.now > before && l.reachableSince(before) < before-contactBound {
				t.Fatalf("seed %d: the lease lapses at %v, reachable since %v", seed, before, l.reachableSince(before))
			}
			l.deadline = max(l.deadline, l.now) // a lapsed lease begins anew with the next start
		}
	}
}

// Guards against a lease that lapses on a server which refuses most calls and carries out the others: a refusal doesn't mean that it
// can't be reached, so each call carries a new deadline.
func TestServerThatRefusesMostCallsKeepsItsLease(t *testing.T) {
	for seed := range uint64(300) {
		l := &loop{random: rand.New(rand.NewPCG(seed, 1)), deadline: testLease, refusals: 0.6}
		for l.now < time.Minute {
			l.call()
			must.Less(t, l.deadline, l.now, must.Sprintf("seed %d", seed))
		}
	}
}

// Guards against a lease that lapses on a server which answers most calls: a call that found the server, and then the next one, which
// was to renew the lease, had to arrive.
func TestServerThatMissesSomeCallsKeepsItsLease(t *testing.T) {
	for seed := range uint64(300) {
		l := &loop{random: rand.New(rand.NewPCG(seed, 1)), deadline: testLease, losses: 0.2}
		for l.now < time.Minute {
			l.call()
			must.Less(t, l.deadline, l.now, must.Sprintf("seed %d", seed))
		}
	}
}

// Guards against tasks of a server that is gone, or refuses for good, which wait for ever to be started elsewhere: each call postpones
// the lapse of their lease.
func TestUnreachableServerGetsNoFurtherDeadlines(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprint("refuses ", refuses), func(t *testing.T) {
			for seed := range uint64(300) {
				l := &loop{random: rand.New(rand.NewPCG(seed, 1))}
				gone := time.Duration(l.random.Int64N(int64(10 * time.Second)))
				l.faults = []span{{gone, time.Hour, refuses}}
				for l.now < time.Minute {
					l.call()
				}
				bound := gone + testLease + testLatency
				if refuses {
					bound += RefusedGrantTime + 2*testLatency + testRetry + testWait
				}
				must.LessEq(t, bound+testWait, l.granted, must.Sprintf("seed %d", seed))
			}
		})
	}
}
