package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
)

func callCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-caller call", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:8000", "IP:port of the load balancer or of a router")
	teamKey := fs.String("team-key", "", "the team's key")
	payload := fs.String("payload", "", "payload of the call")
	timeout := fs.Duration("timeout", 0, "timeout of the call; 0 means the route's default")
	req := &chicoryv1.CallRequest{}
	fs.StringVar(&req.Team, "team", "", "team")
	fs.StringVar(&req.Route, "route", "", "route")
	fs.StringVar(&req.Method, "method", "", "method")
	fs.StringVar(&req.Key, "key", "", "idempotency key of a call that must not be executed twice; see chicory-caller key")
	fs.BoolVar(&req.Idempotent, "idempotent", false, "the call is idempotent and may be retried")
	return &ffcli.Command{
		Name:       "call",
		ShortUsage: "chicory-caller call -address IP:port -team T -route R -method M [-key KEY | -idempotent]",
		ShortHelp:  "Makes one call and prints its response.",
		LongHelp:   "Example:\n  chicory-caller call -address 127.0.0.1:8000 -team desk -route booking -method book -payload rambla -key \"$(chicory-caller key)\"",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			req.Payload = []byte(*payload)
			req.TimeoutMs = uint32(*timeout / time.Millisecond)
			r := connect.NewRequest(req)
			setTeamKey(r.Header(), *teamKey)
			resp, err := newServiceClient(*address).Call(ctx, r)
			if err != nil {
				return err
			}
			fmt.Printf("%s (version %s, replayed %t)\n", resp.Msg.GetPayload(), resp.Msg.GetVersion(), resp.Msg.GetReplayed())
			return nil
		},
	}
}

func keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "chicory-caller key",
		ShortHelp:  "Prints a new idempotency key for a call that must not be executed twice.",
		FlagSet:    flag.NewFlagSet("chicory-caller key", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			fmt.Println(ledger.NewKey(time.Now()))
			return nil
		},
	}
}
