package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	restartDelay = time.Second      // between the end of a process and its next start
	recoverTime  = 15 * time.Second // bound recover_s, 12 s or 15 s
	readTime     = 10 * time.Second // above contact_ms
	orderTimeout = 2 * time.Second
)

// operator sends manifests.
type operator struct {
	b     *bed
	acked atomic.Int64 // the newest version that was acknowledged
}

// forbidBootstrap makes the settings of later starts say that the system has started before.
func (b *bed) forbidBootstrap() {
	for _, k := range b.keepers {
		file := k.command[len(k.command)-1]
		text, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(file, []byte(strings.Replace(string(text), "may_found: true", "may_found: false", 1)), 0o600)
		}
		if err != nil {
			panic(err) // the temporary folder can't be used
		}
	}
}

// readBack reads the manifest at all control machines again and again, and reports whether it doesn't come
// or is older than one that was acknowledged.
func (o *operator) readBack() bool {
	came := 0
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for n := range o.b.keepers {
			version := o.b.readManifest(n)
			if version == 0 {
				continue
			}
			came++
			if version < o.acked.Load() {
				o.b.record.line("core-%d returned version %d after %d was acknowledged", n+1, version, o.acked.Load())
				return true
			}
		}
	}
	o.b.record.line("reads that returned the manifest in %v: %d", readTime, came)
	return came == 0
}

// readManifest returns the version that a control machine returns, 0 if it returns none.
func (b *bed) readManifest(n int) int64 {
	client := &http.Client{Timeout: orderTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/config", b.keeperIP(n), portControl))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	var version int64
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	if _, err := fmt.Sscanf(string(text), `{"version":%d`, &version); err != nil {
		return 0
	}
	return version
}
