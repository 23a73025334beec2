package main

import (
	"net"

	"github.com/zeebo/errs"

	"laburnumrouter/internal/process/server"
	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/worker"
)

type workerCommand struct {
	Name         string   `required:""`
	Life         int      `required:""`
	ID           string   `required:"" name:"id"`
	Listen       string   `required:""`
	Address      string   `required:""`
	Service      string   `required:""`
	Zone         string   `required:""`
	Capacity     int64    `required:""`
	Rate         float64  `required:""`
	Guards       bool     ``
	Controls     []string `required:""`
	RealControls []string `required:""`
	History      string   `required:""`
	Plant        string   ``
}

// Run runs a stand-in of a backend server until SIGTERM.
func (c *workerCommand) Run() error {
	ctx, cancel := server.SignalContext()
	defer cancel()
	out, err := history.Create(c.History)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	w := worker.New(worker.Settings{
		Name: c.Name, Life: c.Life, ID: c.ID, Capacity: c.Capacity, Guards: c.Guards, Rate: c.Rate, Plant: c.Plant,
	}, out)
	announcer := &worker.Announcer{
		ID: c.ID, Service: c.Service, Address: c.Address, DataCentre: c.Zone, Controls: c.Controls, RealControls: c.RealControls,
	}
	return errs.Combine(worker.Serve(ctx, w, listener, announcer), out.Close())
}
