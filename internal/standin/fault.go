package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a way in which a stand-in server can fail requests.
type Fault string

const (
	// FaultNone serves requests normally.
	FaultNone Fault = "none"
	// FaultRefuse closes the connection before the request is read to its end.
	FaultRefuse Fault = "refuse"
	// FaultDieBeforeBody runs the request and closes the connection without an answer.
	FaultDieBeforeBody Fault = "die-before-body"
	// FaultDieDuringBody closes the connection before the answer has reached its Content-Length.
	FaultDieDuringBody Fault = "die-during-body"
	// FaultDieAfterBody closes the connection after a complete answer that implied a persistent connection.
	FaultDieAfterBody Fault = "die-after-body"
	// FaultTruncate closes the connection in a chunked answer before the last chunk.
	FaultTruncate Fault = "truncate"
	// FaultOverlong sends more bytes than the Content-Length.
	FaultOverlong Fault = "overlong"
	// FaultSilent never answers the request and leaves the connection open.
	FaultSilent Fault = "silent"
	// FaultSlow delays the answer by slowDelay.
	FaultSlow Fault = "slow"
	// FaultFail answers with status 500 without running the request.
	FaultFail Fault = "fail"
)

const slowDelay = 500 * time.Millisecond

// Faults lists all faults.
var Faults = []Fault{
	FaultNone, FaultRefuse, FaultDieBeforeBody, FaultDieDuringBody, FaultDieAfterBody, FaultTruncate, FaultOverlong, FaultSilent, FaultSlow, FaultFail,
}

// faultSwitch holds the fault of a server. It is safe for concurrent use.
type faultSwitch struct {
	mu        sync.Mutex
	kind      Fault
	remaining int // requests that the fault still applies to; negative: all
}

// set enables a fault for the next count requests, or for all if count is 0.
func (f *faultSwitch) set(kind Fault, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind, f.remaining = kind, count
	if count == 0 {
		f.remaining = -1
	}
}

// next returns the fault to inject into the next request.
func (f *faultSwitch) next() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining == 0 || f.kind == "" {
		return FaultNone
	}
	if f.remaining > 0 {
		f.remaining--
	}
	return f.kind
}

// handleFault handles POST /standin/fault/{server}?kind=...&count=....
func (st *Standin) handleFault(w http.ResponseWriter, r *http.Request) {
	b := st.servers[r.PathValue("server")]
	if b == nil {
		http.Error(w, "no such server", http.StatusNotFound)
		return
	}
	kind := Fault(r.URL.Query().Get("kind"))
	count, err := strconv.Atoi(r.URL.Query().Get("count"))
	if r.URL.Query().Get("count") == "" {
		count, err = 0, nil
	}
	if !isKnownFault(kind) || err != nil || count < 0 {
		http.Error(w, "kind must be one of the faults, count a number", http.StatusBadRequest)
		return
	}
	b.fault.set(kind, count)
}

func isKnownFault(kind Fault) bool {
	for _, f := range Faults {
		if f == kind {
			return true
		}
	}
	return false
}

// injectBeforeRun injects the faults that keep a request from running. It returns false if the request must run.
func (b *backendServer) injectBeforeRun(kind Fault, w http.ResponseWriter, r *http.Request) bool {
	switch kind {
	case FaultRefuse:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		if conn, _ := hijack(w); conn != nil {
			b.silent.add(conn)
		}
		return true
	case FaultFail:
		_, _ = io.Copy(io.Discard, r.Body)
		http.Error(w, "injected fault: fail", http.StatusInternalServerError)
		return true
	}
	return false
}

// injectAfterRun injects the faults in the answer to a request that ran. It returns false if the normal answer must be sent.
func (b *backendServer) injectAfterRun(kind Fault, w http.ResponseWriter, answer string) bool {
	switch kind {
	case FaultDieBeforeBody:
		panic(http.ErrAbortHandler)
	case FaultDieDuringBody:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+1, answer)
	case FaultDieAfterBody:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	case FaultTruncate:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(answer), answer)
	case FaultOverlong:
		writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(answer), answer, strings.Repeat("x", len(answer)))
	default:
		return false
	}
	return true
}

func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil
	}
	return conn, rw
}

// writeAndClose writes raw bytes to the connection and closes it.
func writeAndClose(w http.ResponseWriter, format string, args ...any) {
	conn, rw := hijack(w)
	if conn == nil {
		return
	}
	_, _ = fmt.Fprintf(rw, format, args...)
	_ = rw.Flush()
	_ = conn.Close()
}

// silentConns holds the connections that FaultSilent leaves open without an answer.
type silentConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (s *silentConns) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}
