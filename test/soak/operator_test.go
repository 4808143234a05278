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
	// operatorPause is the mean time between two changes.
	operatorPause = 600 * time.Millisecond
	// operatorWait is how long an operator waits for one answer, and ackWait how long it
	// sends one change again.
	operatorWait = time.Second
	ackWait      = 4 * time.Second
	// operatorBackoff is the time between two tries of one change.
	operatorBackoff = 50 * time.Millisecond
	// lostAnswerWait: an answer that takes longer is lost on its way.
	lostAnswerWait = 3 * time.Millisecond
	// refusedVersion is above all versions that are valid.
	refusedVersion = 1_000_000
)

// operator declares configurations and reads them back.
type operator struct {
	world   *world
	history *history
	client  *http.Client

	mu      sync.Mutex // guards the fields below
	version int        // the highest that was sent
	// paths are the routes that only one configuration has, by its version; those of
	// refused ones are in refused.
	paths   map[int][]string
	refused []string
}

func newOperator(w *world, h *history) *operator {
	return &operator{world: w, history: h, client: &http.Client{}, paths: map[int][]string{}}
}

// mark returns a route that only one configuration has, and the version; 0 for one
// that was refused. The path is empty if there is none yet.
func (o *operator) mark(r *rand.Rand) (int, string) {
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

// next returns a new version and its document. Twins share the version.
func (o *operator) next(r *rand.Rand, twins int) (int, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + r.IntN(3)
	var documents []string
	for i := range twins {
		path := fmt.Sprintf("/mark%d%c/", o.version, 'a'+i)
		o.paths[o.version] = append(o.paths[o.version], path)
		documents = append(documents, standin.Declaration{Version: o.version, Marker: path}.Document())
	}
	return o.version, documents
}

// run makes changes and reads until ctx ends.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		switch draw := r.IntN(10); {
		case draw < 5:
			o.change(ctx, r, 1)
		case draw < 6:
			o.change(ctx, r, 2)
		case draw < 7:
			o.changeWrongly(ctx, r)
		case draw < 8:
			o.repeat(ctx, r)
		default:
			o.read(ctx, o.keeper(r))
		}
		pause.For(ctx, time.Duration(r.Int64N(int64(2*operatorPause))))
	}
}

func (o *operator) keeper(r *rand.Rand) *machine {
	return o.world.keepers[r.IntN(len(o.world.keepers))]
}

// change declares a new configuration, or two that race under one version.
func (o *operator) change(ctx context.Context, r *rand.Rand, twins int) {
	version, documents := o.next(r, twins)
	var racers sync.WaitGroup
	for _, document := range documents {
		own := newRand(r.Uint64())
		racers.Go(func() { o.declare(ctx, own, &declaration{version: version, document: document}) })
	}
	racers.Wait()
}

// declare sends a configuration to one control VM after the other until it is
// confirmed.
func (o *operator) declare(ctx context.Context, r *rand.Rand, d *declaration) {
	d.sent = time.Now()
	o.history.mu.Lock()
	o.history.declarations = append(o.history.declarations, d)
	o.history.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	for ctx.Err() == nil {
		wait := operatorWait
		if r.IntN(4) == 0 {
			wait = lostAnswerWait
		}
		keeper := o.keeper(r)
		status, err := o.send(ctx, keeper, d.document, wait)
		switch {
		case err == nil && status == http.StatusOK:
			o.history.mu.Lock()
			d.acked = time.Now()
			o.history.mu.Unlock()
			o.readEverywhere(ctx)
			return
		case err == nil && refusesChange(status):
			o.history.note("%s refuses version %d, which is valid: %d", keeper.id, d.version, status)
			return
		}
		pause.For(ctx, operatorBackoff)
	}
}

// readEverywhere asks all control VMs at once, right after a confirmation: one that is
// behind the others would tell an older configuration.
func (o *operator) readEverywhere(ctx context.Context) {
	var reads sync.WaitGroup
	for _, k := range o.world.keepers {
		reads.Go(func() { _ = o.read(ctx, k) }) // one that can't tell is no finding
	}
	reads.Wait()
}

func refusesChange(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

func (o *operator) send(ctx context.Context, keeper *machine, document string, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return standin.PutConfiguration(ctx, o.client, fmt.Sprintf("%s:%d", keeper.ip, portOperators), document)
}

// changeWrongly sends a configuration that must be refused.
func (o *operator) changeWrongly(ctx context.Context, r *rand.Rand) {
	o.mu.Lock()
	version := refusedVersion + len(o.refused)
	path := fmt.Sprintf("/bad%d/", len(o.refused))
	o.refused = append(o.refused, path)
	o.mu.Unlock()
	document := spoil(r, standin.Declaration{Version: version, Marker: path}.Document())
	o.history.mu.Lock()
	o.history.refused[document] = true
	o.history.mu.Unlock()
	keeper := o.keeper(r)
	status, err := o.send(ctx, keeper, document, operatorWait)
	if err == nil && status == http.StatusOK {
		o.history.note("%s confirms a configuration that is invalid", keeper.id)
	}
}

// spoil makes a document invalid.
func spoil(r *rand.Rand, document string) string {
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

// repeat sends the newest confirmed configuration again, which is never refused.
func (o *operator) repeat(ctx context.Context, r *rand.Rand) {
	newest := o.history.confirmed()
	if newest == nil {
		return
	}
	keeper := o.keeper(r)
	status, err := o.send(ctx, keeper, newest.document, operatorWait)
	if err == nil && refusesChange(status) {
		o.history.note("%s refuses version %d, which was confirmed: %d", keeper.id, newest.version, status)
	}
}

// read notes what a control VM says is the newest configuration. It fails if the VM
// doesn't say.
func (o *operator) read(ctx context.Context, keeper *machine) error {
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	sent := time.Now()
	status, document, err := standin.GetConfiguration(ctx, o.client, fmt.Sprintf("%s:%d", keeper.ip, portOperators))
	if err != nil {
		return errors.Trace(err)
	}
	if status != http.StatusOK {
		return errors.Errorf("%s answers %d", keeper.id, status)
	}
	version, err := standin.DocumentVersion(document)
	if err != nil {
		o.history.note("%s answers a document that can't be read: %v", keeper.id, err)
		return err
	}
	o.history.mu.Lock()
	defer o.history.mu.Unlock()
	o.history.readings = append(o.history.readings, reading{keeper: keeper.id, sent: sent, version: version, document: document})
	return nil
}
