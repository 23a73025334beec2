package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/soak/cluster"
)

const (
	// maxBodyBytes is the limit of the configuration, and bodyBytes the declared length of the bodies of most crowds.
	maxBodyBytes = 262_144
	bodyBytes    = 262_000
	largeHeader  = 15_000
)

// header returns the header of a job's submission, with extra lines.
func header(extra string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s\r\n", jobPath(), host, key, extra)
}

// short is a body that stops a byte before its declared length.
func short(length int) Request {
	return Request{Header: header(fmt.Sprintf("Content-Length: %d\r\n", length)), Body: filler[:length-1]}
}

var filler = bytes.Repeat([]byte(" "), bodyBytes)

// chunked is a body in chunks of size bytes that stops a byte before the end of the last chunk that the limit allows.
func chunked(size int) Request {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", size, filler[:size])
	body := bytes.Repeat(one, maxBodyBytes/size)
	return Request{Header: header("Transfer-Encoding: chunked\r\n"), Body: body[:len(body)-len(" \r\n")]}
}

// endure starts a fleet whose entry instance has limits, and checks that it endures n clients that send request.
func endure(t *testing.T, limits cluster.Limits, n int, request func(i int) Request) {
	t.Helper()
	c := startJobs(t, cluster.Shape{EntryLimits: limits})
	g := entryTarget(c, limits)
	g.Endure(t, func() *Crowd { return Open(c.Entries[0].Listen, n, dialers, request) }, nil)
}

func always(r Request) func(int) Request { return func(int) Request { return r } }

// manyDescriptors leaves an entry instance enough descriptors for every crowd here, so that only its memory is short.
const manyDescriptors = 4000

// smallEntry has the memory of the smallest entry machine at its part of the crowd.
var smallEntry = cluster.Limits{MemoryMB: 64, Descriptors: manyDescriptors}

// fewDescriptors has memory for all that its descriptors allow.
var fewDescriptors = cluster.Limits{MemoryMB: 160, Descriptors: 300}

// Guards against clients that hold every descriptor with bodies that stop short: no other caller is accepted.
func TestMoreStalledBodiesThanDescriptors(t *testing.T) {
	endure(t, fewDescriptors, 600, always(short(bodyBytes)))
}

// Guards against clients that hold every descriptor with bodies that never end, sent byte by byte.
func TestMoreBodiesByteByByteThanDescriptors(t *testing.T) {
	endure(t, fewDescriptors, 600, func(int) Request {
		r := short(bodyBytes)
		r.Body, r.Piece = filler[:100], filler[:1]
		return r
	})
}

// Guards against clients that hold every descriptor with headers that stop short.
func TestMoreStalledHeadersThanDescriptors(t *testing.T) {
	endure(t, fewDescriptors, 600, func(int) Request { return Request{Header: strings.TrimSuffix(header(""), "\r\n")} })
}

// Guards against clients that hold every descriptor with connections on which they send nothing.
func TestMoreSilentConnectionsThanDescriptors(t *testing.T) {
	endure(t, fewDescriptors, 600, always(Request{}))
}

// Guards against clients that hold every descriptor with connections that stay open after an answer.
func TestMoreIdleConnectionsThanDescriptors(t *testing.T) {
	r := Request{Header: fmt.Sprintf("GET /%s/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", queue, host, key)}
	endure(t, fewDescriptors, 600, always(r))
}

// Guards against memory that fills with bodies that arrive whole at the same time.
func TestWholeBodiesInSmallMemory(t *testing.T) {
	job := jobBody(maxBodyBytes)
	endure(t, smallEntry, 1500, func(int) Request {
		return Request{Header: header(fmt.Sprintf("Content-Length: %d\r\n", len(job))), Body: job}
	})
}

// Guards against memory that fills with bodies that stop short.
func TestStalledBodiesInSmallMemory(t *testing.T) {
	endure(t, smallEntry, 1500, always(short(bodyBytes)))
}

// Guards against memory that fills with the headers of requests whose bodies stop short, which the bound on bodies leaves out.
func TestStalledBodiesWithLargeHeaders(t *testing.T) {
	endure(t, smallEntry, 1500, func(int) Request {
		r := short(bodyBytes)
		r.Header = header(fmt.Sprintf("Content-Length: %d\r\nX-Filler: %s\r\n", bodyBytes, strings.Repeat("x", largeHeader)))
		return r
	})
}

// Guards against memory that fills with bodies whose length is known only when they end, in large pieces.
func TestStalledBodiesInLargeChunks(t *testing.T) {
	endure(t, smallEntry, 1500, always(chunked(64<<10)))
}

// Guards against memory that fills with bodies whose framing is larger than what they carry.
func TestStalledBodiesInChunksOfOneByte(t *testing.T) {
	endure(t, smallEntry, 1500, always(chunked(1)))
}

// Guards against refusals that are never sent: clients whose bodies can't be held at the same time stay open without an answer.
func TestRefusedBodiesAreAnsweredOrClosed(t *testing.T) {
	const n = 600
	c := startJobs(t, cluster.Shape{EntryLimits: smallEntry})
	g := entryTarget(c, smallEntry)
	mayStay := int(smallEntry.MemoryMB<<20) / bodyBytes
	open := func() *Crowd { return Open(c.Entries[0].Listen, n, dialers, always(short(bodyBytes))) }
	g.Endure(t, open, func(crowd *Crowd) error {
		return Repeat(func(time.Duration) error {
			if ended := crowd.Counts().Ended(); ended < n-mayStay {
				return fmt.Errorf("%d of %d clients are answered or closed, at most %d may stay", ended, n, mayStay)
			}
			return nil
		})
	})
}

// Guards against a few clients that hold all that bodies may take up, so that every other caller is refused.
func TestStalledBodiesThatFillTheBound(t *testing.T) {
	sizes := fillingSizes()
	c := startJobs(t, cluster.Shape{EntryLimits: smallEntry})
	entryTarget(c, smallEntry).Endure(t, func() *Crowd {
		return Open(c.Entries[0].Listen, len(sizes), 1, func(i int) Request {
			awaitRead(c.Entries[0].Listen)
			return short(sizes[i])
		})
	}, nil)
}

// awaitRead waits until the clients of a listener have no unread bytes. It gives up after a while, as a process may leave some.
func awaitRead(listener string) {
	const pause, tries = 2 * time.Millisecond, 5
	for range tries {
		time.Sleep(pause)
		if n, err := unreadBytes([]string{listener}); n == 0 && err == nil {
			return
		}
	}
}

// fillingSizes returns lengths of bodies that leave no room under any bound below the memory of smallEntry, if they arrive one
// after the other.
func fillingSizes() []int {
	sizes := repeat(bodyBytes, int(smallEntry.MemoryMB<<20)/bodyBytes)
	for size := bodyBytes / 4; size > 4; size /= 4 {
		sizes = append(sizes, repeat(size, 4)...)
	}
	return sizes
}

func repeat(size, n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = size
	}
	return list
}

// Guards against clients of the readiness listener, which holds their descriptors after it has answered them.
func TestStalledBodiesAtReadiness(t *testing.T) {
	endureAt(t, func(e *cluster.Process) string { return e.ReadyListen }, "/laburnumrouter/readyz")
}

// Guards against clients of the metrics listener, which holds their descriptors after it has answered them.
func TestStalledBodiesAtMetrics(t *testing.T) {
	endureAt(t, func(e *cluster.Process) string { return e.MetricsListen }, "/metrics")
}

// endureAt checks that more bodies that stop short than there are descriptors, at another listener of an entry instance, leave
// both that listener and the callers' one at work.
func endureAt(t *testing.T, listener func(*cluster.Process) string, path string) {
	c := startJobs(t, cluster.Shape{EntryLimits: fewDescriptors})
	g, address := entryTarget(c, fewDescriptors), listener(c.Entries[0])
	ask := g.Ordinary
	g.Ordinary = func(timeout time.Duration) error {
		if err := exchange(http.MethodGet, "http://"+address+path, nil, timeout, func(*http.Request) {}); err != nil {
			return err
		}
		return ask(timeout)
	}
	r := Request{
		Header: fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", path, address, bodyBytes), Body: filler[:bodyBytes-1],
	}
	g.Endure(t, func() *Crowd { return Open(address, 600, dialers, always(r)) }, nil)
}

// Guards against bounds that a single request inside the limits meets: its body arrives whole, in chunks or in pieces over a
// while, with the largest header and the largest body.
func TestSingleRequestInsideLimitsIsServed(t *testing.T) {
	c := startJobs(t, cluster.Shape{EntryLimits: smallEntry})
	job := jobBody(maxBodyBytes)
	// The deadline leaves the commit time after a body in pieces, which takes 2 s.
	line := fmt.Sprintf("X-Filler: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n", strings.Repeat("x", largeHeader), patience.Milliseconds())
	length := fmt.Sprintf("Content-Length: %d\r\n", len(job))
	for name, one := range map[string]struct {
		framing string
		parts   [][]byte
	}{
		"whole":               {length, [][]byte{job}},
		"in pieces":           {length, pieces(job, len(job)/20+1)},
		"large chunks":        {"Transfer-Encoding: chunked\r\n", [][]byte{inChunks(job, 64<<10)}},
		"chunks of one byte":  {"Transfer-Encoding: chunked\r\n", [][]byte{inChunks(job, 1)}},
		"pieces with a chunk": {"Transfer-Encoding: chunked\r\n", pieces(inChunks(job, 64<<10), len(job)/20+1)},
	} {
		t.Run(name, func(t *testing.T) {
			must.NoError(t, Repeat(func(time.Duration) error {
				err := sendParts(c.Entries[0].Listen, append([][]byte{[]byte(header(one.framing + line))}, one.parts...))
				if err != nil {
					t.Logf("attempt: %v", err)
				}
				return err
			}))
		})
	}
}

// pieces cuts data into pieces of at most size bytes.
func pieces(data []byte, size int) [][]byte { return slices.Collect(slices.Chunk(data, size)) }

// inChunks returns a whole body in chunked encoding.
func inChunks(data []byte, size int) []byte {
	var b bytes.Buffer
	for _, piece := range pieces(data, size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// sendParts sends the parts of a request with a pause after each and returns an error unless the answer's status is 2xx.
func sendParts(address string, parts [][]byte) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
		time.Sleep(pieceInterval)
	}
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		reason, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("answered with %s: %s", resp.Status, reason)
	}
	return nil
}
