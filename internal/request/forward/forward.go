// Package forward proxies an admitted request to an instance and its response to the caller.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
)

// Headers that tell the backend server the id, the workspace and the queue of a request.
const (
	HeaderRequestID = "Laburnum-Request-Id"
	HeaderWorkspace = "Laburnum-Team"
	HeaderQueue     = "Laburnum-Queue"
)

const (
	// ReasonUnreachable refuses a request of which nothing could be sent to the instance.
	ReasonUnreachable = "unreachable"
	// ReasonPeerUnreachable refuses a request of which nothing could be sent to an entry of another data centre.
	ReasonPeerUnreachable = "peer-unreachable"
	// ReasonNoAnswer reports that a request was sent, at least in part, but got no response.
	ReasonNoAnswer = "no-answer"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Sender sends a request once, without retries. wrote reports whether any byte may have been sent.
type Sender interface {
	RoundTrip(ctx context.Context, r *http.Request) (resp *http.Response, wrote bool, err error)
	// CloseIdle closes connections whose last use was before the given time.
	CloseIdle(before time.Time)
}

// Forwarder sends requests to instances and to entries of other data centres.
type Forwarder struct {
	Instances Sender
	Peers     Sender
}

// CloseIdle closes connections whose last use was before the given time.
func (f *Forwarder) CloseIdle(before time.Time) {
	f.Instances.CloseIdle(before)
	f.Peers.CloseIdle(before)
}

// Send sends the request to the instance at address, with the given request id, and returns the response once its
// headers have arrived. The caller must close its body. A refusal has the outcome not-run only if no byte of the
// request was sent.
func (f *Forwarder) Send(ctx context.Context, r *http.Request, t *admission.Ticket, address, id string) (*http.Response, *outcome.Refusal) {
	return send(ctx, f.Instances, newOutgoingRequest(r, t, address, id))
}

func send(ctx context.Context, s Sender, out *http.Request) (*http.Response, *outcome.Refusal) {
	resp, wrote, err := s.RoundTrip(ctx, out)
	if err == nil {
		return resp, nil
	}
	if !wrote {
		return nil, outcome.Refuse(http.StatusBadGateway, ReasonUnreachable, "no byte could be sent: %v", err)
	}
	return nil, outcome.RefuseWithUnknownOutcome(http.StatusBadGateway, ReasonNoAnswer, "no response arrived: %v", err)
}

// newOutgoingRequest builds the request to an instance or a peer. It drops the Authorization header, which holds the
// workspace's API key.
func newOutgoingRequest(r *http.Request, t *admission.Ticket, address, id string) *http.Request {
	header := make(http.Header, len(r.Header)+addedHeaderCount)
	for name, values := range r.Header {
		header[name] = values
	}
	removeHopByHopHeaders(header)
	delete(header, "Authorization")
	delete(header, "Expect")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = emptyUserAgent
	}
	header[HeaderRequestID] = []string{id}
	header[HeaderWorkspace] = []string{t.Workspace}
	header[HeaderQueue] = []string{t.Queue}
	return &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: t.Path, RawPath: t.RawPath, RawQuery: r.URL.RawQuery},
		Header:        header,
		Body:          r.Body,
		ContentLength: r.ContentLength,
		Host:          address,
	}
}

// addedHeaderCount is the number of headers that newOutgoingRequest may add.
const addedHeaderCount = 4

// emptyUserAgent keeps net/http from sending its default User-Agent.
var emptyUserAgent = []string{""}

// removeHopByHopHeaders removes hopByHopHeaders and the headers named in Connection.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// Copy streams the response to the caller. On error the caller has got only a part of it, so its connection must be
// aborted.
func Copy(w http.ResponseWriter, resp *http.Response) error {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	h[outcome.Header] = completedOutcome
	w.WriteHeader(resp.StatusCode)
	return streamBody(w, resp)
}

var completedOutcome = []string{string(outcome.Completed)}
