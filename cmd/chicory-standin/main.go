// Command chicory-standin runs stand-in targets for tests and the demo: each
// address is one replica that is both a model engine and a transactional service.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	fs := flag.NewFlagSet("chicory-standin", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:9000", "IP:port of the first replica; the others use the next ports")
	replicas := fs.Int("replicas", 1, "number of replicas")
	opts := standin.Options{}
	fs.StringVar(&opts.Version, "version", "v1", "version that the replicas serve")
	fs.IntVar(&opts.Capacity, "capacity", 64, "requests that run at once in one replica")
	fs.DurationVar(&opts.TokenGap, "token-gap", 37*time.Millisecond, "time between tokens")
	fs.DurationVar(&opts.CallTime, "call-time", 2*time.Millisecond, "service time of a call")
	fs.Uint64Var(&opts.Seed, "seed", uint64(os.Getpid()), "seed of the random numbers")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("CHICORY_STANDIN")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	first, err := netip.ParseAddrPort(*address)
	if err != nil {
		fmt.Fprintf(os.Stderr, "address %q is not IP:port\n", *address)
		return exitUsage
	}
	opts.OnDie = func() { os.Exit(exitError) }
	for i := range *replicas {
		o := opts
		o.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		o.Seed += uint64(i)
		r, _, err := standin.Listen(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitError
		}
		fmt.Printf("event=replica_ready address=%s version=%s\n", r.Address(), o.Version)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return exitOK
}
