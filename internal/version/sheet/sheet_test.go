package sheet

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

var update = flag.Bool("update", false, "write the generated table into docs/SHEET.md")

func example(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("../../../examples", name))
	must.NoError(t, err)
	return data
}

// TestParseExports parses the example sheets in the forms in which spreadsheets export them; all forms of a sheet
// must have the same digest.
func TestParseExports(t *testing.T) {
	for _, name := range []string{"drenq.csv", "kljuc.csv"} {
		data := example(t, name)
		cfg, err := Parse(bytes.NewReader(data))
		must.NoError(t, err)
		must.Len(t, 5, cfg.Pools)
		must.Len(t, 6, cfg.Teams)

		text := strings.ReplaceAll(string(data), ";", ",")
		quoted := strings.NewReplacer(",", `","`, "\n", "\"\n\"").Replace(strings.TrimSuffix(text, "\n"))
		exports := map[string]string{
			"byte order mark":  "\xef\xbb\xbf" + text,
			"CRLF":             strings.ReplaceAll(text, "\n", "\r\n"),
			"semicolons":       strings.ReplaceAll(text, ",", ";"),
			"declared":         "sep=;\r\n" + strings.ReplaceAll(text, ",", ";"),
			"tabs":             strings.ReplaceAll(text, ",", "\t"),
			"quoted":           `"` + quoted + `"`,
			"trailing columns": strings.ReplaceAll(text, "\n", ",,,\n"),
			"no-break space":   strings.ReplaceAll(text, "yes", "\u00a0yes\u202f"),
			"blank rows":       strings.ReplaceAll(text, "\n", "\n,,\n\n# note\n"),
		}
		for how, export := range exports {
			got, err := Parse(strings.NewReader(export))
			must.NoError(t, err, must.Sprint(how))
			must.Eq(t, cfg.Digest, got.Digest, must.Sprint(how))
		}
	}
}

func TestParseRejectsOtherEncodings(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"utf-16 little endian", "\xff\xfek\x00i\x00", "UTF-16"},
		{"utf-16 big endian", "\xfe\xff\x00k\x00i", "UTF-16"},
		{"utf-16 without mark", "k\x00i\x00n\x00", "UTF-16"},
		{"latin-1", "kind,name\nteam,perfumer\xeda\n", `row 2: read "team,perfumer?a": the file is not UTF-8`},
	}
	for _, tt := range tests {
		_, err := Parse(strings.NewReader(tt.text))
		must.ErrorContains(t, err, tt.want, must.Sprint(tt.name))
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	const text = `kind,number,name,pool,team,share,limit,instances,service
sheet,0,,,,,,,
pool,,Drums,,,,,7,drum-log
team,,soap,,,0,,,
queue,,q1,nowhere,,,,,
whale,,,,,,,,
pool,,spare,,x,,,1,spare
pool,,big,,,,,1.000,big,beyond
pool,,many,,,,,"1` + "\u00a0" + `000",big
pool,,half,,,,,"12,0",big
pool,,bare,,,,,1,a"b
pool,,all,,,,,1000000,big
`
	_, err := Parse(strings.NewReader(text))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	want := []string{
		`row 1, column instances: read "1000008": all pools together have at most`,
		`row 2, column number: read "0": must be a whole number from 1 to 9007199254740992`,
		`row 3, column name: read "Drums"`,
		`row 4, column share: read "0"`,
		`row 4, column limit`,
		`row 5, column pool: read "nowhere": no row of kind pool has this name`,
		`row 6, column kind: read "whale": allowed are`,
		`row 7, column team: read "x": rows of kind pool have no such field`,
		`row 8, column instances: read "1.000": must be a whole number from 0 to 1000000 in digits alone`,
		`row 8, column 10: read "beyond": the first row names no such column`,
		`row 9, column instances: read "1\u00a0000": must be a whole number from 0 to 1000000 in digits alone`,
		`row 10, column instances: read "12,0": must be a whole number from 0 to 1000000 in digits alone`,
		`row 11: bare " in non-quoted`,
	}
	for _, w := range want {
		must.StrContains(t, faults.Error(), w)
	}
	must.Len(t, len(want), faults)
	must.True(t, sort.SliceIsSorted(faults, func(i, j int) bool { return faults[i].Row < faults[j].Row }))
}

func TestParseRejectsOverlappingWindows(t *testing.T) {
	text := string(example(t, "kljuc.csv"))
	header, _, _ := strings.Cut(text, "\n")
	fields := strings.Split(header, ",")
	line := func(name, pool, start, end string) string {
		record := make([]string, len(fields))
		for i, f := range fields {
			record[i] = map[string]string{"kind": "maintenance", "name": name, "pool": pool, "start": start, "end": end}[f]
		}
		return strings.Join(record, ",") + "\n"
	}
	first := line("a", "", "2026-12-03T22:00:00Z", "2026-12-04T02:00:00Z")
	_, err := Parse(strings.NewReader(text + first + line("b", "", "2026-12-04T01:00:00Z", "2026-12-04T03:00:00Z")))
	must.ErrorContains(t, err, "overlaps maintenance a")
	_, err = Parse(strings.NewReader(text + first + line("b", "", "2026-12-04T02:00:00Z", "2026-12-04T03:00:00Z")))
	must.NoError(t, err)
}

func TestWriteRoundTrip(t *testing.T) {
	for _, cfg := range []*laburnumv1.Configuration{parsedExample(t, "drenq.csv"), parsedExample(t, "kljuc.csv"), fullConfiguration()} {
		var text bytes.Buffer
		must.NoError(t, Write(&text, cfg))
		again, err := Parse(&text)
		must.NoError(t, err)
		must.Eq(t, cfg.Digest, again.Digest)
		must.NoError(t, Verify(cfg))
	}
}

func TestVerifyRejectsInvalidConfiguration(t *testing.T) {
	cfg := fullConfiguration()
	cfg.Queues[0].Pool = "nowhere"
	cfg.Digest = Digest(cfg)
	must.ErrorContains(t, Verify(cfg), "no row of kind pool has this name")
	cfg = fullConfiguration()
	cfg.Teams[0].Limit++
	must.ErrorContains(t, Verify(cfg), "digest")
}

func parsedExample(t testing.TB, name string) *laburnumv1.Configuration {
	cfg, err := Parse(bytes.NewReader(example(t, name)))
	must.NoError(t, err)
	return cfg
}

// fullConfiguration returns a configuration that fills every field.
func fullConfiguration() *laburnumv1.Configuration {
	cfg := &laburnumv1.Configuration{
		SheetNumber: 1 << 53,
		Pools: []*laburnumv1.Pool{{Name: "p", Service: "s", Instances: 4, MinAvailable: 3, Spare: true,
			MaxInstances: 9, MaxRackUnavailable: 2}},
		Queues: []*laburnumv1.Queue{{Name: "q", Pool: "p", Open: true, Team: "t", MaxWaitMs: 1500, MaxRunMs: 7_200_001,
			MaxWaiting: 7, Idempotent: true}},
		Teams:  []*laburnumv1.Team{{Name: "t", Share: 3, Limit: 5, WhenCutOff: laburnumv1.CutOffPolicy_CUT_OFF_POLICY_REFUSE}},
		Keys:   []*laburnumv1.Key{{Team: "t", Sha256: bytes.Repeat([]byte{0xab}, 32)}},
		Shares: []*laburnumv1.PoolShare{{Team: "t", Pool: "p", Share: 8}},
		Maintenance: []*laburnumv1.Maintenance{{Name: "m", Pool: "p", StartUnix: 1_800_000_000, EndUnix: 1_800_003_600,
			MaxStep: 2, DrainSeconds: 90}},
	}
	cfg.Digest = Digest(cfg)
	return cfg
}

// TestFieldsMatchReaders compares the documented columns of each kind with those that its reader reads.
func TestFieldsMatchReaders(t *testing.T) {
	documented := make(map[string][]string)
	for _, f := range Fields() {
		documented[f.Kind] = append(documented[f.Kind], f.Column)
	}
	for kind, read := range kindReaders {
		p := &parser{cfg: &laburnumv1.Configuration{}, definedInRow: make(map[string]int), columns: map[string]int{}}
		for i, column := range columnOrder {
			p.columns[column] = i
		}
		r := &rowReader{parser: p, row: 1, record: filledRecord(), used: map[string]bool{}}
		read(r)
		var used []string
		for column := range r.used {
			used = append(used, column)
		}
		sort.Strings(used)
		sort.Strings(documented[kind])
		must.Eq(t, used, documented[kind], must.Sprint(kind))
	}
}

// filledRecord returns a record with a value in every column, so that the readers read optional references too.
func filledRecord() []string {
	record := make([]string, len(columnOrder))
	for i := range record {
		record[i] = "1"
	}
	return record
}

func TestGrammarIsDocumented(t *testing.T) {
	const begin, end = "<!-- fields -->\n", "<!-- /fields -->"
	path := "../../../docs/SHEET.md"
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	before, rest, found := strings.Cut(string(data), begin)
	must.True(t, found)
	table, after, found := strings.Cut(rest, end)
	must.True(t, found)
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(before+begin+Grammar()+end+after), 0o600))
		return
	}
	must.Eq(t, Grammar(), table)
}

func TestWarnings(t *testing.T) {
	cfg := fullConfiguration()
	must.SliceEmpty(t, Warnings(cfg))
	cfg.Teams = append(cfg.Teams, &laburnumv1.Team{Name: "mute", Share: 1, Limit: 1})
	list := strings.Join(Warnings(cfg), "\n")
	must.StrContains(t, list, "workspace mute has neither a key nor an open queue")
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "drenq.csv"))
	f.Add([]byte("sep=;\nkind;number\nsheet;1\n"))
	f.Add([]byte("kind\tname\t\nteam\t\"a\n"))
	f.Add([]byte("\xef\xbb\xbfkind,number\r\nsheet,1\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse(bytes.NewReader(data))
		if err == nil {
			must.NoError(t, Verify(cfg))
		}
	})
}
