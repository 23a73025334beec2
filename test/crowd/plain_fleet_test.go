package crowd

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/fleet"
	"laburnumrouter/test/harness"
)

// Workspaces of a plain fleet. Crowds use the key of the first one, ordinary callers that of the second one.
const crowding, ordinary = "soap", "oils"

// padding is what bodies consist of.
var padding = bytes.Repeat([]byte("x"), 32<<20)

// startPlain starts a control and an entry instance and two backend servers without mode jobs, and waits until a request is served.
func startPlain(t *testing.T, control, entry fleet.Limits) *harness.Fleet {
	t.Helper()
	f, err := harness.New(t.TempDir(), binDir, harness.Shape{
		Controls: []string{"dc1"}, Entries: []string{"dc1"}, Servers: 2, Services: []string{"refund"},
	})
	must.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Log(f.DumpLogs())
		}
	})
	f.Controls[0].Limits, f.Entries[0].Limits = control, entry
	must.NoError(t, f.Start())
	sheet := filepath.Join(f.Dir, "sheet.csv")
	must.NoError(t, os.WriteFile(sheet, []byte(plainSheet(1)), 0o600))
	eventually(t, "sheet is applied", func(time.Duration) error {
		_, err := f.Ctl("apply", sheet)
		return err
	})
	eventually(t, "request is served", servedAt(f.Entries[0]))
	return f
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func plainSheet(number int) string {
	return fmt.Sprintf(`kind,number,name,service,pool,team,instances,min_available,max_wait,max_run,share,limit,when_cut_off,sha256
sheet,%[5]d
pool,,refund,refund,,,2,1
queue,,refunds,,refund,,,,5s,20s
queue,,patient,,refund,,,,60s,20s
team,,%[1]s,,,,,,,,1,8,serve
team,,%[2]s,,,,,,,,1,8,serve
key,,,,,%[1]s,,,,,,,,%[3]s
key,,,,,%[2]s,,,,,,,,%[4]s
`, crowding, ordinary, digest(crowding), digest(ordinary), number)
}

// servedAt returns the request of an ordinary caller at an entry instance.
func servedAt(e *harness.Node) func(time.Duration) error {
	return func(timeout time.Duration) error {
		return exchange(http.MethodPost, "http://"+e.Public+"/q/refunds/pay", []byte("deposit"), timeout, func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer "+ordinary)
		})
	}
}

// exportedAt returns an operator's call at a control instance.
func exportedAt(c *harness.Node) func(time.Duration) error {
	return func(timeout time.Duration) error {
		return exchange(http.MethodPost, "http://"+c.Public+operatorService+"Export", []byte("{}"), timeout, func(r *http.Request) {
			r.Header.Set("Content-Type", "application/json")
		})
	}
}

// readyAt returns a check that a process serves readiness and metrics, and then ask.
func readyAt(n *harness.Node, ask func(time.Duration) error) func(time.Duration) error {
	return func(timeout time.Duration) error {
		var failed error
		for _, path := range healthPaths {
			failed = errors.Join(failed, exchange(http.MethodGet, "http://"+n.Public+path, nil, timeout, func(*http.Request) {}))
		}
		return errors.Join(failed, ask(timeout))
	}
}

var healthPaths = []string{"/readyz", "/metrics", "/healthz"}

const operatorService = "/laburnum.v1.OperatorService/"

// endurePlain checks that a process endures n clients that send request to its public listener.
func endurePlain(t *testing.T, p *harness.Node, ask func(time.Duration) error, n int, request func(i int) Request) {
	t.Helper()
	g := Target{
		PID: p.PID(), Listeners: []string{p.Public, p.Peer}, MemoryMB: p.Limits.MemoryMB, Descriptors: p.Limits.Descriptors, Ordinary: ask,
	}
	g.Endure(t, func() *Crowd { return Open(p.Public, n, dialers, request) }, nil)
}

// endureAtEntry is endurePlain for the entry instance of a fleet, which it starts.
func endureAtEntry(t *testing.T, limits fleet.Limits, n int, request func(i int) Request) {
	t.Helper()
	e := startPlain(t, fleet.Limits{}, limits).Entries[0]
	endurePlain(t, e, servedAt(e), n, request)
}

// endureAtControl is endurePlain for the control instance of a fleet, which it starts.
func endureAtControl(t *testing.T, limits fleet.Limits, n int, request func(i int) Request) {
	t.Helper()
	c := startPlain(t, limits, fleet.Limits{}).Controls[0]
	endurePlain(t, c, exportedAt(c), n, request)
}

// begin returns the header of a request without the empty line at its end.
func begin(method, path string, fields ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for i := 0; i < len(fields); i += 2 {
		text += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return text
}

// shortOf is a request whose body stops a byte before its declared length.
func shortOf(header string, length int) Request {
	return Request{Header: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", header, length), Body: padding[:length-1]}
}

// chunkedOf is a request with a body of length bytes, in chunks of size bytes, that stops before the end of the last one.
func chunkedOf(header string, length, size int) Request {
	body := bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", size, padding[:size]), length/size)
	return Request{Header: header + "Transfer-Encoding: chunked\r\n\r\n", Body: body[:len(body)-3]}
}
