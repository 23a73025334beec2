package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/soak/history"
)

const (
	maxBodyBytes    = 1 << 20
	maxWait         = 2 * time.Second
	readHeaderLimit = 5 * time.Second
	// drainTime is how long a worker goes on after its announcement that it drains was acknowledged (drain_ms), and
	// drainLimit how long it waits for its runs to end and for their acknowledgement.
	drainTime  = 2 * time.Second
	drainLimit = 8 * time.Second
	shortWait  = 20 * time.Millisecond
)

// Serve serves orders on a listener and announces the worker until ctx ends; then the worker drains and leaves.
func Serve(ctx context.Context, w *Worker, l net.Listener, b *Announcer) error {
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: readHeaderLimit}
	work, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { w.tick(work); return nil })
	group.Go(func() error { b.run(work, w); return nil })
	group.Go(func() error {
		<-ctx.Done()
		w.drain(b)
		stop()
		b.leave()
		return server.Close()
	})
	return group.Wait()
}

// drain announces that the worker drains, and waits until that is acknowledged and its runs have ended.
func (w *Worker) drain(b *Announcer) {
	limit := time.Now().Add(drainLimit)
	b.draining.Store(true)
	for b.drainedAt.Load() == 0 && time.Now().Before(limit) {
		time.Sleep(shortWait)
	}
	time.Sleep(drainTime)
	for !w.idle(history.Now()) && time.Now().Before(limit) {
		time.Sleep(shortWait)
	}
}

// tick ends runs in time while no request asks.
func (w *Worker) tick(ctx context.Context) {
	for {
		w.mu.Lock()
		w.advance(history.Now())
		next := w.nextEnd()
		w.mu.Unlock()
		pause := shortWait
		if next != 0 {
			pause = min(pause, max(time.Millisecond, time.Duration(next-history.Now())))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle(w, mux, outside.PathStart, func(_ context.Context, o outside.StartOrder) (int, any) {
		now := history.Now()
		status, reason := w.start(o, now)
		return status, map[string]any{"clock_ms": w.clockMS(now), "reason": reason}
	})
	handle(w, mux, outside.PathStop, func(_ context.Context, o outside.StartOrder) (int, any) {
		now := history.Now()
		if !w.stop(o.Task, o.Run, o.Fence, now) {
			return http.StatusConflict, map[string]any{"clock_ms": w.clockMS(now), "reason": "fence"}
		}
		return http.StatusOK, map[string]any{"clock_ms": w.clockMS(now)}
	})
	handle(w, mux, outside.PathHold, w.serveHold)
	handle(w, mux, outside.PathPace, func(_ context.Context, _ outside.StartOrder) (int, any) {
		return http.StatusOK, map[string]any{"clock_ms": w.clockMS(history.Now())}
	})
	return mux
}

func (w *Worker) serveHold(ctx context.Context, o outside.HoldOrder) (int, any) {
	ok, changed, listed := w.hold(o, history.Now())
	if !ok {
		return http.StatusConflict, map[string]any{"clock_ms": w.clockMS(history.Now()), "reason": "fence"}
	}
	if !listed {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)):
		case <-ctx.Done():
		}
	}
	return http.StatusOK, w.report(history.Now())
}

// handle registers an order. One that names another incarnation is answered with 421.
func handle[T any](w *Worker, mux *http.ServeMux, path string, serve func(context.Context, T) (int, any)) {
	mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
		var order T
		if err != nil || json.Unmarshal(body, &order) != nil {
			http.Error(rw, "the order can't be read", http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.settings.ID {
			http.Error(rw, "another incarnation", http.StatusMisdirectedRequest)
			return
		}
		status, answer := serve(r.Context(), order)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer)
	})
}

// stepOf returns the step of a task named ID.K.STEP.INDEX, or -1.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return -1
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return step
}

// TaskName returns the name of a task of a job without occurrences.
func TaskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }
