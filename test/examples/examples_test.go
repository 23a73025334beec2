// Package examples tests that the annotated example settings load and show every key, and that the documentation
// lists every reason of a refusal and every metric and has no broken links.
package examples

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/control"
	"laburnumrouter/internal/entry"
	"laburnumrouter/internal/jobcontrol"
	"laburnumrouter/internal/jobentry"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/standin"
)

func TestExampleSettingsLoadAndShowEveryKey(t *testing.T) {
	t.Chdir("../..")
	for path, s := range map[string]settings.Checker{
		"examples/entry.toml":   entry.DefaultSettings(),
		"examples/control.toml": control.DefaultSettings(),
		"examples/standin.toml": standin.DefaultSettings(),

		"examples/jobs-entry.toml":   jobentry.DefaultSettings(),
		"examples/jobs-control.toml": jobcontrol.DefaultSettings(),
	} {
		must.NoError(t, settings.Load(path, s))
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		for _, key := range keys(reflect.TypeOf(s).Elem()) {
			shown := regexp.MustCompile(`(?m)^(# )?(\[+)?` + key + `( =|\])`).Match(text)
			must.True(t, shown, must.Sprintf("%s lacks the key %s: add it with a comment and its default", path, key))
		}
	}
}

// keys lists the TOML keys of a settings struct and of the structs and lists within it.
func keys(s reflect.Type) []string {
	var list []string
	for i := range s.NumField() {
		field := s.Field(i)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if tag != "" {
			list = append(list, tag)
		}
		if inner.Kind() == reflect.Struct && inner != reflect.TypeFor[settings.Secret]() {
			list = append(list, keys(inner)...)
		}
	}
	return list
}
