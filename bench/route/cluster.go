package main

import (
	"fmt"
	"net/http"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// Names in the configuration of the benchmark.
const (
	serviceName = "service"
	routeName   = "lookup"
	versionName = "v1"
	smallTeam   = "small"
	largeTeam   = "large"
	zones       = 3
)

// cluster is a set of stand-in replicas on the loopback interface, spread over the
// availability zones, with the configuration that lists them as targets.
type cluster struct {
	replicas []*standin.Replica
	servers  []*http.Server
	holder   *config.Holder
}

// newCluster starts n replicas of one service.
func newCluster(n int, opts standin.Options, kind chicoryv1.ServiceKind) *cluster {
	c := &cluster{holder: &config.Holder{}}
	conf := &chicoryv1.Configuration{
		Revision: 1,
		Services: []*chicoryv1.Service{{Name: serviceName, Kind: kind}},
		Routes:   []*chicoryv1.Route{{Name: routeName, Service: serviceName, Version: versionName}},
		Teams:    []*chicoryv1.Team{{Name: smallTeam}, {Name: largeTeam}},
	}
	for i := range n {
		o := opts
		o.Address = "127.0.0.1:0"
		o.Version = versionName
		o.Seed = opts.Seed + uint64(i)
		r, s, err := standin.Listen(o)
		if err != nil {
			panic(err)
		}
		c.replicas = append(c.replicas, r)
		c.servers = append(c.servers, s)
		conf.Targets = append(conf.Targets, &chicoryv1.Target{
			Address: r.Address(), Service: serviceName, Version: versionName,
			AvailabilityZone: zoneName(i % zones),
		})
	}
	if _, err := c.holder.ApplyFull(conf); err != nil {
		panic(err)
	}
	return c
}

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// close stops the replicas.
func (c *cluster) close() {
	for i, r := range c.replicas {
		r.Close()
		_ = c.servers[i].Close()
	}
}

// inZone returns the replicas of one availability zone.
func (c *cluster) inZone(zone int) []*standin.Replica {
	var list []*standin.Replica
	for i, r := range c.replicas {
		if i%zones == zone {
			list = append(list, r)
		}
	}
	return list
}

// totals holds the sums of counters over all replicas.
type totals struct {
	calls, generations uint64
}

func (c *cluster) totals() totals {
	var t totals
	for _, r := range c.replicas {
		counts := r.Counts("")
		t.calls += counts.GetCalls()
		t.generations += counts.GetGenerations()
	}
	return t
}
