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

// runUnreadable sends a manifest with bytes that are no text.
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
	name, key := "huka270", "key-2"
	if trouble {
		name, key = "huka\xff270", "key\xfe-2"
	}
	second := fmt.Sprintf(unreadableManifest, 2, name, key)
	rec.add("version 2 is UTF-8: %v; sent: %q", utf8.ValidString(second), second)
	client := &http.Client{Timeout: 4 * time.Second}
	status, text, err := s.sendManifest(client, 0, second)
	if err != nil {
		return false, err
	}
	rec.add("answered %d %q", status, text)
	time.Sleep(contact)
	for _, key := range []string{key, strings.ToValidUTF8(key, "\uFFFD")} {
		answer, body, err := payWithKey(client, s.caller(0), "pay-"+fmt.Sprintf("%x", key), key)
		rec.add("a request with the key %q (bytes %x) is answered %d %q %v; tenant at the replica: %q", key, key, answer, body, err, r.lastTenant())
	}
	return trouble && status == http.StatusOK, nil
}
