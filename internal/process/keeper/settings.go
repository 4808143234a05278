// Package keeper is the control VM of deployments whose operator declares whole
// configurations: it keeps the replicated log, reads the platform's list of targets
// and feeds entry VMs.
package keeper

import (
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings are the settings of a keeper.
type Settings struct {
	ID string `yaml:"id" settings:"required"`
	// PeerPort is the port for own processes, the same on all VMs.
	PeerPort int `yaml:"peer_port" settings:"required"`
	// PeerListenAddress is where this VM listens for own processes if they reach it
	// through a proxy. Empty: where they reach it, at its operator address's IP.
	PeerListenAddress settings.Address `yaml:"peer_listen_address"`
	// OperatorAddress is where operators reach this VM. Its port is the same on all.
	OperatorAddress settings.Address `yaml:"operator_address" settings:"required"`
	// MonitorAddress serves health and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// PlatformAddress is where the platform's list of targets is read.
	PlatformAddress settings.Address `yaml:"platform_address" settings:"required"`
	// Seeds are operator addresses of other control VMs.
	Seeds []settings.Address `yaml:"seeds" settings:"required"`
	// MayFound: the whole system starts for the first time.
	MayFound   bool   `yaml:"may_found"`
	DataFolder string `yaml:"data_folder" settings:"required"`
}

// listenForPeers returns where the peer port is served.
func (s *Settings) listenForPeers() string {
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
