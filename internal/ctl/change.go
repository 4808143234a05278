package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

func (a *app) planCommand() *ffcli.Command {
	var file, planFile string
	return a.command("plan", "plan -f CHANGES.yaml [-plan PLAN.json]",
		"Shows the effects of changes and writes a plan for confirm.",
		"chicoryctl plan -config ctl.yaml -f celeste.yaml -plan plan.json",
		func(fs *flag.FlagSet) {
			fs.StringVar(&file, "f", "", "YAML file with the changes")
			fs.StringVar(&planFile, "plan", "", "file to write the plan to; - means standard output")
		},
		noArguments(func(ctx context.Context) error {
			changes, err := ReadChanges(file)
			if err != nil {
				return err
			}
			return a.plan(ctx, changes, planFile)
		}))
}

// ReadChanges reads a YAML file of the form "changes: [...]", where each item is the
// protobuf JSON form of a Change message. An unknown field is an error.
func ReadChanges(path string) ([]*chicoryv1.Change, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var doc struct {
		Changes []map[string]any `yaml:"changes"`
	}
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, errors.Annotate(err, path)
	}
	var changes []*chicoryv1.Change
	for i, raw := range doc.Changes {
		b, err := json.Marshal(raw)
		if err != nil {
			return nil, errors.Annotatef(err, "%s: change %d", path, i)
		}
		c := &chicoryv1.Change{}
		if err := protojson.Unmarshal(b, c); err != nil {
			return nil, errors.Annotatef(err, "%s: change %d", path, i)
		}
		changes = append(changes, c)
	}
	if len(changes) == 0 {
		return nil, errors.Errorf("%s contains no changes", path)
	}
	return changes, nil
}

// plan requests a plan for changes, prints it and writes it to planFile if that is set.
func (a *app) plan(ctx context.Context, changes []*chicoryv1.Change, planFile string) error {
	resp, err := callLeader(ctx, a, &chicoryv1.PlanRequest{Changes: changes}, chicoryv1connect.OperatorServiceClient.Plan)
	if err != nil {
		return err
	}
	p := resp.GetPlan()
	if planFile != "" {
		b, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(p)
		if err != nil {
			return errors.Trace(err)
		}
		if err := a.writeFile(planFile, append(b, '\n')); err != nil {
			return err
		}
	}
	return a.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s on revision %d\n", p.GetPlanId(), p.GetBaseRevision())
		for _, e := range p.GetEffects() {
			fmt.Fprintf(w, "  %s\n", e)
		}
		for _, warning := range p.GetWarnings() {
			fmt.Fprintf(w, "  warning: %s\n", warning)
		}
		fmt.Fprintf(w, "nothing was changed; chicoryctl confirm commits the plan if the %d items that it read are unchanged\n", len(p.GetReads()))
	})
}

func (a *app) confirmCommand() *ffcli.Command {
	var planFile, why, request string
	var wait time.Duration
	return a.command("confirm", "confirm -plan PLAN.json -why REASON [-wait 5s]",
		"Commits a plan if the items that it read are unchanged. A repeated confirm returns the first result.",
		"chicoryctl confirm -config ctl.yaml -plan plan.json -why 'new booking desk' -wait 5s",
		func(fs *flag.FlagSet) {
			fs.StringVar(&planFile, "plan", "", "file with the plan")
			fs.StringVar(&why, "why", "", "reason, recorded in the history")
			fs.StringVar(&request, "request", "", "request ID of this confirm; the plan's ID by default")
			fs.DurationVar(&wait, "wait", 0, "how long to wait for the change to be in force on every router")
		},
		noArguments(func(ctx context.Context) error {
			p, err := readPlan(planFile)
			if err != nil {
				return err
			}
			if request == "" {
				request = p.GetPlanId()
			}
			return a.confirm(ctx, &chicoryv1.ConfirmRequest{RequestId: request, Why: why, Plan: p}, wait)
		}))
}

func (a *app) confirmOnce(ctx context.Context, req *chicoryv1.ConfirmRequest, wait time.Duration) (*chicoryv1.ConfirmResponse, error) {
	req.WaitInForceMs = uint32(min(wait, maxConfirmWait) / time.Millisecond)
	return callLeader(ctx, a, req, chicoryv1connect.OperatorServiceClient.Confirm)
}

func readPlan(path string) (*chicoryv1.Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &chicoryv1.Plan{}
	if err := protojson.Unmarshal(data, p); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return p, nil
}

// maxConfirmWait limits how long one Confirm request waits for a change to be in
// force. It must be below attemptTimeout.
const maxConfirmWait = time.Second

// confirm commits a plan and waits until it is in force on every router or the wait
// is over. It polls by resending the request, which returns the first result.
func (a *app) confirm(ctx context.Context, req *chicoryv1.ConfirmRequest, wait time.Duration) error {
	end := time.Now().Add(wait)
	first, err := a.confirmOnce(ctx, req, wait)
	if err != nil {
		return err
	}
	resp := first
	for !resp.GetInForceEverywhere() && time.Now().Before(end) {
		if resp, err = a.confirmOnce(ctx, req, time.Until(end)); err != nil {
			return err
		}
	}
	resp.Replayed = first.GetReplayed()
	return a.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d is committed\n", resp.GetRevision())
		if resp.GetReplayed() {
			fmt.Fprintln(w, "  this is the first result of the same confirm")
		}
		if resp.GetInForceEverywhere() {
			fmt.Fprintln(w, "  in force on every live router")
		}
		for _, id := range resp.GetMoveIds() {
			fmt.Fprintf(w, "  opened %s\n", id)
		}
	})
}
