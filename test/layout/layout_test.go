// Package layout checks the order of the folders below internal, each of which holds the packages whose state has one
// lifetime: a package imports only packages with a lifetime equal to its own or longer.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "laburnumrouter/internal/"

// lifetimes lists the folders below internal from the shortest lifetime to the longest.
var lifetimes = []string{"request", "connection", "version", "process"}

// lifetimeRank returns the index in lifetimes of a path below internal, or -1 for the packages that assemble programs.
func lifetimeRank(path string) int {
	first, _, _ := strings.Cut(path, "/")
	for i, lifetime := range lifetimes {
		if first == lifetime {
			return i
		}
	}
	return -1
}

func TestPackagesImportOnlyEqualOrLongerLifetimes(t *testing.T) {
	const root = "../../internal"
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		rel, err := filepath.Rel(root, path)
		must.NoError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			target, internal := strings.CutPrefix(imported, module)
			if internal && lifetimeRank(filepath.ToSlash(rel)) >= 0 && lifetimeRank(target) < lifetimeRank(filepath.ToSlash(rel)) {
				t.Errorf("%s imports %s, which has a shorter lifetime", rel, imported)
			}
		}
		return nil
	})
	must.NoError(t, err)
	must.Greater(t, 50, files)
}
