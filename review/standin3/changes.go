package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// memoryMB and diskMB are memory_mb and disk_mb of a control VM in the settings of the deployments.
	memoryMB, diskMB = 280, 128
	// firstRoutes is the number of routes of the manifest at first; a "big_config" adds up to grownBy of them.
	firstRoutes, grownBy, growths = 40, 1400, 10
	// changes is the number of manifests that are sent: hundreds.
	changes = 900
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// maxEnds is how often a process may end by itself in a day.
	maxEnds = 2
)

// operator sends one manifest after the other.
type operator struct {
	system *system
	client *http.Client
	random *rand.Rand
	// routes has the routes with a place for the timeout.
	routes []string
	// acknowledged is the newest version that was acknowledged.
	acknowledged int
}

// grow adds routes to the manifest.
func (o *operator) grow(n int) {
	for range n {
		o.routes = append(o.routes, fmt.Sprintf(`{"name":"r-%s","host":"ficu95.example","path_prefix":"/%s/","type":"safe","timeout_ms":%%d,"target_latency_ms":150,`+
			`"priority":2,"service":"desk","max_attempts":2,"public":false,"sticky":false,"resumable":false}`, o.word(), o.word()))
	}
}

func (o *operator) word() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, 7)
	for i := range b {
		b[i] = letters[o.random.IntN(len(letters))]
	}
	return string(b)
}

// manifest returns a manifest that differs from that of the version before in the timeout of a route.
func (o *operator) manifest(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i, r := range o.routes {
		if i > 0 {
			b.WriteByte(',')
		}
		timeout := 1200
		if i == version%len(o.routes) {
			timeout++
		}
		fmt.Fprintf(&b, r, timeout)
	}
	b.WriteString(`],"services":[{"name":"desk","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
	return b.Bytes()
}

// send sends a version, to one control VM after the other, until it is acknowledged or the time has passed.
func (o *operator) send(version int, until time.Time) (size int, err error) {
	document := o.manifest(version)
	for n := version; time.Now().Before(until); n++ {
		var status int
		if status, _, err = o.call(http.MethodPut, n, document); err == nil && status == http.StatusOK {
			o.acknowledged = version
			return len(document), nil
		}
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return len(document), fmt.Errorf("version %d is not acknowledged: %v", version, err)
}

// read returns the version that a control VM states to be the newest.
func (o *operator) read(keeper int) (version int, err error) {
	status, body, err := o.call(http.MethodGet, keeper, nil)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d", status)
	}
	err = json.Unmarshal(body, &answer)
	return answer.Version, err
}

func (o *operator) call(method string, keeper int, document []byte) (status int, body []byte, err error) {
	address := o.system.control(keeper % len(o.system.keepers))
	req, err := http.NewRequest(method, "http://"+address+"/config", bytes.NewReader(document))
	if err != nil {
		return 0, nil, err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// anonymousMB returns the memory of the process without that of files, as the operating system shows it.
func (p *program) anonymousMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb int
			_, _ = fmt.Sscan(rest, &kb) // 0 if the line has another form
			return kb >> 10
		}
	}
	return 0
}

// folderMB returns the size of the files of a folder.
func folderMB(path string) int {
	total := int64(0)
	_ = filepath.WalkDir(path, func(_ string, d fs.DirEntry, err error) error {
		if info, infoErr := d.Info(); err == nil && infoErr == nil && !d.IsDir() {
			total += info.Size()
		}
		return nil
	})
	return int(total >> 20)
}

// enforceMemory kills a control VM's process that uses more than its memory, and starts it again, as the
// platform does.
func (s *system) enforceMemory(p *program, stop chan struct{}, kills *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := p.anonymousMB()
		if used <= memoryMB {
			continue
		}
		p.kill()
		kills.Add(1)
		s.record.add("%s used %d MB of %d and was killed; its data folder has %d MB", p.name, used, memoryMB, folderMB(filepath.Join(s.folder, p.name)))
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			s.record.add("%s: %v", p.name, err)
		}
	}
}

func runChanges(folder string, trouble bool, rec *record) (bool, error) {
	s, err := startSystem(folder, 0, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	o := &operator{system: s, client: &http.Client{Timeout: 4 * time.Second}, random: rand.New(rand.NewPCG(1, 2))}
	o.grow(firstRoutes)
	stop := make(chan struct{})
	defer close(stop)
	ends := make([]atomic.Int64, len(s.keepers))
	for i, p := range s.keepers {
		go s.enforceMemory(p, stop, &ends[i])
	}
	if _, err := o.send(1, time.Now().Add(20*time.Second)); err != nil {
		return false, err
	}
	end := time.Now().Add(100 * time.Second)
	for version := 2; version <= changes && time.Now().Before(end) && !isFault(ends); version++ {
		if trouble && version <= growths+1 {
			o.grow(grownBy)
		}
		size, err := o.send(version, end)
		if err != nil {
			rec.add("%v", err)
		}
		if version%50 == 0 || version <= growths+1 {
			rec.add("version %d of %d routes and %d KB sent; acknowledged: %d; memory of the control VMs: %d, %d, %d of %d MB; data: %d, %d, %d of %d MB",
				version, len(o.routes), size>>10, o.acknowledged, s.keepers[0].anonymousMB(), s.keepers[1].anonymousMB(), s.keepers[2].anonymousMB(), memoryMB,
				folderMB(filepath.Join(folder, "control-1")), folderMB(filepath.Join(folder, "control-2")), folderMB(filepath.Join(folder, "control-3")), diskMB)
		}
	}
	version, err := o.read(0)
	rec.add("read back: version %d, %v; acknowledged: %d", version, err, o.acknowledged)
	rec.add("ends of the control VMs' processes over the limit of memory: %d, %d, %d; allowed: %d on half of them", ends[0].Load(), ends[1].Load(), ends[2].Load(), maxEnds)
	return isFault(ends), nil
}

// isFault reports whether on half of the control VMs processes have ended more often than is allowed.
func isFault(ends []atomic.Int64) bool {
	n := 0
	for i := range ends {
		if ends[i].Load() > maxEnds {
			n++
		}
	}
	return 2*n >= len(ends)
}
