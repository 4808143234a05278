package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// The processor time of a hop is that of this process while engine and callers
// run in processes of their own, started from this program.
const (
	roleEngine  = "engine"
	roleCallers = "callers"
)

// runRole is the main function of the other processes.
func runRole(role, address string, h hop, o costOptions) error {
	if role == roleEngine {
		r, _, err := standin.Listen(standin.Options{
			Address: "127.0.0.1:0", Version: "v1", TokenGap: o.gap, Capacity: 2 * o.streams, Seed: o.seed,
		})
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Println(r.Address())
		_, _ = bufio.NewReader(os.Stdin).ReadByte() // until the parent ends
		return nil
	}
	cl := newCaller()
	var wait sync.WaitGroup
	for i := range o.streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if tokens, _, err := cl.read(h, address, i, o.tokens); err != nil || tokens != int64(o.tokens) {
				fmt.Fprintf(os.Stderr, "stream %d: %d tokens, %v\n", i, tokens, err)
			}
		}()
	}
	wait.Wait()
	return nil
}

// child starts this program in a role.
func child(role, address string, h hop, o costOptions) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-role", role, "-address", address, "-hop", strconv.Itoa(int(h)),
		"-streams", strconv.Itoa(o.streams), "-tokens", strconv.Itoa(o.tokens), "-gap", o.gap.String())
	cmd.Stderr = os.Stderr
	return cmd
}

// measureHops returns the least processor time per token of the bare forwarder
// and of the router.
func measureHops(o costOptions) (forward, router time.Duration, err error) {
	engine := child(roleEngine, "", hopDirect, o)
	stdin, err := engine.StdinPipe()
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	stdout, err := engine.StdoutPipe()
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	if err := engine.Start(); err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer func() {
		_ = stdin.Close()
		_ = engine.Wait()
	}()
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	address := strings.TrimSpace(line)
	f, err := startForwarder(address)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer f.close()
	r, err := routerOf(address)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer r.close()
	for range o.rounds {
		for _, x := range []struct {
			hop     hop
			address string
			least   *time.Duration
		}{{hopForwarder, f.address, &forward}, {hopRouter, r.address, &router}} {
			start := cpuTime()
			if err := child(roleCallers, x.address, x.hop, o).Run(); err != nil {
				return 0, 0, errors.Trace(err)
			}
			used := (cpuTime() - start) / time.Duration(o.streams*o.tokens)
			if *x.least == 0 || used < *x.least {
				*x.least = used
			}
		}
	}
	return forward, router, nil
}

// routerOf starts a router with one engine.
func routerOf(engine string) (*router, error) {
	holder := &config.Holder{}
	_, err := holder.ApplyFull(&chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "model", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Routes:   []*chicoryv1.Route{{Name: route, Service: "model", Version: "v1"}},
		Targets:  []*chicoryv1.Target{{Address: engine, Service: "model", Version: "v1"}},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return startRouter(holder, &roles{holder: holder}, wayResupply, nil, generation.DefaultSettings())
}
