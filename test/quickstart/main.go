// Command quickstart runs a small fleet on loopback, exercises its main functions and prints the results.
//
// It starts the built programs as separate processes, applies a sheet, sends real requests, withdraws a key, runs jobs,
// maintains a rack and takes a server out under load, kills the leader and stops everything gracefully. It exits with 0
// if all checks passed.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

type commandLine struct {
	Bin      string `help:"Folder of the built programs." default:"bin" type:"existingdir"`
	Examples string `help:"Folder of the example sheets." default:"examples" type:"existingdir"`
	Keep     bool   `help:"Keep the folder with settings, data and logs."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli)
	if err := run(&cli); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart: failed:", err)
		os.Exit(1)
	}
	fmt.Println("quickstart: all held")
}

func run(cli *commandLine) error {
	dir, err := os.MkdirTemp("", "laburnum-quickstart-")
	if err != nil {
		return err
	}
	bin, err := filepath.Abs(cli.Bin)
	if err != nil {
		return err
	}
	f := newFleet(dir, bin)
	scenario := &scenario{fleet: f, sheet: filepath.Join(cli.Examples, "drenq.csv")}
	err = scenario.run()
	stopErr := f.stop()
	scenario.report()
	if err == nil {
		err = stopErr
	}
	if err == nil {
		err = scenario.verify()
	}
	if err != nil || cli.Keep {
		fmt.Println("logs are in", dir)
		return err
	}
	return os.RemoveAll(dir)
}
