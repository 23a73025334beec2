package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/harness"
	"laburnumrouter/test/soak/faults"
	"laburnumrouter/test/soak/load"
)

// programs returns the folder of the built programs and the soak's own.
func programs(t *testing.T) (bin, soak string) {
	t.Helper()
	bin = t.TempDir()
	must.NoError(t, harness.Build(bin))
	soak = filepath.Join(bin, "soak")
	out, err := exec.Command("go", "build", "-o", soak, "laburnumrouter/test/soak").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return bin, soak
}

// playSeed runs the soak, and fails with its output if a rule is broken. The files of a run that fails are kept.
func playSeed(t *testing.T, bin, soak string, args ...string) {
	t.Helper()
	out, err := os.MkdirTemp("", "laburnum-soak-")
	must.NoError(t, err)
	text, err := exec.Command(soak, append(args, "--bin", bin, "--out", out)...).CombinedOutput()
	t.Log(string(text))
	must.NoError(t, err)
	must.NoError(t, os.RemoveAll(out))
}

// Two fixed seeds pass. All waits are bounded far above what they take, and the bounds of the rules are extended by the
// time in which the soak itself was not scheduled.
func TestFixedSeeds(t *testing.T) {
	bin, soak := programs(t)
	for _, seed := range []string{"1", "2"} {
		t.Run("seed "+seed, func(t *testing.T) {
			t.Parallel()
			playSeed(t, bin, soak, "--seed", seed, "--duration", "15s", "--size", "12")
		})
	}
}

// Each seed that ever failed passes. The file names the cause of each.
func TestRegressionSeeds(t *testing.T) {
	file, err := os.Open("regressions.txt")
	must.NoError(t, err)
	defer file.Close()
	var bin, soak string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") || lines.Text() == "" {
			continue
		}
		var seed, duration, size string
		_, err := fmt.Sscan(lines.Text(), &seed, &duration, &size)
		must.NoError(t, err)
		if bin == "" {
			bin, soak = programs(t)
		}
		t.Run("seed "+seed, func(t *testing.T) {
			t.Parallel()
			playSeed(t, bin, soak, "--seed", seed, "--duration", duration, "--size", size)
		})
	}
	must.NoError(t, lines.Err())
}

func TestSettingsAreChecked(t *testing.T) {
	for _, r := range []runCommand{
		{Duration: time.Second, Size: 14},
		{Duration: 2 * time.Hour, Size: 14},
		{Duration: time.Minute, Size: 3},
		{Duration: time.Minute, Size: 500},
		{Duration: time.Minute, Size: 14, Plant: "none"},
	} {
		must.Error(t, r.Validate())
	}
	must.NoError(t, (&runCommand{Duration: time.Minute, Size: 14, Plant: plantCut}).Validate())
}

// A schedule depends on the seed only, ends in time, and empties no more disks than may be lost.
func TestScheduleIsDrawnFromSeed(t *testing.T) {
	names := faults.Names{Controls: []string{"control-1", "control-2", "control-3"}, Entries: []string{"entry-1"}, Workers: []string{"worker-1"}}
	const duration = 30 * time.Second
	for seed := range uint64(50) {
		storms := load.DrawStorms(seed, duration)
		must.Eq(t, storms, load.DrawStorms(seed, duration))
		must.SliceNotEmpty(t, storms)
		for _, s := range storms {
			must.LessEq(t, duration, s.Until)
			must.Positive(t, s.Routes)
		}
		schedule := faults.Schedule(seed, duration, names)
		must.Eq(t, schedule, faults.Schedule(seed, duration, names))
		lost := 0
		for _, f := range schedule {
			must.LessEq(t, duration, f.At+f.For)
			if f.Kind == faults.Wipe || f.Kind == faults.Flip {
				lost++
			}
		}
		must.LessEq(t, 1, lost)
		must.NotEq(t, schedule, faults.Schedule(seed+1, duration, names))
	}
}
