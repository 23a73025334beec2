// Command laburnumctl is the command-line tool for operators of a fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/program"
	"laburnumrouter/internal/version/sheet"
)

// Exit codes; docs/OPERATIONS.md documents them.
const (
	exitFailed       = 1 // any other error
	exitUsage        = 2 // the command line is invalid
	exitInvalidSheet = 3 // the sheet is invalid
	exitConflict     = 4 // refused: the sheet's number is used by another sheet, or the current state doesn't permit the change
	exitUnavailable  = 5 // no control instance gave a usable answer; for the jobs commands also: none is named, or the outcome is uncertain
	exitTimeout      = 6 // committed, but not in force everywhere in time
	exitDenied       = 7 // the operator is not authenticated or not authorized
)

var (
	errConflict    = errs.Class("conflict")
	errUnavailable = errs.Class("unavailable")
	errTimeout     = errs.Class("timeout")
	errDenied      = errs.Class("denied")
)

type commandLine struct {
	connection
	Output  string           `help:"Form of the output: table or json." enum:"table,json" default:"table"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Check  checkCommand  `cmd:"" help:"Check a sheet without contacting the system."`
	Diff   diffCommand   `cmd:"" help:"Show what a sheet would change."`
	Apply  applyCommand  `cmd:"" help:"Apply a sheet."`
	Export exportCommand `cmd:"" help:"Write what is in force as a sheet."`
	Status statusCommand `cmd:"" help:"Show the state of the fleet."`
	Key    struct {
		Hash     keyHashCommand     `cmd:"" help:"Print the SHA-256 of a key read from standard input."`
		Withdraw keyWithdrawCommand `cmd:"" help:"Make a key void for good."`
	} `cmd:"" help:"Keys of teams."`
	Explain explainCommand `cmd:"" help:"Show the decisions about a subject such as instance/NAME or team/NAME."`
	Voters  struct {
		List   votersListCommand   `cmd:"" help:"Show the voters of the control log."`
		Add    votersAddCommand    `cmd:"" help:"Add a control instance, first as learner and then as voter."`
		Remove votersRemoveCommand `cmd:"" help:"Remove a voter."`
	} `cmd:"" help:"Voters of the control log."`
	Job struct {
		List   jobListCommand   `cmd:"" default:"withargs" help:"List jobs."`
		Cancel jobCancelCommand `cmd:"" help:"Cancel jobs."`
	} `cmd:"" help:"Jobs."`
	Wave struct {
		Status waveStatusCommand `cmd:"" default:"1" help:"Show the progress of waves."`
		Pause  wavePauseCommand  `cmd:"" help:"Pause a wave until an operator resumes it."`
		Resume waveResumeCommand `cmd:"" help:"Resume a wave."`
	} `cmd:"" help:"Maintenance waves."`
	Jobs struct {
		Explain jobsExplainCommand `cmd:"" help:"Show where a job's tasks are, why they wait and how runs ended."`
		Status  jobsStatusCommand  `cmd:"" help:"Show the leader, pools, queues, waves and evacuated data centres."`

		Check    jobsCheckCommand    `cmd:"" help:"Show which jobs a configuration would leave without a queue or a team; nothing is sent to be put in force."`
		Evacuate jobsEvacuateCommand `cmd:"" help:"Take a data centre out of service: no task starts there until it is restored."`
		Restore  jobsRestoreCommand  `cmd:"" help:"Take an evacuated data centre into service again."`
	} `cmd:"" help:"Control instances in mode jobs; --control names their peer_listen addresses."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print or install shell completion."`
}

// connection holds the flags for reaching control instances and authenticating to them.
type connection struct {
	Control []string      `help:"Public addresses of control instances, as IP:port." env:"LABURNUM_CONTROL" placeholder:"IP:PORT"`
	By      string        `help:"Name under which changes are recorded where operators don't authenticate." env:"USER" default:"operator"`
	KeyFile string        `help:"File with the operator's key." env:"LABURNUM_KEY_FILE" type:"path" placeholder:"FILE"`
	CA      string        `help:"Certificate authority of control (PEM); switches TLS on." env:"LABURNUM_CA" type:"path" placeholder:"FILE"`
	Cert    string        `help:"Operator's client certificate (PEM)." env:"LABURNUM_CERT" type:"path" placeholder:"FILE"`
	CertKey string        `help:"Private key of the client certificate (PEM)." env:"LABURNUM_CERT_KEY" type:"path" placeholder:"FILE"`
	Timeout time.Duration `help:"Longest wait for an answer; a second more for each MiB of a sheet." default:"10s"`

	// requestBytes is the size of a large request, which gets more time.
	requestBytes int
	base         context.Context // all calls end with it; nil means context.Background()
}

func main() {
	var cli commandLine
	parser := kong.Must(&cli, kong.Name("laburnumctl"),
		kong.Description("Drives a laburnumrouter fleet."),
		kong.Vars{"version": "laburnumctl " + program.Version})
	kongplete.Complete(parser)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "laburnumctl:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(&cli); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var faults sheet.Faults
	switch {
	case errors.As(err, &faults):
		return exitInvalidSheet
	case errConflict.Has(err):
		return exitConflict
	case errDenied.Has(err):
		return exitDenied
	case errUnavailable.Has(err):
		return exitUnavailable
	case errTimeout.Has(err):
		return exitTimeout
	}
	return exitFailed
}
