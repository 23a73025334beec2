package requestid

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestIDsAreUniqueAndParseBack(t *testing.T) {
	source := NewGenerator("entry-1", 1790000000000)
	first, second := source.Next("soap-lab"), source.Next("soap-lab")
	must.NotEq(t, first.String(), second.String())
	parsed, err := Parse(second.String())
	must.NoError(t, err)
	must.Eq(t, second, parsed)
	must.Eq(t, "entry-1.mubbs7i8.2.soap-lab", second.String())
}

func TestParseRejectsMalformedIDs(t *testing.T) {
	for _, s := range []string{"", "a.b.c", "a.1.2.", ".1.2.t", "a.1.2.t.x", "a.-1.2.t", "a.1.!.t", "5f1e0c0e-8a53-4d0a-9d2a-1b1f0c7c9a11"} {
		_, err := Parse(s)
		must.Error(t, err, must.Sprint(s))
	}
}
