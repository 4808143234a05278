package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// writeTable writes tab-separated rows in aligned columns.
func writeTable(w io.Writer, write func(io.Writer)) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(tw)
	_ = tw.Flush()
}

func (a *app) statusCommand() *ffcli.Command {
	return a.command("status", "status", "Shows every VM with its revision and state, including the leader.",
		"chicoryctl status -config ctl.yaml", nil,
		noArguments(func(ctx context.Context) error {
			resp, err := callLeader(ctx, a, &chicoryv1.StatusRequest{}, chicoryv1connect.OperatorServiceClient.Status)
			if err != nil {
				return err
			}
			return a.print(resp, func(w io.Writer) { printStatus(w, resp) })
		}))
}

func printStatus(w io.Writer, s *chicoryv1.StatusResponse) {
	fmt.Fprintf(w, "cluster %s  revision %d  open moves %d  claims %d (%d in doubt)\n",
		s.GetClusterId(), s.GetRevision(), s.GetOpenMoves(), s.GetClaims(), s.GetClaimsInDoubt())
	writeTable(w, func(w io.Writer) {
		fmt.Fprintln(w, "VM\tROLE\tZONE\tADDRESS\tREVISION\tSTATE")
		for _, vm := range s.GetVms() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", vm.GetId(), vm.GetRole(), vm.GetAvailabilityZone(), vm.GetAddress(), formatRevision(vm), formatVMState(vm))
		}
	})
}

func formatRevision(vm *chicoryv1.VMStatus) string {
	if vm.GetRole() != "router" {
		return "-"
	}
	return fmt.Sprint(vm.GetRevision())
}

func formatVMState(vm *chicoryv1.VMStatus) string {
	switch {
	case vm.GetLeader():
		return "leader"
	case vm.GetRole() == "control" && vm.GetVoter():
		return "voter"
	case vm.GetRole() == "control":
		return "learner"
	case vm.GetLive():
		return "live"
	}
	return fmt.Sprintf("silent for %d s", vm.GetLastSeenMs()/1000)
}

func (a *app) historyCommand() *ffcli.Command {
	var limit uint
	return a.command("history", "history [-n 50]", "Shows confirmed changes with their operator, time and reason.",
		"chicoryctl history -config ctl.yaml -n 10",
		func(fs *flag.FlagSet) { fs.UintVar(&limit, "n", 0, "number of entries") },
		noArguments(func(ctx context.Context) error {
			req := &chicoryv1.HistoryRequest{Limit: uint32(limit)}
			resp, err := callLeader(ctx, a, req, chicoryv1connect.OperatorServiceClient.History)
			if err != nil {
				return err
			}
			return a.print(resp, func(w io.Writer) {
				for _, e := range resp.GetEntries() {
					fmt.Fprintf(w, "revision %d  %s  %s: %s\n", e.GetRevision(), formatTime(e.GetUnixMs()), e.GetOperator(), e.GetWhy())
					for _, line := range e.GetEffects() {
						fmt.Fprintf(w, "    %s\n", line)
					}
				}
			})
		}))
}

func (a *app) explainCommand() *ffcli.Command {
	var request string
	return a.command("explain", "explain SUBJECT | explain -request ID [FILE...]",
		"Explains the state of a route, move, team or target, or traces a request in logs.",
		"chicoryctl explain -config ctl.yaml booking\nchicoryctl explain -request 9c41d07be2a35f68 entry-*.log",
		func(fs *flag.FlagSet) {
			fs.StringVar(&request, "request", "", "ID of a request to trace in log files, or in standard input if no file is given")
		},
		func(ctx context.Context, args []string) error {
			if request != "" {
				return a.explainRequest(request, args)
			}
			if len(args) != 1 {
				return errors.New("expected exactly one route, move, team or target, or the flag -request")
			}
			req := &chicoryv1.ExplainRequest{Subject: args[0]}
			resp, err := callLeader(ctx, a, req, chicoryv1connect.OperatorServiceClient.Explain)
			if err != nil {
				return err
			}
			return a.print(resp, func(w io.Writer) {
				for _, line := range resp.GetLines() {
					fmt.Fprintln(w, line)
				}
			})
		})
}

// explainRequest prints the log lines that explain a request, ordered by time.
func (a *app) explainRequest(request string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	trace := traceRequest(request, lines)
	if len(trace) == 0 {
		return errors.Errorf("none of the %d log lines names request %q", len(lines), request)
	}
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(trace))
	}
	begin := trace[slices.IndexFunc(trace, func(l traceLine) bool { return l.OfRequest })].Time
	fmt.Fprintf(a.out, "request %s, from %s; lines marked with ~ are events of its VM that name no request\n", request, begin.Format(time.RFC3339Nano))
	for _, l := range trace {
		fmt.Fprintln(a.out, l.format(begin))
	}
	return nil
}

// readLogs reads log lines from files, or from standard input if files is empty.
func readLogs(files []string) ([]logging.Line, error) {
	if len(files) == 0 {
		return logging.ReadLines(os.Stdin)
	}
	var lines []logging.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Annotate(err, "log")
		}
		more, err := logging.ReadLines(f)
		_ = f.Close() // was only read
		if err != nil {
			return nil, errors.Annotatef(err, "log %q", name)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func (a *app) configCommand() *ffcli.Command {
	c := a.command("config", "config [check FILE]", "Shows the configuration in force as JSON, or checks a declared one.",
		"chicoryctl config -config ctl.yaml\nchicoryctl config check next.json", nil,
		noArguments(func(ctx context.Context) error {
			resp, err := callLeader(ctx, a, &chicoryv1.GetConfigurationRequest{}, chicoryv1connect.OperatorServiceClient.GetConfiguration)
			if err != nil {
				return err
			}
			a.output = outputJSON
			return a.print(resp.GetConfiguration(), nil)
		}))
	c.Subcommands = []*ffcli.Command{a.configCheckCommand()}
	return c
}

func (a *app) claimsCommand() *ffcli.Command {
	var team, key, ran, planFile string
	return a.command("claims", "claims [-team T -call-key K -ran yes|no -plan PLAN.json]",
		"Lists calls whose outcome is in doubt, or plans to settle one.",
		"chicoryctl claims -config ctl.yaml\nchicoryctl claims -config ctl.yaml -team desk -call-key KEY -ran yes -plan plan.json",
		func(fs *flag.FlagSet) {
			fs.StringVar(&team, "team", "", "team of the call to settle")
			fs.StringVar(&key, "call-key", "", "key of the call to settle")
			fs.StringVar(&ran, "ran", "", "whether the call was found to have run: yes or no")
			fs.StringVar(&planFile, "plan", "", "file to write the plan to")
		},
		noArguments(func(ctx context.Context) error {
			if key == "" {
				return a.listClaims(ctx)
			}
			if ran != "yes" && ran != "no" {
				return errors.New("the flag -ran must be yes or no")
			}
			settle := &chicoryv1.SettleClaim{Team: team, Key: key, Ran: ran == "yes"}
			change := &chicoryv1.Change{Change: &chicoryv1.Change_SettleClaim{SettleClaim: settle}}
			return a.plan(ctx, []*chicoryv1.Change{change}, planFile)
		}))
}

func (a *app) listClaims(ctx context.Context) error {
	resp, err := callLeader(ctx, a, &chicoryv1.ListClaimsRequest{}, chicoryv1connect.OperatorServiceClient.ListClaims)
	if err != nil {
		return err
	}
	return a.print(resp, func(w io.Writer) {
		writeTable(w, func(w io.Writer) {
			fmt.Fprintln(w, "TEAM\tKEY\tCLAIMED\tROUTER\tTARGET")
			for _, c := range resp.GetClaims() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.GetTeam(), c.GetKey(), formatTime(c.GetClaimedUnixMs()), c.GetRouterId(), c.GetTarget())
			}
		})
	})
}
