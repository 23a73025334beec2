package controllog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/control"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
	"laburnumrouter/test/measure/recorder"
)

const (
	instances = 3
	idleTime  = 10 * time.Second
	loadTime  = 10 * time.Second
	// changesPerDay is the rate of changes to design for. The load runs loadFactor times as fast.
	changesPerDay = 14_000
	loadFactor    = 100
	secondsPerDay = 86_400

	targetBytesPerSecond = 4_000
	targetCorePercent    = 1.7
)

// measureCosts measures three control instances on loopback: at rest, and at loadFactor times the design rate of
// changes. The cost at the design rate is extrapolated from both. Processor time is that of this process, which also
// runs the counting links and the operator's clients, divided by the number of instances.
func measureCosts(ctx context.Context, r *recorder.Recorder, dir string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	links, controls, running, err := startControls(ctx, dir)
	if err != nil {
		return err
	}
	err = recordCosts(ctx, r, links, controls)
	cancel()
	if stopErr := running.Wait(); err == nil && !errors.Is(stopErr, http.ErrServerClosed) {
		err = stopErr
	}
	return err
}

// recordCosts measures the running control instances and records their costs.
func recordCosts(ctx context.Context, r *recorder.Recorder, links []*countedLink, publics []string) error {
	clients := make([]laburnumv1connect.OperatorServiceClient, 0, instances)
	for _, address := range publics {
		clients = append(clients, laburnumv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address))
	}
	if err := awaitQuorum(ctx, clients); err != nil {
		return err
	}
	idleStart := takeSample(links)
	time.Sleep(idleTime)
	idleCost := takeSample(links).since(idleStart)

	loadStart := takeSample(links)
	latencies, err := applySheets(ctx, clients)
	if err != nil {
		return err
	}
	loadCost := takeSample(links).since(loadStart)
	atDesignRate := idleCost.extrapolate(loadCost)

	add := func(name, unit string, value, baseline, target float64, baselineName string) {
		r.Add(recorder.Figure{
			Area: area, Name: name, Unit: unit, Value: value, Baseline: baseline, BaselineName: baselineName,
			Target: target, HasTarget: target > 0,
		})
	}
	const atRest = "at rest"
	add("peer bytes a second and instance, 14,000 changes a day (extrapolated)", "B/s", atDesignRate.bytes, idleCost.bytes, targetBytesPerSecond, atRest)
	add("processor a control instance, 14,000 changes a day (extrapolated)", "% of a core", atDesignRate.core, idleCost.core, targetCorePercent, atRest)
	add(fmt.Sprintf("processor a control instance at %d times that rate", loadFactor), "% of a core", loadCost.core, idleCost.core, 0, atRest)
	slices.Sort(latencies)
	add("apply of a sheet, median", "ms", milliseconds(latencies[len(latencies)/2]), 0, 0, "")
	add("apply of a sheet, p99", "ms", milliseconds(latencies[len(latencies)*99/100]), 0, 0, "")
	return nil
}

// startControls starts control instances whose peer connections pass through links that count bytes. It returns the
// links, the public addresses and the group in which the instances run.
func startControls(ctx context.Context, dir string) ([]*countedLink, []string, *errgroup.Group, error) {
	var peers, publics []string
	for range instances {
		public, err := freeAddress()
		if err != nil {
			return nil, nil, nil, err
		}
		peer, err := freeAddress()
		if err != nil {
			return nil, nil, nil, err
		}
		publics, peers = append(publics, public), append(peers, peer)
	}
	links := make([]*countedLink, instances)
	for i := range links {
		link, err := listenCounted(ctx, peers[i])
		if err != nil {
			return nil, nil, nil, err
		}
		links[i] = link
	}
	running := new(errgroup.Group)
	for i := range instances {
		s := control.DefaultSettings()
		s.Name, s.DataCentre, s.Listen, s.PeerListen = controlName(i), "dc1", publics[i], peers[i]
		s.DataDir = filepath.Join(dir, s.Name)
		s.StopTimeout = settings.Duration(time.Second)
		for other := range instances {
			if other != i {
				s.Controls = append(s.Controls, settings.Peer{Name: controlName(other), DataCentre: "dc1", Address: links[other].address()})
			}
		}
		c, err := control.New(s, logging.Discard())
		if err != nil {
			return nil, nil, nil, err
		}
		running.Go(func() error { return c.Run(ctx) })
	}
	return links, publics, running, nil
}

// controlName returns the name of control instance i.
func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func awaitQuorum(ctx context.Context, clients []laburnumv1connect.OperatorServiceClient) error {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		status, err := clients[0].Status(ctx, &laburnumv1.StatusRequest{})
		if err == nil && status.HasQuorum {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("no quorum within %s", settleTime)
}

// applySheets applies sheets at loadFactor times the design rate, to the instances in turn, and returns how long
// each took.
func applySheets(ctx context.Context, clients []laburnumv1connect.OperatorServiceClient) ([]time.Duration, error) {
	const interval = secondsPerDay * time.Second / changesPerDay / loadFactor
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var latencies []time.Duration
	begin := time.Now()
	for number := 1; time.Since(begin) < loadTime; number++ {
		cfg := &laburnumv1.Configuration{
			SheetNumber: uint64(number),
			Pools:       []*laburnumv1.Pool{{Name: "pool", Service: "service", Instances: uint32(number)}},
		}
		cfg.Digest = sheet.Digest(cfg)
		sent := time.Now()
		client := clients[number%len(clients)]
		if _, err := client.Apply(ctx, &laburnumv1.ApplyRequest{Configuration: cfg, By: "measure"}); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(sent))
		<-ticker.C
	}
	return latencies, nil
}

// sample is the cumulative usage at a point in time.
type sample struct {
	at        time.Time
	bytes     int64 // over all links, counted once
	processor time.Duration
}

// cost is the usage of one instance.
type cost struct {
	bytes float64 // sent and received on peer links, per second
	core  float64 // percent of a core
}

// takeSample reads the processor time of this process and the bytes counted by the links.
func takeSample(links []*countedLink) sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s := sample{at: time.Now(), processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano())}
	for _, l := range links {
		s.bytes += l.bytes.Load()
	}
	return s
}

// since returns the cost per instance since an earlier sample. Each byte counts twice: at its sender and at its
// receiver.
func (s sample) since(earlier sample) cost {
	elapsed := s.at.Sub(earlier.at).Seconds()
	return cost{
		bytes: 2 * float64(s.bytes-earlier.bytes) / elapsed / instances,
		core:  100 * (s.processor - earlier.processor).Seconds() / elapsed / instances,
	}
}

// extrapolate returns the cost at the design rate, given the cost at rest and the cost at loadFactor times that rate.
func (c cost) extrapolate(loaded cost) cost {
	return cost{
		bytes: c.bytes + (loaded.bytes-c.bytes)/loadFactor,
		core:  c.core + (loaded.core-c.core)/loadFactor,
	}
}
