package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
)

// PeerPrefix precedes the path of a request that an entry forwards to an entry of another data centre.
const PeerPrefix = "/hop"

const (
	headerStartWithinMS = "Laburnum-Wait-Ms"   // time until the latest dispatch
	headerDeadlineInMS  = "Laburnum-Left-Ms"   // time until the caller's deadline
	headerUrgent        = "Laburnum-Is-Urgent" // 1 for an urgent request
	headerIdempotent    = "Laburnum-Is-Idempotent"
	flagSet             = "1"
)

// ForwardToPeer forwards the request to an entry of another data centre and returns the response of the instance there,
// once its headers have arrived. A refusal by the peer is returned with the peer's outcome. The body is sent
// with Expect: 100-continue: the peer asks for it only once it has a slot and a permit, so it is unread if the peer
// refuses the request before that.
func (f *Forwarder) ForwardToPeer(ctx context.Context, r *http.Request, t *admission.Ticket, address string, now time.Time) (*http.Response, *outcome.Refusal) {
	out := newOutgoingRequest(r, t, address, "")
	out.URL.Path = PeerPrefix + out.URL.Path
	if out.URL.RawPath != "" {
		out.URL.RawPath = PeerPrefix + out.URL.RawPath
	}
	h := out.Header
	h.Del(HeaderRequestID)
	h.Set(headerStartWithinMS, formatMilliseconds(t.StartBy.Sub(now)))
	h.Set(headerDeadlineInMS, formatMilliseconds(t.Deadline.Sub(now)))
	setFlag(h, headerUrgent, t.Urgent)
	setFlag(h, headerIdempotent, t.Idempotent)
	if r.ContentLength != 0 {
		h.Set("Expect", "100-continue")
	}
	resp, refusal := send(ctx, f.Peers, out)
	if refusal != nil {
		if refusal.Reason == ReasonUnreachable {
			refusal.Reason = ReasonPeerUnreachable
		}
		return nil, refusal
	}
	if refusal = outcome.FromResponse(resp); refusal != nil {
		resp.Body.Close()
		return nil, refusal
	}
	return resp, nil
}

// PeerTicket reads the ticket from the headers of a request that an entry of another data centre forwarded, and
// removes the headers that are not meant for the backend server.
func PeerTicket(r *http.Request, pool string, maxWaiting int, now time.Time) (*admission.Ticket, *outcome.Refusal) {
	wait, errWait := strconv.ParseInt(r.Header.Get(headerStartWithinMS), 10, 64)
	left, errLeft := strconv.ParseInt(r.Header.Get(headerDeadlineInMS), 10, 64)
	t := &admission.Ticket{
		Queue:          r.Header.Get(HeaderQueue),
		Pool:           pool,
		Workspace:      r.Header.Get(HeaderWorkspace),
		Path:           strings.TrimPrefix(r.URL.Path, PeerPrefix),
		RawPath:        strings.TrimPrefix(r.URL.RawPath, PeerPrefix),
		Idempotent:     r.Header.Get(headerIdempotent) == flagSet,
		Urgent:         r.Header.Get(headerUrgent) == flagSet,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		StartBy:        now.Add(time.Duration(wait) * time.Millisecond),
		Deadline:       now.Add(time.Duration(left) * time.Millisecond),
		ArrivedAt:      now,
		MaxWaiting:     maxWaiting,
	}
	if errWait != nil || errLeft != nil || t.Workspace == "" {
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-hop", "the request from the peer lacks a valid workspace, wait or deadline header")
	}
	for _, name := range []string{headerStartWithinMS, headerDeadlineInMS, headerUrgent, headerIdempotent, "Expect"} {
		r.Header.Del(name)
	}
	return t, nil
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

func setFlag(h http.Header, name string, set bool) {
	h.Del(name)
	if set {
		h.Set(name, flagSet)
	}
}
