package ledger

import (
	"encoding/json"
	"strconv"
)

// Encode returns the JSON of a command, byte for byte as json.Marshal does. The leader encodes several thousand starts and
// ends a second; for these it avoids reflection.
func (c *Command) Encode() ([]byte, error) {
	if !c.OnlyJobs() {
		return json.Marshal(c)
	}
	b := make([]byte, 0, 256+96*(len(c.Starts)+len(c.Ends)))
	b = strconv.AppendInt(append(b, `{"NowMS":`...), c.NowMS, 10)
	var err error
	if c.Submit != nil {
		b, err = appendJSON(append(b, `,"Submit":`...), c.Submit, err)
	}
	if len(c.Submits) > 0 {
		b, err = appendJSON(append(b, `,"Submits":`...), c.Submits, err)
	}
	if c.Cancel != "" {
		b = appendString(append(b, `,"Cancel":`...), c.Cancel)
	}
	b = appendList(b, "Cancels", c.Cancels, appendString)
	if len(c.CancelsAt) > 0 {
		b, err = appendJSON(append(b, `,"CancelsAt":`...), c.CancelsAt, err)
	}
	b = appendList(b, "Begun", c.Begun, appendString)
	b = appendList(b, "Unanswered", c.Unanswered, appendStart)
	b = appendList(b, "Ends", c.Ends, appendEnd)
	b = appendList(b, "Starts", c.Starts, appendStart)
	return append(b, '}'), err
}

func appendJSON(b []byte, v any, earlier error) ([]byte, error) {
	data, err := json.Marshal(v)
	if earlier != nil {
		err = earlier
	}
	return append(b, data...), err
}

// appendList appends a field with a list; nothing if the list is empty.
func appendList[T any](b []byte, name string, list []T, element func([]byte, T) []byte) []byte {
	if len(list) == 0 {
		return b
	}
	b = append(append(append(b, `,"`...), name...), `":[`...)
	for i, v := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = element(b, v)
	}
	return append(b, ']')
}

func appendStart(b []byte, s Start) []byte {
	b = appendRun(b, s.Task, s.Run, s.Worker)
	if s.Born != 0 {
		b = strconv.AppendInt(append(b, `,"Born":`...), s.Born, 10)
	}
	return append(b, '}')
}

func appendEnd(b []byte, e End) []byte {
	b = appendString(append(appendRun(b, e.Task, e.Run, e.Worker), `,"How":`...), string(e.How))
	if e.Checkpoint != "" {
		b = appendString(append(b, `,"Checkpoint":`...), e.Checkpoint)
	}
	if e.Crash != "" {
		b = appendString(append(b, `,"Crash":`...), string(e.Crash))
	}
	return append(b, '}')
}

func appendRun(b []byte, task TaskID, run int, worker string) []byte {
	b = appendString(append(b, `{"Task":`...), task.String())
	b = strconv.AppendInt(append(b, `,"Run":`...), int64(run), 10)
	return appendString(append(b, `,"Worker":`...), worker)
}

// appendString appends a JSON string. Bytes that json.Marshal escapes or replaces are left to it.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, _ := json.Marshal(s) // a string can always be encoded
			return append(b, data...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
