package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/test/measure/recorder"
)

func TestWriteCreatesFilesAndMissedListsMissedTargets(t *testing.T) {
	r := &recorder.Recorder{}
	r.Add(recorder.Figure{Area: "limits", Name: "use", Unit: "%", Value: 80, Baseline: 40, BaselineName: "static", Target: 90, HasTarget: true, Better: recorder.Higher})
	r.Add(recorder.Figure{Area: "limits", Name: "overshoot", Value: 0, HasTarget: true})
	r.AddSeries(recorder.Series{Plot: "Limit use", Name: "escrow", XLabel: "s", YLabel: "%", Points: []recorder.Point{{X: 0, Y: 1}, {X: 1, Y: 2}}})
	dir := t.TempDir()
	must.NoError(t, Write(dir, r))
	for name, want := range map[string]string{"figures.txt": "40 (static)  2", "figures.csv": "limits,use,80,%,40 (static),2,>= 90,NO", "limit-use.svg": "<svg"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		must.NoError(t, err)
		must.StrContains(t, string(data), want)
	}
	var out bytes.Buffer
	must.Eq(t, 1, Missed(&out, r.Figures()))
	must.StrContains(t, out.String(), "limits: use: 80 %, target >= 90")
}
