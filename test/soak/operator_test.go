package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

const (
	// meanChangeInterval is the mean time between two operations of the operator.
	meanChangeInterval = 600 * time.Millisecond
	// operatorTimeout is how long the operator waits for one answer; declareTimeout is
	// how long it retries one declaration.
	operatorTimeout = time.Second
	declareTimeout  = 4 * time.Second
	// declareRetryInterval is the time between two attempts of one declaration.
	declareRetryInterval = 50 * time.Millisecond
	// lostAnswerTimeout is too short for most answers: it simulates an answer that is
	// lost on its way.
	lostAnswerTimeout = 3 * time.Millisecond
	// firstRefusedVersion is the first version of the invalid configurations, above
	// all valid ones.
	firstRefusedVersion = 1_000_000
)

// operator declares configurations and reads them back.
type operator struct {
	testbed *testbed
	history *history
	client  *http.Client

	mu      sync.Mutex // guards the fields below
	version int        // highest version sent
	// paths holds the marker routes of each version, which no other configuration has;
	// refused holds those of the refused configurations.
	paths   map[int][]string
	refused []string
}

func newOperator(tb *testbed, h *history) *operator {
	return &operator{testbed: tb, history: h, client: &http.Client{}, paths: map[int][]string{}}
}

// markerRoute returns a random marker route and the version that has it, or 0 for a
// route of a refused configuration. The path is empty if there is no marker route yet.
func (o *operator) markerRoute(r *rand.Rand) (int, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.refused) > 0 && r.IntN(10) == 0 {
		return 0, o.refused[r.IntN(len(o.refused))]
	}
	version := o.version
	for back := r.IntN(3); version > 0 && (back > 0 || len(o.paths[version]) == 0); version-- {
		if len(o.paths[version]) > 0 {
			back--
		}
	}
	if len(o.paths[version]) == 0 {
		return 0, ""
	}
	return version, o.paths[version][r.IntN(len(o.paths[version]))]
}

// newDocuments returns a new version and count documents of that version, which differ
// in their marker routes.
func (o *operator) newDocuments(r *rand.Rand, count int) (int, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + r.IntN(3)
	var documents []string
	for i := range count {
		path := fmt.Sprintf("/mark%d%c/", o.version, 'a'+i)
		o.paths[o.version] = append(o.paths[o.version], path)
		documents = append(documents, standin.Declaration{Version: o.version, Marker: path}.Document())
	}
	return o.version, documents
}

// run performs random operations until ctx ends.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		switch draw := r.IntN(10); {
		case draw < 5:
			o.declareNew(ctx, r, 1)
		case draw < 6:
			o.declareNew(ctx, r, 2)
		case draw < 7:
			o.declareInvalid(ctx, r)
		case draw < 8:
			o.redeclare(ctx, r)
		default:
			o.readConfig(ctx, o.randomKeeper(r))
		}
		pause.For(ctx, time.Duration(r.Int64N(int64(2*meanChangeInterval))))
	}
}

func (o *operator) randomKeeper(r *rand.Rand) *vm {
	return o.testbed.keepers[r.IntN(len(o.testbed.keepers))]
}

// declareNew declares a new configuration, or several that race under one version if
// count is above 1.
func (o *operator) declareNew(ctx context.Context, r *rand.Rand, count int) {
	version, documents := o.newDocuments(r, count)
	var declarers sync.WaitGroup
	for _, document := range documents {
		taskRand := newRand(r.Uint64())
		declarers.Go(func() { o.declare(ctx, taskRand, &declaration{version: version, document: document}) })
	}
	declarers.Wait()
}

// declare sends a configuration to randomly chosen control VMs until one confirms it.
func (o *operator) declare(ctx context.Context, r *rand.Rand, d *declaration) {
	d.sent = time.Now()
	o.history.mu.Lock()
	o.history.declarations = append(o.history.declarations, d)
	o.history.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	for ctx.Err() == nil {
		timeout := operatorTimeout
		if r.IntN(4) == 0 {
			timeout = lostAnswerTimeout
		}
		keeper := o.randomKeeper(r)
		status, err := o.sendDocument(ctx, keeper, d.document, timeout)
		switch {
		case err == nil && status == http.StatusOK:
			o.history.mu.Lock()
			d.acked = time.Now()
			o.history.mu.Unlock()
			o.readAll(ctx)
			return
		case err == nil && isRejection(status):
			o.history.addViolation("%s refused version %d, which is valid: status %d", keeper.id, d.version, status)
			return
		}
		pause.For(ctx, declareRetryInterval)
	}
}

// readAll reads the configuration from all control VMs concurrently right after a
// confirmation, to find one that is behind and returns an older version.
func (o *operator) readAll(ctx context.Context) {
	var reads sync.WaitGroup
	for _, k := range o.testbed.keepers {
		reads.Go(func() { _ = o.readConfig(ctx, k) }) // a VM that can't answer is no violation
	}
	reads.Wait()
}

func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

func (o *operator) sendDocument(ctx context.Context, keeper *vm, document string, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return standin.PutConfiguration(ctx, o.client, fmt.Sprintf("%s:%d", keeper.ip, portOperators), document)
}

// declareInvalid sends a configuration that must be refused.
func (o *operator) declareInvalid(ctx context.Context, r *rand.Rand) {
	o.mu.Lock()
	version := firstRefusedVersion + len(o.refused)
	path := fmt.Sprintf("/bad%d/", len(o.refused))
	o.refused = append(o.refused, path)
	o.mu.Unlock()
	document := corrupt(r, standin.Declaration{Version: version, Marker: path}.Document())
	o.history.mu.Lock()
	o.history.refused[document] = true
	o.history.mu.Unlock()
	keeper := o.randomKeeper(r)
	status, err := o.sendDocument(ctx, keeper, document, operatorTimeout)
	if err == nil && status == http.StatusOK {
		o.history.addViolation("%s confirmed an invalid configuration", keeper.id)
	}
}

// corrupt makes a document invalid.
func corrupt(r *rand.Rand, document string) string {
	switch r.IntN(4) {
	case 0:
		return document[:len(document)-1-r.IntN(len(document)/2)]
	case 1:
		return strings.Replace(document, `"service":"desk"`, `"service":"gone"`, 1)
	case 2:
		return strings.Replace(document, standin.PathPay, standin.PathLook, 1)
	}
	return strings.Replace(document, `"timeout_ms":2000`, `"timeout_ms":0`, 1)
}

// redeclare sends the newest confirmed configuration again, which must not be refused.
func (o *operator) redeclare(ctx context.Context, r *rand.Rand) {
	newest := o.history.newestConfirmed()
	if newest == nil {
		return
	}
	keeper := o.randomKeeper(r)
	status, err := o.sendDocument(ctx, keeper, newest.document, operatorTimeout)
	if err == nil && isRejection(status) {
		o.history.addViolation("%s refused version %d, which was confirmed before: status %d", keeper.id, newest.version, status)
	}
}

// readConfig records the configuration that a control VM returns as the newest one. It
// fails if the VM doesn't return one.
func (o *operator) readConfig(ctx context.Context, keeper *vm) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	sent := time.Now()
	status, document, err := standin.GetConfiguration(ctx, o.client, fmt.Sprintf("%s:%d", keeper.ip, portOperators))
	if err != nil {
		return errors.Trace(err)
	}
	if status != http.StatusOK {
		return errors.Errorf("%s returned status %d", keeper.id, status)
	}
	version, err := standin.DocumentVersion(document)
	if err != nil {
		o.history.addViolation("%s returned a malformed document: %v", keeper.id, err)
		return err
	}
	o.history.mu.Lock()
	defer o.history.mu.Unlock()
	o.history.reads = append(o.history.reads, configRead{keeper: keeper.id, sent: sent, version: version, document: document})
	return nil
}
