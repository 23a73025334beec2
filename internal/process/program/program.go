// Package program implements the common part of the long-running programs: command line, settings, log and signals.
package program

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/process/settings"
)

// Version is the version of all programs, set by the linker (-X).
var Version = "dev"

// Exit codes of the long-running programs.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the program stopped on an error
	ExitSettings = 2 // the settings or the command line are invalid
)

// Process holds what Main passes to a program's run function.
type Process struct {
	// Context ends when the process receives a signal to stop.
	Context context.Context
	Log     hclog.Logger
	// SettingsPath is the path of the settings file.
	SettingsPath string
}

// Mode is one way in which a program runs, with settings of its own.
type Mode struct {
	// Name selects the mode on the command line; empty for the default mode.
	Name string
	// Settings receives the decoded settings file; Node points to its common part.
	Settings settings.Checker
	Node     *settings.Node
	Run      func(*Process) error
}

type commandLine struct {
	Mode          string           `arg:"" optional:"" help:"What to run as; left out for the usual way."`
	Settings      string           `help:"Settings file (TOML)." required:"" type:"path" placeholder:"FILE"`
	CheckSettings bool             `help:"Check the settings and exit."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs a program whose settings decode into s; node is the common part of s. It does not return.
func Main(name string, s settings.Checker, node *settings.Node, run func(*Process) error) {
	MainModes(name, Mode{Settings: s, Node: node, Run: run})
}

// MainModes runs a program in the mode that the command line names. It does not return.
func MainModes(name string, modes ...Mode) {
	var cli commandLine
	parser := kong.Must(&cli, kong.Name(name), kong.Vars{"version": name + " " + Version})
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		exitWithError(name, ExitSettings, err)
	}
	modeIndex := slices.IndexFunc(modes, func(m Mode) bool { return m.Name == cli.Mode })
	if modeIndex < 0 {
		exitWithError(name, ExitSettings, fmt.Errorf("unknown mode %q", cli.Mode))
	}
	mode := modes[modeIndex]
	if err := settings.Load(cli.Settings, mode.Settings); err != nil {
		exitWithError(name, ExitSettings, err)
	}
	if cli.CheckSettings {
		fmt.Println("settings are in order")
		os.Exit(ExitOK)
	}
	ctx, cancel := server.SignalContext()
	defer cancel()
	file := os.Stderr
	if mode.Node.Log.Stdout {
		file = os.Stdout
	}
	out := logging.NewBoundedWriter(file)
	log := logging.New(out, name, mode.Node.Name, mode.Node.Log.Level)
	code := ExitOK
	if err := mode.Run(&Process{Context: ctx, Log: log, SettingsPath: cli.Settings}); err != nil {
		log.Error("stopped on an error", "error", err)
		code = ExitFailed
	}
	out.Close()
	os.Exit(code)
}

func exitWithError(name string, code int, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(code)
}
