// Package keeper implements the control VM of deployments whose operator declares
// complete configurations: it replicates the log, reads the platform's target list and serves
// feeds to entry VMs.
package keeper

import (
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings are the settings of a keeper process.
type Settings struct {
	ID string `yaml:"id" settings:"required"`
	// PeerPort is the port for connections between chicory processes, the same on all
	// VMs.
	PeerPort int `yaml:"peer_port" settings:"required"`
	// PeerListenAddress is where this VM listens for peers if they reach it through a
	// proxy. If empty, it listens where they reach it: on PeerPort at the IP address of
	// its OperatorAddress.
	PeerListenAddress settings.Address `yaml:"peer_listen_address"`
	// OperatorAddress is where operators reach this VM. The port is the same on all
	// control VMs.
	OperatorAddress settings.Address `yaml:"operator_address" settings:"required"`
	// MonitorAddress serves health checks and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// PlatformAddress is where the platform's target list is read.
	PlatformAddress settings.Address `yaml:"platform_address" settings:"required"`
	// Seeds are the operator addresses of other control VMs.
	Seeds []settings.Address `yaml:"seeds" settings:"required"`
	// MayFound allows this VM to bootstrap a new cluster, when the deployment starts
	// for the first time.
	MayFound   bool   `yaml:"may_found"`
	DataFolder string `yaml:"data_folder" settings:"required"`
	// Clients limits what operators and other clients may use. The process finds values for what it
	// omits.
	Clients settings.Clients `yaml:"clients"`
}

// resolvePeerListenAddress returns the address on which the peer port is served.
func (s *Settings) resolvePeerListenAddress() string {
	if s.PeerListenAddress != "" {
		return string(s.PeerListenAddress)
	}
	return s.OperatorAddress.WithPort(s.PeerPort)
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.PeerPort <= 0 || s.PeerPort > 65535:
		return "peer_port", "is not a port"
	case len(s.Seeds) == 0:
		return "seeds", "at least one is needed"
	}
	return "", ""
}
