package requests

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const connsPerTarget = 2048

// result is the outcome of a request.
type result int

const (
	failed result = iota
	refused
	answered
)

// target describes where and how the requests of a load are sent.
type target struct {
	address   string
	workspace string
	ms        int // run time of a request in milliseconds
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connsPerTarget,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends one request with a small body and reads the whole answer.
func send(client *http.Client, t target) result {
	url := fmt.Sprintf("http://%s/q/checks/x?ms=%d", t.address, t.ms)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("lot 4711, checked by the qualified person"))
	if err != nil {
		return failed
	}
	req.Header.Set("Authorization", "Bearer "+t.workspace)
	resp, err := client.Do(req)
	if err != nil {
		return failed
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return failed
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return answered
	case http.StatusServiceUnavailable:
		return refused
	}
	return failed
}

// tally counts the outcomes of requests. Results may be added concurrently.
type tally struct {
	mu      sync.Mutex
	counts  map[result]int
	latency []time.Duration // of answered requests
}

func newTally() *tally { return &tally{counts: make(map[result]int)} }

func (t *tally) add(r result, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[r]++
	if r == answered {
		t.latency = append(t.latency, took)
	}
}

// within returns the number of answers that took no longer than d.
func (t *tally) within(d time.Duration) int {
	n := 0
	for _, l := range t.latency {
		if l <= d {
			n++
		}
	}
	return n
}

// quantile returns a quantile of the latencies in milliseconds.
func (t *tally) quantile(q float64) float64 {
	if len(t.latency) == 0 {
		return 0
	}
	slices.Sort(t.latency)
	return float64(t.latency[int(q*float64(len(t.latency)-1))].Microseconds()) / 1000
}

// closedLoad runs a number of callers for a duration, each of which sends its next request when the last one has
// ended. Requests that end later are not counted, because the loads that run beside this one have ended by then.
func closedLoad(ctx context.Context, t target, callers int, d time.Duration) *tally {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	out := newTally()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				begin := time.Now()
				r := send(client, t)
				if ctx.Err() != nil {
					return
				}
				out.add(r, time.Since(begin))
				if r != answered {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	return out
}

// phase is a part of an open load with a constant rate.
type phase struct {
	rate     float64 // requests a second
	duration time.Duration
}

// openLoad sends requests to the targets in turn, at the rates of the phases, without waiting for answers.
func openLoad(ctx context.Context, targets []target, phases []phase) *tally {
	client := newClient()
	defer client.CloseIdleConnections()
	out := newTally()
	var group sync.WaitGroup
	next := time.Now()
	for _, p := range phases {
		gap := time.Duration(float64(time.Second) / p.rate)
		for end := next.Add(p.duration); next.Before(end) && ctx.Err() == nil; next = next.Add(gap) {
			time.Sleep(time.Until(next))
			t := targets[out.nextNumber()%len(targets)]
			group.Go(func() {
				begin := time.Now()
				r := send(client, t)
				out.add(r, time.Since(begin))
			})
		}
	}
	group.Wait()
	return out
}

// nextNumber returns the number of the next request of an open load, counted under the key -1, which is no result.
func (t *tally) nextNumber() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[-1]++
	return t.counts[-1]
}
