package product

import (
	"bytes"
	"fmt"
	"time"

	"laburnumrouter/internal/version/sheet"
	"laburnumrouter/test/measure/recorder"
)

// sheetTargetMs is the longest that reading and verifying the sheet may take, in milliseconds.
const sheetTargetMs = 2000

// measureSheet times the steps of the check and apply commands: reading a sheet and verifying it.
func measureSheet(r *recorder.Recorder) error {
	for _, s := range sizes {
		cfg := s.configuration(1)
		var text bytes.Buffer
		if err := sheet.Write(&text, cfg); err != nil {
			return err
		}
		begin := time.Now()
		parsed, err := sheet.Parse(bytes.NewReader(text.Bytes()))
		if err != nil {
			return err
		}
		parse := time.Since(begin)
		begin = time.Now()
		if err := sheet.Verify(parsed); err != nil {
			return err
		}
		verify := time.Since(begin)
		r.Add(recorder.Figure{Area: area, Name: fmt.Sprintf("sheet read, %s (%d kB)", s, text.Len()/1000), Unit: "ms",
			Value: milliseconds(parse), Target: sheetTargetMs, HasTarget: true})
		r.Add(recorder.Figure{Area: area, Name: fmt.Sprintf("sheet verified by control, %s", s), Unit: "ms",
			Value: milliseconds(verify), Target: sheetTargetMs, HasTarget: true})
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
