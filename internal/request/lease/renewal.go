package lease

import "time"

// RefusedGrantTime is how long a server that refuses every call still gets new deadlines. Whether a refused call has renewed the
// lease isn't known, so each of them postpones the moment from which the lease has certainly lapsed.
const RefusedGrantTime = 5 * time.Second

// Renewal decides what the next call to a backend server asks for, so that a lease is renewed as soon as the server can be reached,
// and a server that can't be reached gets no new deadline. The zero value is for a server that hasn't been called.
type Renewal struct {
	// unreached is set while the newest call got no answer.
	unreached bool
	// renewed is set while the newest call was answered and carried a new deadline.
	renewed bool
	// refusing is set while the newest call that got an answer was refused; refusedSince is when the first in a row was.
	refusing     bool
	refusedSince time.Duration
}

// MayGrant reports whether the next call may carry a new deadline. A renewal that reaches a server unnoticed postpones the lapse of
// its lease, so of several calls without an answer only the first carries one. The others repeat it.
func (r *Renewal) MayGrant(now time.Duration) bool {
	return !r.unreached && !(r.refusing && now-r.refusedSince > RefusedGrantTime)
}

// MayWait reports whether the server may delay its answer to the next call: only while its lease has just been renewed.
func (r *Renewal) MayWait() bool { return r.renewed }

// Answered records that a call was answered. granted is set if it carried a new deadline.
func (r *Renewal) Answered(granted bool) { *r = Renewal{renewed: granted} }

// Refused records that a call was refused at now.
func (r *Renewal) Refused(now time.Duration) {
	if !r.refusing {
		r.refusedSince = now
	}
	r.unreached, r.renewed, r.refusing = false, false, true
}

// Unanswered records that a call got no answer.
func (r *Renewal) Unanswered() { r.unreached, r.renewed = true, false }

// Aborted records that a call was given up before its answer. The next call renews the lease at once.
func (r *Renewal) Aborted() { r.renewed = false }
