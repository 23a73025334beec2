package examples

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	// refusalReason matches the reason of a refusal in the code: in a call, a constant or a literal.
	refusalReason = regexp.MustCompile(`outcome\.(?:Refuse|RefuseWithUnknownOutcome)\([\w.]+, "([a-z-]+)"|Reason\w* += "([a-z-]+)"|Reason: "([a-z-]+)"`)
	// metric matches the name of a counter, gauge, timer or histogram in the code.
	metric       = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("(\w+)"`)
	relativeLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// TestEveryRefusalIsDocumented compares the reasons in the code with docs/PROTOCOL.md.
func TestEveryRefusalIsDocumented(t *testing.T) {
	requireDocumented(t, "docs/PROTOCOL.md", refusalReason, "internal/entry", "internal/request")
}

// TestEveryMetricIsDocumented compares the metrics in the code with docs/OPERATIONS.md and the pages of docs/operations.
func TestEveryMetricIsDocumented(t *testing.T) {
	requireDocumented(t, "docs/OPERATIONS.md", metric, "internal/entry", "internal/control", "internal/dispatch", "internal/jobentry", "internal/orderforward")
}

func requireDocumented(t *testing.T, page string, pattern *regexp.Regexp, folders ...string) {
	t.Chdir("../..")
	text, err := os.ReadFile(page)
	must.NoError(t, err)
	walk(t, "docs/operations", ".md", func(_, topic string) { text = append(text, topic...) })
	found := 0
	for _, folder := range folders {
		walk(t, folder, ".go", func(path, code string) {
			for _, match := range pattern.FindAllStringSubmatch(code, -1) {
				name := strings.Join(match[1:], "")
				found++
				// The page may show a metric with the prefix of its scope.
				shown := regexp.MustCompile("`(?:[a-z]+_)?" + name + "[^a-z_]").Match(text)
				must.True(t, shown, must.Sprintf("%s lacks %s of %s", page, name, path))
			}
		})
	}
	must.Positive(t, found)
}

// TestRelativeLinksOfPagesResolve follows every relative link of the pages.
func TestRelativeLinksOfPagesResolve(t *testing.T) {
	t.Chdir("../..")
	check := func(path, text string) {
		for _, match := range relativeLink.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			must.NoError(t, err, must.Sprint(path))
		}
	}
	walk(t, "docs", ".md", check)
	for _, path := range []string{"README.md", "CONTRIBUTING.md"} {
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		check(path, string(text))
	}
}

func walk(t *testing.T, folder, suffix string, f func(path, text string)) {
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err == nil {
			f(path, string(text))
		}
		return err
	})
	must.NoError(t, err)
}
