package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	rackSize    = 2 // servers in a rack of the quick start
	waveTimeout = 15 * time.Second
	planName    = "monthly"
)

// maintainRack applies a sheet whose maintenance window is open, waits under load until the wave has drained, rebooted
// and readmitted the instances of a rack, and pauses the wave.
func (s *scenario) maintainRack() error {
	path := filepath.Join(s.fleet.dir, "maintenance.csv")
	if err := writeMaintenanceSheet(s.sheet, path); err != nil {
		return err
	}
	if err := s.ctl("apply", path); err != nil {
		return err
	}
	deadline := time.Now().Add(waveTimeout)
	for s.maintained < rackSize {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d instances were maintained within %s", s.maintained, rackSize, waveTimeout)
		}
		if err := s.load(concurrency); err != nil {
			return err
		}
		if err := s.countMaintained(); err != nil {
			return err
		}
	}
	return s.ctl("wave", "pause", planName)
}

// countMaintained reads from laburnumctl wave status how many instances the wave has maintained.
func (s *scenario) countMaintained() error {
	out, err := s.ctlOutput("--output", "json", "wave", "status")
	if err != nil {
		return err
	}
	var status struct {
		Waves []struct {
			Done int `json:"done"`
		} `json:"waves"`
	}
	if err := json.Unmarshal(out, &status); err != nil {
		return err
	}
	for _, w := range status.Waves {
		s.maintained = max(s.maintained, w.Done)
	}
	return nil
}

// writeMaintenanceSheet copies a sheet under number 2 with a maintenance window that is open now. The fleet of the quick
// start is too small for the availability budgets of the sheet, so min_available is set to 0.
func writeMaintenanceSheet(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	reader := csv.NewReader(in)
	reader.Comma = ';'
	rows, err := reader.ReadAll()
	if err != nil {
		return err
	}
	for _, row := range rows[1:] {
		editMaintenanceRow(rows[0], row)
	}
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(out)
	writer.Comma = ';'
	if err := writer.WriteAll(rows); err != nil {
		return err
	}
	return out.Close()
}

func editMaintenanceRow(header, row []string) {
	set := func(column, value string) { row[slices.Index(header, column)] = value }
	now := time.Now().UTC()
	switch row[slices.Index(header, "kind")] {
	case "sheet":
		set("number", "2")
	case "pool":
		set("min_available", "0")
	case "maintenance":
		set("start", now.Add(-time.Minute).Format(time.RFC3339))
		set("end", now.Add(time.Hour).Format(time.RFC3339))
		set("max_step", fmt.Sprint(rackSize))
	}
}
