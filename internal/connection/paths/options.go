package paths

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Relay opens connections to targets through other entry VMs.
type Relay interface {
	// Dial opens a connection to target through the entry VM at the address helper. The
	// connection outlives ctx. The error is a *relay.TargetError if the helper works and can't
	// connect to the target.
	Dial(ctx context.Context, helper, target string) (net.Conn, error)
}

// Prober encodes a probe of a target. It is implemented outside of this package, for each platform.
type Prober interface {
	// PathProbe returns a request that the target at address answers at once and does not run, or
	// nil if none may be sent to it now.
	PathProbe(address string) []byte
}

// Settings are times that detect and bypass broken paths.
type Settings struct {
	// DialTimeout limits the time to open a direct connection, ProbeTimeout that for a probe and
	// for a connection for another entry VM, which asks several.
	DialTimeout, ProbeTimeout time.Duration
	// RelayDelay is the time without a direct connection after which another entry VM is
	// asked for one, HelperDelay the time after which a further one is.
	RelayDelay, HelperDelay time.Duration
	// RelayTimeout limits the time to open a connection through other entry VMs.
	RelayTimeout time.Duration
	// SilenceDelay is the time without a byte from any target after which the path of a target is
	// checked that should have answered a call, MaxSilence that for one that should have begun a
	// stream.
	SilenceDelay, MaxSilence time.Duration
	// SuspectInterval is the minimum time between two checks of a path whose target is silent while
	// others are not.
	SuspectInterval time.Duration
	// HoldTime is how long a new connection must stay open to show that its path works.
	HoldTime time.Duration
	// ProbeInterval is the time between two rounds of direct connections over broken paths.
	ProbeInterval time.Duration
	// UnreachableTime is how long a target that no VM could connect to is only dialed directly.
	UnreachableTime time.Duration
	// HelperBackoff is how long an entry VM that could not help is not asked again.
	HelperBackoff time.Duration
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		DialTimeout:     250 * time.Millisecond, // some 100 round trips within a region
		ProbeTimeout:    150 * time.Millisecond,
		RelayDelay:      60 * time.Millisecond,
		HelperDelay:     50 * time.Millisecond,
		RelayTimeout:    250 * time.Millisecond,
		SilenceDelay:    150 * time.Millisecond,
		MaxSilence:      600 * time.Millisecond,
		SuspectInterval: time.Second,
		HoldTime:        25 * time.Millisecond,
		ProbeInterval:   250 * time.Millisecond,
		UnreachableTime: 500 * time.Millisecond,
		HelperBackoff:   time.Second,
	}
}

// Options configures a Table. Dial, Relay, Prober, Peers, Targets, Logger and Registry are required.
type Options struct {
	// ID and AvailabilityZone are those of this VM.
	ID, AvailabilityZone string
	Dial                 DialFunc
	Relay                Relay
	Prober               Prober
	// Peers returns the entry VMs, which may include this one.
	Peers func() []feed.Peer
	// Targets returns the addresses of the listed targets.
	Targets func() []string
	// OnBroken is called when the path to a target is found broken, or presumed to be; nil
	// means no call.
	OnBroken func(address string)
	Logger   *logging.Logger
	Registry metrics.Registry
	Settings Settings
}
