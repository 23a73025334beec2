package product

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"laburnumrouter/internal/version/sheet"
	"laburnumrouter/test/fleet"
	"laburnumrouter/test/measure/recorder"
)

const (
	// binFolder holds the built programs. It is relative to the folder in which "make measure" runs.
	binFolder     = "bin"
	backendSecret = "measure-backend-key"
	settleTime    = 10 * time.Second
	observeTime   = 12 * time.Second
	applyTimeout  = 60 * time.Second
	// sheetsObserved sheets are applied within observeTime. That is about the rate of changes to design for.
	sheetsObserved       = 2
	inForceTargetSeconds = 10 // from the apply command until the sheet is in force in every data centre
)

// processes holds the control and entry programs of a fleet, in all its data centres.
type processes struct {
	size     size
	dir      string
	controls []*fleet.Node
	entries  []*fleet.Node
}

// measureProcesses runs the programs at each size and records the resources that the processes use.
func measureProcesses(ctx context.Context, r *recorder.Recorder) error {
	for _, s := range sizes {
		dir, err := os.MkdirTemp("", "laburnum-measure-")
		if err != nil {
			return err
		}
		p := &processes{size: s, dir: dir}
		err = p.run(ctx, r)
		if err := errors.Join(err, p.stop(), os.RemoveAll(dir)); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}

func (p *processes) run(ctx context.Context, r *recorder.Recorder) error {
	if err := p.start(); err != nil {
		return err
	}
	if err := p.apply(1); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	announced := announce(ctx, p.entries, p.size)
	time.Sleep(settleTime)
	before, err := p.usage()
	if err != nil {
		return err
	}
	begin, announcedBefore := time.Now(), announced.Load()
	slowest, err := p.applyAtIntervals()
	if err != nil {
		return err
	}
	after, err := p.usage()
	if err != nil {
		return err
	}
	elapsed := time.Since(begin)
	p.record(r, before, after, elapsed)
	r.Add(recorder.Figure{Area: area, Name: "announcements answered, " + p.size.String(), Unit: "1/s",
		Value: float64(announced.Load()-announcedBefore) / elapsed.Seconds()})
	r.Add(recorder.Figure{Area: area, Name: "sheet from command to in force everywhere, " + p.size.String(), Unit: "s",
		Value: slowest.Seconds(), Target: inForceTargetSeconds, HasTarget: true})
	return nil
}

// record records, for each role, the highest usage of any process in it.
func (p *processes) record(r *recorder.Recorder, before, after map[string]usage, elapsed time.Duration) {
	type highest struct{ core, resident, live, bytes float64 }
	roles := make(map[string]*highest)
	for name, a := range after {
		role := p.role(name)
		if roles[role] == nil {
			roles[role] = &highest{}
		}
		h := roles[role]
		h.core = max(h.core, (a.processor-before[name].processor).Seconds()/elapsed.Seconds()*100)
		h.resident = max(h.resident, float64(a.resident)/1e6)
		h.live = max(h.live, float64(a.liveHeapBytes)/1e6)
		h.bytes = max(h.bytes, float64(a.bytes-before[name].bytes)/elapsed.Seconds())
	}
	for _, role := range []string{"entry", "relay", "voter", "leader"} {
		h := roles[role]
		if h == nil {
			continue
		}
		name := role + ", " + p.size.String()
		r.Add(recorder.Figure{Area: area, Name: name, Unit: "% of a core", Value: h.core, Target: coreTargetPercent, HasTarget: true})
		r.Add(recorder.Figure{Area: area, Name: name, Unit: "MB resident", Value: h.resident, Target: memoryTargetMB, HasTarget: true})
		r.Add(recorder.Figure{Area: area, Name: name, Unit: "MB live heap", Value: h.live})
		r.Add(recorder.Figure{Area: area, Name: name + ", read and written", Unit: "bytes/s", Value: h.bytes, Target: bytesPerSecondTarget, HasTarget: true})
	}
}

func (p *processes) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%p.size.dataCentres) }

// createNodes reserves the addresses of all control and entry instances.
func (p *processes) createNodes() error {
	for i := range p.size.controls {
		n, err := fleet.NewNode("laburnum-control", fmt.Sprintf("control-%d", i), p.dataCentre(i))
		if err != nil {
			return err
		}
		p.controls = append(p.controls, n)
	}
	for i := range p.size.entries {
		n, err := fleet.NewNode("laburnum-entry", fmt.Sprintf("entry-%02d", i), p.dataCentre(i))
		if err != nil {
			return err
		}
		p.entries = append(p.entries, n)
	}
	return nil
}

func (p *processes) start() error {
	bin, err := filepath.Abs(binFolder)
	if err != nil {
		return err
	}
	if err := p.createNodes(); err != nil {
		return err
	}
	for _, n := range p.controls {
		settings := n.Settings() + fmt.Sprintf("data_dir = %q\n", filepath.Join(p.dir, n.Name)) + n.PeerSettings("control", p.controls)
		if err := n.Launch(p.dir, bin, settings); err != nil {
			return err
		}
	}
	sum := sha256.Sum256([]byte(backendSecret))
	for _, n := range p.entries {
		settings := n.Settings() + fmt.Sprintf("backend_key_sha256 = %q\n", hex.EncodeToString(sum[:])) +
			n.PeerSettings("control", p.controls) + n.PeerSettings("entry", p.entries)
		if err := n.Launch(p.dir, bin, settings); err != nil {
			return err
		}
	}
	return nil
}

func (p *processes) stop() error {
	var all []error
	for _, n := range append(append([]*fleet.Node(nil), p.entries...), p.controls...) {
		all = append(all, n.Stop())
	}
	return errors.Join(all...)
}

// apply applies the sheet with this number and waits until it is in force. Consecutive sheets differ in one limit.
func (p *processes) apply(number uint64) error {
	cfg := p.size.configuration(number)
	cfg.Teams[0].Limit += uint32(number)
	cfg.Digest = sheet.Digest(cfg)
	var text bytes.Buffer
	if err := sheet.Write(&text, cfg); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "sheet.csv")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	addresses := make([]string, 0, len(p.controls))
	for _, n := range p.controls {
		addresses = append(addresses, n.Public)
	}
	out, err := exec.Command(filepath.Join(binFolder, "laburnumctl"), "--control", strings.Join(addresses, ","),
		"--timeout", applyTimeout.String(), "apply", path, "--wait", "in-force").CombinedOutput()
	if err != nil {
		return fmt.Errorf("apply: %w: %s", err, out)
	}
	return nil
}

// applyAtIntervals applies sheetsObserved sheets at equal intervals within observeTime. It returns the longest time
// that a sheet took to be in force.
func (p *processes) applyAtIntervals() (time.Duration, error) {
	slowest := time.Duration(0)
	for i := range uint64(sheetsObserved) {
		begin := time.Now()
		if err := p.apply(2 + i); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(begin))
		time.Sleep(max(0, observeTime/sheetsObserved-time.Since(begin)))
	}
	return slowest, nil
}
