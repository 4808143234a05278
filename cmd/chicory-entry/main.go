// Command chicory-entry runs an entry VM on the users' platform: it serves callers
// over HTTP/1.1 and recovers their requests from failures of targets.
package main

import (
	"os"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/process/entry"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/run"
	"github.com/chicoryswitch/chicoryswitch/platform"
)

const example = `  id: entry-a-1
  availability_zone: a
  caller_address: 10.0.1.6:8740
  ready_address: 10.0.1.6:8749
  monitor_address: 10.0.1.6:9180
  platform_address: 10.0.9.1:8742
  peer_port: 7200
  seeds: ["10.0.1.5:8748", "10.0.2.5:8748", "10.0.3.5:8748"]
  stop_grace: 8s
  retry: {ratio: 0.8, extra: 150, window: 10s}`

func main() {
	server := run.Server{
		Name:    "chicory-entry",
		Role:    "entry",
		Example: example,
		Settings: func() any {
			s := entry.Defaults()
			return &s
		},
		ID: func(s any) string { return s.(*entry.Settings).ID },
		Start: func(s any, log *logging.Logger) (run.Process, error) {
			set := s.(*entry.Settings)
			p, err := entry.Start(*set, platform.New(string(set.PlatformAddress)), log)
			if err != nil {
				return run.Process{}, errors.Trace(err)
			}
			return run.Process{Stop: p.Stop, Reload: func(s any) { p.Reload(*s.(*entry.Settings)) }}, nil
		},
	}
	os.Exit(server.Main(os.Args[1:]))
}
