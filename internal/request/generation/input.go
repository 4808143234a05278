package generation

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"hash/fnv"
	"strings"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

const (
	// identityBytes is the size of a generation identity before its encoding.
	identityBytes = 12
	// bytesPerToken is the mean size of a prompt token, for limits.
	bytesPerToken = 4
)

func newIdentity() string {
	var b [identityBytes]byte
	_, _ = rand.Read(b[:])
	return base64.RawURLEncoding.EncodeToString(b[:])
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// promptTokens estimates the tokens of a prompt.
func promptTokens(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}

// prefixHash names a prompt as the engines' cache events do.
func prefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// promptOf returns the prompt, or the messages as lines of "role: text".
func promptOf(req *chicoryv1.GenerateRequest) string {
	if len(req.GetMessages()) == 0 {
		return req.GetPrompt()
	}
	var b strings.Builder
	for _, m := range req.GetMessages() {
		b.WriteString(m.GetRole())
		b.WriteString(": ")
		b.WriteString(m.GetText())
		b.WriteByte('\n')
	}
	return b.String()
}

// viewAndRoute returns the configuration in force and the route with the name.
func (s *Service) viewAndRoute(name string) (*config.View, *chicoryv1.Route, error) {
	view := s.opts.Holder.Current()
	if view == nil {
		return nil, nil, fault.New(fault.NotReady, "router has no configuration yet")
	}
	route := view.Route(name)
	if route == nil {
		return nil, nil, fault.New(fault.UnknownRoute, "no route %q", name)
	}
	service := view.Service(route.GetService())
	if service != nil && service.GetKind() == chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL {
		return nil, nil, fault.New(fault.InvalidArgument, "route %q is not of a model service", name)
	}
	return view, route, nil
}

// checkRequest returns the prompt of a request that is within the limits.
func (s *Service) checkRequest(req *chicoryv1.GenerateRequest) (prompt string, err error) {
	prompt = promptOf(req)
	limit := s.opts.Settings.MaxTokens
	switch {
	case prompt == "":
		return "", fault.New(fault.InvalidArgument, "prompt is empty")
	case len(prompt) > s.opts.Settings.MaxPromptBytes:
		return "", fault.New(fault.PromptTooLong, "prompt has %d bytes, at most %d are accepted",
			len(prompt), s.opts.Settings.MaxPromptBytes)
	case req.GetMaxTokens() == 0:
		return "", fault.New(fault.InvalidArgument, "max_tokens is missing")
	case int(req.GetMaxTokens()) > limit:
		return "", fault.New(fault.InvalidArgument, "max_tokens is above %d", limit)
	}
	return prompt, nil
}

// deadlineOf returns when the whole generation must have ended.
func (s *Service) deadlineOf(req *chicoryv1.GenerateRequest, route *chicoryv1.Route) time.Time {
	timeout := s.opts.Settings.DefaultTimeout.Std()
	if ms := route.GetDefaultTimeoutMs(); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	if ms := req.GetTimeoutMs(); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return time.Now().Add(timeout)
}
