// Command soak runs the programs of mode jobs as processes on loopback, injects faults that are drawn from a seed, and
// checks the history that callers, operators and backend servers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"laburnumrouter/test/soak/check"
	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/load"
	"laburnumrouter/test/soak/worker"
)

// Exit codes.
const (
	exitViolations = 1
	exitFailed     = 2 // the soak itself failed, or its settings are invalid
)

var errViolations = errs.New("rules are broken")

type commandLine struct {
	Run    runCommand    `cmd:"" default:"withargs" help:"Run a fleet under faults and check its history."`
	Check  checkCommand  `cmd:"" help:"Check a history again."`
	Worker workerCommand `cmd:"" hidden:"" help:"Run a stand-in of a backend server."`
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("soak"), kong.Vars{"plants": strings.Join(plants(), ", ")})
	err := ctx.Run()
	switch {
	case errors.Is(err, errViolations):
		os.Exit(exitViolations)
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitFailed)
	}
}

type runCommand struct {
	Seed     uint64        `help:"Seed of the faults and of the load." default:"1"`
	Duration time.Duration `help:"How long faults are injected." default:"15s"`
	Size     int           `help:"Number of processes." default:"14"`
	Bin      string        `help:"Folder with the built programs; by default they are built." type:"existingdir"`
	Out      string        `help:"Folder for the files of runs that fail." default:"soak-out" type:"path"`
	Keep     bool          `help:"Keep the files of a run that passes too."`
	Plant    string        `help:"Plant a fault into the stand-ins, to show that the checker finds it: ${plants}."`
}

// Limits of the settings.
const (
	minDuration = 2 * time.Second
	maxDuration = time.Hour
	minSize     = 8
	maxSize     = 230
)

// Validate implements kong's validation of settings.
func (r *runCommand) Validate() error {
	switch {
	case r.Duration < minDuration || r.Duration > maxDuration:
		return fmt.Errorf("--duration must be between %s and %s", minDuration, maxDuration)
	case r.Size < minSize || r.Size > maxSize:
		return fmt.Errorf("--size must be between %d and %d", minSize, maxSize)
	case r.Plant != "" && !slices.Contains(plants(), r.Plant):
		return fmt.Errorf("--plant must be one of %v", plants())
	}
	return nil
}

// plants lists all planted faults.
func plants() []string { return append(slices.Clone(load.Plants), append(worker.Plants, plantCut)...) }

type checkCommand struct {
	File string `arg:"" help:"History of a run." type:"existingfile"`
}

// Run checks a history.
func (c *checkCommand) Run() error {
	events, err := history.Load(c.File)
	if err != nil {
		return err
	}
	return printVerdict(events)
}

// printVerdict checks a history and prints a line on it, and one for each violation.
func printVerdict(events []history.Event) error {
	violations := check.Check(events)
	for _, v := range violations {
		fmt.Println(v)
	}
	fmt.Println(summary(events, len(violations)))
	if len(violations) > 0 {
		return errViolations
	}
	return nil
}

// summary describes a run on one line.
func summary(events []history.Event, violations int) string {
	var settings history.Event
	faults, calls, answered, starts := 0, 0, 0, 0
	for _, e := range events {
		switch {
		case e.Kind == history.Settings:
			settings = e
		case e.Kind == history.Fault && !e.Over:
			faults++
		case e.Kind == history.Start:
			starts++
		case e.Kind == history.Call:
			calls++
			if e.Status/100 == 2 {
				answered++
			}
		}
	}
	verdict := "passed"
	if violations > 0 {
		verdict = fmt.Sprintf("FAILED (%d)", violations)
	}
	return fmt.Sprintf("seed=%d duration=%s size=%d faults=%d calls=%d answered=%d runs=%d verdict=%s", settings.Seed,
		time.Duration(settings.MS)*time.Millisecond, settings.Size, faults, calls, answered, starts, verdict)
}
