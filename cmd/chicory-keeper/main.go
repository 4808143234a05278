// Command chicory-keeper runs a control VM on the users' platform: it stores declared
// configurations in a replicated log and streams them to entry VMs.
package main

import (
	"os"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/keeper"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/run"
	"github.com/chicoryswitch/chicoryswitch/platform"
)

const example = `  id: control-a-1
  operator_address: 10.0.1.5:8748
  monitor_address: 10.0.1.5:9180
  platform_address: 10.0.9.1:8742
  peer_port: 7200
  seeds: ["10.0.1.5:8748", "10.0.2.5:8748", "10.0.3.5:8748"]
  may_found: true
  data_folder: /data/keeper`

func main() {
	server := run.Server{
		Name:     "chicory-keeper",
		Role:     "keeper",
		Example:  example,
		Settings: func() any { return &keeper.Settings{} },
		ID:       func(s any) string { return s.(*keeper.Settings).ID },
		Start: func(s any, log *logging.Logger) (run.Process, error) {
			set := s.(*keeper.Settings)
			p, err := keeper.Start(*set, platform.New(string(set.PlatformAddress)), log)
			if err != nil {
				return run.Process{}, errors.Trace(err)
			}
			return run.Process{Stop: p.Stop}, nil
		},
	}
	os.Exit(server.Main(os.Args[1:]))
}
