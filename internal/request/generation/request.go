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
	// idBytes is the size of an ID before its encoding.
	idBytes = 12
	// bytesPerToken is the assumed mean size of a prompt token. Token limits are
	// checked against the resulting estimate.
	bytesPerToken = 4
)

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return base64.RawURLEncoding.EncodeToString(b[:])
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// promptTokens estimates the number of tokens in a prompt.
func promptTokens(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}

// prefixHash returns the hash by which the engines' cache events identify a prompt.
func prefixHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// promptOf returns the prompt of a request. Chat messages become one line each,
// "role: text".
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

// currentViewAndRoute returns the current configuration and the named route, which must
// belong to a model service.
func (s *Service) currentViewAndRoute(name string) (*config.View, *chicoryv1.Route, error) {
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
		return nil, nil, fault.New(fault.InvalidArgument, "the service of route %q is not a model service", name)
	}
	return view, route, nil
}

// validateRequest checks a request against the limits and returns its prompt.
func (s *Service) validateRequest(req *chicoryv1.GenerateRequest) (prompt string, err error) {
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

// deadlineOf returns the time by which the generation must end. The request's
// timeout takes precedence over the route's, and that one over the default.
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
