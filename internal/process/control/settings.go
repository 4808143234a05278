// Package control implements the process of a control VM: the replicated log, the
// state machine, the services for routers and operators, and the tasks that only the
// leader runs.
package control

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings of a control VM, for example:
//
//	id: c1
//	availability_zone: a
//	data_folder: data/c1
//	peer_address: 10.0.1.5:7100
//	operator_address: 10.0.1.5:7200
//	monitor_address: 10.0.1.5:7300
//	control:
//	  - {id: c1, address: "10.0.1.5:7100"}
//	  - {id: c2, address: "10.0.2.5:7100"}
//	  - {id: c3, address: "10.0.3.5:7100"}
//	keys: {certificate: c1.pem, key: c1-key.pem, authority: ca.pem}
type Settings struct {
	ID               string                    `yaml:"id" settings:"required"`
	AvailabilityZone settings.AvailabilityZone `yaml:"availability_zone" settings:"required"`
	// DataFolder holds all persistent data of this process.
	DataFolder string `yaml:"data_folder" settings:"required"`
	// PeerAddress serves routers and the other control VMs (UDP).
	PeerAddress settings.Address `yaml:"peer_address" settings:"required"`
	// OperatorAddress serves chicoryctl (TCP with TLS).
	OperatorAddress settings.Address `yaml:"operator_address" settings:"required"`
	// MonitorAddress serves health, readiness and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// Control lists every control VM, this one included.
	Control []VM       `yaml:"control" settings:"required"`
	Keys    peer.Files `yaml:"keys" settings:"required"`
	// KeyRetention is how long the outcome of a call is kept to answer resends of it.
	KeyRetention settings.Duration `yaml:"key_retention"`
	// RouterTimeout is how long a router may send no report before it no longer counts
	// as live and its open claims are put in doubt.
	RouterTimeout settings.Duration `yaml:"router_timeout"`
	// LoadInterval is the minimum time between two orders to load a version, given what
	// the weight store can serve.
	LoadInterval settings.Duration `yaml:"load_interval"`
	// Clients limits what operators and other clients may use. The process finds values for what it
	// omits.
	Clients settings.Clients `yaml:"clients"`
}

// VM holds the identity and the peer address of one control VM.
type VM struct {
	ID      string           `yaml:"id" settings:"required"`
	Address settings.Address `yaml:"address" settings:"required"`
}

// Defaults of a control VM.
const (
	defaultKeyRetention  = 2 * time.Hour
	defaultRouterTimeout = 10 * time.Second
	defaultLoadInterval  = 5 * time.Second
)

// Defaults returns settings with every optional value set.
func Defaults() Settings {
	return Settings{
		KeyRetention:  settings.Duration(defaultKeyRetention),
		RouterTimeout: settings.Duration(defaultRouterTimeout),
		LoadInterval:  settings.Duration(defaultLoadInterval),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	if n := len(s.Control); n != 1 && n != 3 && n != 5 {
		return "control", "must list 1, 3 or 5 control VMs"
	}
	seen := map[string]bool{}
	for _, vm := range s.Control {
		if seen[vm.ID] {
			return "control", "lists " + vm.ID + " twice"
		}
		seen[vm.ID] = true
	}
	if !seen[s.ID] {
		return "control", "does not list this VM, " + s.ID
	}
	return "", ""
}
