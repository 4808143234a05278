package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

func (a *app) moveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl move", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "move",
		ShortUsage: "chicoryctl move <start|pause|continue|hasten|take-back> [flags]",
		ShortHelp:  "Plans a scheduled move between versions, or an action on an open move.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			a.moveStartCommand(),
			a.moveActionCommand("pause", "Plans to hold the share at its current value.", chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE),
			a.moveActionCommand("continue", "Plans to end a pause.", chicoryv1.MoveActionKind_MOVE_ACTION_KIND_CONTINUE),
			a.moveActionCommand("hasten", "Plans to increase the share as fast as the evidence allows.", chicoryv1.MoveActionKind_MOVE_ACTION_KIND_HASTEN),
			a.moveActionCommand("take-back", "Plans a rollback: all new work goes to the old version.", chicoryv1.MoveActionKind_MOVE_ACTION_KIND_TAKE_BACK),
		},
		Exec: execGroup,
	}
}

func (a *app) moveStartCommand() *ffcli.Command {
	in := &chicoryv1.MoveIntent{}
	var planFile string
	var after, deadline time.Duration
	var maxShare uint
	return a.command("start", "move start -route R -from V -to V -deadline 30m -plan PLAN.json",
		"Plans a scheduled move between two versions of a route.",
		"chicoryctl move start -config ctl.yaml -route booking -from v1 -to v2 -deadline 30m -plan plan.json",
		func(fs *flag.FlagSet) {
			fs.StringVar(&in.Route, "route", "", "route to move")
			fs.StringVar(&in.From, "from", "", "current version of the route")
			fs.StringVar(&in.To, "to", "", "new version of the route")
			fs.DurationVar(&after, "after", 0, "delay until the move starts")
			fs.DurationVar(&deadline, "deadline", 0, "time from now by which the move is done or rolled back")
			fs.UintVar(&maxShare, "cap", 0, "maximum share of the new version until it is proved, in thousandths; 0 means the route's default")
			fs.Float64Var(&in.ExpectedRate, "rate", 0, "expected requests per second; 0 means unknown")
			fs.StringVar(&planFile, "plan", "", "file to write the plan to")
		},
		noArguments(func(ctx context.Context) error {
			now := time.Now()
			in.StartUnixMs = now.Add(after).UnixMilli()
			in.DeadlineUnixMs = now.Add(deadline).UnixMilli()
			in.CapPermille = uint32(maxShare)
			change := &chicoryv1.Change{Change: &chicoryv1.Change_StartMove{StartMove: in}}
			return a.plan(ctx, []*chicoryv1.Change{change}, planFile)
		}))
}

func (a *app) moveActionCommand(name, help string, kind chicoryv1.MoveActionKind) *ffcli.Command {
	var planFile string
	return a.command(name, "move "+name+" MOVE -plan PLAN.json", help,
		"chicoryctl move "+name+" -config ctl.yaml -plan plan.json move-42-0",
		func(fs *flag.FlagSet) {
			fs.StringVar(&planFile, "plan", "", "file to write the plan to")
		},
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.New("expected exactly one move ID")
			}
			action := &chicoryv1.MoveAction{MoveId: args[0], Kind: kind}
			change := &chicoryv1.Change{Change: &chicoryv1.Change_MoveAction{MoveAction: action}}
			return a.plan(ctx, []*chicoryv1.Change{change}, planFile)
		})
}

func (a *app) movesCommand() *ffcli.Command {
	return a.command("moves", "moves [MOVE]", "Shows moves with their events, open moves first.",
		"chicoryctl moves -config ctl.yaml", nil,
		func(ctx context.Context, args []string) error {
			req := &chicoryv1.MovesRequest{}
			if len(args) > 0 {
				req.Id = args[0]
			}
			resp, err := callLeader(ctx, a, req, chicoryv1connect.OperatorServiceClient.Moves)
			if err != nil {
				return err
			}
			return a.print(resp, func(w io.Writer) {
				for _, m := range resp.GetMoves() {
					printMove(w, m)
				}
			})
		})
}

func printMove(w io.Writer, m *chicoryv1.Move) {
	in := m.GetIntent()
	fmt.Fprintf(w, "%s  route %s  %s -> %s  %s  share %.1f%%  deadline %s\n", m.GetId(), in.GetRoute(), in.GetFrom(), in.GetTo(),
		stateName(m.GetState()), float64(m.GetSharePermille())/10, formatTime(in.GetDeadlineUnixMs()))
	for _, e := range m.GetEvents() {
		fmt.Fprintf(w, "    %s  %s  %.1f%%  %s\n", formatTime(e.GetUnixMs()), stateName(e.GetState()), float64(e.GetSharePermille())/10, e.GetReason())
	}
	if m.GetReason() != "" {
		fmt.Fprintf(w, "    ended: %s\n", m.GetReason())
	}
}

func stateName(s chicoryv1.MoveState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MOVE_STATE_"))
}

func formatTime(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}
