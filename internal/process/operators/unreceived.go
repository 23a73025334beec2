package operators

import (
	"io"
	"net/http"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/server"
)

// RefuseUnreceived makes requests to h that the process has no room or time to receive fail with CodeUnavailable, as they were not
// carried out.
func RefuseUnreceived(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil {
			r = r.WithContext(r.Context()) // the original keeps its body, which the HTTP server inspects
			r.Body = &connectBody{r.Body}
		}
		h.ServeHTTP(w, r)
	})
}

// connectBody is a body whose errors carry the code that the response is to have.
type connectBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b *connectBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if server.BodyRefused(err) {
		err = connect.NewError(connect.CodeUnavailable, err)
	}
	return n, err
}
