package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"laburnumrouter/test/harness"
	"laburnumrouter/test/measure/recorder"
)

const (
	recordRounds = 400
	warmUpRounds = 40
)

var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * callers}}

// send sends a request that runs for ms milliseconds and reads the whole answer. An empty key sends no idempotency
// key.
func send(ctx context.Context, e *harness.Node, key string, ms int) error {
	url := fmt.Sprintf("http://%s/q/refunds/work?ms=%d", e.Public, ms)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("refund"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+workspace)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", e.Name, resp.Status)
	}
	return nil
}

// load lets all callers send requests to the entries, each one after the other, for a duration. Requests above the
// limit are refused, so errors are ignored.
func load(ctx context.Context, entries []*harness.Node, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = send(ctx, entries[c%len(entries)], "", runMS)
			}
		})
	}
	wg.Wait()
}

// event is an event as a stand-in reports it: the start or end of a request.
type event struct {
	At        int64  `json:"at"`
	Workspace string `json:"team"`
	Delta     int    `json:"delta"`
}

// fetchEvents returns the starts and ends of requests at the backend servers of all data centres, ordered by time.
func fetchEvents(f *harness.Fleet) ([]event, error) {
	var all []event
	for _, n := range f.Standins {
		resp, err := client.Get("http://" + n.Public + "/standin/events")
		if err != nil {
			return nil, err
		}
		var events []event
		err = json.NewDecoder(resp.Body).Decode(&events)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all, nil
}

// usage describes the running requests of the workspace.
type usage struct {
	mean    float64 // over the averaging window
	peak    int
	reached time.Time // when the running requests first used useTargetPercent of the limit; zero if they never did
	points  []event   // Delta is the number of running requests from At on
}

// replay computes the number of running requests over time. Its mean is weighted by time from begin to end.
func replay(events []event, begin, end time.Time) usage {
	var u usage
	running, last, sum := 0, begin.UnixNano(), 0.0
	for _, e := range events {
		if at := min(e.At, end.UnixNano()); at > last {
			sum += float64(running) * float64(at-last)
			last = at
		}
		running += e.Delta
		u.peak = max(u.peak, running)
		if u.reached.IsZero() && 100*running >= useTargetPercent*limit {
			u.reached = time.Unix(0, e.At)
		}
		u.points = append(u.points, event{At: e.At, Delta: running})
	}
	u.mean = sum / float64(end.Sub(begin))
	return u
}

// series returns the running requests since begin for the plot.
func (u *usage) series(begin time.Time) recorder.Series {
	s := recorder.Series{Plot: "Limit use after a spike in one data centre", Name: "running", XLabel: "seconds", YLabel: "requests"}
	for _, p := range u.points {
		if p.At >= begin.UnixNano() {
			s.Points = append(s.Points, recorder.Point{X: float64(p.At-begin.UnixNano()) / 1e9, Y: float64(p.Delta)})
		}
	}
	return s
}

// measureRecords sends requests of no duration one after the other. They take turns to have no key, a key recorded in
// the entry's data centre, one recorded in the other data centre, and one recorded in the control log.
func measureRecords(ctx context.Context, f *harness.Fleet, r *recorder.Recorder) error {
	paths := []struct{ name, prefix string }{
		{"no key", ""}, {"own data centre", "dc1/m-"}, {"other data centre", "dc2/m-"}, {"control log", "m-"},
	}
	times := make([][]time.Duration, len(paths))
	for i := range warmUpRounds + recordRounds {
		for p, path := range paths {
			key := path.prefix
			if key != "" {
				key += fmt.Sprint(i)
			}
			begin := time.Now()
			if err := send(ctx, f.Entries[0], key, 0); err != nil {
				return fmt.Errorf("%s: %w", path.name, err)
			}
			if i >= warmUpRounds {
				times[p] = append(times[p], time.Since(begin))
			}
		}
	}
	for p, path := range paths {
		for _, q := range []int{50, 99} {
			figure := recorder.Figure{
				Area: area, Name: fmt.Sprintf("request with record: %s, p%d", path.name, q), Unit: "ms", Value: quantile(times[p], q),
				Better: recorder.Lower,
			}
			if p > 0 {
				figure.Baseline, figure.BaselineName = quantile(times[0], q), "request without key"
			}
			r.Add(figure)
		}
	}
	return nil
}

// quantile returns a percentile of the durations in milliseconds.
func quantile(list []time.Duration, percent int) float64 {
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return float64(sorted[(len(sorted)-1)*percent/100].Microseconds()) / 1000
}
