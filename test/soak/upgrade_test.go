package soak

import (
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// Orders in which the programs of all VMs are replaced by those of another build.
const (
	upgradeKeepersFirst = iota
	upgradeEntriesFirst
	upgradeMixed
	upgradeOrders
)

// newUpgrade returns the replacement of the programs of all VMs, one VM after the other, by those of the
// folder programs. For some seeds they are replaced by those of the folder old again, in reverse order.
func newUpgrade(r *rand.Rand, length time.Duration, keepers, entries int, programs, old string) []plannedFault {
	var steps []plannedFault
	for i := range keepers {
		steps = append(steps, plannedFault{keeper: i, entry: -1, target: -1, programs: programs})
	}
	for i := range entries {
		steps = append(steps, plannedFault{keeper: -1, entry: i, target: -1, programs: programs})
	}
	switch r.IntN(upgradeOrders) {
	case upgradeEntriesFirst:
		slices.Reverse(steps)
	case upgradeMixed:
		r.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	}
	if r.IntN(3) == 0 {
		for _, f := range slices.Backward(slices.Clone(steps)) {
			f.programs = old
			steps = append(steps, f)
		}
	}
	for i := range steps {
		f := &steps[i]
		f.at = length * time.Duration(i) / time.Duration(len(steps))
		f.duration = minFaultTime + time.Duration(r.Int64N(int64(time.Second)))
		f.kind = randomKind(r, []string{faultStop, faultStop, faultKill})
	}
	return steps
}

// setPrograms makes the next start of the program use the one in folder.
func (p *program) setPrograms(folder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = filepath.Join(folder, filepath.Base(p.path))
}

// TestUpgradesReplaceAllPrograms guards against seeds that leave a VM out, never go back or always use one
// order.
func TestUpgradesReplaceAllPrograms(t *testing.T) {
	const keepers, entries, length = 3, 4, 20 * time.Second
	firsts, returned := map[bool]bool{}, 0
	for seed := range uint64(50) {
		plan := newUpgrade(newUpgradeRand(seed), length, keepers, entries, "new", "old")
		again := newUpgrade(newUpgradeRand(seed), length, keepers, entries, "new", "old")
		assert.DeepEqual(t, plan, again, cmp.AllowUnexported(plannedFault{}))
		steps := map[plannedFault]int{}
		for _, f := range plan {
			assert.Assert(t, f.at < length)
			steps[plannedFault{keeper: f.keeper, entry: f.entry, programs: f.programs}]++
		}
		assert.Equal(t, len(plan), len(steps), "a VM is replaced twice")
		firsts[plan[0].keeper >= 0] = true
		if len(plan) > keepers+entries {
			returned++
			assert.Equal(t, len(plan), 2*(keepers+entries))
		} else {
			assert.Equal(t, len(plan), keepers+entries)
		}
	}
	assert.Equal(t, len(firsts), 2)
	assert.Assert(t, returned > 0 && returned < 50)
}
