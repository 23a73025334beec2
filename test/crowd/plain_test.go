package crowd

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/fleet"
	"laburnumrouter/test/harness"
)

const (
	// Limits on bodies: of a request with an Idempotency-Key, of a job, of an announcement, and of a sheet.
	keyedBytes, jobBytes, announcementBytes, sheetBytes = 1 << 20, 64 << 10, 256 << 10, 32 << 20
	// plainHeader is the size of a large header below the limit of 64 KiB.
	plainHeader = 60_000
)

var (
	smallPlainEntry = fleet.Limits{MemoryMB: 64, Descriptors: manyDescriptors}
	// smallPlainControl has the memory of the smallest core machine.
	smallPlainControl   = fleet.Limits{MemoryMB: 280, Descriptors: manyDescriptors}
	fewPlainDescriptors = fleet.Limits{Descriptors: 300}
)

// authorized returns the header fields of the crowd's requests, with extra ones.
func authorized(extra ...string) []string { return append(extra, "Authorization", "Bearer "+crowding) }

func keyedHeader(i int) string {
	return begin("POST", "/q/refunds/pay", authorized("Idempotency-Key", fmt.Sprintf("key-%d", i))...)
}

func jobHeader() string { return begin("POST", "/v1/jobs", authorized()...) }

func callHeader(method string) string {
	return begin("POST", operatorService+method, "Content-Type", "application/proto")
}

// Guards against memory that fills with the bodies of requests with an Idempotency-Key, which are read before they are sent on.
func TestStalledKeyedBodies(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 150, func(i int) Request { return shortOf(keyedHeader(i), keyedBytes) })
}

// Guards against memory that fills with keyed bodies whose length is known only when they end.
func TestStalledKeyedBodiesInLargeChunks(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 150, func(i int) Request { return chunkedOf(keyedHeader(i), keyedBytes, 64<<10) })
}

// Guards against memory that fills with keyed bodies whose framing is larger than what they carry.
func TestStalledKeyedBodiesInChunksOfOneByte(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 80, func(i int) Request { return chunkedOf(keyedHeader(i), keyedBytes, 1) })
}

// Guards against memory that fills with keyed bodies that are whole and wait for capacity.
func TestWholeKeyedBodies(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 150, func(i int) Request { return wholeKeyed(i, "/q/refunds/pay?ms=1000") })
}

// Guards against whole bodies that hold all room for as long as a backend server works on them.
func TestWholeKeyedBodiesOfLongRequests(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 150, func(i int) Request { return wholeKeyed(i, "/q/patient/pay?ms=20000") })
}

func wholeKeyed(i int, path string) Request {
	r := shortOf(begin("POST", path, authorized("Idempotency-Key", fmt.Sprintf("key-%d", i))...), keyedBytes)
	r.Body = padding[:keyedBytes]
	return r
}

// Guards against unread bytes of requests that wait for capacity which others hold with bodies that stop short.
func TestStalledStreamedBodies(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 600, always(shortOf(begin("POST", "/q/refunds/pay", authorized()...), keyedBytes)))
}

// Guards against requests with stalled bodies that hold their share for as long as they may wait for capacity, so that nobody else is
// served meanwhile.
func TestStalledStreamedBodiesThatWaitLong(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 600, always(shortOf(begin("POST", "/q/patient/pay", authorized()...), keyedBytes)))
}

// Guards against memory that fills with the bodies of jobs.
func TestStalledJobBodies(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 1000, always(shortOf(jobHeader(), jobBytes)))
}

// Guards against memory that fills with announcements of backend servers.
func TestStalledAnnouncements(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 300, func(i int) Request {
		r := shortOf(begin("PUT", fmt.Sprintf("/v1/instances/i-%d", i), "Authorization", "Bearer "+harness.BackendKey), announcementBytes)
		r.Body = append([]byte(`{"address":"`), r.Body[:len(r.Body)-len(`{"address":"`)]...)
		return r
	})
}

// Guards against memory that fills with operators' calls at an entry instance, which are read before their key is checked.
func TestStalledOperatorCallsAtEntry(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 100, always(shortOf(callHeader("WithdrawKey"), 1<<20)))
}

// Guards against small calls that need much memory once they are decompressed.
func TestCompressedOperatorCallsAtEntry(t *testing.T) {
	endureAtEntry(t, smallPlainEntry, 4, always(compressedCall(t, "WithdrawKey")))
}

// compressedCall is a call of 64 MiB before its compression, as many members of one stream.
func compressedCall(t *testing.T, method string) Request {
	const memberBytes, members = 1 << 20, 64
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(padding[:memberBytes])
	must.NoError(t, err)
	must.NoError(t, w.Close())
	body := bytes.Repeat(b.Bytes(), members)
	header := callHeader(method) + fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(body))
	return Request{Header: header, Body: body}
}

// Guards against memory that fills with the headers of requests whose bodies stop short.
func TestStalledJobBodiesWithLargeHeaders(t *testing.T) {
	large := begin("POST", "/v1/jobs", authorized("X-Filler", strings.Repeat("x", plainHeader))...)
	endureAtEntry(t, smallPlainEntry, 800, always(shortOf(large, 100)))
}

// Guards against memory that fills with the headers of many streams on few connections.
func TestHeadersOfManyStreamsAtEntry(t *testing.T) {
	fields := append([]string{"authorization", "Bearer " + crowding}, largeField()...)
	endureAtEntry(t, smallPlainEntry, 30, always(Request{Body: streams(250, "/v1/jobs", fields...)}))
}

// Guards against clients that hold every descriptor with bodies that stop short.
func TestMoreStalledJobBodiesThanDescriptors(t *testing.T) {
	endureAtEntry(t, fewPlainDescriptors, 600, always(shortOf(jobHeader(), jobBytes)))
}

// Guards against clients that hold every descriptor with bodies that never end, sent byte by byte.
func TestMoreKeyedBodiesByteByByteThanDescriptors(t *testing.T) {
	endureAtEntry(t, fewPlainDescriptors, 600, func(i int) Request {
		r := shortOf(keyedHeader(i), keyedBytes)
		r.Body, r.Piece = r.Body[:100], r.Body[:1]
		return r
	})
}

// Guards against clients that hold every descriptor with connections that they don't use after one answer, or at all.
func TestMoreIdleConnectionsThanDescriptorsAtEntry(t *testing.T) {
	endureAtEntry(t, fewPlainDescriptors, 600, idle)
}

// idle returns clients that got an answer, that speak HTTP/2 and send no request, and that stop in the header of one.
func idle(i int) Request {
	switch i % 3 {
	case 0:
		return Request{Header: begin("GET", "/healthz") + "\r\n"}
	case 1:
		return Request{Body: openHTTP2()}
	}
	return Request{Body: stalledHeaders()}
}

// Guards against clients of readiness and metrics that hold every descriptor with bodies which these don't have.
func TestStalledBodiesAtReadinessOfEntry(t *testing.T) {
	e := startPlain(t, fleet.Limits{}, fewPlainDescriptors).Entries[0]
	endurePlain(t, e, readyAt(e, servedAt(e)), 600, stalledAtHealth)
}

func stalledAtHealth(i int) Request {
	return shortOf(begin("GET", healthPaths[i%len(healthPaths)]), 256<<10)
}

// Guards against memory that fills with sheets.
func TestStalledSheets(t *testing.T) {
	endureAtControl(t, smallPlainControl, 12, always(shortOf(callHeader("Apply"), sheetBytes)))
}

// Guards against memory that fills with operators' calls, whose size has no limit.
func TestStalledOperatorCalls(t *testing.T) {
	endureAtControl(t, smallPlainControl, 150, always(shortOf(callHeader("Explain"), 1<<20)))
}

// Guards against small calls that need much memory once they are decompressed.
func TestCompressedOperatorCalls(t *testing.T) {
	endureAtControl(t, smallPlainControl, 8, always(compressedCall(t, "Explain")))
}

// Guards against operators who find no descriptor left, because idle clients hold them all.
func TestMoreIdleConnectionsThanDescriptorsAtControl(t *testing.T) {
	endureAtControl(t, fewPlainDescriptors, 600, idle)
}

// Guards against clients of readiness and metrics that hold every descriptor with bodies which these don't have.
func TestStalledBodiesAtReadinessOfControl(t *testing.T) {
	c := startPlain(t, fewPlainDescriptors, fleet.Limits{}).Controls[0]
	endurePlain(t, c, readyAt(c, exportedAt(c)), 600, stalledAtHealth)
}

// Guards against bounds for crowds that refuse a single large request: a keyed body at its limit, a body that is sent on while it
// arrives and exceeds the memory of the process, a job, and a large sheet.
func TestLargeRequestsAreServedInCalm(t *testing.T) {
	f := startPlain(t, smallPlainControl, smallPlainEntry)
	e := f.Entries[0]
	post := func(path string, body []byte, extra ...string) func(time.Duration) error {
		return func(time.Duration) error {
			return exchange(http.MethodPost, "http://"+e.Public+path, body, patience, func(r *http.Request) {
				for i, fields := 0, authorized(extra...); i < len(fields); i += 2 {
					r.Header.Set(fields[i], fields[i+1])
				}
			})
		}
	}
	eventually(t, "keyed body is served", post("/q/refunds/pay", padding[:keyedBytes], "Idempotency-Key", "large"))
	eventually(t, "streamed body is served", post("/q/refunds/pay", bytes.Repeat(padding, 3)))
	job := fmt.Appendf(nil, `{"pool":"refund","command":%q}`, padding[:16<<10])
	eventually(t, "job is accepted", post("/v1/jobs", append(job, bytes.Repeat([]byte(" "), jobBytes-len(job))...)))
	var rows strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&rows, "key,,,,,%s,,,,,,,,%s\n", ordinary, digest(fmt.Sprint(i)))
	}
	sheet := filepath.Join(f.Dir, "large.csv")
	must.NoError(t, os.WriteFile(sheet, []byte(plainSheet(2)+rows.String()), 0o600))
	eventually(t, "large sheet is applied", func(time.Duration) error {
		_, err := f.Ctl("apply", sheet)
		return err
	})
}
