// Command laburnum-entry takes callers' requests and routes them to backend servers. In mode jobs it takes jobs and forwards
// them to the leader of the control instances.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/entry"
	"laburnumrouter/internal/jobcontrol"
	"laburnumrouter/internal/jobentry"
	"laburnumrouter/internal/process/program"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/platform"
)

func main() {
	s, j := entry.DefaultSettings(), jobentry.DefaultSettings()
	program.MainModes("laburnum-entry",
		program.Mode{Settings: s, Node: &s.Node, Run: func(p *program.Process) error {
			e, err := entry.New(s, p.Log)
			if err != nil {
				return err
			}
			return e.Run(p.Context)
		}},
		program.Mode{Name: "jobs", Settings: j, Node: &j.Node, Run: func(p *program.Process) error {
			return jobentry.Run(p.Context, j, jobDependencies(p), jobcontrol.PeerAddresses, p.Log)
		}},
	)
}

// jobDependencies returns the dependencies of package jobentry, implemented for the users' platform. On SIGHUP, the seeds (addresses of
// control instances) are read from the settings file again.
func jobDependencies(p *program.Process) jobentry.Dependencies {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range hup {
			reload <- struct{}{}
		}
	}()
	return jobentry.Dependencies{
		Callers: func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
			return platform.CallerHandler(do)
		},
		Ready:  platform.ReadinessHandler,
		Reload: reload,
		ReloadSeeds: func() ([]string, error) {
			fresh := jobentry.DefaultSettings()
			err := settings.Load(p.SettingsPath, fresh)
			return fresh.Seeds, err
		},
	}
}
