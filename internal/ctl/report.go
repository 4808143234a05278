package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/process/burn"
)

func (a *app) reportCommand() *ffcli.Command {
	var route, plot string
	burnCommand := a.command("burn", "report burn [-route R] [-plot burn.png]", "Shows burn rates of service-level objectives by route, version, team and window.",
		"chicoryctl report burn -config ctl.yaml -route booking -plot burn.svg",
		func(fs *flag.FlagSet) {
			fs.StringVar(&route, "route", "", "route; empty means all routes")
			fs.StringVar(&plot, "plot", "", "PNG or SVG file to plot the burn rates to")
		},
		noArguments(func(ctx context.Context) error {
			req := &chicoryv1.ReportBurnRequest{Route: route}
			resp, err := callLeader(ctx, a, req, chicoryv1connect.OperatorServiceClient.ReportBurn)
			if err != nil {
				return err
			}
			if plot != "" {
				if err := burn.Plot(resp.GetRows(), plot); err != nil {
					return errors.Trace(err)
				}
			}
			return a.print(resp, func(w io.Writer) { fmt.Fprint(w, burn.FormatTable(resp.GetRows())) })
		}))
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "chicoryctl report burn [flags]",
		ShortHelp:   "Reports on service-level objectives.",
		FlagSet:     flag.NewFlagSet("chicoryctl report", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{burnCommand},
		Exec:        execGroup,
	}
}
