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

// Parameters of the measurement of configuration changes.
const (
	clusterBasePort = 32100
	measuredChanges = 40
	maxInForceTime  = time.Second
	comparedRouters = 9 // number of routers at which maxInForceTime applies
)

// processCluster is three complete control processes, without routers.
type processCluster struct {
	folder    string
	processes []*control.Process
	operators []chicoryv1connect.OperatorServiceClient
	addresses []string
	keys      *peer.Credentials
}

// measureConfigurationChanges measures the time from sending a confirm until the
// change is in force at every router's watch, for several numbers of routers. Each
// watch has its own connection.
func measureConfigurationChanges(b *benchmark) error {
	c, err := startProcessCluster(filepath.Join(b.folder, "force"))
	if err != nil {
		return errors.Trace(err)
	}
	defer c.stop()
	for _, n := range []int{3, 9, 30, 100} {
		times, err := c.measureChanges(n)
		if err != nil {
			return errors.Trace(err)
		}
		slices.Sort(times)
		p50, p99 := times[len(times)/2], times[len(times)*99/100]
		b.printFigure("in_force routers=%d changes=%d p50=%v p99=%v", n, len(times), p50.Round(time.Microsecond), p99.Round(time.Microsecond))
		if n == comparedRouters {
			b.goals = append(b.goals, goal{"in_force_9_routers_p99", p99.Round(time.Microsecond).String(), "<=1s", p99 <= maxInForceTime})
		}
	}
	return nil
}

// startProcessCluster writes the example settings to folder and starts the three
// control processes that they describe.
func startProcessCluster(folder string) (*processCluster, error) {
	var out, errOut bytes.Buffer
	if ctl.Run([]string{"example", "-folder", folder, "-base-port", fmt.Sprint(clusterBasePort)}, &out, &errOut) != ctl.ExitOK {
		return nil, errors.New(errOut.String())
	}
	c := &processCluster{folder: folder}
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
		if err := c.addOperatorClient(string(s.OperatorAddress)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return c, errors.Trace(c.loadRouterKeys())
}

// addOperatorClient adds a client of the operator service at address.
func (c *processCluster) addOperatorClient(address string) error {
	keys, err := c.loadKeys("operator")
	if err != nil {
		return errors.Trace(err)
	}
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.ClientConfig()}}
	c.operators = append(c.operators, chicoryv1connect.NewOperatorServiceClient(h, "https://"+address))
	return nil
}

// loadRouterKeys loads the keys of router r1, which all watches use.
func (c *processCluster) loadRouterKeys() (err error) {
	c.keys, err = c.loadKeys("r1")
	return errors.Trace(err)
}

// loadKeys loads the keys that were issued to id.
func (c *processCluster) loadKeys(id string) (*peer.Credentials, error) {
	keyFolder := filepath.Join(c.folder, "keys")
	return peer.LoadCredentials(peer.Files{
		Certificate: filepath.Join(keyFolder, id+".pem"),
		Key:         filepath.Join(keyFolder, id+"-key.pem"),
		Authority:   filepath.Join(keyFolder, "ca.pem"),
	})
}

func (c *processCluster) stop() {
	for _, p := range c.processes {
		p.Stop()
	}
}

// leader waits for a leader and returns the client of its operator service.
func (c *processCluster) leader() (chicoryv1connect.OperatorServiceClient, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, o := range c.operators {
			if _, err := o.Status(context.Background(), connect.NewRequest(&chicoryv1.StatusRequest{})); err == nil {
				return o, nil
			}
		}
	}
	return nil, errors.New("no control VM became leader in time")
}

// measureChanges starts n watches, distributed over the control VMs, and returns the
// time that each of the changes took to reach all of them.
func (c *processCluster) measureChanges(n int) ([]time.Duration, error) {
	operator, err := c.leader()
	if err != nil {
		return nil, errors.Trace(err)
	}
	applied := make(chan uint64, n*(measuredChanges+2))
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
	for i := range measuredChanges {
		d, err := measureChange(operator, applied, n, i)
		if err != nil {
			return nil, errors.Trace(err)
		}
		times = append(times, d)
	}
	return times, nil
}

// measureChange confirms change i and returns the time until n watches had it.
func measureChange(operator chicoryv1connect.OperatorServiceClient, applied <-chan uint64, n, i int) (time.Duration, error) {
	team := &chicoryv1.Team{Name: "measured", CallsPerSecond: uint32(i + 1)}
	change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: team}}
	ctx := context.Background()
	plan, err := operator.Plan(ctx, connect.NewRequest(&chicoryv1.PlanRequest{Changes: []*chicoryv1.Change{change}}))
	if err != nil {
		return 0, errors.Trace(err)
	}
	start := time.Now()
	resp, err := operator.Confirm(ctx, connect.NewRequest(&chicoryv1.ConfirmRequest{RequestId: rand.Text(), Why: "measure", Plan: plan.Msg.GetPlan()}))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for reached := 0; reached < n; {
		if <-applied >= resp.Msg.GetRevision() {
			reached++
		}
	}
	return time.Since(start), nil
}
