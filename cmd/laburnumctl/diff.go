package main

import (
	"fmt"
	"io"

	"laburnumrouter/internal/version/sheet"
)

type diffCommand struct {
	Sheet   string `arg:"" type:"existingfile" help:"Sheet (CSV)."`
	Against string `help:"Another sheet to compare with, in place of what is in force." type:"existingfile" placeholder:"SHEET"`
}

// Run shows what a sheet would change against the configuration in force or another sheet.
func (d *diffCommand) Run(cli *commandLine) error {
	next, err := readSheet(d.Sheet)
	if err != nil {
		return err
	}
	if d.Against != "" {
		base, err := readSheet(d.Against)
		if err != nil {
			return err
		}
		return printDifference(cli, sheet.Compare(base, next, nil), warnings(next))
	}
	inForce, err := fetchInForce(&cli.connection)
	if err != nil {
		return err
	}
	status, err := fleetStatus(&cli.connection)
	if err != nil {
		return err
	}
	serving := make(map[string]uint32, len(status.Pools))
	for _, p := range status.Pools {
		serving[p.Pool] = p.Serving
	}
	changes := sheet.Compare(inForce.Configuration, next, serving)
	changes.AddOrphanedJobs(next, status.OpenJobs)
	return printDifference(cli, changes, warnings(next))
}

// difference is the JSON output of diff.
type difference struct {
	*sheet.Difference
	Warnings []string `json:"warnings"`
}

func printDifference(cli *commandLine, d *sheet.Difference, warningList []string) error {
	return cli.print(&difference{d, warningList}, func(w io.Writer) {
		fmt.Fprintf(w, "sheet %d -> %d: %d rows differ\n", d.From, d.To, len(d.Changes))
		for _, c := range d.Changes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", c.Action, c.Kind, c.Name, c.Detail)
		}
		if d.Moves > 0 {
			fmt.Fprintf(w, "moves: pools gain %d instances\n", d.Moves)
		}
		for _, wave := range d.Waves {
			fmt.Fprintln(w, "wave:", wave)
		}
		for _, risk := range d.Risks {
			fmt.Fprintln(w, "risk:", risk)
		}
		for _, warning := range warningList {
			fmt.Fprintln(w, "warning:", warning)
		}
		if d.To <= d.From {
			fmt.Fprintf(w, "note: the number is not above that of the sheet in force (%d)\n", d.From)
		}
	})
}
