package settings

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"
)

// Address is an IP address and a port, such as 10.0.1.7:7000. Host names are rejected
// because processes reach each other by IP address only.
type Address string

// UnmarshalYAML implements yaml.Unmarshaler.
func (a *Address) UnmarshalYAML(n *yaml.Node) error {
	ap, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		return errors.Errorf("%q is not IP:port", n.Value)
	}
	if ap.Port() == 0 {
		return errors.Errorf("%q has no port", n.Value)
	}
	*a = Address(ap.String())
	return nil
}

// WithPort returns the address of another port on the same VM.
func (a Address) WithPort(port int) string {
	host, _, err := net.SplitHostPort(string(a))
	if err != nil {
		host = string(a)
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// WithPort returns the addresses of a port on each of the VMs.
func WithPort(addresses []Address, port int) []string {
	var out []string
	for _, a := range addresses {
		out = append(out, a.WithPort(port))
	}
	return out
}

// Duration is a duration such as 250ms or 2s. Negative durations are rejected.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms or 2s", n.Value)
	}
	if v < 0 {
		return errors.Errorf("%q is negative", n.Value)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// AvailabilityZone is the name of the availability zone that a process runs in.
type AvailabilityZone string

// UnmarshalYAML implements yaml.Unmarshaler.
func (z *AvailabilityZone) UnmarshalYAML(n *yaml.Node) error {
	if n.Value == "" {
		return errors.New("availability zone is empty")
	}
	*z = AvailabilityZone(n.Value)
	return nil
}
