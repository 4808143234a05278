package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/client"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

const (
	team  = "bench"
	route = "draft"
)

// engine is a stand-in engine and its server.
type engine struct {
	*standin.Replica
	server *http.Server
}

func (e *engine) kill() {
	_ = e.server.Close()
	e.Close()
}

// cluster is a set of engines and routers on the loopback interface, with the
// configuration and the journal that the routers share.
type cluster struct {
	engines  []*engine
	routers  []*router
	holder   *config.Holder
	policies *stubPolicies
	journal  *journalServer
	// callerNetwork connects the callers to the routers.
	callerNetwork faultNetwork

	mu     sync.Mutex // guards killed
	killed map[string]bool
}

// clusterOptions configures a cluster.
type clusterOptions struct {
	engines, routers int
	strategy         strategy
	tokenGap         time.Duration
	capacity         int
	seed             uint64
	settings         generation.Settings
}

func startCluster(o clusterOptions) (*cluster, error) {
	c := &cluster{holder: &config.Holder{}, killed: map[string]bool{}}
	conf := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: "model", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL}},
		Routes:   []*chicoryv1.Route{{Name: route, Service: "model", Version: "v1"}},
	}
	for i := range o.engines {
		r, s, err := standin.Listen(standin.Options{
			Address: "127.0.0.1:0", Version: "v1", TokenGap: o.tokenGap, Capacity: o.capacity, Seed: o.seed + uint64(i),
		})
		if err != nil {
			return nil, errors.Trace(err)
		}
		c.engines = append(c.engines, &engine{r, s})
		conf.Targets = append(conf.Targets, &chicoryv1.Target{Address: r.Address(), Service: "model", Version: "v1"})
	}
	if _, err := c.holder.ApplyFull(conf); err != nil {
		return nil, errors.Trace(err)
	}
	c.policies = &stubPolicies{holder: c.holder}
	if o.strategy == strategyJournalSync || o.strategy == strategyJournalBatched {
		j, err := startJournal()
		if err != nil {
			return nil, errors.Trace(err)
		}
		c.journal = j
	}
	for range o.routers {
		if err := c.addRouter(o); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return c, nil
}

func (c *cluster) addRouter(o clusterOptions) error {
	var j *journalClient
	if c.journal != nil {
		var err error
		if j, err = newJournalClient(c.journal, o.strategy == strategyJournalBatched); err != nil {
			return err
		}
	}
	r, err := startRouter(c.holder, c.policies, o.strategy, j, o.settings)
	if err != nil {
		return err
	}
	c.routers = append(c.routers, r)
	return nil
}

func (c *cluster) close() {
	for _, r := range c.routers {
		r.network.closeConns(true)
		r.close()
		if r.journal != nil {
			r.journal.close()
		}
	}
	for _, e := range c.engines {
		e.kill()
	}
	if c.journal != nil {
		_ = c.journal.server.Close()
	}
}

// killRouter stops a router. New connections of callers then go to the next one.
func (c *cluster) killRouter(i int) {
	c.mu.Lock()
	c.killed[c.routers[i].address] = true
	c.mu.Unlock()
	c.routers[i].kill()
}

// prefilledTokens returns the number of tokens that all engines have prefilled.
func (c *cluster) prefilledTokens() uint64 {
	total := uint64(0)
	for _, e := range c.engines {
		total += e.Counts("").GetPrefilledTokens()
	}
	return total
}

// counterTotal returns the sum of a generation counter over all routers.
func (c *cluster) counterTotal(name string) int64 {
	total := int64(0)
	for _, r := range c.routers {
		if m, ok := r.registry.Get("generation." + name).(interface{ Count() int64 }); ok {
			total += m.Count()
		}
	}
	return total
}

// newClient returns a client whose transport acts as a load balancer: each new
// connection goes to the first router that has not been killed.
func (c *cluster) newClient() (*client.Client, error) {
	return client.New(client.Options{
		Addresses: []string{"127.0.0.1:1"},
		NewTransport: func() *http.Transport {
			p := new(http.Protocols)
			p.SetUnencryptedHTTP2(true)
			return &http.Transport{
				Protocols:          p,
				DisableCompression: true,
				DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return c.dialRouter(ctx, network)
				},
			}
		},
	})
}

func (c *cluster) dialRouter(ctx context.Context, network string) (net.Conn, error) {
	c.mu.Lock()
	address := ""
	for _, r := range c.routers {
		if !c.killed[r.address] {
			address = r.address
			break
		}
	}
	c.mu.Unlock()
	return c.callerNetwork.dial(ctx, network, address)
}
