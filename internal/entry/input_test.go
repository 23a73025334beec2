package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/outcome"
)

// exchangeRaw sends bytes to an entry and returns the responses received before the connection ended.
func exchangeRaw(t *testing.T, e *testEntry, text string) []*http.Response {
	t.Helper()
	c, err := net.Dial("tcp", e.publicAddress)
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	_, _ = io.WriteString(c, text) // the entry may close the connection first
	br := bufio.NewReader(c)
	var answers []*http.Response
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers = append(answers, resp)
		_ = c.(*net.TCPConn).CloseWrite() // the entry still reads what was sent after the first request
	}
}

// An ambiguous request must not become two requests at the server (request smuggling).
func TestAmbiguousRequestsAreNotSmuggled(t *testing.T) {
	const inner = "POST /q/q/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	head := "POST /q/q/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	tests := map[string]struct {
		text    string
		maxRuns int // at the server
	}{
		"two lengths":         {head + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + inner, 0},
		"length list":         {head + "Content-Length: 5, 0\r\n\r\n" + inner, 0},
		"signed length":       {head + "Content-Length: +5\r\n\r\nhello" + inner, 0},
		"length and chunked":  {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + strings.Replace(inner, "Host: x", "Host: x\r\nX: y", 1), 1},
		"unknown coding":      {head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 0},
		"two codings":         {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", 0},
		"bad chunk size":      {head + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n", 1},
		"negative chunk":      {head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n", 1},
		"space before colon":  {head + "Content-Length : 5\r\n\r\nhello", 0},
		"folded header":       {head + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n", 1},
		"bare CR":             {"POST /q/q/x HTTP/1.1\rHost: x\r\n\r\n", 0},
		"NUL in a field name": {head + "X\x00Y: z\r\n\r\n", 0},
		"no host":             {"POST /q/q/x HTTP/1.1\r\nAuthorization: Bearer " + testKey + "\r\n\r\n", 0},
		"two hosts":           {head + "Host: y\r\n\r\n", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "dc1")
			paths := make(chan string, 10)
			server := f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				echo(w, r)
			})
			answers := exchangeRaw(t, f.entries[0], tc.text)
			must.LessEq(t, tc.maxRuns, int(server.runs.Load()))
			for range server.runs.Load() {
				must.Eq(t, "/x", <-paths)
			}
			if len(answers) > 0 && tc.maxRuns == 0 {
				must.SliceContains(t, []int{http.StatusBadRequest, http.StatusNotImplemented}, answers[0].StatusCode)
			}
		})
	}
}

func TestOversizedHeadIsRefused(t *testing.T) {
	f := newFleet(t, "dc1")
	f.addServer("dc1", echo)
	answers := exchangeRaw(t, f.entries[0], "GET /q/q/x HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 2<<20)+"\r\n\r\n")
	must.SliceLen(t, 1, answers)
	must.Eq(t, 431, answers[0].StatusCode)
}

func TestOversizedKeyedBodyIsRefused(t *testing.T) {
	f := newFleet(t, "dc1")
	server := f.addServer("dc1", echo)
	e := f.entries[0]
	e.settings.MaxBodyBytes = 10
	got := f.call(e, http.MethodPost, "more than ten bytes", "Idempotency-Key", "dc1/1")
	must.Eq(t, 413, got.status)
	must.Eq(t, outcome.NotRun, got.outcome)
	must.Eq(t, "application/problem+json", got.header.Get("Content-Type"))
	must.Eq(t, 0, int(server.runs.Load()))
}

// Paths reach the server unchanged; paths that servers interpret differently are refused, not redirected.
func TestPathsAreForwardedUnchangedOrRefused(t *testing.T) {
	f := newFleet(t, "dc1")
	e := f.entries[0]
	f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	for target, want := range map[string]string{
		"/q/q":                "/",
		"/q/q/a%2Fb//c?x=%2F": "/a%2Fb//c?x=%2F",
		"/q/q/%C5%BE/~!$&'()": "/%C5%BE/~!$&'()",
		"/q/q/../r":           "",
		"/q/q/%2e%2e/r":       "",
		"/q/q/./r":            "",
	} {
		answers := exchangeRaw(t, e, "GET "+target+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nConnection: close\r\n\r\n")
		must.SliceLen(t, 1, answers, must.Sprint(target))
		if want == "" {
			must.Eq(t, 400, answers[0].StatusCode, must.Sprint(target))
			continue
		}
		must.Eq(t, 200, answers[0].StatusCode, must.Sprint(target))
		must.Eq(t, int64(len(want)), answers[0].ContentLength, must.Sprint(target))
	}
}

// Neither headers that concern one connection nor the workspace's key are forwarded to the server, and callers can't forge the
// headers that the entry sets.
func TestConnectionHeadersAndKeyAreNotForwarded(t *testing.T) {
	f := newFleet(t, "dc1")
	seen := make(chan http.Header, 1)
	f.addServer("dc1", func(w http.ResponseWriter, r *http.Request) { seen <- r.Header.Clone(); echo(w, r) })
	got := f.call(f.entries[0], http.MethodPost, "", "Connection", "X-Hop, close", "X-Hop", "1", "Te", "trailers",
		"X-Kept", "1", "Laburnum-Team", "other", "Laburnum-Request-Id", "forged")
	must.Eq(t, 200, got.status)
	h := <-seen
	for _, name := range []string{"Authorization", "X-Hop", "Te", "Connection"} {
		must.Eq(t, "", h.Get(name), must.Sprint(name))
	}
	must.Eq(t, "1", h.Get("X-Kept"))
	must.Eq(t, []string{"t"}, h["Laburnum-Team"])
	must.NotEq(t, "forged", h.Get("Laburnum-Request-Id"))
}
