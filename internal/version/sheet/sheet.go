// Package sheet reads and writes the configuration that operators keep as a CSV sheet.
//
// The first row names the columns; the kind column selects which fields each further row has.
// Parse reports all faults of a sheet at once, each with row and column.
package sheet

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sheet")

const kindColumn = "kind"

// MaxBytes is the maximum size of a sheet.
const MaxBytes = 32 << 20

// Fault is one error in a sheet.
type Fault struct {
	Row     int    // 1-based line of the file
	Column  string // name of the column, empty for the whole row
	Read    string // content of the field, or of the line if Column is empty
	Problem string
}

// String formats the fault as one line.
func (f Fault) String() string {
	if f.Column == "" && f.Read == "" {
		return fmt.Sprintf("row %d: %s", f.Row, f.Problem)
	}
	if f.Column == "" {
		return fmt.Sprintf("row %d: read %q: %s", f.Row, f.Read, f.Problem)
	}
	return fmt.Sprintf("row %d, column %s: read %q: %s", f.Row, f.Column, f.Read, f.Problem)
}

// Faults is the error that Parse returns for a faulty sheet.
type Faults []Fault

// Error returns a heading and one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("sheet has %d fault(s); nothing was applied", len(f)))
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a sheet in UTF-8, with or without byte order mark, delimited by commas, semicolons or tabs.
// If the content is invalid, the error is of type Faults.
func Parse(r io.Reader) (*laburnumv1.Configuration, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxBytes {
		return nil, Error.New("the sheet is larger than %d bytes", MaxBytes)
	}
	p := &parser{cfg: &laburnumv1.Configuration{}, definedInRow: make(map[string]int)}
	if fault := encodingFault(data); fault != nil {
		return nil, Faults{*fault}
	}
	p.parseRows(bytes.TrimPrefix(data, byteOrderMark))
	p.checkReferences()
	p.applyLimits()
	p.checkTotals()
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Row < p.faults[j].Row })
		return nil, p.faults
	}
	p.cfg.Digest = Digest(p.cfg)
	return p.cfg, nil
}

// Digest returns the SHA-256 of a configuration with its rows in canonical order and without its digest field.
func Digest(cfg *laburnumv1.Configuration) []byte {
	content := proto.Clone(cfg).(*laburnumv1.Configuration)
	content.Digest = nil
	Sort(content)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil // encoding fails only for invalid UTF-8, which the parser rejects
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

type parser struct {
	cfg            *laburnumv1.Configuration
	columns        map[string]int
	faults         Faults
	definedInRow   map[string]int // "kind name" -> row
	refs           []reference
	limits         []workspaceLimit
	hasSheetNumber bool
	skippedLines   int // lines before the first one that is passed to the CSV reader
}

// workspaceLimit is a row of kind limit. It is applied once all workspaces are read.
type workspaceLimit struct {
	workspace string
	limit     uint32
}

// reference is a name in one row that another row must define.
type reference struct {
	row    int
	column string
	kind   string
	name   string
}

func (p *parser) fault(row int, column, read, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Read: read, Problem: fmt.Sprintf(format, args...)})
}

func (p *parser) parseRows(data []byte) {
	comma, declared := delimiter(data)
	if declared {
		_, data, _ = bytes.Cut(data, []byte("\n"))
		p.skippedLines = 1
	}
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = comma
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = comma != '\t'
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.csvFault(err)
			continue
		}
		line, _ := reader.FieldPos(0)
		p.parseRecord(line+p.skippedLines, record)
	}
	if p.columns == nil {
		p.fault(1, "", "", "the sheet is empty; the first row must name the columns")
		return
	}
	if !p.hasSheetNumber {
		p.fault(1, "", "", "no row of kind sheet gives the sheet's number")
	}
}

func (p *parser) csvFault(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.fault(parse.Line+p.skippedLines, "", "", "%v; a field that contains a quote must be quoted, and the quote doubled", parse.Err)
		return
	}
	p.fault(0, "", "", "%v", err)
}

func (p *parser) parseRecord(row int, record []string) {
	if isBlank(record) || strings.HasPrefix(record[0], "#") {
		return
	}
	if p.columns == nil {
		p.parseHeader(row, record)
		return
	}
	r := &rowReader{parser: p, row: row, record: record, used: map[string]bool{kindColumn: true}}
	kind := strings.ToLower(r.raw(kindColumn))
	read, ok := kindReaders[kind]
	if !ok {
		p.fault(row, kindColumn, kind, "allowed are %s", strings.Join(kindNames(), ", "))
		return
	}
	read(r)
	r.rejectUnused(kind)
	r.rejectUnnamed()
}

func (p *parser) parseHeader(row int, record []string) {
	p.columns = make(map[string]int, len(record))
	for i, name := range record {
		name = strings.ToLower(strings.TrimSpace(name))
		if name == "" {
			continue
		}
		if !knownColumns[name] {
			p.fault(row, name, name, "unknown column; allowed are %s", strings.Join(columnOrder, ", "))
		}
		if _, duplicate := p.columns[name]; duplicate {
			p.fault(row, name, name, "column is named twice")
		}
		p.columns[name] = i
	}
	if _, ok := p.columns[kindColumn]; !ok {
		p.fault(row, kindColumn, "", "the column is missing")
	}
}

func isBlank(record []string) bool {
	for _, field := range record {
		if strings.TrimSpace(field) != "" {
			return false
		}
	}
	return true
}

// define records that a row defines a name of a kind, or a fault if the name is already defined.
func (p *parser) define(row int, kind, name string) {
	id := kind + " " + name
	if first, twice := p.definedInRow[id]; twice {
		p.fault(row, "name", name, "%s is already defined in row %d", kind, first)
		return
	}
	p.definedInRow[id] = row
}

func (p *parser) checkReferences() {
	for _, ref := range p.refs {
		if _, ok := p.definedInRow[ref.kind+" "+ref.name]; !ok {
			p.fault(ref.row, ref.column, ref.name, "no row of kind %s has this name", ref.kind)
		}
	}
}

func (p *parser) applyLimits() {
	limits := make(map[string]uint32, len(p.limits))
	for _, l := range p.limits {
		limits[l.workspace] = l.limit
	}
	for _, workspace := range p.cfg.Teams {
		if limit, ok := limits[workspace.Name]; ok {
			workspace.Limit = limit
		}
	}
	for _, workspace := range p.cfg.Teams {
		if workspace.Limit == 0 {
			p.fault(p.definedInRow["team "+workspace.Name], "limit", "", "workspace %s has no limit; give one here or in a row of kind limit", workspace.Name)
		}
	}
}
