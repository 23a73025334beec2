package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const formatJSON = "json"

// print writes v as JSON or, with table output, what render writes.
func (c *commandLine) print(v any, render func(w io.Writer)) error {
	if c.Output == formatJSON {
		return printJSON(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	render(w)
	return w.Flush()
}

func printJSON(v any) error {
	if message, ok := v.(proto.Message); ok {
		data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(message)
		if err != nil {
			return err
		}
		_, err = fmt.Println(string(data))
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
