package main

import (
	"context"
	"os"

	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type exportCommand struct {
	File string `help:"File to write; standard output if not given." type:"path" placeholder:"FILE"`
}

func fetchInForce(c *connection) (*laburnumv1.ExportResponse, error) {
	return call(c, func(ctx context.Context, client operatorClient) (*laburnumv1.ExportResponse, error) {
		return client.Export(ctx, &laburnumv1.ExportRequest{})
	})
}

// Run writes the configuration in force as a sheet. Applying that sheet would change nothing.
func (e *exportCommand) Run(cli *commandLine) error {
	resp, err := fetchInForce(&cli.connection)
	if err != nil {
		return err
	}
	if cli.Output == formatJSON {
		return printJSON(resp)
	}
	if e.File == "" {
		return sheet.Write(os.Stdout, resp.Configuration)
	}
	file, err := os.Create(e.File)
	if err != nil {
		return err
	}
	if err := sheet.Write(file, resp.Configuration); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
