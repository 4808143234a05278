// Package entry implements the entry VM of deployments whose operator declares
// complete configurations: it serves callers over HTTP/1.1 and forwards their requests to
// targets. It has no disk; its state comes from the feeds of the control VMs.
package entry

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
)

// Settings are the settings of an entry VM.
type Settings struct {
	ID               string                    `yaml:"id" settings:"required"`
	AvailabilityZone settings.AvailabilityZone `yaml:"availability_zone" settings:"required"`
	// CallerAddress serves callers; at ReadyAddress the load balancer asks whether
	// to send traffic to this VM.
	CallerAddress settings.Address `yaml:"caller_address" settings:"required"`
	ReadyAddress  settings.Address `yaml:"ready_address" settings:"required"`
	// MonitorAddress serves health checks and metrics.
	MonitorAddress settings.Address `yaml:"monitor_address" settings:"required"`
	// PlatformAddress is where the target list is read while no control VM provides it.
	PlatformAddress settings.Address `yaml:"platform_address" settings:"required"`
	// PeerPort is the port for connections between chicory processes, the same on all
	// VMs. The peer address of an entry VM has the IP address of its CallerAddress.
	PeerPort int `yaml:"peer_port" settings:"required"`
	// Seeds are the operator addresses of control VMs.
	Seeds []settings.Address `yaml:"seeds" settings:"required"`
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace settings.Duration `yaml:"stop_grace"`
	// DrainTime is how long a target that is about to stop serves further requests.
	DrainTime settings.Duration `yaml:"drain_time"`
	Retry     RetrySettings     `yaml:"retry"`
	// Clients limits what callers and other clients may use. The process finds values for what it omits.
	Clients settings.Clients `yaml:"clients"`
}

// peer returns what other entry VMs know of this one.
func (s *Settings) peer() feed.Peer {
	return feed.Peer{ID: s.ID, PeerAddress: s.CallerAddress.WithPort(s.PeerPort), AvailabilityZone: string(s.AvailabilityZone)}
}

// RetrySettings limit the further attempts for one service, summed over all entry VMs.
type RetrySettings struct {
	// Ratio is the number of further attempts allowed per request.
	Ratio float64 `yaml:"ratio"`
	// Extra is the number of further attempts allowed in each Window in addition to
	// Ratio.
	Extra  float64           `yaml:"extra"`
	Window settings.Duration `yaml:"window"`
}

// Defaults returns the values of settings that the file omits.
func Defaults() Settings {
	return Settings{
		StopGrace: settings.Duration(8 * time.Second),
		DrainTime: settings.Duration(3 * time.Second),
		Retry:     RetrySettings{Ratio: 0.2, Extra: 50, Window: settings.Duration(10 * time.Second)},
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.PeerPort <= 0 || s.PeerPort > 65535:
		return "peer_port", "is not a port"
	case len(s.Seeds) == 0:
		return "seeds", "at least one is needed"
	case s.StopGrace <= 0:
		return "stop_grace", "must be above 0"
	case s.DrainTime.Std() <= drainMargin:
		return "drain_time", "must be above 200ms"
	case s.Retry.Ratio < 0 || s.Retry.Extra < 0:
		return "retry", "must not be negative"
	case s.Retry.Window <= 0:
		return "retry.window", "must be above 0"
	}
	return "", ""
}

const (
	// boundMargin keeps the sum over all entry VMs below the configured bound: a
	// request and its attempts may fall into different windows.
	boundMargin = 0.95
	// defaultEntryVMs is the number of entry VMs that is assumed until a feed reports
	// it.
	defaultEntryVMs = 20
)

// bound returns the bound over all entry VMs, reduced by boundMargin.
func (s RetrySettings) bound() retry.Bound {
	return retry.Bound{Ratio: s.Ratio * boundMargin, Extra: s.Extra * boundMargin, Window: s.Window.Std()}
}
