package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	connection "github.com/chicoryswitch/chicoryswitch/internal/connection/control"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
	"github.com/chicoryswitch/chicoryswitch/internal/process/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Sizes of the measurement of configuration changes.
const (
	forceBasePort = 32100
	forceChanges  = 40
	forceTarget   = time.Second
	forceRouters  = 9
)

// forceCluster is three whole control processes, without routers.
type forceCluster struct {
	folder    string
	processes []*control.Process
	operators []chicoryv1connect.OperatorServiceClient
	addresses []string
	keys      *peer.Credentials
}

// measureForce measures the time from sending a confirm until the change is in
// force at every one of a growing number of routers' watches. Each watch has a
// connection of its own.
func measureForce(r *run) error {
	c, err := startForceCluster(filepath.Join(r.folder, "force"))
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	for _, n := range []int{3, 9, 30, 100} {
		times, err := c.timeChanges(n)
		if err != nil {
			return errors.Trace(err)
		}
		slices.Sort(times)
		half, worst := times[len(times)/2], times[len(times)*99/100]
		r.figure("in_force routers=%d changes=%d p50=%v p99=%v", n, len(times), half.Round(time.Microsecond), worst.Round(time.Microsecond))
		if n == forceRouters {
			r.bars = append(r.bars, bar{"in_force_9_routers_p99", worst.Round(time.Microsecond).String(), "<=1s", worst <= forceTarget})
		}
	}
	return nil
}

func startForceCluster(folder string) (*forceCluster, error) {
	var out, errOut bytes.Buffer
	if ctl.Run([]string{"example", "-folder", folder, "-base-port", fmt.Sprint(forceBasePort)}, &out, &errOut) != ctl.ExitOK {
		return nil, errors.New(errOut.String())
	}
	c := &forceCluster{folder: folder}
	for i := 1; i <= 3; i++ {
		s := control.Defaults()
		if err := settings.Load(filepath.Join(folder, fmt.Sprintf("c%d.yaml", i)), &s); err != nil {
			return nil, errors.Trace(err)
		}
		p, err := control.Start(s, logging.Discard())
		if err != nil {
			return nil, errors.Trace(err)
		}
		c.processes = append(c.processes, p)
		c.addresses = append(c.addresses, string(s.PeerAddress))
		if err := c.addOperator(string(s.OperatorAddress)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return c, errors.Trace(c.loadRouterKeys())
}

func (c *forceCluster) addOperator(address string) error {
	keys, err := c.loadKeys("operator")
	if err != nil {
		return errors.Trace(err)
	}
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.ClientConfig()}}
	c.operators = append(c.operators, chicoryv1connect.NewOperatorServiceClient(h, "https://"+address))
	return nil
}

func (c *forceCluster) loadRouterKeys() (err error) {
	c.keys, err = c.loadKeys("r1")
	return errors.Trace(err)
}

func (c *forceCluster) loadKeys(id string) (*peer.Credentials, error) {
	keys := filepath.Join(c.folder, "keys")
	return peer.LoadCredentials(peer.Files{
		Certificate: filepath.Join(keys, id+".pem"),
		Key:         filepath.Join(keys, id+"-key.pem"),
		Authority:   filepath.Join(keys, "ca.pem"),
	})
}

func (c *forceCluster) stop() {
	for _, p := range c.processes {
		p.Stop()
	}
}

// leader returns the operator service of the VM that answers as leader.
func (c *forceCluster) leader() (chicoryv1connect.OperatorServiceClient, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, o := range c.operators {
			if _, err := o.Status(context.Background(), connect.NewRequest(&chicoryv1.StatusRequest{})); err == nil {
				return o, nil
			}
		}
	}
	return nil, errors.New("no control VM leads")
}

// timeChanges starts n watches, spread over the control VMs, and times changes.
func (c *forceCluster) timeChanges(n int) ([]time.Duration, error) {
	operator, err := c.leader()
	if err != nil {
		return nil, errors.Trace(err)
	}
	applied := make(chan uint64, n*(forceChanges+2))
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var clients []*peer.Client
	for i := range n {
		client := peer.NewClient(c.keys)
		clients = append(clients, client)
		order := append(slices.Clone(c.addresses[i%3:]), c.addresses[:i%3]...)
		w := connection.NewWatcher(&config.Holder{}, fmt.Sprint("r", i), order, client, logging.Discard(), func(revision uint64) { applied <- revision })
		tasks.Go(func() { w.Run(ctx) })
	}
	defer func() {
		stop()
		tasks.Wait()
		for _, client := range clients {
			_ = client.Close()
		}
	}()
	for range n {
		<-applied
	}
	var times []time.Duration
	for i := range forceChanges {
		d, err := timeChange(operator, applied, n, i)
		if err != nil {
			return nil, errors.Trace(err)
		}
		times = append(times, d)
	}
	return times, nil
}

// timeChange confirms one change and returns the time until n watches had it.
func timeChange(operator chicoryv1connect.OperatorServiceClient, applied <-chan uint64, n, i int) (time.Duration, error) {
	team := &chicoryv1.Team{Name: "measured", CallsPerSecond: uint32(i + 1)}
	change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: team}}
	ctx := context.Background()
	p, err := operator.Plan(ctx, connect.NewRequest(&chicoryv1.PlanRequest{Changes: []*chicoryv1.Change{change}}))
	if err != nil {
		return 0, errors.Trace(err)
	}
	start := time.Now()
	resp, err := operator.Confirm(ctx, connect.NewRequest(&chicoryv1.ConfirmRequest{RequestId: rand.Text(), Why: "measure", Plan: p.Msg.GetPlan()}))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for in := 0; in < n; {
		if <-applied >= resp.Msg.GetRevision() {
			in++
		}
	}
	return time.Since(start), nil
}
