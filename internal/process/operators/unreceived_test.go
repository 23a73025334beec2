package operators

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/server"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// failingBody is a body of which no byte can be read.
type failingBody struct {
	err  error
	read bool
}

func (b *failingBody) Read([]byte) (int, error) {
	b.read = true
	return 0, b.err
}

func (b *failingBody) Close() error { return nil }

func statusOf(h http.Handler, body io.Reader) int {
	r := httptest.NewRequest(http.MethodPost, laburnumv1connect.OperatorServiceApplyProcedure, body)
	r.Header.Set("Content-Type", "application/proto")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code
}

// Guards against a refusal that doesn't say that the request wasn't carried out, because there is no room or time to receive it.
func TestUnreceivedRequestIsUnavailable(t *testing.T) {
	h := RefuseUnreceived(authenticatedHandler())
	for _, err := range []error{server.ErrBodiesFull, server.ErrBodySlow} {
		must.Eq(t, http.StatusServiceUnavailable, statusOf(h, &failingBody{err: err}))
	}
	must.NotEq(t, http.StatusServiceUnavailable, statusOf(h, &failingBody{err: errors.New("reset")}))
}

// Guards against memory that unknown callers fill with requests which are decoded before they are refused.
func TestUnknownOperatorIsRefusedUnread(t *testing.T) {
	h := authenticatedHandler(Settings{Name: "ana", KeySHA256: digestOf("ana-secret")})
	body := &failingBody{err: io.ErrUnexpectedEOF}
	must.Eq(t, http.StatusUnauthorized, statusOf(h, body))
	must.False(t, body.read)
}

// Guards against small requests that need much memory once they are decompressed.
func TestCompressedRequestIsRefused(t *testing.T) {
	path, h := laburnumv1connect.NewOperatorServiceHandler(operatorEcho{}, PlainRequests())
	mux := http.NewServeMux()
	mux.Handle(path, New(nil, logging.Discard()).Identify(h))
	s := httptest.NewServer(mux)
	defer s.Close()
	req := &laburnumv1.ApplyRequest{By: "ana"}
	_, err := laburnumv1connect.NewOperatorServiceClient(http.DefaultClient, s.URL, connect.WithSendGzip()).Apply(context.Background(), req)
	must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	_, err = laburnumv1connect.NewOperatorServiceClient(http.DefaultClient, s.URL).Apply(context.Background(), req)
	must.NoError(t, err)
}
