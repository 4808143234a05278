package check

import (
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// maxPriority is the lowest priority of a request, which targets receive as one digit.
const maxPriority = 9

// checkLimits finds limits that are invalid or contradict each other.
func (c *checker) checkLimits(cfg *declared.Configuration) {
	for i := range cfg.Routes {
		c.checkRouteLimits(routeItem(i, &cfg.Routes[i]), &cfg.Routes[i])
	}
	for i := range cfg.Services {
		c.checkServiceLimits(serviceItem(i, &cfg.Services[i]), &cfg.Services[i])
	}
	for i := range cfg.Teams {
		if p := cfg.Teams[i].Priority; p != nil {
			c.checkPriority(teamItem(i, &cfg.Teams[i]), *p)
		}
	}
	c.checkRequestLimits(cfg.Limits)
}

func (c *checker) checkPriority(item declared.Item, priority int) {
	if priority < 0 || priority > maxPriority {
		c.add(InvalidLimit, item, declared.FieldPriority, "priority %d of %q is not 0 to %d", priority, item.Name, maxPriority)
	}
}

func (c *checker) checkRouteLimits(item declared.Item, r *declared.Route) {
	c.checkPriority(item, r.Priority)
	if r.LatencyObjective < 0 {
		c.add(InvalidLimit, item, declared.FieldLatencyObjective, "the latency objective of route %q is negative", r.Name)
	}
	if r.MaxEventGap < 0 {
		c.add(InvalidLimit, item, declared.FieldMaxEventGap, "the longest gap of route %q is negative", r.Name)
	}
	if r.MaxAttempts < 0 {
		c.add(InvalidLimit, item, declared.FieldMaxAttempts, "the number of attempts of route %q is negative", r.Name)
	}
	if r.Timeout <= 0 {
		return // rejected as an error
	}
	switch {
	case r.LatencyObjective > r.Timeout:
		c.add(DeadlineBelowObjective, item, declared.FieldTimeout,
			"route %q has a timeout of %v, below its latency objective of %v", r.Name, r.Timeout, r.LatencyObjective)
	case r.RetryPolicy != declared.AtMostOnce && r.MaxAttempts > 1 && r.LatencyObjective > 0 && r.MaxAttempts > int(r.Timeout/r.LatencyObjective):
		c.add(AttemptsExceedDeadline, item, declared.FieldMaxAttempts,
			"%d attempts of route %q at its latency objective of %v don't fit in its timeout of %v", r.MaxAttempts, r.Name, r.LatencyObjective, r.Timeout)
	}
	if r.Stream && r.MaxEventGap >= r.Timeout {
		c.add(GapExceedsDeadline, item, declared.FieldMaxEventGap,
			"route %q allows gaps of %v between events, which is not below its timeout of %v", r.Name, r.MaxEventGap, r.Timeout)
	}
}

func (c *checker) checkServiceLimits(item declared.Item, s *declared.Service) {
	if s.MaxConnections < 0 {
		c.add(InvalidLimit, item, declared.FieldMaxConnections, "the number of connections of service %q is negative", s.Name)
	}
	if s.Engine != nil && s.Engine.KVCapacityTokens < 0 {
		c.add(InvalidLimit, item, declared.FieldEngine, "the KV cache of service %q has a negative capacity", s.Name)
	}
	if s.MaxConnections <= 0 {
		return
	}
	if s.Engine != nil && s.Engine.Slots > s.MaxConnections {
		c.add(TooFewConnections, item, declared.FieldMaxConnections,
			"targets of service %q run %d requests at once, but accept %d connections", s.Name, s.Engine.Slots, s.MaxConnections)
	}
	if c.deployment.EntryVMs > s.MaxConnections {
		c.add(TooFewConnections, item, declared.FieldMaxConnections,
			"targets of service %q accept %d connections, fewer than there are entry VMs (%d)", s.Name, s.MaxConnections, c.deployment.EntryVMs)
	}
}

func (c *checker) checkRequestLimits(l declared.Limits) {
	item := declared.Item{Section: declared.SectionLimits}
	for _, limit := range []struct {
		field    declared.Field
		negative bool
	}{
		{declared.FieldHeaderBytes, l.HeaderBytes < 0},
		{declared.FieldBodyBytes, l.BodyBytes < 0},
		{declared.FieldHeaderTimeout, l.HeaderTimeout < 0},
		{declared.FieldIdleTimeout, l.IdleTimeout < 0},
	} {
		if limit.negative {
			c.add(InvalidLimit, item, limit.field, "the limit on %s of requests is negative", limit.field)
		}
	}
	if m := c.deployment.EntryMemory; m > 0 && l.BodyBytes > m {
		c.add(BodyLimitExceedsMemory, item, declared.FieldBodyBytes, "bodies of %d bytes are allowed, more than the memory of an entry VM (%d bytes)", l.BodyBytes, m)
	}
}
