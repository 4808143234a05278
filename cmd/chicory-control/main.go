// Command chicory-control runs a control VM: it replicates the configuration, the call
// ledger and the moves in a log, and serves the operators' API.
package main

import (
	"os"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/run"
)

const example = `  id: c1
  availability_zone: a
  data_folder: data/c1
  peer_address: 10.0.1.5:7100
  operator_address: 10.0.1.5:7200
  monitor_address: 10.0.1.5:7300
  control:
    - {id: c1, address: "10.0.1.5:7100"}
    - {id: c2, address: "10.0.2.5:7100"}
    - {id: c3, address: "10.0.3.5:7100"}
  keys: {certificate: c1.pem, key: c1-key.pem, authority: ca.pem}`

func main() {
	server := run.Server{
		Name:    "chicory-control",
		Role:    "control",
		Example: example,
		Settings: func() any {
			s := control.Defaults()
			return &s
		},
		ID: func(s any) string { return s.(*control.Settings).ID },
		Start: func(s any, log *logging.Logger) (run.Process, error) {
			p, err := control.Start(*s.(*control.Settings), log)
			if err != nil {
				return run.Process{}, errors.Trace(err)
			}
			return run.Process{Stop: p.Stop, Failed: p.Failed()}, nil
		},
	}
	os.Exit(server.Main(os.Args[1:]))
}
