package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"laburnumrouter/internal/version/sheet"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type checkCommand struct {
	Sheet string `arg:"" type:"existingfile" help:"Sheet (CSV)."`
}

// checkResult is the output of check.
type checkResult struct {
	Number      uint64   `json:"number"`
	Digest      string   `json:"digest"`
	Pools       int      `json:"pools"`
	Queues      int      `json:"queues"`
	Workspaces  int      `json:"teams"`
	Keys        int      `json:"keys"`
	Maintenance int      `json:"maintenance"`
	Warnings    []string `json:"warnings"`
}

func readSheet(path string) (*laburnumv1.Configuration, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return sheet.Parse(file)
}

// warnings lists valid but probably unintended rows, and maintenance plans that can't be carried out.
func warnings(cfg *laburnumv1.Configuration) []string {
	list := sheet.Warnings(cfg)
	for _, problem := range wave.FindProblems(cfg, nil) {
		list = append(list, problem.String())
	}
	return list
}

// Run checks a sheet.
func (c *checkCommand) Run(cli *commandLine) error {
	cfg, err := readSheet(c.Sheet)
	if err != nil {
		return err
	}
	result := &checkResult{
		Number:      cfg.SheetNumber,
		Digest:      hex.EncodeToString(cfg.Digest),
		Pools:       len(cfg.Pools),
		Queues:      len(cfg.Queues),
		Workspaces:  len(cfg.Teams),
		Keys:        len(cfg.Keys),
		Maintenance: len(cfg.Maintenance),
		Warnings:    warnings(cfg),
	}
	return cli.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "sheet %d is in order: %d pools, %d queues, %d workspaces, %d keys, %d maintenance plans\n",
			result.Number, result.Pools, result.Queues, result.Workspaces, result.Keys, result.Maintenance)
		for _, warning := range result.Warnings {
			fmt.Fprintln(w, "warning:", warning)
		}
	})
}
