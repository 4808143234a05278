// Command chicory-caller streams a generation or makes a call from a shell.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Exit statuses.
const (
	exitOK = 0
	// exitRefused: the system refused the request; the message says whether it ran.
	exitRefused = 1
	exitUsage   = 2
)

func main() {
	root := &ffcli.Command{
		Name:        "chicory-caller",
		ShortUsage:  "chicory-caller <generate|call|key> [flags]",
		ShortHelp:   "Streams a generation or makes a call.",
		FlagSet:     flag.NewFlagSet("chicory-caller", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{generateCommand(), callCommand(), keyCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	os.Exit(report(root.ParseAndRun(context.Background(), os.Args[1:])))
}

// report prints an error and returns the exit status.
func report(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	f := fault.FromAnswer(err)
	if f == nil {
		fmt.Fprintln(os.Stderr, "chicory-caller:", err)
		return exitUsage
	}
	fmt.Fprintf(os.Stderr, "chicory-caller: kind=%s ran=%s retry_after=%s: %s\n", f.Kind, f.Ran, f.RetryAfter, f.Message)
	return exitRefused
}

func service(address string) chicoryv1connect.CallerServiceClient {
	return chicoryv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+address)
}

// withKey adds the team's key to a request's header.
func withKey(h http.Header, key string) {
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
}

func generateCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-caller generate", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:8000", "IP:port of the balancer or a router")
	teamKey := fs.String("team-key", "", "the team's key")
	req := &chicoryv1.GenerateRequest{}
	fs.StringVar(&req.Team, "team", "", "team")
	fs.StringVar(&req.Route, "route", "", "route")
	fs.StringVar(&req.Prompt, "prompt", "", "prompt")
	maxTokens := fs.Uint("max-tokens", 256, "largest number of tokens")
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "chicory-caller generate -address IP:port -team T -route R -prompt TEXT",
		ShortHelp:  "Streams a generation to the output.",
		LongHelp:   "Example:\n  chicory-caller generate -address 127.0.0.1:8000 -team desk -route summaries -prompt 'Summarise the day'",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			req.MaxTokens = uint32(*maxTokens)
			r := connect.NewRequest(req)
			withKey(r.Header(), *teamKey)
			stream, err := service(*address).Generate(ctx, r)
			if err != nil {
				return err
			}
			for stream.Receive() {
				for _, t := range stream.Msg().GetChunk().GetTokens() {
					fmt.Print(t)
				}
			}
			return stream.Err()
		},
	}
}
