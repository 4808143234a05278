package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

func serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-standin serve", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:9000", "IP:port of the first replica; the others use the next ports")
	replicas := fs.Int("replicas", 1, "number of replicas")
	opts := standin.Options{}
	fs.StringVar(&opts.Version, "version", "v1", "version of the replicas")
	fs.IntVar(&opts.Capacity, "capacity", 64, "maximum number of concurrent requests of a replica")
	fs.DurationVar(&opts.TokenGap, "token-gap", 37*time.Millisecond, "time between tokens")
	fs.DurationVar(&opts.CallTime, "call-time", 2*time.Millisecond, "service time of a call")
	fs.Uint64Var(&opts.Seed, "seed", uint64(os.Getpid()), "seed of the random number generator")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "chicory-standin serve [flags]",
		ShortHelp:  "Serves replicas until SIGTERM.",
		LongHelp:   "Example:\n  chicory-standin serve -address 127.0.0.1:9000 -replicas 3 -version v1",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("CHICORY_STANDIN")},
		Exec: func(context.Context, []string) error {
			first, err := netip.ParseAddrPort(*address)
			if err != nil {
				return errors.Errorf("address %q is not IP:port", *address)
			}
			return serve(opts, first, *replicas)
		},
	}
}

func serve(opts standin.Options, first netip.AddrPort, replicas int) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	opts.OnDie = func() { os.Exit(exitError) }
	for i := range replicas {
		o := opts
		o.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		o.Seed += uint64(i)
		r, _, err := standin.Listen(o)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Printf("event=replica_ready address=%s version=%s\n", r.Address(), o.Version)
	}
	<-stop
	return nil
}
