// Command chicory-caller is a command-line client: it streams a generation, makes a
// call, or prints a new idempotency key.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/client"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Exit statuses.
const (
	exitOK = 0
	// exitRefused: a router returned an error; its text says whether the request ran.
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

// report prints err to standard error and returns the exit status.
func report(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	faultErr := fault.FromConnect(err)
	if faultErr == nil {
		fmt.Fprintln(os.Stderr, "chicory-caller:", err)
		return exitUsage
	}
	fmt.Fprintf(os.Stderr, "chicory-caller: kind=%s ran=%s retry_after=%s: %s\n", faultErr.Kind, faultErr.Ran, faultErr.RetryAfter, faultErr.Message)
	return exitRefused
}

func newServiceClient(address string) chicoryv1connect.CallerServiceClient {
	return chicoryv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+address)
}

// setTeamKey adds the team's key to a request's header.
func setTeamKey(h http.Header, key string) {
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
}

func generateCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-caller generate", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:8000", "IP:port of the load balancer, or of routers, separated by commas")
	teamKey := fs.String("team-key", "", "the team's key")
	req := &chicoryv1.GenerateRequest{}
	fs.StringVar(&req.Team, "team", "", "team")
	fs.StringVar(&req.Route, "route", "", "route")
	fs.StringVar(&req.Prompt, "prompt", "", "prompt")
	maxTokens := fs.Uint("max-tokens", 256, "maximum number of tokens")
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "chicory-caller generate -address IP:port -team T -route R -prompt TEXT",
		ShortHelp:  "Streams a generation to standard output.",
		LongHelp:   "Example:\n  chicory-caller generate -address 127.0.0.1:8000 -team desk -route summaries -prompt 'Summarise the day'",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			req.MaxTokens = uint32(*maxTokens)
			return generate(ctx, strings.Split(*address, ","), *teamKey, req)
		},
	}
}

// generate prints the tokens of one generation as they arrive. The client reconnects
// to other routers if needed.
func generate(ctx context.Context, addresses []string, teamKey string, req *chicoryv1.GenerateRequest) error {
	header := http.Header{}
	setTeamKey(header, teamKey)
	c, err := client.New(client.Options{Addresses: addresses, Header: header})
	if err != nil {
		return err
	}
	defer c.Close()
	stream, err := c.Generate(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Next() {
		for _, t := range stream.Tokens() {
			fmt.Print(t)
		}
	}
	return stream.Err()
}
