// Package failure checks the guarantees of the system with real processes that crash, freeze or are cut off from each
// other.
package failure

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
)

const (
	waitLimit      = 30 * time.Second
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 20 * time.Second
	// viewLifetime is directory.ViewLifetime: how long a server may still get new requests after it announced that it
	// leaves.
	viewLifetime = 3 * time.Second
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laburnum-failure-")
	if err == nil {
		binDir = dir
		err = harness.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// twoDataCentres is a fleet in two data centres; two of the three voters of the control log, a quorum, are in dc1.
var twoDataCentres = harness.Shape{
	Controls: []string{"dc1", "dc1", "dc2"},
	Entries:  []string{"dc1", "dc1", "dc2", "dc2"},
	Servers:  3,
	Services: []string{"refund"},
}

// startFleet starts a fleet, applies sheet 1 with the extra rows and waits until every entry instance answers.
func startFleet(t *testing.T, shape harness.Shape, rows ...string) *harness.Fleet {
	t.Helper()
	f, err := harness.New(t.TempDir(), binDir, shape)
	must.NoError(t, err)
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Log(f.DumpLogs())
		}
	})
	must.NoError(t, f.Start())
	for _, c := range f.Controls {
		eventually(t, c.Name+" is ready", c.Ready)
	}
	apply(t, f, 1, rows...)
	for _, e := range f.Entries {
		eventually(t, e.Name+" is ready", e.Ready)
		eventually(t, e.Name+" answers", func() bool { return send(e, request{workspace: "soap"}).answered() })
	}
	return f
}

// sheetText returns a sheet with one pool and two workspaces. A data centre that is cut off serves soap and refuses oils.
func sheetText(number int, rows ...string) string {
	text := fmt.Sprintf(`kind,number,name,service,pool,team,instances,min_available,max_wait,max_run,share,limit,when_cut_off,sha256
sheet,%d
pool,,refund,refund,,,6,1
queue,,refunds,,refund,,,,5s,20s
team,,soap,,,,,,,,1,12,serve
team,,oils,,,,,,,,1,12,refuse
key,,,,,soap,,,,,,,,%s
key,,,,,oils,,,,,,,,%s
`, number, digest("soap"), digest("oils"))
	return text + strings.Join(rows, "\n")
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func writeSheet(t *testing.T, f *harness.Fleet, number int, rows ...string) string {
	t.Helper()
	file, err := os.CreateTemp(f.Dir, fmt.Sprintf("sheet-%d-*.csv", number))
	must.NoError(t, err)
	defer file.Close()
	_, err = file.WriteString(sheetText(number, rows...))
	must.NoError(t, err)
	return file.Name()
}

func apply(t *testing.T, f *harness.Fleet, number int, rows ...string) {
	t.Helper()
	path := writeSheet(t, f, number, rows...)
	eventually(t, "sheet is committed", func() bool {
		_, err := f.Ctl("apply", path)
		return err == nil
	})
}

// eventually fails the test unless ok returns true within waitLimit.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", waitLimit, what)
		}
		time.Sleep(pollInterval)
	}
}

// request is a POST that a caller sends.
type request struct {
	workspace string
	id        string // Idempotency-Key
	ms        int    // how long the stand-in server takes to answer
}

// answer is the response that a caller got, or the error.
type answer struct {
	status  int
	outcome string
	body    string
	err     error // the connection failed or the answer was cut
}

func (a answer) answered() bool { return a.err == nil && a.status == http.StatusOK }

func (a answer) notRun() bool { return a.err == nil && a.outcome == "not-run" }

var client = &http.Client{
	Timeout:   requestTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second},
}

func send(e *harness.Node, r request) answer {
	url := fmt.Sprintf("http://%s/q/refunds/pay?ms=%d", e.Public, r.ms)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("deposit "+r.id))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.workspace)
	if r.id != "" {
		req.Header.Set("Idempotency-Key", r.id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get("Laburnum-Outcome"), body: string(body), err: err}
}

// load sends requests from several concurrent callers until it is stopped, and records the answers.
type load struct {
	stopped  chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	answers  []answer
	observer func(request, answer)
}

// observe sets the function that is called with each further answer and its request.
func (l *load) observe(f func(request, answer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = f
}

func (l *load) add(r request, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	if l.observer != nil {
		l.observer(r, a)
	}
}

// startLoad starts callers that share the requests newRequest(0), newRequest(1) and so on; each caller sends its own
// one after the other. Request i goes to entry i modulo the number of entries.
func startLoad(entries []*harness.Node, callers int, newRequest func(i int) request) *load {
	l := &load{stopped: newStopChannel()}
	for c := range callers {
		l.wg.Go(func() {
			for i := c; ; i += callers {
				select {
				case <-l.stopped:
					return
				default:
				}
				r := newRequest(i)
				l.add(r, send(entries[i%len(entries)], r))
			}
		})
	}
	return l
}

func newStopChannel() chan struct{} { return make(chan struct{}) }

// stop ends the load and returns all answers.
func (l *load) stop() []answer {
	close(l.stopped)
	l.wg.Wait()
	return l.answers
}

// summary counts answers by status and outcome, for the report of a failed test.
func summary(answers []answer) map[string]int {
	counts := make(map[string]int)
	for _, a := range answers {
		reason, _, _ := strings.Cut(a.body, "\",")
		if a.answered() {
			reason = ""
		}
		counts[fmt.Sprint(a.status, " ", a.outcome, " ", reason, " ", a.err)]++
	}
	return counts
}

// count returns how many answers satisfy ok.
func count(answers []answer, ok func(answer) bool) int {
	n := 0
	for _, a := range answers {
		if ok(a) {
			n++
		}
	}
	return n
}

// counts mirrors the stand-in's answer: what its servers really ran.
type counts struct {
	Requests int            `json:"requests"`
	Runs     map[string]int `json:"runs"`
	Peak     map[string]int `json:"peak"`
	ByServer map[string]int `json:"byServer"`
	Cut      int            `json:"cut"`
}

func standinCounts(t *testing.T, n *harness.Node) counts {
	t.Helper()
	resp, err := http.Get("http://" + n.Public + "/standin/counts")
	must.NoError(t, err)
	defer resp.Body.Close()
	var c counts
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}
