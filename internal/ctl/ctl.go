// Package ctl implements chicoryctl, the command-line tool for operators: it plans
// and confirms changes and moves, and shows the system's state.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/peterbourgon/ff/v3/ffyaml"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Exit statuses of chicoryctl.
const (
	ExitOK = 0
	// ExitRefused: the request was refused; nothing was changed.
	ExitRefused = 1
	// ExitUsage: the command line or a file is invalid; nothing was sent.
	ExitUsage = 2
	// ExitStale: an item that the plan read has changed; plan again.
	ExitStale = 3
	// ExitUnknown: the result is unknown; run the same command again to get it.
	ExitUnknown = 4
)

// app holds the output and the options that the commands share.
type app struct {
	out     io.Writer
	control string
	keys    peer.Files
	output  string
	// documents is nil unless the program has an adapter for a platform.
	documents Documents
}

// Option configures Run.
type Option func(*app)

// WithDocuments makes Run read configuration documents with d.
func WithDocuments(d Documents) Option { return func(a *app) { a.documents = d } }

// Run runs the command in args and returns the exit status.
func Run(args []string, stdout, stderr io.Writer, options ...Option) int {
	a := &app{out: stdout}
	for _, option := range options {
		option(a)
	}
	err := a.root().ParseAndRun(context.Background(), args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err.Error() != "" {
		fmt.Fprintln(stderr, "chicoryctl:", err)
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		return statusErr.status
	}
	var faultErr *fault.Error
	if !errors.As(err, &faultErr) {
		return ExitUsage
	}
	switch faultErr.Kind {
	case fault.PlanStale:
		return ExitStale
	case fault.NoQuorum, fault.NotLeader, fault.StorageFailed, fault.Internal:
		return ExitUnknown
	}
	return ExitRefused
}

func (a *app) root() *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "chicoryctl",
		ShortUsage: "chicoryctl <command> [flags]",
		ShortHelp:  "Plans and confirms changes, and shows the system's state.",
		LongHelp:   "Exit statuses: 0 success, 1 refused, 2 usage error, 3 stale plan (plan again), 4 result unknown (run the same command again).",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			a.planCommand(), a.confirmCommand(), a.moveCommand(), a.movesCommand(),
			a.statusCommand(), a.historyCommand(), a.explainCommand(), a.reportCommand(),
			a.claimsCommand(), a.configCommand(), a.certsCommand(), a.exampleCommand(), a.readyCommand(),
		},
		Exec: execGroup,
	}
}

// execGroup handles a missing or unknown subcommand.
func execGroup(_ context.Context, args []string) error {
	if len(args) > 0 {
		return errors.Errorf("there is no command %q", args[0])
	}
	return flag.ErrHelp
}

// command returns a command with the flags for requests to the control VMs.
func (a *app) command(name, usage, help, example string, flags func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl "+name, flag.ContinueOnError)
	fs.StringVar(&a.control, "control", "", "operator addresses of the control VMs, as IP:port, separated by commas")
	fs.StringVar(&a.keys.Certificate, "certificate", "", "PEM file of the operator's certificate")
	fs.StringVar(&a.keys.Key, "key", "", "PEM file of the operator's private key")
	fs.StringVar(&a.keys.Authority, "authority", "", "PEM file of the certificate authority")
	fs.StringVar(&a.output, "o", outputText, "output format: text or json")
	fs.String("config", "", "YAML file with values for these flags")
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "chicoryctl " + usage,
		ShortHelp:  help,
		LongHelp:   "Example:\n  " + strings.ReplaceAll(example, "\n", "\n  "),
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix("CHICORYCTL"),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(ffyaml.Parser),
			ff.WithIgnoreUndefined(true),
		},
		Exec: func(ctx context.Context, args []string) error {
			if a.output != outputText && a.output != outputJSON {
				return errors.Errorf("output %q is neither text nor json", a.output)
			}
			return exec(ctx, args)
		},
	}
}

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// noArguments wraps exec so that it fails on arguments after the flags, such as the
// words of a value that was not quoted.
func noArguments(exec func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return errors.Errorf("unknown argument %q", args[0])
		}
		return exec(ctx)
	}
}

// print writes m as JSON if the output format is JSON, or else calls text.
func (a *app) print(m proto.Message, text func(io.Writer)) error {
	if a.output != outputJSON {
		text(a.out)
		return nil
	}
	b, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(a.out, string(b))
	return errors.Trace(err)
}

// writeFile writes data to path, or to the command's output if path is "-".
func (a *app) writeFile(path string, data []byte) error {
	if path == "-" {
		_, err := a.out.Write(data)
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, data, fileMode))
}

const fileMode = 0o644
