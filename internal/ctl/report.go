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
	burnCommand := a.command("burn", "report burn [-route R] [-plot burn.png]", "Shows service-level burn by route, version, team and window.",
		"chicoryctl report burn -config ctl.yaml -route booking -plot burn.svg",
		func(fs *flag.FlagSet) {
			fs.StringVar(&route, "route", "", "route; empty is all")
			fs.StringVar(&plot, "plot", "", "PNG or SVG file to draw the burn rates to")
		},
		withoutArguments(func(ctx context.Context) error {
			req := &chicoryv1.ReportBurnRequest{Route: route}
			resp, err := ask(ctx, a, req, chicoryv1connect.OperatorServiceClient.ReportBurn)
			if err != nil {
				return err
			}
			if plot != "" {
				if err := burn.Plot(resp.GetRows(), plot); err != nil {
					return errors.Trace(err)
				}
			}
			return a.print(resp, func(w io.Writer) { fmt.Fprint(w, burn.Text(resp.GetRows())) })
		}))
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "chicoryctl report burn [flags]",
		ShortHelp:   "Reports on service levels.",
		FlagSet:     flag.NewFlagSet("chicoryctl report", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{burnCommand},
		Exec:        execGroup,
	}
}
