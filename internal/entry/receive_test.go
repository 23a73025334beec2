package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/request/outcome"
)

// Guards against a refusal for want of room or time that reads like a fault of the caller, or leaves open whether the request ran.
func TestRefusedBodyWasNotRun(t *testing.T) {
	for err, status := range map[error]int{server.ErrBodiesFull: http.StatusServiceUnavailable, server.ErrBodySlow: http.StatusRequestTimeout} {
		refusal := bodyRefusal("bad-body", err)
		must.Eq(t, status, refusal.Status)
		must.Eq(t, outcome.NotRun, refusal.Outcome)
		must.Positive(t, refusal.RetryAfter)
	}
	must.Eq(t, http.StatusBadRequest, bodyRefusal("bad-body", io.ErrUnexpectedEOF).Status)
}

// Guards against a small body that is received before its request is queued and then reaches the backend server changed.
func TestSmallBodyIsReceivedWhole(t *testing.T) {
	for _, size := range []int{1, smallBodyBytes, smallBodyBytes + 1} {
		want := strings.Repeat("b", size)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(want))
		must.Nil(t, receiveSmallBody(r))
		got, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		must.Eq(t, want, string(got))
		must.Eq(t, int64(size), r.ContentLength)
	}
	short := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("b"))
	short.ContentLength = 2
	must.Eq(t, http.StatusBadRequest, receiveSmallBody(short).Status)
}
