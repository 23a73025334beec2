// Package settings decodes and checks the TOML settings of a program.
//
// Load reports every fault of a file at once, each with file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Checker is implemented by settings that can validate themselves.
type Checker interface {
	// Check reports each fault through f.
	Check(f *Faults)
}

// Fault is one error in a settings file.
type Fault struct {
	Line    int    // 1-based line of the key, or of its table if the key is absent; 0 if both are
	Key     string // dotted key
	Problem string
}

// Faults collects the faults of a settings file.
type Faults struct {
	list []Fault
}

// Add records a fault of a dotted key.
func (f *Faults) Add(key, format string, args ...any) {
	f.list = append(f.list, Fault{Key: key, Problem: fmt.Sprintf(format, args...)})
}

// List returns the faults recorded so far.
func (f *Faults) List() []Fault { return f.list }

// Load reads path into dst, which holds the defaults, and checks it.
func Load(path string, dst Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	return Decode(path, data, dst)
}

// Decode decodes data into dst and checks it. Errors contain name as the name of the file.
func Decode(name string, data []byte, dst Checker) error {
	var faults Faults
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	collectDecodeFaults(&faults, err)
	if isDecoded(err) {
		dst.Check(&faults)
	}
	if len(faults.list) == 0 {
		return nil
	}
	fillInLines(data, faults.list)
	return Error.New("%s", formatFaults(name, faults.list))
}

// isDecoded reports whether err left the settings decoded: unknown keys are faults, but the known keys are decoded.
func isDecoded(err error) bool {
	var strict *toml.StrictMissingError
	return err == nil || errors.As(err, &strict)
}

func collectDecodeFaults(f *Faults, err error) {
	if err == nil {
		return
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			f.list = append(f.list, Fault{Line: row, Key: strings.Join(strict.Errors[i].Key(), "."), Problem: "unknown key"})
		}
		return
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		f.list = append(f.list, Fault{Line: row, Key: strings.Join(dec.Key(), "."), Problem: dec.Error()})
		return
	}
	f.list = append(f.list, Fault{Problem: err.Error()})
}

// fillInLines sets the line of each fault whose key, or a table that contains it, appears in data.
func fillInLines(data []byte, faults []Fault) {
	lines := keyLines(data)
	for i := range faults {
		for key := faults[i].Key; faults[i].Line == 0 && key != ""; key = parentKey(key) {
			faults[i].Line = lines[key]
		}
	}
}

// parentKey returns the key of the table that holds key, or "".
func parentKey(key string) string { return key[:max(0, strings.LastIndexByte(key, '.'))] }

// keyLines maps each dotted key of a TOML document to its line. Element i of an array of tables is key[i].
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	elements := make(map[string]int)
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[["); ok {
			name = strings.TrimSpace(strings.SplitN(name, "]", 2)[0])
			table = Element(name, elements[name])
			elements[name]++
			lines[table] = i + 1
			continue
		}
		if name, ok := strings.CutPrefix(line, "["); ok {
			table = strings.TrimSpace(strings.SplitN(name, "]", 2)[0])
			lines[table] = i + 1
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, "#") {
			lines[strings.TrimPrefix(table+"."+strings.TrimSpace(key), ".")] = i + 1
		}
	}
	return lines
}

func formatFaults(name string, faults []Fault) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d fault(s)", len(faults))
	for _, f := range faults {
		fmt.Fprintf(&b, "\n  %s:%d: %s: %s", name, max(f.Line, 1), f.Key, f.Problem)
	}
	return b.String()
}
