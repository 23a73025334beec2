package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumrouter/test/fleet"
)

const catchUpTimeout = 10 * time.Second

// controlStatus is the part of the output of laburnumctl status that concerns the control log.
type controlStatus struct {
	Controls []struct {
		Address   string `json:"address"`
		Committed uint64 `json:"committed"`
		Quorum    bool   `json:"quorum"`
	} `json:"controls"`
	Fleet struct {
		Leader      string `json:"leader"`
		SheetNumber uint64 `json:"sheetNumber,string"`
	} `json:"fleet"`
}

func (s *scenario) controlStatus() (*controlStatus, error) {
	out, err := s.ctlOutput("--output", "json", "status")
	if err != nil {
		return nil, err
	}
	status := &controlStatus{}
	return status, json.Unmarshal(out, status)
}

// committed returns the highest committed index that any control instance reports, and the one that the instance at
// address reports if it has a quorum.
func (c *controlStatus) committed(address string) (highest, own uint64) {
	for _, control := range c.Controls {
		highest = max(highest, control.Committed)
		if control.Address == address && control.Quorum {
			own = control.Committed
		}
	}
	return highest, own
}

// killLeader kills the leader of the control log, applies the next sheet through the others, starts the
// killed instance again and waits until it has caught up.
func (s *scenario) killLeader() error {
	before, err := s.controlStatus()
	if err != nil {
		return err
	}
	leader := s.fleet.control(before.Fleet.Leader)
	if leader == nil {
		return fmt.Errorf("the leader %q is not a control instance of this fleet", before.Fleet.Leader)
	}
	if err := leader.Kill(); err != nil {
		return err
	}
	next := before.Fleet.SheetNumber + 1
	if err := s.reapplySheet(next); err != nil {
		return err
	}
	if err := leader.Relaunch(s.fleet.dir, s.fleet.bin); err != nil {
		return err
	}
	return await(catchUpTimeout, func() bool {
		now, err := s.controlStatus()
		if err != nil {
			return false
		}
		highest, own := now.committed(leader.Public)
		return now.Fleet.SheetNumber == next && own == highest
	})
}

// reapplySheet applies the maintenance sheet again under another number.
func (s *scenario) reapplySheet(number uint64) error {
	rows, err := os.ReadFile(filepath.Join(s.fleet.dir, "maintenance.csv"))
	if err != nil {
		return err
	}
	path := filepath.Join(s.fleet.dir, "next.csv")
	rows = bytes.Replace(rows, []byte("sheet;2;"), fmt.Appendf(nil, "sheet;%d;", number), 1)
	if err := os.WriteFile(path, rows, 0o600); err != nil {
		return err
	}
	return s.ctl("apply", path)
}

// control returns the control instance with the given name, or nil.
func (f *quickFleet) control(name string) *fleet.Node {
	for _, n := range f.controls {
		if n.Name == name {
			return n
		}
	}
	return nil
}
