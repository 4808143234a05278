// Package router assembles a router's process: the callers' listener, the paths
// of generations and calls, the connections to targets and control VMs, and the
// tasks that watch configurations and report to the leader.
package router

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/call"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
)

// Settings of a router, for example:
//
//	id: r1
//	availability_zone: a
//	caller_address: 10.0.1.6:8000
//	peer_address: 10.0.1.6:7100
//	monitor_address: 10.0.1.6:7300
//	control:
//	  - {id: c1, address: "10.0.1.5:7100"}
//	  - {id: c2, address: "10.0.2.5:7100"}
//	  - {id: c3, address: "10.0.3.5:7100"}
//	keys: {certificate: r1.pem, key: r1-key.pem, authority: ca.pem}
//	resume_key_file: resume.key
type Settings struct {
	ID               string                    `yaml:"id" settings:"required"`
	AvailabilityZone settings.AvailabilityZone `yaml:"availability_zone" settings:"required"`
	// CallerAddress serves callers (TCP; HTTP/1.1 and HTTP/2, with TLS if caller_tls is given).
	CallerAddress settings.Address `yaml:"caller_address" settings:"required"`
	// PeerAddress serves relayed watches and journals to other routers (UDP).
	PeerAddress settings.Address `yaml:"peer_address" settings:"required"`
	// MonitorAddress serves health, readiness and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// CallerTLS names the callers' certificate and key; without it callers use no TLS.
	CallerTLS *CallerTLS `yaml:"caller_tls"`
	// Control lists every control VM.
	Control []control.VM `yaml:"control" settings:"required"`
	// Relays are routers of this zone from which configurations are watched before
	// the control VMs are asked.
	Relays []settings.Address `yaml:"relays"`
	// Platform is the address of the platform's list of VMs; it may be left out.
	Platform settings.Address `yaml:"platform"`
	Keys     peer.Files       `yaml:"keys" settings:"required"`
	// ResumeKeyFile holds the secret, equal on all routers, that signs resume tokens.
	ResumeKeyFile string `yaml:"resume_key_file" settings:"required"`
	// ReportInterval is the time between two reports to the leader.
	ReportInterval settings.Duration `yaml:"report_interval"`
	// DrainTimeout bounds a graceful shutdown. Requests that are still open then are
	// cut, so it is longer than the longest generation.
	DrainTimeout settings.Duration `yaml:"drain_timeout"`

	Generation generation.Settings `yaml:"generation"`
	Calls      Calls               `yaml:"calls"`
	Routing    routing.Settings    `yaml:"routing"`
	Admission  admission.Settings  `yaml:"admission"`
	Retry      retry.Settings      `yaml:"retry"`
	Observe    observe.Settings    `yaml:"observe"`
}

// Calls bounds short calls.
type Calls struct {
	// DefaultTimeout holds when neither the call nor its route has one.
	DefaultTimeout settings.Duration `yaml:"default_timeout"`
	// MaxTimeout bounds the timeout of a call.
	MaxTimeout settings.Duration `yaml:"max_timeout"`
	// MaxPayloadBytes bounds the body of a call.
	MaxPayloadBytes int `yaml:"max_payload_bytes"`
	// MaxAttempts bounds the attempts of an idempotent call, hedges included.
	MaxAttempts int `yaml:"max_attempts"`
}

// settings returns the call path's settings; 0 means its default.
func (c Calls) settings() call.Settings {
	return call.Settings{
		DefaultTimeout:  c.DefaultTimeout.Std(),
		MaxTimeout:      c.MaxTimeout.Std(),
		MaxPayloadBytes: c.MaxPayloadBytes,
		MaxAttempts:     c.MaxAttempts,
	}
}

// CallerTLS names the PEM files for the callers' listener.
type CallerTLS struct {
	Certificate string `yaml:"certificate" settings:"required"`
	Key         string `yaml:"key" settings:"required"`
}

const (
	defaultReportInterval = 2 * time.Second
	defaultDrainTimeout   = 30 * time.Minute
)

// Defaults returns settings with every optional value set.
func Defaults() Settings {
	return Settings{
		ReportInterval: settings.Duration(defaultReportInterval),
		DrainTimeout:   settings.Duration(defaultDrainTimeout),
		Generation:     generation.DefaultSettings(),
		Routing:        routing.Defaults(),
		Admission:      admission.Defaults(),
		Retry:          retry.Defaults(),
		Observe:        observe.Defaults(),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	if len(s.Control) == 0 {
		return "control", "must list the control VMs"
	}
	if s.ReportInterval.Std() <= 0 {
		return "report_interval", "must be above 0"
	}
	return "", ""
}
