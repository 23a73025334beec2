// Command laburnum-standin simulates backend servers and the platform, for tests and the quick start.
package main

import (
	"laburnumrouter/internal/process/program"
	"laburnumrouter/internal/standin"
)

func main() {
	s := standin.DefaultSettings()
	program.Main("laburnum-standin", s, &s.Node, func(p *program.Process) error {
		st, err := standin.New(s, p.Log)
		if err != nil {
			return err
		}
		return st.Run(p.Context)
	})
}
