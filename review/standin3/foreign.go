package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const foreignManifest = `{"version":1,"routes":[
 {"name":"pay","host":"desk.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1},
 {"name":"look","host":"desk.example","path_prefix":"/look/","type":"safe","timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"stock","max_attempts":2}],
 "services":[{"name":"desk","health_path":"/healthz","max_connections":360},{"name":"stock","health_path":"/healthz","max_connections":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// services are those of the replicas.
var services = []string{"desk", "desk", "desk", "stock", "stock", "stock"}

// foreignRequests is the number of requests on the route of the service "desk".
const foreignRequests = 300

// foreignEntry is an entry of another writer, with fields missing, about a replica that the provider lists
// as one of another service.
func foreignEntry(r *replica) string {
	b, _ := json.Marshal(map[string]any{ // strings always encode
		"id": r.id, "service": "desk", "address": r.address, "zone": "zone-a", "slots": slots, "state": "ready",
	})
	return string(b)
}

func runForeign(folder string, trouble bool, rec *record) (bool, error) {
	all := newRuns()
	s, err := startSystem(folder, 1, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var entries []string
	var last *replica
	for i, service := range services {
		r, err := startReplica(fmt.Sprintf("i-%04d", i+1), service, fmt.Sprintf("zone-%c", 'a'+i%3), "127.0.53.1", 20*time.Millisecond, rec, all)
		if err != nil {
			return false, err
		}
		entries = append(entries, r.entry("ready"))
		last = r
	}
	if trouble {
		entries = append(entries, foreignEntry(last))
	}
	for _, e := range entries {
		rec.add("listed: %s", e)
	}
	s.platform.publish(entries)
	if err := s.putManifest(foreignManifest); err != nil {
		return false, err
	}
	rec.add("acknowledged: %s", strings.ReplaceAll(foreignManifest, "\n", ""))
	time.Sleep(contact)
	wrong, answered := 0, 0
	client := &http.Client{Timeout: consumerTimeout}
	for i := range foreignRequests {
		id := fmt.Sprintf("pay-%d", i)
		status, body, err := pay(client, s.caller(0), id)
		if err != nil {
			rec.add("%s: %v", id, err)
			continue
		}
		answered++
		for _, r := range all.of(id) {
			rec.add("%s, sent to /pay/, ran at %s of service %s; answered %d %q", id, r.id, r.service, status, body)
			if r.service != "desk" {
				wrong++
			}
		}
	}
	rec.add("%d of %d requests answered; %d ran at a service to which no manifest allows them to go", answered, foreignRequests, wrong)
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return wrong > 0, nil
}

// pay sends an unsafe request.
func pay(client *http.Client, address, id string) (status int, body string, err error) {
	return payWithKey(client, address, id, "")
}

// payWithKey sends an unsafe request with a key, unless that is empty.
func payWithKey(client *http.Client, address, id, key string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/pay/x", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "2500")
	if key != "" {
		req.Header.Set("Credential", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
