package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"
)

const unreadableManifest = `{"version":%d,"routes":[
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"%s","api_keys":["%s"],"priority":1}]}`

// splitManifest names the unknown service "nowhere" in a route that also has a split.
const splitManifest = `{"version":%d,"routes":[
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":%q,"split":[{"service":"desk","weight":1}],"max_attempts":1}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"huka270","api_keys":["key-2"],"priority":1}]}`

// runUnreadable sends manifests that are invalid: one with bytes that are no text, and one with an unknown service.
func runUnreadable(folder string, trouble bool, rec *record) (bool, error) {
	s, err := startSystem(folder, 1, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	r, err := startReplica("i-0001", "desk", "zone-a", "127.0.53.1", time.Millisecond, rec, newRuns())
	if err != nil {
		return false, err
	}
	s.platform.publish([]string{r.entry("ready")})
	if err := s.putManifest(fmt.Sprintf(unreadableManifest, 1, "huka270", "key-1")); err != nil {
		return false, err
	}
	rec.add("version 1 is acknowledged")
	time.Sleep(contact)
	name, key, service := "huka270", "key-2", "desk"
	if trouble {
		name, key, service = "huka\xff270", "key\xfe-2", "nowhere"
	}
	client := &http.Client{Timeout: 4 * time.Second}
	second := fmt.Sprintf(unreadableManifest, 2, name, key)
	unreadable, err := s.sendInvalid(client, second)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	for _, key := range []string{key, strings.ToValidUTF8(key, "\uFFFD")} {
		answer, body, err := payWithKey(client, s.caller(0), fmt.Sprintf("pay-%x", key), key)
		rec.add("a request with the key %q (bytes %x) is answered %d %q %v; tenant at the replica: %q", key, key, answer, body, err, r.lastTenant())
	}
	unknown, err := s.sendInvalid(client, fmt.Sprintf(splitManifest, 3, service))
	isText, isKnown := utf8.ValidString(second), service == "desk"
	rec.add("version 2: UTF-8 %v, acknowledged %v; version 3: service known %v, acknowledged %v", isText, unreadable, isKnown, unknown)
	if err == nil && (isText && !unreadable || isKnown && !unknown) {
		err = fmt.Errorf("a valid manifest was not acknowledged")
	}
	return unreadable && !isText || unknown && !isKnown, err
}

// sendInvalid sends a manifest and reports whether it was acknowledged.
func (s *system) sendInvalid(client *http.Client, document string) (acknowledged bool, err error) {
	s.record.add("sent, UTF-8 %v: %q", utf8.ValidString(document), document)
	status, text, err := s.sendManifest(client, 0, document)
	s.record.add("answered %d %q", status, text)
	return status == http.StatusOK, err
}
