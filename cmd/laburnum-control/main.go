// Command laburnum-control runs a control instance: it replicates the control log, and the leader plans assignments of
// instances, maintenance waves and jobs.
package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"laburnumrouter/internal/control"
	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/jobcontrol"
	"laburnumrouter/internal/process/program"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/platform"
)

func main() {
	s, j := control.DefaultSettings(), jobcontrol.DefaultSettings()
	program.MainModes("laburnum-control",
		program.Mode{Settings: s, Node: &s.Node, Run: func(p *program.Process) error {
			c, err := control.New(s, p.Log)
			if err != nil {
				return err
			}
			return c.Run(p.Context)
		}},
		program.Mode{Name: "jobs", Settings: j, Node: &j.Node, Run: func(p *program.Process) error {
			// The seeds are read from the settings file when they are needed; the default action of SIGHUP would end the process.
			signal.Ignore(syscall.SIGHUP)
			return jobcontrol.Run(p.Context, j, jobDependencies(j, p.SettingsPath), p.Log)
		}},
	)
}

// jobDependencies returns the dependencies of package jobcontrol, implemented for the users' platform.
func jobDependencies(s *jobcontrol.Settings, settingsPath string) jobcontrol.Dependencies {
	deps := jobcontrol.Dependencies{
		ReloadSeeds: func() ([]string, error) {
			fresh := jobcontrol.DefaultSettings()
			err := settings.Load(settingsPath, fresh)
			return fresh.Seeds, err
		},
		Servers: platform.NewServerClient(),
		Public: func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
			return platform.ControlHandler(do)
		},
	}
	if s.MachinesAddress != "" {
		deps.Machines = platform.NewMachineClient(s.MachinesAddress)
	}
	return deps
}
