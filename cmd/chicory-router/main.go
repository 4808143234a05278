// Command chicory-router runs a router: it serves callers, selects targets and
// recovers generations and calls from failures.
package main

import (
	"os"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/router"
	"github.com/chicoryswitch/chicoryswitch/internal/process/run"
)

const example = `  id: r1
  availability_zone: a
  caller_address: 10.0.1.6:8000
  peer_address: 10.0.1.6:7100
  monitor_address: 10.0.1.6:7300
  control:
    - {id: c1, address: "10.0.1.5:7100"}
    - {id: c2, address: "10.0.2.5:7100"}
    - {id: c3, address: "10.0.3.5:7100"}
  keys: {certificate: r1.pem, key: r1-key.pem, authority: ca.pem}
  resume_key_file: resume.key`

func main() {
	server := run.Server{
		Name:    "chicory-router",
		Role:    "router",
		Example: example,
		Settings: func() any {
			s := router.Defaults()
			return &s
		},
		ID: func(s any) string { return s.(*router.Settings).ID },
		Start: func(s any, log *logging.Logger) (run.Process, error) {
			p, err := router.Start(*s.(*router.Settings), log)
			if err != nil {
				return run.Process{}, errors.Trace(err)
			}
			return run.Process{Stop: p.Stop, Failed: p.Failed()}, nil
		},
	}
	os.Exit(server.Main(os.Args[1:]))
}
