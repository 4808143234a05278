package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicoryswitch/chicoryswitch/internal/process/monitor"
)

const readyPollInterval = 100 * time.Millisecond

func (a *app) readyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl ready", flag.ContinueOnError)
	wait := fs.Duration("wait", 0, "how long to wait for all processes to be ready")
	return &ffcli.Command{
		Name:       "ready",
		ShortUsage: "chicoryctl ready [-wait 20s] MONITOR_ADDRESS...",
		ShortHelp:  "Checks that processes are ready to serve, at their monitor addresses.",
		LongHelp:   "Example:\n  chicoryctl ready -wait 20s 10.0.1.6:7300 10.0.2.6:7300",
		FlagSet:    fs,
		Exec: func(ctx context.Context, addresses []string) error {
			ctx, cancel := context.WithTimeout(ctx, *wait)
			defer cancel()
			for _, address := range addresses {
				if err := waitReady(ctx, address); err != nil {
					return err
				}
				fmt.Fprintf(a.out, "%s is ready\n", address)
			}
			return nil
		},
	}
}

// waitReady polls the process until it is ready or ctx ends.
func waitReady(ctx context.Context, address string) error {
	for {
		reason := checkReady(address)
		if reason == "" {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Errorf("%s is not ready: %s", address, reason)
		}
	}
}

// checkReady returns why the process is not ready, or "" if it is.
func checkReady(address string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + monitor.ReadyPath)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body := make([]byte, 200)
		n, _ := resp.Body.Read(body)
		return strings.TrimSpace(string(body[:n]))
	}
	return ""
}
