package entry

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// fixedAnswerServer answers each request with the same bytes and allocates nothing per request, so that the benchmark
// measures the cost of the entry.
func fixedAnswerServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerConnection(c)
		}
	}()
	return l.Addr().String()
}

func answerConnection(c net.Conn) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	end := []byte("\r\n\r\n")
	buffer := make([]byte, 16<<10)
	n := 0
	for {
		m, err := c.Read(buffer[n:])
		if err != nil {
			return
		}
		if n += m; bytes.HasSuffix(buffer[:n], end) {
			n = 0
			_, _ = c.Write(answer)
		}
	}
}

// BenchmarkRequest compares the cost of a request through an entry with that of one through a plain reverse proxy.
func BenchmarkRequest(b *testing.B) {
	address := fixedAnswerServer(b)
	f := newFleet(b, "dc1")
	e := f.entries[0]
	a := &laburnumv1.Assignment{Instance: "i", Pool: "p", Epoch: 1, State: laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED}
	must.NoError(b, e.store.Advance([]*laburnumv1.Change{{Index: 2, Kind: &laburnumv1.Change_Assignment{Assignment: a}}}, 2))
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: address}) }}
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	for name, h := range map[string]http.Handler{"entry": e.publicHandler(), "bare proxy": proxy} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if i%1000 == 0 {
					f.announce(e, &testServer{name: "i", address: address}, uint64(e.now().UnixNano()), e.now())
				}
				r := httptest.NewRequest(http.MethodPost, "/q/q/x", strings.NewReader(""))
				r.Header.Set("Authorization", "Bearer "+testKey)
				r.Body, r.ContentLength = http.NoBody, 0
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code, w.Body)
				}
			}
		})
	}
}
