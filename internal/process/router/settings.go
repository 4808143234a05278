// Package router implements the process of a router: the callers' listener, the
// services for generations and calls, the connections to targets and control VMs, and
// the tasks that watch configurations and report to the leader.
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
	// PeerAddress serves relayed configuration watches to other routers (UDP).
	PeerAddress settings.Address `yaml:"peer_address" settings:"required"`
	// MonitorAddress serves health, readiness and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// CallerTLS enables TLS for callers; without it they use none.
	CallerTLS *CallerTLS `yaml:"caller_tls"`
	// Control lists every control VM.
	Control []control.VM `yaml:"control" settings:"required"`
	// Relays are peer addresses of routers in this zone. Configurations are watched
	// from them first, and from the control VMs after that.
	Relays []settings.Address `yaml:"relays"`
	// Platform is the address of the platform's list of VMs; it is optional.
	Platform settings.Address `yaml:"platform"`
	Keys     peer.Files       `yaml:"keys" settings:"required"`
	// ResumeKeyFile is the file with the secret key that signs resume tokens. All
	// routers must have the same key.
	ResumeKeyFile string `yaml:"resume_key_file" settings:"required"`
	// ReportInterval is the time between two reports to the leader.
	ReportInterval settings.Duration `yaml:"report_interval"`
	// DrainTimeout bounds a graceful shutdown. Requests still open after it are
	// aborted, so it must be longer than the longest generation.
	DrainTimeout settings.Duration `yaml:"drain_timeout"`
	// Clients limits what callers and other clients may use. The process finds values for what it omits.
	Clients settings.Clients `yaml:"clients"`

	Generation generation.Settings `yaml:"generation"`
	Calls      CallSettings        `yaml:"calls"`
	Routing    routing.Settings    `yaml:"routing"`
	Admission  admission.Settings  `yaml:"admission"`
	Retry      retry.Settings      `yaml:"retry"`
	Observe    observe.Settings    `yaml:"observe"`
}

// CallSettings holds the limits of calls.
type CallSettings struct {
	// DefaultTimeout applies when neither the call nor its route sets a timeout.
	DefaultTimeout settings.Duration `yaml:"default_timeout"`
	// MaxTimeout bounds the timeout of a call.
	MaxTimeout settings.Duration `yaml:"max_timeout"`
	// MaxPayloadBytes bounds the body of a call.
	MaxPayloadBytes int `yaml:"max_payload_bytes"`
	// MaxAttempts bounds the attempts of an idempotent call, hedges included.
	MaxAttempts int `yaml:"max_attempts"`
}

// settings returns the settings of the call service, where 0 means its default.
func (c CallSettings) settings() call.Settings {
	return call.Settings{
		DefaultTimeout:  c.DefaultTimeout.Std(),
		MaxTimeout:      c.MaxTimeout.Std(),
		MaxPayloadBytes: c.MaxPayloadBytes,
		MaxAttempts:     c.MaxAttempts,
	}
}

// CallerTLS holds the paths of the PEM files for the callers' listener.
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
