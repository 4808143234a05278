package check

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// checkEffects finds entries without effect. A route whose prefix begins with that of another
// one is not among them: the longer prefix has precedence, and the shorter one always keeps
// some paths. Control VMs reject two routes with the same host and prefix.
func (c *checker) checkEffects(cfg *declared.Configuration) {
	used := make(map[string]bool, len(cfg.Services))
	names := make(map[string]bool, len(cfg.Routes))
	needsKey := false
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		needsKey = needsKey || !r.Public
		c.checkName(names, routeItem(i, r), "two routes have the name %q; log lines don't tell them apart")
		c.checkMatch(i, r)
		for _, s := range r.Services {
			if s.Weight > 0 {
				used[s.Service] = true
			} else if len(r.Services) > 1 {
				c.add(ZeroWeight, routeItem(i, r), declared.FieldServices, "route %q sends no requests to service %q, which has weight 0", r.Name, s.Service)
			}
		}
	}
	c.checkServiceEffects(cfg, used)
	c.checkTeamEffects(cfg, needsKey)
}

// checkName finds an item with the name of an earlier one. Items without a name are left out.
func (c *checker) checkName(names map[string]bool, item declared.Item, message string) {
	if item.Name != "" && names[item.Name] {
		c.add(DuplicateName, item, declared.FieldName, message, item.Name)
	}
	names[item.Name] = true
}

func (c *checker) checkMatch(index int, r *declared.Route) {
	item := routeItem(index, r)
	if reason := unmatchableHost(r.Host); reason != "" {
		c.add(UnmatchableRoute, item, declared.FieldHost, "no request of an ordinary client matches route %q: host %q %s", r.Name, r.Host, reason)
	}
	if reason := unmatchablePrefix(r.PathPrefix); reason != "" {
		c.add(UnmatchableRoute, item, declared.FieldPathPrefix, "no request of an ordinary client matches route %q: prefix %q %s", r.Name, r.PathPrefix, reason)
	}
}

// unmatchableHost returns why requests of ordinary clients don't have the host, or "". Hosts are compared without the
// port and in lower case.
func unmatchableHost(host string) string {
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return ""
	}
	switch {
	case host == "":
		return "is empty"
	case strings.Contains(host, ":"):
		return "contains a port or a scheme; requests are matched without the port"
	case strings.ContainsAny(host, "*?"):
		return "contains a wildcard; hosts are matched exactly"
	case strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }):
		return "contains a space, a control character or a slash"
	}
	return ""
}

// unmatchablePrefix returns why requests of ordinary clients have no path with the prefix, or "". Paths are
// compared as they were sent, without the query.
func unmatchablePrefix(prefix string) string {
	if strings.ContainsAny(prefix, "?#") {
		return "contains a query or a fragment; requests are matched by their path only"
	}
	if strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return "contains a space or a control character, which paths contain only in their encoded form"
	}
	if _, err := url.PathUnescape(prefix); err != nil {
		return "contains an invalid percent encoding"
	}
	return ""
}

func (c *checker) checkServiceEffects(cfg *declared.Configuration, used map[string]bool) {
	names := make(map[string]bool, len(cfg.Services))
	for i := range cfg.Services {
		s := &cfg.Services[i]
		c.checkName(names, serviceItem(i, s), "two services have the name %q; only the last one counts")
		if s.Name != "" && !used[s.Name] {
			c.add(UnusedService, serviceItem(i, s), declared.FieldName, "no route sends requests to service %q", s.Name)
		}
	}
}

func (c *checker) checkTeamEffects(cfg *declared.Configuration, needsKey bool) {
	if len(cfg.Teams) > 0 && !needsKey {
		c.add(TeamsWithoutRoute, teamItem(0, &cfg.Teams[0]), declared.FieldKeys,
			"no route asks for a key, so the keys and priorities of all %d teams have no effect", len(cfg.Teams))
	}
	names := make(map[string]bool, len(cfg.Teams))
	for i := range cfg.Teams {
		t := &cfg.Teams[i]
		item := teamItem(i, t)
		c.checkName(names, item, "two teams have the name %q; they count as one")
		if len(t.Keys) == 0 {
			c.add(TeamWithoutKeys, item, declared.FieldKeys, "team %q has no keys, so no request belongs to it", t.Name)
		}
		c.checkKeysOf(item, t.Keys)
	}
}

func (c *checker) checkKeysOf(item declared.Item, keys []string) {
	var seen map[string]bool
	if len(keys) > 1 {
		seen = make(map[string]bool, len(keys))
	}
	for i, key := range keys {
		if key == "" {
			c.add(EmptyKey, item, declared.FieldKeys, "key %d of team %q is empty: requests without a key count as its requests", i+1, item.Name)
		}
		if seen[key] {
			c.add(RepeatedKey, item, declared.FieldKeys, "team %q lists key %d twice", item.Name, i+1)
		}
		if seen != nil {
			seen[key] = true
		}
	}
}
